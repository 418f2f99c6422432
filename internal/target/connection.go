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
// Silence is judged by bytes read from the socket. A probe is sent only while calls are outstanding: the pings of
// net/http would also run on idle connections, and close a connection whose ping is late, which makes a frozen
// target pay for a new one.
type connection struct {
	http    *http.ClientConn
	socket  *socket
	cfg     Config
	metrics *clientMetrics
	changed *signal
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc

	mu       sync.Mutex
	calls    int
	busy     time.Time // when the outstanding calls began
	probed   time.Time // when the outstanding probe was sent; zero without one
	silent   bool      // the probe has outlived ProbeTimeout
	timer    *time.Timer
	expected time.Time // when timer is due
}

// openConnection dials and makes a first exchange, a health request. Its response shows that the target has accepted
// the connection, which a target at its connection limit closes instead, and that its HTTP/2 settings are in force:
// requests above a stream limit that is not known yet would be reset after they were written.
func openConnection(ctx context.Context, cfg Config, m *clientMetrics, changed *signal) (*connection, error) {
	if cfg.After != nil {
		select {
		case <-cfg.After:
		case <-ctx.Done():
			return nil, eris.Wrap(context.Cause(ctx), "wait for the end of the earlier connections")
		}
	}
	raw, err := cfg.Dial(ctx, cfg.Address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	s := &socket{Conn: raw, changed: changed, start: time.Now()}
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
		_ = raw.Close()
		return nil, eris.Wrap(err, "start HTTP/2")
	}
	c := &connection{http: cc, socket: s, cfg: cfg, metrics: m, changed: changed}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.probe(ctx); err != nil {
		c.close()
		return nil, eris.Wrap(err, "first exchange")
	}
	cc.SetStateHook(func(*http.ClientConn) { changed.wake() })
	return c, nil
}

// admit takes one call if the connection has a stream for it. Reserve of net/http is not used: a request without a
// reservation, or a lowered stream limit, makes requests with reservations wait for each other forever. One stream
// stays free for the probe where the target allows more than one.
func (c *connection) admit() bool {
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
	c.begin()
	return true
}

// spent reports whether the connection can never take a call again, as after a GOAWAY, and has none in flight.
func (c *connection) spent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls == 0 && c.http.InFlight() == 0 && c.http.Available() == 0
}

// begin notes an outstanding call. The caller holds mu.
func (c *connection) begin() {
	c.calls++
	if c.calls == 1 {
		c.busy = time.Now()
	}
	if c.timer == nil {
		c.schedule(c.cfg.ProbeAfter)
	}
}

// end notes that a call is no longer outstanding.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
}

func (c *connection) schedule(d time.Duration) {
	c.expected = time.Now().Add(d)
	c.timer = time.AfterFunc(d, c.check)
}

// unresponsive reports whether the target has not answered a probe on this connection.
func (c *connection) unresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent && !c.socket.lastRead().After(c.probed)
}

// check runs while calls or a probe are outstanding. It sends the probe, judges its answer and reschedules itself.
func (c *connection) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	read := c.socket.lastRead()
	if !c.probed.IsZero() {
		if !read.After(c.probed) {
			c.probed = probeStart(c.probed, c.expected, now, c.cfg.ProbeTimeout)
		}
		c.judge(now, read)
		return
	}
	if c.calls == 0 || c.ctx.Err() != nil {
		c.timer = nil
		return
	}
	since := c.busy
	if read.After(since) {
		since = read
	}
	if quiet := now.Sub(since); quiet < c.cfg.ProbeAfter {
		c.schedule(c.cfg.ProbeAfter - quiet)
		return
	}
	if c.http.Available() == 0 { // the probe would wait for a stream, and its silence would prove nothing
		c.schedule(c.cfg.ProbeAfter)
		return
	}
	c.probed = now
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.DeadAfter)
		defer cancel()
		_ = c.probe(ctx)
	}()
	c.schedule(c.cfg.ProbeTimeout)
}

// probeStart returns the time from which the silence after a probe counts. When the check comes late, this process
// was paused and the answer may be unread in the socket, so the probe starts again from now.
func probeStart(probed, expected, now time.Time, tolerance time.Duration) time.Time {
	if now.Sub(expected) > tolerance {
		return now
	}
	return probed
}

// judge decides on an outstanding probe: answered, late or dead.
func (c *connection) judge(now, read time.Time) {
	silentFor := now.Sub(c.probed)
	switch {
	case c.ctx.Err() != nil || c.http.Err() != nil:
		c.timer = nil
		return
	case read.After(c.probed):
		c.probed, c.silent = time.Time{}, false
		c.schedule(c.cfg.ProbeAfter)
		c.changed.wake()
		return
	case silentFor >= c.cfg.DeadAfter:
		c.timer = nil
		go c.close()
		return
	case !c.silent:
		c.silent = true
		c.metrics.unresponsive.Inc()
		c.changed.wake()
	}
	c.schedule(min(c.cfg.ProbeTimeout, c.cfg.DeadAfter-silentFor))
}

// probe asks for the health of the target on this connection. Any response will do: only its arrival matters.
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
	c.changed.wake()
}

// socket is a net.Conn that notes when bytes arrive.
type socket struct {
	net.Conn
	changed *signal
	start   time.Time
	read    atomic.Int64 // nanoseconds from start to the last read
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.read.Store(int64(time.Since(s.start)))
	}
	if err != nil {
		s.changed.wake()
	}
	return n, err
}

func (s *socket) lastRead() time.Time { return s.start.Add(time.Duration(s.read.Load())) }
