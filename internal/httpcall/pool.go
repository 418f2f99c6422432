package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/memlimit"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config holds the settings of a Pool.
type Config struct {
	Address        string
	MaxConnections int // largest number of connections, idle ones included
	DialTimeout    time.Duration
	MaxIdle        time.Duration
	Dial           DialFunc // nil dials TCP
	// OnDial is called with the duration of each successful dial; it may be nil.
	OnDial func(time.Duration)
	// Panics contains panics while responses are read; nil contains none.
	Panics *panics.Handler
}

// Pool owns the connections to one target. A call holds one connection until its response is complete; calls beyond the
// limit wait in the order of their deadlines. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	gate *targetqueue.Gate

	mu     panics.Mutex // guards idle and closed
	idle   []*conn      // ordered by idle time, longest first
	closed bool
}

var (
	errPoolClosed  = eris.New("pool is closed")
	errContextDone = eris.New("call context is done")
	errIdleLimit   = eris.New("idle limit exceeded")
	errPanic       = eris.New("panic during the call")
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
	return &Pool{cfg: c, gate: targetqueue.NewGate(c.MaxConnections, time.Now)}
}

// SetMaxConnections changes the limit. Calls in flight above it keep their connections.
func (p *Pool) SetMaxConnections(n int) { p.gate.SetSlots(n) }

// Do sends the call and waits for its response. beforeWrite is called immediately before the first byte is written;
// if it returns an error, nothing is written. Errors are *Error.
func (p *Pool) Do(ctx context.Context, call *Call, beforeWrite func() error) (*Response, error) {
	release, err := p.acquire(ctx, call.Priority)
	if err != nil {
		return nil, notWrittenError(ctx, KindBusy, err)
	}
	defer release()
	for {
		c, err := p.getConn(ctx, call.MaxIdle)
		if err != nil {
			return nil, notWrittenError(ctx, KindUnreachable, err)
		}
		pending, err := c.startCall(call)
		if err != nil {
			continue // the target closed the idle connection; nothing was written on it
		}
		return p.send(ctx, c, pending, beforeWrite)
	}
}

// send writes a registered call, unless beforeWrite returns an error, and waits for its response.
func (p *Pool) send(ctx context.Context, c *conn, pending *pendingCall, beforeWrite func() error) (*Response, error) {
	returned := false
	defer func() {
		if !returned { // a panic: the state of the connection is unknown
			c.close(errPanic)
		}
	}()
	var resp *Response
	err := beforeWrite()
	if err != nil {
		c.close(err)
		err = &Error{Kind: KindCancelled, Err: err}
	} else {
		resp, err = p.exchange(ctx, c, pending)
	}
	returned = true
	return resp, err
}

// defaultAcquireTimeout bounds the wait for a connection when a call has no deadline.
const defaultAcquireTimeout = time.Minute

// acquire waits until the call may hold one of the limited connections.
func (p *Pool) acquire(ctx context.Context, priority int) (release func(), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultAcquireTimeout)
	}
	return p.gate.Acquire(ctx, targetqueue.Request{Deadline: deadline, Priority: priority})
}

func notWrittenError(ctx context.Context, kind ErrorKind, err error) *Error {
	if ctx.Err() != nil {
		kind = KindCancelled
	}
	return &Error{Kind: kind, Refused: isConnectionRefused(err), Err: err}
}

// getConn returns an idle connection that is within its idle limits, or opens one. It closes those beyond their limits.
func (p *Pool) getConn(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	var found *conn
	var stale []*conn
	for len(p.idle) > 0 && found == nil {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if p.isReusable(c, maxIdle, now) {
			found = c
		} else {
			stale = append(stale, c)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close(errIdleLimit)
	}
	if found != nil {
		return found, nil
	}
	return p.dial(ctx)
}

// RefusesConnections dials the target and reports whether the address refuses the connection because no process listens
// there. A connection that opens is kept for later calls.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	release, err := p.acquire(ctx, 0)
	if err != nil {
		return false // calls hold all connections, so either a process serves them or the state is unknown
	}
	defer release()
	c, err := p.dial(ctx)
	if err != nil {
		return isConnectionRefused(err)
	}
	p.putIdle(c)
	return false
}

// isReusable reports whether an idle connection is within its idle limits and may serve another call.
func (p *Pool) isReusable(c *conn, maxIdle time.Duration, now time.Time) bool {
	limit := p.cfg.MaxIdle
	if c.maxIdle > 0 {
		limit = min(limit, c.maxIdle)
	}
	if maxIdle != 0 {
		limit = min(limit, maxIdle)
	}
	return now.Sub(c.idleSince) < limit
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	started := time.Now()
	netConn, err := p.cfg.Dial(ctx, p.cfg.Address)
	if err != nil {
		return nil, err
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(time.Since(started))
	}
	return newConn(netConn, p.removeIdle, p.cfg.Panics), nil
}

// exchange writes the call and waits for the response.
func (p *Pool) exchange(ctx context.Context, c *conn, pending *pendingCall) (*Response, error) {
	if err := writeCall(ctx, c, pending.call); err != nil {
		c.close(err)
		return nil, &Error{Kind: writeErrorKind(ctx), Written: true, Err: err}
	}
	select {
	case res := <-pending.done:
		return p.finishCall(c, res)
	case <-ctx.Done():
		c.close(errContextDone)
		return nil, &Error{Kind: KindCancelled, Written: true, Err: context.Cause(ctx)}
	}
}

func writeErrorKind(ctx context.Context) ErrorKind {
	if ctx.Err() != nil {
		return KindCancelled
	}
	return KindLost
}

// writeCall sends head and body together, in one packet where they fit.
func writeCall(ctx context.Context, c *conn, call *Call) error {
	deadline, _ := ctx.Deadline()
	if err := c.netConn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if len(call.Body) == 0 {
		_, err := c.netConn.Write(call.RequestHead)
		return err
	}
	stop := context.AfterFunc(ctx, func() { c.close(errContextDone) })
	defer stop()
	buffers := net.Buffers{call.RequestHead, call.Body}
	_, err := buffers.WriteTo(c.netConn)
	return err
}

func (p *Pool) finishCall(c *conn, res result) (*Response, error) {
	if res.err != nil {
		c.close(res.err)
		return nil, &Error{Kind: readErrorKind(res), Written: true, Err: res.err}
	}
	if res.reusable {
		p.putIdle(c)
	}
	return res.resp, nil
}

// readErrorKind distinguishes a lost connection from bytes that are not a valid response.
func readErrorKind(res result) ErrorKind {
	var op *net.OpError
	switch {
	case errors.Is(res.err, errHeadTooLarge), errors.Is(res.err, errTrailerTooLarge), errors.Is(res.err, errBodyTooLarge):
		return KindTooLarge
	case errors.Is(res.err, memlimit.ErrExhausted):
		return KindNoMemory
	case errors.Is(res.err, io.EOF), errors.Is(res.err, io.ErrUnexpectedEOF), errors.As(res.err, &op),
		errors.Is(res.err, syscall.ECONNRESET):
		return KindLost
	default:
		return KindMalformed
	}
}

// putIdle keeps a connection for the next call.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		c.close(errPoolClosed)
		return
	}
	c.mu.Lock()
	connClosed := c.closeErr != nil
	c.mu.Unlock()
	if connClosed {
		p.removeIdle(c)
	}
}

// removeIdle removes a connection that closed while it was idle.
func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, idle := range p.idle {
		if idle == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// CloseExpired closes connections beyond their idle limit and reports whether the pool has neither connections nor calls
// left. The owner calls it about once a second.
func (p *Pool) CloseExpired(now time.Time) (empty bool) {
	p.mu.Lock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.isReusable(c, 0, now) {
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
		c.close(errIdleLimit)
	}
	return empty
}

// Close closes the idle connections; those in use close when their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(errPoolClosed)
	}
}
