// Package callerserver is the HTTP server for callers: it accepts requests, closes idle connections, and shuts down without
// losing a request that it has read.
package callerserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

const (
	// idleCheckInterval is how often connections are checked against the idle timeout.
	idleCheckInterval = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header. It holds from the start, before a configuration is known, and is
	// above any published limit, which the server does not read.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header. It is above any published limit.
	maxHeaderBytes = 128 << 10
	// stopIdleTime is how long a connection of a stopping server must have been idle before it is closed.
	stopIdleTime = 20 * time.Millisecond
	// finalAnswerTime is how long before the end of a stop the requests that still run are ended, so that their callers get an answer
	// instead of a closed connection. At most a quarter of the stop is used for it.
	finalAnswerTime = 400 * time.Millisecond
	// drainPollInterval is how often a stopping server checks whether its requests and connections have ended.
	drainPollInterval = 10 * time.Millisecond
)

// ErrStopping is the cause with which the context of a request ends when the process stops before the request has ended.
var ErrStopping = eris.New("the node is stopping")

// Config holds the settings of a Server.
type Config struct {
	// IdleTimeout returns how long a connection may currently be idle; 0 means no limit.
	IdleTimeout func() time.Duration
	// BalancerNoticeTime is how long the load balancer may take to notice that the node is not ready. New connections are
	// accepted until then.
	BalancerNoticeTime time.Duration
	// FirstRequestTime is how long a stopping server waits for the first request of a connection. A caller that has opened
	// one is about to send on it, and a packet of the request may be lost and retransmitted.
	FirstRequestTime time.Duration
	// AcceptTime is the time from the start of a stop after which requests on keep-alive connections are refused, because
	// they might not end before the process does.
	AcceptTime time.Duration
	// Guard bounds what callers occupy; nil sets no bounds.
	Guard *intake.Guard
	// StopTimeout is the time from the start of a stop after which Stop returns, and the process exits, even if
	// requests are still running.
	StopTimeout time.Duration
}

// Server is an HTTP server that tracks the callers' connections of one listener.
type Server struct {
	cfg     Config
	http    *http.Server
	log     *logrus.Entry
	handler http.Handler
	refuse  http.Handler

	activeRequests atomic.Int64 // requests whose header was read and whose answer is not complete
	stopStarted    atomic.Int64 // start of the stop in ns after createdAt, 0 before the stop
	createdAt      time.Time
	ending         context.Context // ends when a stopping server has to answer the requests that still run
	end            context.CancelCauseFunc

	mu    sync.Mutex // guards conns
	conns map[net.Conn]*callerConn
}

// callerConn is the state of one connection. mu guards the fields below it.
type callerConn struct {
	conn net.Conn

	mu         sync.Mutex
	gotRequest bool // a request was read
	busy       bool // a request was read and is not answered yet
	closed     bool // the server has closed the connection; a request that is read now is not passed to the handler
	idleSince  time.Time
}

type connKey struct{}

// NewServer returns a server that passes requests to handler. refuse answers requests that reach a stopping server too late;
// they have not run.
func NewServer(cfg Config, handler, refuse http.Handler, log *logrus.Entry) *Server {
	if cfg.Guard == nil {
		cfg.Guard = intake.NewGuard(intake.Config{})
	}
	s := &Server{cfg: cfg, log: log, handler: handler, refuse: refuse, conns: map[net.Conn]*callerConn{}, createdAt: time.Now()}
	s.ending, s.end = context.WithCancelCause(context.Background())
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: s.connContext, ConnState: s.connState,
	}
	cfg.Guard.Protect(s.http)
	return s
}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	state := &callerConn{conn: c, idleSince: time.Now()}
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
	err := s.http.Serve(s.cfg.Guard.Listen(l))
	if s.Stopping() {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// Stopping reports whether the server is being stopped.
func (s *Server) Stopping() bool { return s.stopStarted.Load() != 0 }

// sinceStop returns the time since the start of the stop, or 0 before it.
func (s *Server) sinceStop() time.Duration {
	started := s.stopStarted.Load()
	if started == 0 {
		return 0
	}
	return time.Since(s.createdAt) - time.Duration(started)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	if conn != nil {
		if !conn.beginRequest() {
			// The server closed the connection before it read the request, and could not answer it.
			panic(http.ErrAbortHandler)
		}
		defer conn.endRequest()
	}
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	sinceStop := s.sinceStop()
	if sinceStop > 0 {
		w.Header().Set("Connection", "close")
	}
	// The answer must be flushed before the connection counts as idle, because an idle one may be closed at any moment.
	defer http.NewResponseController(w).Flush()
	if sinceStop > s.cfg.AcceptTime {
		s.refuse.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(s.ending, func() { cancel(ErrStopping) })()
	s.handler.ServeHTTP(&closingResponseWriter{ResponseWriter: w, server: s}, r.WithContext(ctx))
}

// closingResponseWriter adds "Connection: close" to answers that are sent after the start of a stop.
type closingResponseWriter struct {
	http.ResponseWriter
	server *Server
}

// Unwrap lets http.ResponseController reach the connection.
func (c *closingResponseWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (c *closingResponseWriter) WriteHeader(status int) {
	if c.server.Stopping() {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.gotRequest, c.busy = true, true
	return true
}

func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.idleSince = time.Now()
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeIdle closes the connection if it has been idle since idleBefore or earlier, or, if it has had no request yet, open
// since openedBefore or earlier. It reports whether it closed the connection.
func (c *callerConn) closeIdle(idleBefore, openedBefore time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cutoff := idleBefore
	if !c.gotRequest {
		cutoff = openedBefore
	}
	if c.busy || c.closed || c.idleSince.After(cutoff) {
		return false
	}
	c.closed = true
	_ = c.conn.Close() // the caller may have closed it already
	return true
}

// EnforceIdleTimeout closes connections that are idle for longer than Config.IdleTimeout, until ctx ends.
func (s *Server) EnforceIdleTimeout(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if limit := s.cfg.IdleTimeout(); limit > 0 {
			cutoff := time.Now().Add(-limit)
			s.closeIdle(cutoff, cutoff)
		}
	}
}

// countOpenConnections returns the number of connections that the server has not closed.
func (s *Server) countOpenConnections() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.isClosed() {
			n++
		}
	}
	return n
}

func (s *Server) closeIdle(idleBefore, openedBefore time.Time) (closed int) {
	s.mu.Lock()
	conns := make([]*callerConn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if c.closeIdle(idleBefore, openedBefore) {
			closed++
		}
	}
	return closed
}

// Stop shuts the server down. It accepts connections until the load balancer has noticed, announces the end of each
// connection with its next answer, waits for the requests under way, and closes idle connections.
func (s *Server) Stop(l net.Listener) {
	if !s.stopStarted.CompareAndSwap(0, max(1, int64(time.Since(s.createdAt)))) {
		return
	}
	s.log.WithField("active", s.activeRequests.Load()).Info("stop: no longer ready; taking connections until the balancer has noticed")
	time.Sleep(s.cfg.BalancerNoticeTime)
	if err := l.Close(); err != nil {
		s.log.WithError(err).Warn("cannot close the callers' listener")
	}
	lastMoment := s.cfg.StopTimeout - min(finalAnswerTime, s.cfg.StopTimeout/4)
	for s.sinceStop() < s.cfg.StopTimeout {
		if s.sinceStop() >= lastMoment && s.ending.Err() == nil {
			s.log.WithField("active", s.activeRequests.Load()).Warn("stop: ending the requests that still run")
			s.end(ErrStopping)
		}
		now := time.Now()
		s.closeIdle(now.Add(-stopIdleTime), now.Add(-s.cfg.FirstRequestTime))
		if s.activeRequests.Load() == 0 && s.countOpenConnections() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	s.log.WithFields(logrus.Fields{"active": s.activeRequests.Load(), "ms": s.sinceStop().Milliseconds()}).Info("stop: callers' connections are closed")
}
