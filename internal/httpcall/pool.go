package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config holds the settings of a Pool.
type Config struct {
	Address     string
	Connections int // largest number of connections, idle ones included
	DialTimeout time.Duration
	MaxIdle     time.Duration
	Dial        DialFunc // nil dials TCP
	// Connected is told how long the set-up of a connection took; nil is allowed.
	Connected func(time.Duration)
}

// Pool owns the connections to one target. A call holds one connection until its response is complete; calls beyond the
// limit wait in the order of their deadlines. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	gate *targetqueue.Gate

	mu     sync.Mutex // guards idle and closed
	idle   []*conn    // the longest idle first
	closed bool
}

var (
	errClosed = eris.New("the pool is closed")
	errGiveUp = eris.New("the caller gave up")
	errIdle   = eris.New("idle for too long")
)

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = DefaultMaxIdle
	}
	if c.Dial == nil {
		d := net.Dialer{KeepAlive: -1}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Pool{cfg: c, gate: targetqueue.NewGate(c.Connections, time.Now)}
}

// SetConnections changes the limit. Calls in flight above it keep their connections.
func (p *Pool) SetConnections(n int) { p.gate.SetSlots(n) }

// Do sends the call and waits for its response. beforeWrite is called at the last moment before the first byte is
// written; when it returns an error, nothing is written. Errors are *Error.
func (p *Pool) Do(ctx context.Context, call *Call, beforeWrite func() error) (*Response, error) {
	release, err := p.acquire(ctx, call.Priority)
	if err != nil {
		return nil, notWritten(ctx, KindBusy, err)
	}
	defer release()
	for {
		c, err := p.connection(ctx, call.MaxIdle)
		if err != nil {
			return nil, notWritten(ctx, KindUnreachable, err)
		}
		pending, err := c.begin(call)
		if err != nil {
			continue // the target closed the idle connection; nothing was written on it
		}
		if err := beforeWrite(); err != nil {
			c.close(err)
			return nil, &Error{Kind: KindCancelled, Err: err}
		}
		return p.exchange(ctx, c, pending)
	}
}

// noDeadline is the time that a call without a deadline may wait for a connection.
const noDeadline = time.Minute

// acquire waits for the right to hold one connection.
func (p *Pool) acquire(ctx context.Context, priority int) (release func(), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(noDeadline)
	}
	return p.gate.Acquire(ctx, targetqueue.Request{Deadline: deadline, Priority: priority})
}

func notWritten(ctx context.Context, kind ErrorKind, err error) *Error {
	if ctx.Err() != nil {
		kind = KindCancelled
	}
	return &Error{Kind: kind, Refused: isRefused(err), Err: err}
}

// connection returns an idle connection that is young enough, or opens one.
func (p *Pool) connection(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errClosed
	}
	var found *conn
	var stale []*conn
	for len(p.idle) > 0 && found == nil {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if p.usable(c, maxIdle, now) {
			found = c
		} else {
			stale = append(stale, c)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close(errIdle)
	}
	if found != nil {
		return found, nil
	}
	return p.dial(ctx)
}

// Refuses opens a connection and reports whether the address refuses it: no process listens there. A connection that could
// be opened is kept.
func (p *Pool) Refuses(ctx context.Context) bool {
	release, err := p.acquire(ctx, 0)
	if err != nil {
		return false // calls hold all connections, so some process answers or none can tell
	}
	defer release()
	c, err := p.dial(ctx)
	if err != nil {
		return isRefused(err)
	}
	p.put(c)
	return false
}

// usable reports whether an idle connection may serve another call.
func (p *Pool) usable(c *conn, maxIdle time.Duration, now time.Time) bool {
	limit := p.cfg.MaxIdle
	if c.maxIdle > 0 {
		limit = min(limit, c.maxIdle)
	}
	if maxIdle != 0 {
		limit = min(limit, maxIdle)
	}
	return now.Sub(c.idle) < limit
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	started := time.Now()
	raw, err := p.cfg.Dial(ctx, p.cfg.Address)
	if err != nil {
		return nil, err
	}
	if p.cfg.Connected != nil {
		p.cfg.Connected(time.Since(started))
	}
	return newConn(raw, p.drop), nil
}

// exchange writes the call and waits for the response.
func (p *Pool) exchange(ctx context.Context, c *conn, pending *pending) (*Response, error) {
	if err := write(ctx, c, pending.call); err != nil {
		c.close(err)
		return nil, &Error{Kind: ended(ctx), Written: true, Err: err}
	}
	select {
	case res := <-pending.done:
		return p.finish(c, res)
	case <-ctx.Done():
		c.close(errGiveUp)
		return nil, &Error{Kind: KindCancelled, Written: true, Err: context.Cause(ctx)}
	}
}

func ended(ctx context.Context) ErrorKind {
	if ctx.Err() != nil {
		return KindCancelled
	}
	return KindLost
}

// write sends the request in one piece where it fits.
func write(ctx context.Context, c *conn, call *Call) error {
	deadline, _ := ctx.Deadline()
	if err := c.net.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if len(call.Body) == 0 {
		_, err := c.net.Write(call.Head)
		return err
	}
	stop := context.AfterFunc(ctx, func() { c.close(errGiveUp) })
	defer stop()
	buffers := net.Buffers{call.Head, call.Body}
	_, err := buffers.WriteTo(c.net)
	return err
}

func (p *Pool) finish(c *conn, res result) (*Response, error) {
	if res.err != nil {
		c.close(res.err)
		return nil, &Error{Kind: kindOf(res), Written: true, Err: res.err}
	}
	if res.keep {
		p.put(c)
	}
	return res.resp, nil
}

// kindOf tells a lost connection from bytes that are no response.
func kindOf(res result) ErrorKind {
	var op *net.OpError
	switch {
	case errors.Is(res.err, io.EOF), errors.Is(res.err, io.ErrUnexpectedEOF), errors.As(res.err, &op),
		errors.Is(res.err, syscall.ECONNRESET):
		return KindLost
	default:
		return KindMalformed
	}
}

// put keeps a connection for the next call.
func (p *Pool) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		c.close(errClosed)
		return
	}
	c.mu.Lock()
	broken := c.broken != nil
	c.mu.Unlock()
	if broken {
		p.drop(c)
	}
}

// drop forgets an idle connection that ended.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, have := range p.idle {
		if have == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// Trim closes connections that have been idle for too long and reports whether the pool is empty. The owner calls it
// about once a second.
func (p *Pool) Trim(now time.Time) (empty bool) {
	p.mu.Lock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.usable(c, 0, now) {
			kept = append(kept, c)
		} else {
			stale = append(stale, c)
		}
	}
	p.idle = kept
	inFlight, waiting := p.gate.Counts()
	empty = len(kept)+inFlight+waiting == 0
	p.mu.Unlock()
	for _, c := range stale {
		c.close(errIdle)
	}
	return empty
}

// Close closes the idle connections; those in use end with their calls.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(errClosed)
	}
}
