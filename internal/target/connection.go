package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// connection is one HTTP/2 connection with its liveness state. mu guards the fields below it.
//
// Liveness is judged by the bytes read from the socket. A probe is sent only while calls are outstanding. The pings of
// net/http are not used: they would also run on idle connections, and they close a connection whose ping is late, which
// costs a frozen target a new one.
type connection struct {
	http     *http.ClientConn
	socket   *socket
	cfg      Config
	metrics  *clientMetrics
	notifier *notifier
	ctx      context.Context // ends with the connection
	cancel   context.CancelFunc

	mu           sync.Mutex
	calls        int
	busySince    time.Time // when the number of outstanding calls rose above 0
	probeSent    time.Time // when the outstanding probe was sent; zero without one
	probeOverdue bool      // the probe was not answered within ProbeTimeout
	timer        *time.Timer
	timerDue     time.Time // when timer fires
}

// openConnection dials and sends a health request. The response shows that the target accepted the connection, since a
// target at its connection limit closes it instead, and that its HTTP/2 settings were received: requests above a stream
// limit that is not known yet would be reset after they were written.
func openConnection(ctx context.Context, cfg Config, m *clientMetrics, notifier *notifier) (*connection, error) {
	if cfg.OpenAfter != nil {
		select {
		case <-cfg.OpenAfter:
		case <-ctx.Done():
			return nil, eris.Wrap(context.Cause(ctx), "wait for the end of the earlier connections")
		}
	}
	netConn, err := cfg.Dial(ctx, cfg.Address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	s := &socket{Conn: netConn, notifier: notifier, openedAt: time.Now()}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		Protocols:          &protocols,
		DisableCompression: true,
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return s, nil },
		HTTP2:              &http.HTTP2Config{WriteByteTimeout: cfg.DeadAfter},
	}
	cc, err := t.NewClientConn(ctx, "http", cfg.Address)
	if err != nil {
		_ = netConn.Close()
		return nil, eris.Wrap(err, "start HTTP/2")
	}
	c := &connection{http: cc, socket: s, cfg: cfg, metrics: m, notifier: notifier}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.probe(ctx); err != nil {
		c.close()
		return nil, eris.Wrap(err, "first exchange")
	}
	cc.SetStateHook(func(*http.ClientConn) { notifier.notify() })
	return c, nil
}

// tryBeginCall begins a call if the connection has a free stream for it, and reports whether it did. Reserve of net/http is
// not used: a request without a reservation, or a lowered stream limit, makes requests with reservations wait for each
// other forever. One stream is kept free for the probe where the target allows more than one.
func (c *connection) tryBeginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	started, available := c.http.InFlight(), c.http.Available()
	free := available - max(0, c.calls-started)
	if started+available > 1 {
		free--
	}
	if free < 1 {
		return false
	}
	c.beginCall()
	return true
}

// isDrained reports whether the connection can never take another call, as after a GOAWAY, and has none in flight.
func (c *connection) isDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls == 0 && c.http.InFlight() == 0 && c.http.Available() == 0
}

// beginCall counts a call as outstanding and starts the liveness checks. The caller holds mu.
func (c *connection) beginCall() {
	c.calls++
	if c.calls == 1 {
		c.busySince = time.Now()
	}
	if c.timer == nil {
		c.scheduleCheck(c.cfg.ProbeAfter)
	}
}

// endCall counts a call as no longer outstanding.
func (c *connection) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
}

func (c *connection) scheduleCheck(d time.Duration) {
	c.timerDue = time.Now().Add(d)
	c.timer = time.AfterFunc(d, c.checkLiveness)
}

// unresponsive reports whether a probe is overdue and no bytes have arrived since it was sent.
func (c *connection) unresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.probeOverdue && !c.socket.lastRead().After(c.probeSent)
}

// checkLiveness runs on a timer while calls or a probe are outstanding. It sends a probe or evaluates the outstanding one,
// and reschedules itself.
func (c *connection) checkLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	read := c.socket.lastRead()
	if !c.probeSent.IsZero() {
		if !read.After(c.probeSent) {
			c.probeSent = silenceStart(c.probeSent, c.timerDue, now, c.cfg.ProbeTimeout)
		}
		c.evaluateProbe(now, read)
		return
	}
	if c.calls == 0 || c.ctx.Err() != nil {
		c.timer = nil
		return
	}
	since := c.busySince
	if read.After(since) {
		since = read
	}
	if quiet := now.Sub(since); quiet < c.cfg.ProbeAfter {
		c.scheduleCheck(c.cfg.ProbeAfter - quiet)
		return
	}
	if c.http.Available() == 0 { // the probe would wait for a stream, so a missing response would prove nothing
		c.scheduleCheck(c.cfg.ProbeAfter)
		return
	}
	c.probeSent = now
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.DeadAfter)
		defer cancel()
		_ = c.probe(ctx)
	}()
	c.scheduleCheck(c.cfg.ProbeTimeout)
}

// silenceStart returns the time from which the silence after a probe is measured. When the check runs late, this process
// was paused and the response may be unread in the socket, so the measurement restarts at now.
func silenceStart(probeSent, due, now time.Time, tolerance time.Duration) time.Time {
	if now.Sub(due) > tolerance {
		return now
	}
	return probeSent
}

// evaluateProbe decides whether the outstanding probe was answered, is overdue, or proves the connection dead.
func (c *connection) evaluateProbe(now, read time.Time) {
	silentFor := now.Sub(c.probeSent)
	switch {
	case c.ctx.Err() != nil || c.http.Err() != nil:
		c.timer = nil
		return
	case read.After(c.probeSent):
		c.probeSent, c.probeOverdue = time.Time{}, false
		c.scheduleCheck(c.cfg.ProbeAfter)
		c.notifier.notify()
		return
	case silentFor >= c.cfg.DeadAfter:
		c.timer = nil
		go c.close()
		return
	case !c.probeOverdue:
		c.probeOverdue = true
		c.metrics.unresponsive.Inc()
		c.notifier.notify()
	}
	c.scheduleCheck(min(c.cfg.ProbeTimeout, c.cfg.DeadAfter-silentFor))
}

// probe sends a health request on this connection. Any response is sufficient: only its arrival matters.
func (c *connection) probe(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+PathHealth, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, c.cfg.MaxResponseBytes))
	return err
}

func (c *connection) close() {
	c.cancel()
	_ = c.http.Close()
	c.notifier.notify()
}

// socket is a net.Conn that records when bytes arrive and wakes the waiters of the notifier when a read fails.
type socket struct {
	net.Conn
	notifier       *notifier
	openedAt       time.Time
	lastReadOffset atomic.Int64 // nanoseconds from openedAt to the last read
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.lastReadOffset.Store(int64(time.Since(s.openedAt)))
	}
	if err != nil {
		s.notifier.notify()
	}
	return n, err
}

func (s *socket) lastRead() time.Time { return s.openedAt.Add(time.Duration(s.lastReadOffset.Load())) }
