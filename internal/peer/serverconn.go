package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

// serverConn is a connection of another node.
type serverConn struct {
	net.Conn
	memory      *incoming
	served      atomic.Bool  // has had a message
	lastMessage atomic.Int64 // Unix time in ns of the last message, or of the accept
	closeOnce   sync.Once
}

func newServerConn(accepted net.Conn, s *Server) *serverConn {
	c := &serverConn{Conn: accepted}
	c.lastMessage.Store(time.Now().UnixNano())
	c.memory = &incoming{
		budget: s.budget, limit: s.pending, closed: make(chan struct{}), room: make(chan struct{}, 1),
		close: func() { c.Close() }, shed: func(cost int) bool { return s.closeLargest(cost) },
	}
	return c
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.closeOnce.Do(func() { close(c.memory.closed) })
	return c.Conn.Close()
}

// closeLargest closes the connection whose messages occupy most, if that is more than cost, and reports whether there was one. The
// calls on it fail as on a lost connection.
func (s *Server) closeLargest(cost int) bool {
	s.mu.Lock()
	var largest *serverConn
	for conn := range s.conns {
		if held := conn.memory.pendingCost(); held > cost {
			largest, cost = conn, held
		}
	}
	s.mu.Unlock()
	if largest == nil {
		return false
	}
	_ = largest.Close() // the peer may have closed it already
	return true
}

// checkMessage checks a message and notes its arrival.
func (c *serverConn) checkMessage(message []byte) error {
	if err := checkRequest(message); err != nil {
		return err
	}
	c.served.Store(true)
	c.lastMessage.Store(time.Now().UnixNano())
	return nil
}

// Standing implements intake.Client.
func (c *serverConn) Standing() intake.Standing {
	return intake.Standing{Served: c.served.Load(), Since: time.Unix(0, c.lastMessage.Load())}
}

// GiveWay implements intake.Client. Calls in progress fail as on a lost connection, and the peer connects again.
func (c *serverConn) GiveWay() bool {
	_ = c.Close() // the peer may have closed it already
	return true
}
