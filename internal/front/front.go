// Package front serves callers' connections: it takes requests, watches idle connections, and stops without losing a
// request that was read.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header. Published limits are lower; this one holds until they are
	// known.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is above any published limit.
	maxHeaderBytes = 128 << 10
	// stopIdle is how long a connection of a stopping server must have been idle before it is closed.
	stopIdle = 20 * time.Millisecond
	// drainPoll is how often a stopping server looks for the end of its requests.
	drainPoll = 10 * time.Millisecond
)

// Config holds the settings of a Server.
type Config struct {
	// IdleTimeout is how long a connection may be idle now; 0 is no limit.
	IdleTimeout func() time.Duration
	// NoticeTime is how long the balancer may take to notice that the node is not ready; new connections are taken
	// meanwhile.
	NoticeTime time.Duration
	// FirstRequestTime is how long a stopping server waits for the first request of a connection: a caller opens one to send
	// on it, and a packet of the request may be lost and sent again.
	FirstRequestTime time.Duration
	// AcceptTime is the time from the begin of a stop after which requests on kept connections are refused: they might
	// not end before the process does.
	AcceptTime time.Duration
	// StopTime is the time from the begin of a stop after which the process ends whatever still runs.
	StopTime time.Duration
}

// Server owns the callers' connections of one listener.
type Server struct {
	cfg    Config
	http   *http.Server
	log    *logrus.Entry
	inner  http.Handler
	refuse http.Handler

	active   atomic.Int64 // requests between their header and the end of their answer
	stopping atomic.Int64 // begin of the stop in ns after begin, 0 before
	begin    time.Time

	mu    sync.Mutex // guards conns
	conns map[net.Conn]*callerConn
}

// callerConn is the state of one connection. mu guards its fields.
type callerConn struct {
	net net.Conn

	mu     sync.Mutex
	used   bool // a request was read
	busy   bool // a request was read and is not answered yet
	closed bool // this side has closed it; a request that is read now is not passed on
	idle   time.Time
}

type connKey struct{}

// NewServer returns a server that passes requests to handler. refuse answers requests that come too late to a stopping
// server; they have not run.
func NewServer(cfg Config, handler, refuse http.Handler, log *logrus.Entry) *Server {
	s := &Server{cfg: cfg, log: log, inner: handler, refuse: refuse, conns: map[net.Conn]*callerConn{}, begin: time.Now()}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: s.connContext, ConnState: s.connState,
	}
	return s
}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	state := &callerConn{net: c, idle: time.Now()}
	s.mu.Lock()
	s.conns[c] = state
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, state)
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// Serve serves a listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if s.Stopping() {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// Stopping reports whether the server is being stopped.
func (s *Server) Stopping() bool { return s.stopping.Load() != 0 }

// sinceStop is the time since the begin of the stop, 0 before.
func (s *Server) sinceStop() time.Duration {
	at := s.stopping.Load()
	if at == 0 {
		return 0
	}
	return time.Since(s.begin) - time.Duration(at)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	if conn != nil {
		if !conn.start() {
			// This side closed the connection before it read the request: it is not passed on.
			panic(http.ErrAbortHandler)
		}
		defer conn.end()
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	late := s.sinceStop()
	if late > 0 {
		w.Header().Set("Connection", "close")
	}
	// The answer must have left before the connection counts as idle: an idle one may be closed at any moment.
	defer http.NewResponseController(w).Flush()
	if late > s.cfg.AcceptTime {
		s.refuse.ServeHTTP(w, r)
		return
	}
	s.inner.ServeHTTP(&closing{ResponseWriter: w, server: s}, r)
}

// closing announces the end of the connection with an answer that is sent after the stop began.
type closing struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (c *closing) WriteHeader(status int) {
	if c.server.Stopping() {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

func (c *callerConn) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.used, c.busy = true, true
	return true
}

func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.idle = time.Now()
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeIdle closes the connection if it has been idle since before the first time, or, when it has brought no request yet,
// open since before the second one.
func (c *callerConn) closeIdle(idle, open time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := idle
	if !c.used {
		before = open
	}
	if c.busy || c.closed || c.idle.After(before) {
		return false
	}
	c.closed = true
	_ = c.net.Close() // the caller may have closed it already
	return true
}

// Sweep closes connections that are idle for longer than the limit, until ctx ends.
func (s *Server) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if limit := s.cfg.IdleTimeout(); limit > 0 {
			before := time.Now().Add(-limit)
			s.closeIdle(before, before)
		}
	}
}

// open counts the connections that this side has not closed.
func (s *Server) open() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.isClosed() {
			n++
		}
	}
	return n
}

func (s *Server) closeIdle(idle, open time.Time) (closed int) {
	s.mu.Lock()
	conns := make([]*callerConn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if c.closeIdle(idle, open) {
			closed++
		}
	}
	return closed
}

// Stop ends the server: it goes on taking connections until the balancer has noticed, announces the end of each
// connection with its next answer, waits for the requests under way, and closes what is idle.
func (s *Server) Stop(l net.Listener) {
	if !s.stopping.CompareAndSwap(0, max(1, int64(time.Since(s.begin)))) {
		return
	}
	s.log.WithField("active", s.active.Load()).Info("stop: no longer ready; taking connections until the balancer has noticed")
	time.Sleep(s.cfg.NoticeTime)
	if err := l.Close(); err != nil {
		s.log.WithError(err).Warn("cannot close the callers' listener")
	}
	for s.sinceStop() < s.cfg.StopTime {
		now := time.Now()
		s.closeIdle(now.Add(-stopIdle), now.Add(-s.cfg.FirstRequestTime))
		if s.active.Load() == 0 && s.open() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	s.log.WithFields(logrus.Fields{"active": s.active.Load(), "ms": s.sinceStop().Milliseconds()}).Info("stop: callers' connections are closed")
}
