package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/creachadair/jrpc2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// dialTimeout limits the setup of a connection; regions are at most tens of milliseconds apart.
	dialTimeout = 500 * time.Millisecond
	// redialBackoff is the time after a failed dial in which calls to that address fail at once instead of dialling again.
	redialBackoff = 200 * time.Millisecond
)

var (
	errClosed        = eris.New("peer pool is closed")
	errRedialBackoff = eris.New("dial failed a moment ago")
)

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// PoolConfig holds the settings of a Pool. All of them may be left out.
type PoolConfig struct {
	Dial    DialFunc // nil dials TCP
	Metrics *metrics.Set
	Log     *logrus.Entry // nil logs nothing
}

// Pool holds one connection per peer address, and those that it has replaced until the calls on them have ended.
type Pool struct {
	dial       DialFunc
	log        *logrus.Entry
	metrics    *poolMetrics
	done       chan struct{} // closed by Close
	background sync.WaitGroup

	mu     sync.Mutex // guards conns and closed; it may be taken while mu of a peerConn is held
	conns  map[string]*peerConn
	closed bool
}

// peerConn owns the connections to one peer. dialing holds a token while a dial is in progress; mu guards links,
// lastDialFailure and the fields of the links that name it.
type peerConn struct {
	address string
	dialing chan struct{}

	mu              sync.Mutex
	current         *link          // the connection for new calls, nil for none
	links           map[*link]bool // current and those replaced but still in use
	lastDialFailure time.Time
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Dial == nil {
		var d net.Dialer
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	p := &Pool{dial: cfg.Dial, log: cfg.Log, done: make(chan struct{}), conns: map[string]*peerConn{}}
	p.metrics = newPoolMetrics(cfg.Metrics, p)
	return p
}

// CallOption modifies a single call.
type CallOption int

const (
	// FailWhenSilent makes a call fail with FailureLost when the peer sends nothing for silenceTimeout. It is for calls that may
	// be retried at another peer; a command must not use it, because its outcome would become unknown without need.
	FailWhenSilent CallOption = 1 + iota
	// Confirmed sends a call only on a connection that has just carried a message of the peer. It is for calls that must not be
	// repeated, whose outcome would be unknown after they were lost on a dead connection, and for calls that wait long.
	Confirmed
)

// Call sends one request and decodes its result. Errors are *Error.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any, opts ...CallOption) error {
	var option CallOption
	if len(opts) > 0 {
		option = opts[0]
	}
	pc, err := p.connTo(address)
	if err != nil {
		return &Error{Kind: FailureNotSent, Method: method, Err: err}
	}
	l, err := pc.acquire(ctx, p, option == Confirmed)
	if err != nil {
		return &Error{Kind: FailureNotSent, Method: method, Err: err}
	}
	defer pc.release(l)
	callCtx, began, received := ctx, time.Now(), l.messages.Load()
	if option == FailWhenSilent {
		var done func()
		callCtx, done = pc.withSilenceTimeout(ctx, p, l)
		defer done()
	}
	err = l.client.CallResult(callCtx, method, params, result)
	if err == nil {
		return nil
	}
	failed := &Error{Kind: classifyFailure(ctx, callCtx, l.client, err), Method: method, Err: err}
	failed.OpenFor, failed.SilentFor = time.Since(l.openedAt), l.silentFor()
	if failed.Kind != FailureRemote && l.messages.Load() == received {
		p.metrics.unanswered.Inc()
		if time.Since(began) >= silenceTimeout {
			pc.probe(p, l)
		}
	}
	return failed
}

func (p *Pool) connTo(address string) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	pc := p.conns[address]
	if pc == nil {
		pc = &peerConn{address: address, dialing: make(chan struct{}, 1), links: map[*link]bool{}}
		p.conns[address] = pc
	}
	return pc, nil
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// goUnlessClosed runs fn in the background, unless the pool is closed.
func (p *Pool) goUnlessClosed(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.background.Go(fn)
	return true
}

// openConnections returns the number of connections that have not ended.
func (p *Pool) openConnections() (n int) {
	for _, pc := range p.peerConns() {
		pc.mu.Lock()
		for l := range pc.links {
			if !l.client.IsStopped() {
				n++
			}
		}
		pc.mu.Unlock()
	}
	return n
}

func (p *Pool) peerConns() []*peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*peerConn, 0, len(p.conns))
	for _, pc := range p.conns {
		conns = append(conns, pc)
	}
	return conns
}

// Close closes all connections; calls in flight fail.
func (p *Pool) Close() {
	conns := p.peerConns()
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	p.conns = map[string]*peerConn{}
	p.mu.Unlock()
	for _, pc := range conns {
		pc.mu.Lock()
		var open []*jrpc2.Client
		for l := range pc.links {
			open = append(open, l.client)
		}
		pc.mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	}
	p.background.Wait()
}

// acquire returns the connection for a call, dialling if there is none, and counts the call on it. With confirmed set, the
// connection has just carried a message of the peer.
func (pc *peerConn) acquire(ctx context.Context, p *Pool, confirmed bool) (*link, error) {
	for {
		l, probing, err := pc.take(confirmed)
		switch {
		case l != nil || err != nil:
			return l, err
		case probing == nil:
			if err := pc.connect(ctx, p); err != nil {
				return nil, err
			}
			continue
		}
		// The peer has not answered a call, or must be heard from first: the probe decides on the connection.
		if !probing.started {
			if !pc.probe(p, probing.link) {
				return nil, errClosed
			}
			continue
		}
		select {
		case <-probing.ended:
		case <-ctx.Done():
			return nil, eris.Wrapf(ctx.Err(), "peer %s is silent", pc.address)
		}
	}
}

// pendingProbe is what a call must wait for before it may use a connection.
type pendingProbe struct {
	link    *link
	started bool
	ended   <-chan struct{} // closed at the end of a started probe
}

// take returns the open connection and counts a call on it. It returns a pendingProbe instead while the connection is in doubt,
// nothing when a new connection is needed, and an error while dialling is suspended after a failure.
func (pc *peerConn) take(confirmed bool) (*link, *pendingProbe, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	l := pc.current
	switch {
	case l == nil || l.client.IsStopped():
		if !pc.lastDialFailure.IsZero() && time.Since(pc.lastDialFailure) < redialBackoff {
			return nil, nil, errRedialBackoff
		}
		return nil, nil, nil
	case l.probeEnded != nil:
		return nil, &pendingProbe{link: l, started: true, ended: l.probeEnded}, nil
	case confirmed && l.silentFor() > confirmationAge:
		return nil, &pendingProbe{link: l}, nil
	}
	l.calls++
	return l, nil, nil
}

// release ends a call on a connection and closes the connection if it was the last call on a replaced one.
func (pc *peerConn) release(l *link) {
	pc.mu.Lock()
	l.calls--
	unused := pc.dropUnused(l)
	pc.mu.Unlock()
	if unused {
		l.client.Close()
	}
}

// dropUnused forgets a connection that takes no more calls and has none, and reports whether it did. The caller must hold mu.
func (pc *peerConn) dropUnused(l *link) bool {
	if pc.current == l || l.calls > 0 || !pc.links[l] {
		return false
	}
	delete(pc.links, l)
	return true
}

// connect dials unless another call has connected meanwhile. Only one dial runs at a time per peer.
func (pc *peerConn) connect(ctx context.Context, p *Pool) error {
	select {
	case pc.dialing <- struct{}{}:
		defer func() { <-pc.dialing }()
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "dial peer %s", pc.address)
	}
	if connected, err := pc.connected(); connected || err != nil {
		return err
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(dialCtx, pc.address)
	pc.mu.Lock()
	if err != nil {
		if ctx.Err() == nil {
			pc.lastDialFailure = time.Now()
		}
		pc.mu.Unlock()
		return eris.Wrapf(err, "dial peer %s", pc.address)
	}
	if p.isClosed() {
		pc.mu.Unlock()
		conn.Close()
		return errClosed
	}
	p.metrics.opened.Inc()
	ended := pc.current
	pc.lastDialFailure, pc.current = time.Time{}, newLink(conn)
	pc.links[pc.current] = true
	unused := ended != nil && pc.dropUnused(ended)
	pc.mu.Unlock()
	if unused {
		ended.client.Close()
	}
	return nil
}

// connected reports whether there is an open connection. It returns an error while dialling is suspended after a failure.
func (pc *peerConn) connected() (bool, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.current != nil && !pc.current.client.IsStopped() {
		return true, nil
	}
	if !pc.lastDialFailure.IsZero() && time.Since(pc.lastDialFailure) < redialBackoff {
		return false, errRedialBackoff
	}
	return false, nil
}

// classifyFailure returns the kind of a failed call. callCtx is the context of the call, ctx that of its caller.
func classifyFailure(ctx, callCtx context.Context, client *jrpc2.Client, err error) FailureKind {
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
