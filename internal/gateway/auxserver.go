package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

const (
	// auxRequestTimeout bounds the reading of a request at the readiness and metrics addresses, auxAnswerTimeout the sending of its
	// answer, and auxIdleTimeout the time between two requests on a connection.
	auxRequestTimeout = 2 * time.Second
	auxAnswerTimeout  = 10 * time.Second
	auxIdleTimeout    = time.Minute
	// auxMaxHeadBytes bounds the size of a request's head at these addresses.
	auxMaxHeadBytes = 16 << 10
	// auxMemoryShare is the fraction of Config.MemoryLimitBytes that requests at one of these addresses may occupy.
	auxMemoryShare = 0.02
)

// auxServer serves the requests of the platform at the readiness or the metrics address. They are short and have no body.
type auxServer struct {
	http  *http.Server
	guard *intake.Guard
}

func newAuxServer(cfg Config, handler http.Handler) *auxServer {
	s := &auxServer{
		http: &http.Server{
			Handler: handler, MaxHeaderBytes: auxMaxHeadBytes, ReadTimeout: auxRequestTimeout, WriteTimeout: auxAnswerTimeout, IdleTimeout: auxIdleTimeout,
		},
		guard: intake.NewGuard(intake.Config{
			Budget:       intake.NewBudget(cfg.memoryShare(auxMemoryShare), time.Now),
			MaxHeadBytes: func() int { return auxMaxHeadBytes }, MaxConnections: cfg.connectionLimit(auxSocketShare, auxMemoryShare),
		}),
	}
	s.guard.Protect(s.http)
	return s
}

func (s *auxServer) serve(l net.Listener) error { return s.http.Serve(s.guard.Listen(l)) }
