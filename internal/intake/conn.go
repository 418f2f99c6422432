package intake

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// headSlackBytes is how much longer than the limit a head may be before it is refused unread. Whether a head that is complete exceeds
// the limit is decided by its handler, which knows what counts.
const headSlackBytes = 4 << 10

// headTooLarge is sent when a head exceeds the limit before it is complete.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, guard: l.guard, since: time.Now()}
		if l.guard.connections.Admit(c) {
			return c, nil
		}
		_ = accepted.Close() // the client may have closed it already
	}
}

// conn is a connection of a client of an HTTP server. It reserves memory for the head that is being read. mu guards the fields
// below it.
type conn struct {
	net.Conn
	guard *Guard

	mu       sync.Mutex
	account  *Account // of the current request; nil before its first byte, and with HTTP/2, where each request has its own
	handling bool     // a head has been read, and the connection does not wait for the next one yet
	size     headScan
	served   bool      // has had a complete request
	since    time.Time // when the connection last ended a request, or was opened
	closing  bool      // has given way; a request that is read now is not handled
}

// errCrowded ends the reading of a connection. net/http answers nothing after an error of this type.
var errCrowded = &net.OpError{Op: "read", Net: "tcp", Err: eris.New("the connection gave way to others")}

// guardedConn returns the connection that a listener of a Guard returned, or nil. A connection with TLS wraps it.
func guardedConn(c net.Conn) *conn {
	for {
		switch wrapped := c.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn. It fails, so that the server closes the connection, when there is no memory for the head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.receiveHead(p[:n]) {
		return 0, errCrowded
	}
	return n, err
}

// writeStep is the part of an answer that a client must take within Config.WriteTimeout.
const writeStep = 64 << 10

// Write implements net.Conn. It fails when the client takes nothing for Config.WriteTimeout.
func (c *conn) Write(p []byte) (written int, err error) {
	timeout := c.guard.cfg.WriteTimeout
	if timeout <= 0 {
		return c.Conn.Write(p)
	}
	for {
		step := p[written:min(written+writeStep, len(p))]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(step)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	var head *Account
	if !c.handling {
		head = c.account
	}
	c.closing = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if head != nil {
		head.Close()
	}
	c.guard.connections.Remove(c)
	return err
}

// receiveHead accounts for bytes that have been received. It reports false when the connection must be closed.
func (c *conn) receiveHead(received []byte) bool {
	c.mu.Lock()
	if c.handling {
		c.mu.Unlock()
		return true
	}
	if c.account == nil {
		c.account = c.guard.cfg.Budget.Open(c.stopReading)
	}
	head := c.account
	c.size.add(received)
	size := c.size
	c.mu.Unlock()
	if limit := c.guard.cfg.MaxHeadBytes(); limit > 0 && size.bytes > limit+headSlackBytes {
		_, _ = io.WriteString(c.Conn, headTooLarge) // the connection is closed in any case
		return false
	}
	return head.ReserveUpTo(headCost(size.bytes, size.lines)) == nil
}

// stopReading ends the reading of the current request: of its head by closing the connection, of its body so that it can be refused.
func (c *conn) stopReading() {
	c.mu.Lock()
	handling := c.handling
	c.mu.Unlock()
	if handling {
		_ = c.SetReadDeadline(longAgo) // an error means that the client has disconnected
		return
	}
	_ = c.Close() // the client may have closed it already
}

// Standing implements Client.
func (c *conn) Standing() Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Standing{Served: c.served, Since: c.since, Phase: Serving}
	switch {
	case c.account == nil && !c.handling:
		s.Phase = Awaiting
	case c.account != nil && c.account.isIncomplete():
		s.Phase = Reading
	}
	return s
}

// GiveWay implements Client.
func (c *conn) GiveWay() bool {
	c.mu.Lock()
	account := c.account
	if account == nil {
		c.closing = c.closing || !c.handling
	}
	closing := c.closing
	c.mu.Unlock()
	if !closing && (account == nil || !account.giveUp()) {
		return false
	}
	_ = c.Close() // the client may have closed it already
	return true
}

// beginRequest returns the account of a request whose head has been read, or nil for one of several at a time. It reports false when
// the connection has been closed.
func (c *conn) beginRequest(multiplexed bool) (*Account, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, false
	}
	c.handling, c.served = true, true
	switch {
	case multiplexed && c.account != nil:
		c.account.Close()
		c.account = nil
	case !multiplexed && c.account == nil: // the head was read with an earlier request
		c.account = c.guard.cfg.Budget.Open(c.stopReading)
	}
	return c.account, true
}

// awaitHead is called when the connection waits for the next request.
func (c *conn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account, c.handling, c.size, c.since = nil, false, headScan{}, time.Now()
}

// headScan counts the bytes and lines of a head up to its end.
type headScan struct {
	bytes, lines int
	lineBytes    int // of the current line, without its end
	ended        bool
}

// add counts what has been received next. What follows the head is not counted.
func (s *headScan) add(received []byte) {
	for _, b := range received {
		if s.ended {
			return
		}
		s.bytes++
		switch b {
		case '\n':
			s.ended = s.lineBytes == 0 && s.lines > 0
			s.lines++
			s.lineBytes = 0
		case '\r':
		default:
			s.lineBytes++
		}
	}
}
