package demo

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
)

// errKilled is the error of a dial by a node that was killed.
var errKilled = eris.New("node was killed")

// dialFunc opens a TCP connection.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// sockets owns the listeners and connections of one node, so that a kill ends them all at once as the end of a process
// does. mu guards the fields below it.
type sockets struct {
	network *netsim.Network

	mu        sync.Mutex
	killed    bool
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

func newSockets(n *netsim.Network) *sockets {
	return &sockets{network: n, conns: map[net.Conn]struct{}{}}
}

// listen opens a listener on a free port of the loopback interface.
func (s *sockets) listen() (net.Listener, error) {
	l, err := s.network.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return &ownedListener{Listener: l, sockets: s}, nil
}

// dialer wraps a dial function.
func (s *sockets) dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return s.own(raw)
	}
}

// own takes a connection, or closes it when the node was killed.
func (s *sockets) own(raw net.Conn) (net.Conn, error) {
	c := &ownedConn{Conn: raw, sockets: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		_ = raw.Close()
		return nil, errKilled
	}
	s.conns[c] = struct{}{}
	return c, nil
}

// kill closes everything and makes later dials fail.
func (s *sockets) kill() {
	s.mu.Lock()
	s.killed = true
	listeners, conns := s.listeners, s.conns
	s.listeners, s.conns = nil, map[net.Conn]struct{}{}
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Close()
	}
}

// ownedListener passes accepted connections to their sockets.
type ownedListener struct {
	net.Listener
	sockets *sockets
}

// Accept implements net.Listener.
func (l *ownedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.own(raw)
}

// ownedConn leaves its sockets when it is closed.
type ownedConn struct {
	net.Conn
	sockets *sockets
}

// Close implements net.Conn.
func (c *ownedConn) Close() error {
	c.sockets.mu.Lock()
	delete(c.sockets.conns, c)
	c.sockets.mu.Unlock()
	return c.Conn.Close()
}
