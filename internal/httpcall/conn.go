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
)

var (
	errExtraBytes = eris.New("bytes arrived while no request was waiting")
	errTooLarge   = eris.New("response body is larger than the limit")
	errSkipped    = eris.New("too many responses that belong to no request")
)

// conn is one connection. Its read loop runs from the dial to the end, so that a close or stray bytes are noticed while
// the connection is idle. mu guards call and broken.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	maxIdle time.Duration // learned from the target; 0 for none
	idle    time.Time     // since when the connection is idle; owned by the pool
	onEnd   func(*conn)   // called when the connection ends while idle

	mu     sync.Mutex
	call   *pending
	broken error
}

// pending is a call that waits for its response.
type pending struct {
	call *Call
	done chan result
}

type result struct {
	resp     *Response
	keep     bool // the connection can serve another call
	err      error
	received bool // at least one byte of a response arrived
}

func newConn(c net.Conn, onEnd func(*conn)) *conn {
	out := &conn{net: c, reader: bufio.NewReaderSize(c, readBuffer), onEnd: onEnd}
	go out.readLoop()
	return out
}

// begin registers a call before it is written.
func (c *conn) begin(call *Call) (*pending, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return nil, c.broken
	}
	c.call = &pending{call: call, done: make(chan result, 1)}
	return c.call, nil
}

// close ends the connection. A pending call gets the error.
func (c *conn) close(cause error) {
	c.mu.Lock()
	if c.broken == nil {
		c.broken = cause
	}
	c.mu.Unlock()
	_ = c.net.Close() // the reason is known already
}

// take returns the pending call, if any.
func (c *conn) take() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.call
	c.call = nil
	return p
}

func (c *conn) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		p := c.take()
		if p == nil {
			if err == nil {
				err = errExtraBytes
			}
			c.close(err)
			c.onEnd(c)
			return
		}
		res := result{err: err}
		if err == nil {
			res = c.read(p.call)
		}
		if !res.keep {
			c.close(eris.New("connection is used up"))
		}
		p.done <- res
		if !res.keep {
			return
		}
	}
}

// read reads responses until one belongs to the call.
func (c *conn) read(call *Call) result {
	request := &http.Request{Method: http.MethodGet}
	if call.Bodiless {
		request.Method = http.MethodHead
	}
	skipped := 0
	for ; skipped <= maxSkipped; skipped++ {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return result{err: err, received: true}
		}
		body, err := readBody(resp)
		if err != nil {
			return result{err: err, received: true}
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response
		}
		if call.Owns != nil && !call.Owns(resp.Header) {
			if resp.Close {
				return result{err: io.ErrUnexpectedEOF, received: true}
			}
			continue
		}
		c.learn(resp.Header)
		out := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Closing: resp.Close}
		// After a stray response the connection is not trusted any further, and neither with bytes beyond the answer.
		keep := !resp.Close && skipped == 0 && c.reader.Buffered() == 0
		return result{resp: out, keep: keep, received: true}
	}
	return result{err: errSkipped, received: true}
}

// readBody reads the whole body. A body without a length ends with the connection: an orderly end completes it, a reset
// does not.
func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	return body, err
}

// learn takes the target's own idle limit from its Keep-Alive header.
func (c *conn) learn(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			c.maxIdle = time.Duration(float64(seconds) * idleShare * float64(time.Second))
			if seconds == 0 {
				c.maxIdle = time.Nanosecond
			}
		}
	}
}

// isRefused reports whether a dial failed because no process listens.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && strings.Contains(op.Err.Error(), "refused")
}
