package node

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns closes the connections of an HTTP server on which no request has been sent yet when the server shuts down.
// net/http keeps such connections open for 5 seconds, which can be longer than the rest of the grace period; HTTP
// clients open spare connections on their own. mu guards the other fields.
type unusedConns struct {
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closing bool
}

// closeUnusedAtShutdown makes a server that has not been started close its unused connections at shutdown.
func closeUnusedAtShutdown(server *http.Server) {
	u := &unusedConns{conns: map[net.Conn]struct{}{}}
	server.ConnState = u.trackState
	server.RegisterOnShutdown(u.close)
}

// trackState is the ConnState hook of the server.
func (u *unusedConns) trackState(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.conns, c)
	case u.closing:
		_ = c.Close()
	default:
		u.conns[c] = struct{}{}
	}
}

func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closing = true
	for c := range u.conns {
		_ = c.Close()
	}
}
