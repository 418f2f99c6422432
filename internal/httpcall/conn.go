package httpcall

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

var (
	errUnexpectedBytes = eris.New("received bytes with no request pending")
	errUnidentified    = eris.New("response names no request on a connection where others did")
	errTooManySkipped  = eris.New("too many responses that match no request")
)

// conn is one connection. Its read loop runs from the dial until the connection closes, so that a close by the target
// or unexpected bytes are detected while the connection is idle. mu guards pending and closeErr.
type conn struct {
	netConn     net.Conn
	reader      *bufio.Reader
	maxIdle     time.Duration // derived from the target's Keep-Alive header; 0 for none
	identifies  bool          // the responses so far named their requests; owned by the read loop
	idleSince   time.Time     // start of the current idle period; owned by the pool
	onIdleClose func(*conn)   // called when the connection closes while idle
	panics      *panics.Handler

	mu       sync.Mutex
	pending  *pendingCall
	closeErr error // cause of the close; nil while the connection is open
}

// pendingCall is a call that waits for its response.
type pendingCall struct {
	call *Call
	done chan result
}

type result struct {
	resp     *Response
	reusable bool // the connection can serve another call
	err      error
	received bool // at least one byte of a response arrived
}

func newConn(c net.Conn, onIdleClose func(*conn), handler *panics.Handler) *conn {
	out := &conn{netConn: c, reader: bufio.NewReaderSize(c, readBufferBytes), onIdleClose: onIdleClose, panics: handler}
	go out.readLoop()
	return out
}

// startCall registers a call before it is written.
func (c *conn) startCall(call *Call) (*pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return nil, c.closeErr
	}
	c.pending = &pendingCall{call: call, done: make(chan result, 1)}
	return c.pending, nil
}

// close closes the connection. The first cause is kept; a pending call fails with a read error.
func (c *conn) close(cause error) {
	c.mu.Lock()
	if c.closeErr == nil {
		c.closeErr = cause
	}
	c.mu.Unlock()
	_ = c.netConn.Close() // the cause of the close is already recorded
}

// takePending removes and returns the pending call, if any.
func (c *conn) takePending() *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	c.pending = nil
	return p
}

func (c *conn) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		p := c.takePending()
		if p == nil {
			if err == nil {
				err = errUnexpectedBytes
			}
			c.close(err)
			c.onIdleClose(c)
			return
		}
		res := result{err: err}
		if err == nil {
			res = c.readContained(p.call)
		}
		if !res.reusable {
			c.close(eris.New("connection cannot be reused"))
		}
		p.done <- res
		if !res.reusable {
			return
		}
	}
}

// readContained reads the response. After a panic the call fails and the connection is closed.
func (c *conn) readContained(call *Call) (res result) {
	defer c.panics.Contain("response", nil, func() { res = result{err: errPanic, received: true} })
	return c.readResponse(call)
}

// readResponse reads responses until one belongs to the call. It skips interim responses and responses to other requests.
func (c *conn) readResponse(call *Call) result {
	request := &http.Request{Method: http.MethodGet}
	if call.NoResponseBody {
		request.Method = http.MethodHead
	}
	skipped := 0
	for ; skipped <= maxSkippedResponses; skipped++ {
		resp, err := c.readHead(request)
		if err != nil {
			return result{err: err, received: true}
		}
		body, err := c.readBody(resp, call)
		if err != nil {
			return result{err: err, received: true}
		}
		if resp.StatusCode < http.StatusOK {
			continue // 1xx: an interim response
		}
		match := Own
		if call.MatchResponse != nil {
			match = call.MatchResponse(resp.Header)
		}
		switch {
		case match == Foreign && resp.Close:
			return result{err: io.ErrUnexpectedEOF, received: true}
		case match == Foreign:
			continue
		case match == Unidentified && c.identifies:
			return result{err: errUnidentified, received: true}
		}
		c.identifies = match == Own
		c.updateMaxIdle(resp.Header)
		out := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Closing: resp.Close}
		// A connection is not reused after a skipped response, or with bytes left after this one.
		reusable := !resp.Close && skipped == 0 && c.reader.Buffered() == 0
		return result{resp: out, reusable: reusable, received: true}
	}
	return result{err: errTooManySkipped, received: true}
}

// updateMaxIdle derives the idle limit of the connection from the timeout that the target announces in Keep-Alive.
func (c *conn) updateMaxIdle(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			c.maxIdle = time.Duration(float64(seconds) * idleLimitFraction * float64(time.Second))
			if seconds == 0 {
				c.maxIdle = time.Nanosecond
			}
		}
	}
}

// isConnectionRefused reports whether a dial failed because no process listens at the address.
func isConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && strings.Contains(op.Err.Error(), "refused")
}
