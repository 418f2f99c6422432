package target

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// pool owns the connections of a client. mu guards the fields below it. The state hook of net/http runs inside calls
// of net/http, so it must not lock mu; it only calls the notifier, which has its own lock.
type pool struct {
	cfg      Config
	metrics  *clientMetrics
	notifier *notifier

	mu         sync.Mutex
	conns      []*connection
	opening    int // connections being opened
	calls      int // calls in flight
	closed     bool
	openErr    error         // error of the last open; nil after a success
	backoff    time.Duration // after the last failed open
	nextOpenAt time.Time
}

func newPool(cfg Config, m *clientMetrics) *pool {
	return &pool{cfg: cfg, metrics: m, notifier: &notifier{}}
}

// acquire finds a connection with a free stream. It opens a connection only when none can take the call, one at a time
// and never above MaxConnections. It does not wait for a target that refuses connections or is unresponsive.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if conn, err := p.tryAcquire(); conn != nil || err != nil {
		return conn, err
	}
	for {
		wake := p.notifier.wait()
		conn, err := p.tryAcquire()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a connection, an error, or neither when the caller has to wait for a change.
func (p *pool) tryAcquire() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	p.removeClosed()
	unresponsive := 0
	for _, c := range p.connectionsByLoad() {
		if c.unresponsive() {
			unresponsive++
			continue
		}
		if c.tryBeginCall() {
			p.calls++
			return c, nil
		}
	}
	// A further connection to a frozen target would get no response either, and the target would have to accept it
	// when it resumes.
	if unresponsive > 0 {
		if unresponsive == len(p.conns) {
			return nil, ErrUnresponsive
		}
		return nil, nil
	}
	if p.opening > 0 || len(p.conns) >= p.cfg.MaxConnections {
		return nil, nil
	}
	if time.Now().Before(p.nextOpenAt) {
		if len(p.conns) == 0 {
			return nil, p.openErr
		}
		return nil, nil
	}
	p.opening++
	go p.open()
	return nil, nil
}

// connectionsByLoad returns the connections in ascending order of their calls in flight.
func (p *pool) connectionsByLoad() []*connection {
	if len(p.conns) < 2 {
		return p.conns
	}
	type connectionLoad struct {
		c *connection
		n int
	}
	list := make([]connectionLoad, len(p.conns))
	for i, c := range p.conns {
		list[i] = connectionLoad{c, c.http.InFlight()}
	}
	slices.SortStableFunc(list, func(a, b connectionLoad) int { return a.n - b.n })
	out := make([]*connection, len(list))
	for i, l := range list {
		out[i] = l.c
	}
	return out
}

// removeClosed removes connections that have ended, and closes and removes those that are drained after a GOAWAY.
func (p *pool) removeClosed() {
	p.conns = slices.DeleteFunc(p.conns, func(c *connection) bool {
		if c.http.Err() != nil {
			return true
		}
		if c.isDrained() {
			c.close()
			return true
		}
		return false
	})
}

func (p *pool) open() {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.OpenTimeout)
	defer cancel()
	conn, err := openConnection(ctx, p.cfg, p.metrics, p.notifier)
	p.mu.Lock()
	p.opening--
	switch {
	case err != nil:
		p.openErr = eris.Wrap(err, "open connection")
		p.backoff = min(max(2*p.backoff, p.cfg.RedialMin), p.cfg.RedialMax)
		p.nextOpenAt = time.Now().Add(p.backoff)
		p.metrics.openFailures.Inc()
	case p.closed:
		defer conn.close()
	default:
		p.openErr, p.backoff = nil, 0
		p.conns = append(p.conns, conn)
		p.metrics.opened.Inc()
	}
	p.mu.Unlock()
	p.notifier.notify()
}

// release ends the use of a connection by one call.
func (p *pool) release(c *connection) {
	c.endCall()
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
	p.notifier.notify()
}

// count returns the number of connections that are open or being opened.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeClosed()
	return len(p.conns) + p.opening
}

// close refuses new calls, waits for the calls in flight until ctx ends and closes the connections.
func (p *pool) close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.notifier.notify()
	err := p.drain(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.close()
	}
	p.conns = nil
	return err
}

func (p *pool) drain(ctx context.Context) error {
	for {
		wake := p.notifier.wait()
		p.mu.Lock()
		calls := p.calls
		p.mu.Unlock()
		if calls == 0 {
			return nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return &Error{Kind: FailureTimeout, Outcome: api.OutcomeUnknown, Err: errors.Join(ctx.Err(), eris.Errorf("closed with %d calls in flight", calls))}
		}
	}
}

// notifier wakes all waiters at each change. mu guards changed, which is closed at the next change and nil while nobody waits.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
