package node

import (
	"net"
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/intake"
	"github.com/medlarshunt/medlarshunt/internal/peer"
)

const (
	// memoryLimitShare is the fraction of Config.MemoryLimitBytes that is set as the runtime's soft memory limit, near which it
	// collects garbage more often.
	memoryLimitShare = 0.7
	// requestMemoryShare is the fraction of the memory that requests at one HTTP listener may occupy while they are read and served,
	// connectionMemoryShare that of its connections beside that.
	requestMemoryShare    = 0.15
	connectionMemoryShare = 0.1
	// messageMemoryShare is the fraction of the memory that messages of other nodes may occupy, peerMemoryShare that of their
	// connections.
	messageMemoryShare = 0.2
	peerMemoryShare    = 0.15
	// messageConnectionShare is the fraction of the memory of messages that those of one connection may occupy. A node has a call at
	// another for each search that waits there.
	messageConnectionShare = 0.5
	// callerSocketShare, peerSocketShare and adminSocketShare are the fractions of the sockets of the process that the clients of each
	// listener may hold. The rest is for connections that the process opens.
	callerSocketShare = 0.5
	peerSocketShare   = 0.125
	adminSocketShare  = 0.05
	// answerTimeout bounds how long a client may take none of an answer.
	answerTimeout = 30 * time.Second
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = 64 << 10
)

// newHTTPServer returns a server for callers or administrators, and the guard that bounds what they occupy.
func newHTTPServer(cfg Config, handler http.Handler, socketShare float64) (*http.Server, *intake.Guard) {
	guard := intake.NewGuard(intake.Config{
		Budget:         intake.NewBudget(int64(requestMemoryShare*float64(cfg.MemoryLimitBytes)), time.Now),
		MaxHeadBytes:   func() int { return maxHeadBytes },
		MaxConnections: intake.ConnectionLimit(cfg.MaxFDs, cfg.MemoryLimitBytes, socketShare, connectionMemoryShare),
		WriteTimeout:   answerTimeout,
	})
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes}, guard
}

func newPeerServer(cfg Config, deps Deps, methods *peerMethods) *peer.Server {
	return peer.NewServer(deps.PeerListener, methods.handlers(), peer.ServerConfig{
		Panics: deps.Panics, MemoryBytes: int64(messageMemoryShare * float64(cfg.MemoryLimitBytes)), ConnectionShare: messageConnectionShare,
		MaxConnections: intake.ConnectionLimit(cfg.MaxFDs, cfg.MemoryLimitBytes, peerSocketShare, peerMemoryShare),
	})
}

// listen returns the listener of a server with a guard. wrap, which may be nil, wraps its connections in TLS.
func listen(guard *intake.Guard, l net.Listener, wrap func(net.Listener) net.Listener) net.Listener {
	l = guard.Listen(l)
	if wrap != nil {
		l = wrap(l)
	}
	return l
}
