package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

// auxServer serves the requests of the platform at the readiness or the metrics address. They are short and have no body.
type auxServer struct {
	http  *http.Server
	guard *intake.Guard
}

func newAuxServer(cfg Config, handler http.Handler, maxConnections int) *auxServer {
	s := &auxServer{
		http: &http.Server{
			Handler: handler, MaxHeaderBytes: auxMaxHeadBytes, ReadTimeout: auxRequestTimeout, WriteTimeout: auxAnswerTimeout, IdleTimeout: auxIdleTimeout,
		},
		guard: intake.NewGuard(intake.Config{
			Budget:       intake.NewBudget(int64(auxMemoryShare*float64(cfg.MemoryLimitBytes)), time.Now),
			MaxHeadBytes: func() int { return auxMaxHeadBytes }, MaxConnections: maxConnections,
		}),
	}
	s.guard.Protect(s.http)
	return s
}

func (s *auxServer) serve(l net.Listener) error { return s.http.Serve(s.guard.Listen(l)) }
