package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/rotisserie/eris"
)

const (
	// dialTimeout limits the setup of a connection; regions are at most tens of milliseconds apart.
	dialTimeout = 500 * time.Millisecond
	// pingInterval is the time between pings while calls with FailWhenSilent are outstanding.
	pingInterval = 50 * time.Millisecond
	// silenceTimeout is the time without any message after which a peer counts as lost for calls that may be retried at another
	// peer. It is three ping intervals, so that one delayed answer does not cause a second run of the work.
	silenceTimeout = 150 * time.Millisecond
	// redialBackoff is the time after a failed dial in which calls to that address fail at once instead of dialling again.
	redialBackoff = 200 * time.Millisecond
)

var (
	errSilent        = eris.New("peer is silent while calls are outstanding")
	errClosed        = eris.New("peer pool is closed")
	errRedialBackoff = eris.New("dial failed a moment ago")
)

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool holds one connection per peer address.
type Pool struct {
	dial    DialFunc
	metrics *poolMetrics
	done    chan struct{} // closed by Close
	pingers sync.WaitGroup

	mu     sync.Mutex // guards conns and closed
	conns  map[string]*peerConn
	closed bool
}

// peerConn is the connection to one peer. dialMu serialises dialling; mu guards client, lastDialFailure, waiters and
// isPinging.
type peerConn struct {
	address string
	dialMu  sync.Mutex

	mu              sync.Mutex
	client          *jrpc2.Client
	openedAt        time.Time // when client was connected
	lastDialFailure time.Time
	waiters         map[*silenceWaiter]struct{}
	isPinging       bool

	lastRecv atomic.Int64 // monotonic nanoseconds since processStart
}

// silenceWaiter is a call in progress that fails when the peer falls silent.
type silenceWaiter struct{ cancel context.CancelCauseFunc }

// processStart is the origin of the times in lastRecv.
var processStart = time.Now()

// NewPool returns a pool that opens connections with dial; nil means plain TCP. A nil set keeps the metrics to the pool.
func NewPool(dial DialFunc, set *metrics.Set) *Pool {
	if dial == nil {
		var d net.Dialer
		dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if set == nil {
		set = metrics.NewSet()
	}
	p := &Pool{dial: dial, done: make(chan struct{}), conns: map[string]*peerConn{}}
	p.metrics = newPoolMetrics(set, p)
	return p
}

// CallOption modifies a single call.
type CallOption int

// FailWhenSilent makes a call fail with FailureLost when the peer sends nothing for silenceTimeout. It is for calls that may
// be retried at another peer; a command must not use it, because its outcome would become unknown without need.
const FailWhenSilent CallOption = 1

// Call sends one request and decodes its result. Errors are *Error.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any, opts ...CallOption) error {
	pc, err := p.connTo(address)
	if err != nil {
		return &Error{Kind: FailureNotSent, Method: method, Err: err}
	}
	client, err := pc.connect(ctx, p)
	if err != nil {
		return &Error{Kind: FailureNotSent, Method: method, Err: err}
	}
	callCtx, began := ctx, time.Since(processStart)
	if len(opts) > 0 && opts[0] == FailWhenSilent {
		var done func()
		callCtx, done = pc.withSilenceTimeout(ctx, p, client)
		defer done()
	}
	err = client.CallResult(callCtx, method, params, result)
	if err == nil {
		return nil
	}
	failed := &Error{Kind: pc.classifyFailure(ctx, callCtx, client, err), Method: method, Err: err}
	failed.OpenFor, failed.SilentFor = pc.ages()
	if failed.Kind != FailureRemote && time.Duration(pc.lastRecv.Load()) < began {
		p.metrics.unanswered.Inc()
	}
	return failed
}

// ages returns how long the connection has been open and how long ago the peer last sent a message on it.
func (pc *peerConn) ages() (openFor, silentFor time.Duration) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return time.Since(pc.openedAt), time.Since(processStart) - time.Duration(pc.lastRecv.Load())
}

// openConnections returns the number of connections that have not ended.
func (p *Pool) openConnections() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pc := range p.conns {
		pc.mu.Lock()
		if pc.client != nil && !pc.client.IsStopped() {
			n++
		}
		pc.mu.Unlock()
	}
	return n
}

func (p *Pool) connTo(address string) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	pc := p.conns[address]
	if pc == nil {
		pc = &peerConn{address: address, waiters: map[*silenceWaiter]struct{}{}}
		p.conns[address] = pc
	}
	return pc, nil
}

// Close closes all connections; calls in flight fail.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	conns := p.conns
	p.conns = map[string]*peerConn{}
	p.mu.Unlock()
	for _, pc := range conns {
		pc.mu.Lock()
		c := pc.client
		pc.mu.Unlock()
		if c != nil {
			c.Close()
		}
	}
	p.pingers.Wait()
}

// connect returns the open client or dials. Only one dial runs at a time per peer.
func (pc *peerConn) connect(ctx context.Context, p *Pool) (*jrpc2.Client, error) {
	if c, err := pc.currentClient(); c != nil || err != nil {
		return c, err
	}
	pc.dialMu.Lock()
	defer pc.dialMu.Unlock()
	if c, err := pc.currentClient(); c != nil || err != nil {
		return c, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(dialCtx, pc.address)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			pc.lastDialFailure = time.Now()
		}
		return nil, eris.Wrapf(err, "dial peer %s", pc.address)
	}
	p.metrics.opened.Inc()
	pc.lastDialFailure, pc.openedAt = time.Time{}, time.Now()
	pc.lastRecv.Store(int64(time.Since(processStart)))
	pc.client = jrpc2.NewClient(&recvTimeChannel{Channel: newLineChannel(conn, writeTimeoutConn{conn}, acceptAll), lastRecv: &pc.lastRecv}, &jrpc2.ClientOptions{
		OnCancel: func(cli *jrpc2.Client, rsp *jrpc2.Response) {
			go cli.Notify(context.Background(), methodCancel, cancelParams{ID: rsp.ID()})
		},
	})
	return pc.client, nil
}

// currentClient returns the open client, nil if there is none, or an error while dialling is suspended after a failure.
func (pc *peerConn) currentClient() (*jrpc2.Client, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.client != nil && !pc.client.IsStopped() {
		return pc.client, nil
	}
	if !pc.lastDialFailure.IsZero() && time.Since(pc.lastDialFailure) < redialBackoff {
		return nil, errRedialBackoff
	}
	return nil, nil
}

// classifyFailure returns the kind of a failed call. callCtx is the context of the call, ctx that of its caller.
func (pc *peerConn) classifyFailure(ctx, callCtx context.Context, client *jrpc2.Client, err error) FailureKind {
	switch {
	case context.Cause(callCtx) == errSilent:
		return FailureLost
	case ctx.Err() != nil:
		return FailureTimeout
	case client.IsStopped():
		return FailureLost
	default:
		var remote *jrpc2.Error
		if eris.As(err, &remote) {
			return FailureRemote
		}
		return FailureLost
	}
}

// withSilenceTimeout returns a context that ends with errSilent when the peer falls silent, and a function that releases it.
func (pc *peerConn) withSilenceTimeout(ctx context.Context, p *Pool, client *jrpc2.Client) (context.Context, func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	w := &silenceWaiter{cancel: cancel}
	pc.mu.Lock()
	if len(pc.waiters) == 0 {
		pc.lastRecv.Store(int64(time.Since(processStart)))
	}
	pc.waiters[w] = struct{}{}
	if !pc.isPinging {
		pc.isPinging = true
		p.pingers.Go(func() { pc.pingLoop(client, p.done) })
	}
	pc.mu.Unlock()
	return callCtx, func() {
		pc.mu.Lock()
		delete(pc.waiters, w)
		pc.mu.Unlock()
		cancel(nil)
	}
}

// pingLoop pings while calls are waiting and fails them all when the peer is silent.
func (pc *peerConn) pingLoop(client *jrpc2.Client, done <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		now := time.Now()
		paused := now.Sub(lastTick) > 2*pingInterval
		lastTick = now
		pc.mu.Lock()
		if len(pc.waiters) == 0 || client != pc.client || client.IsStopped() {
			pc.isPinging = false
			pc.mu.Unlock()
			return
		}
		if paused {
			// This process itself did not run, so the silence says nothing about the peer.
			pc.lastRecv.Store(int64(time.Since(processStart)))
		}
		if time.Since(processStart)-time.Duration(pc.lastRecv.Load()) > silenceTimeout {
			for w := range pc.waiters {
				w.cancel(errSilent)
			}
		}
		pc.mu.Unlock()
		go func() {
			pingCtx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
			defer cancel()
			_, _ = client.Call(pingCtx, methodPing, nil) // recvTimeChannel records the time of the answer
		}()
	}
}

// recvTimeChannel stores in lastRecv when a message was last received.
type recvTimeChannel struct {
	channel.Channel
	lastRecv *atomic.Int64
}

// Recv implements channel.Channel.
func (r *recvTimeChannel) Recv() ([]byte, error) {
	msg, err := r.Channel.Recv()
	if err == nil {
		r.lastRecv.Store(int64(time.Since(processStart)))
	}
	return msg, err
}
