package demo

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
)

// errKilled is the error of a dial or accept by a node that was killed.
var errKilled = eris.New("node was killed")

// dialFunc opens a TCP connection.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// sockets tracks the listeners and connections of one node, so that a kill closes them all at once, as the end of a process
// does.
type sockets struct {
	network *netsim.Network

	mu        sync.Mutex // guards the fields below
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
	return &trackedListener{Listener: l, sockets: s}, nil
}

// dialer wraps a dial function so that its connections are tracked.
func (s *sockets) dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return s.track(raw)
	}
}

// track adds a connection, or closes it and returns errKilled if the node was killed.
func (s *sockets) track(raw net.Conn) (net.Conn, error) {
	c := &trackedConn{Conn: raw, sockets: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		_ = raw.Close()
		return nil, errKilled
	}
	s.conns[c] = struct{}{}
	return c, nil
}

// kill closes all listeners and connections and makes later dials and accepts fail.
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

// trackedListener adds the connections that it accepts to its sockets.
type trackedListener struct {
	net.Listener
	sockets *sockets
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.track(raw)
}

// trackedConn removes itself from its sockets when it is closed.
type trackedConn struct {
	net.Conn
	sockets *sockets
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.sockets.mu.Lock()
	delete(c.sockets.conns, c)
	c.sockets.mu.Unlock()
	return c.Conn.Close()
}
