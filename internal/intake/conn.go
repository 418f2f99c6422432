package intake

import (
	"io"
	"net"
	"sync"

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

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guard: l.guard}, nil
}

// conn is a connection of a client of an HTTP server. It reserves memory for the head that is being read. mu guards the fields
// below it.
type conn struct {
	net.Conn
	guard *Guard

	mu      sync.Mutex
	serving bool     // a request is served, or its body is read
	head    *Account // of the head that is being read; nil before its first byte and while a request is served
	size    headScan
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

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	head := c.head
	c.mu.Unlock()
	err := c.Conn.Close()
	if head != nil {
		head.Close()
	}
	return err
}

// receiveHead accounts for bytes that have been received. It reports false when the connection must be closed.
func (c *conn) receiveHead(received []byte) bool {
	c.mu.Lock()
	if c.serving {
		c.mu.Unlock()
		return true
	}
	if c.head == nil {
		c.head = c.guard.cfg.Budget.Open(c.giveWay)
	}
	head := c.head
	c.size.add(received)
	size := c.size
	c.mu.Unlock()
	if limit := c.guard.cfg.MaxHeadBytes(); limit > 0 && size.bytes > limit+headSlackBytes {
		_, _ = io.WriteString(c.Conn, headTooLarge) // the connection is closed in any case
		return false
	}
	return head.ReserveUpTo(headCost(size.bytes, size.lines)) == nil
}

// giveWay ends the reading of the current request: of its head by closing the connection, of its body so that it can be refused.
func (c *conn) giveWay() {
	c.mu.Lock()
	serving := c.serving
	c.mu.Unlock()
	if serving {
		_ = c.SetReadDeadline(longAgo) // an error means that the client has disconnected
		return
	}
	_ = c.Close() // the client may have closed it already
}

// beginRequest returns the account of the head that has been read; nil if nothing was read for it, because requests were pipelined.
func (c *conn) beginRequest() *Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	account := c.head
	c.serving, c.head, c.size = true, nil, headScan{}
	return account
}

// awaitHead is called when the connection waits for the next request.
func (c *conn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
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
