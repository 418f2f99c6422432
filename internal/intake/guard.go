package intake

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Config describes the bounds on the clients of one HTTP server.
type Config struct {
	// Budget bounds the memory of the requests of all clients; nil sets no bound.
	Budget *Budget
	// MaxHeadBytes returns the size beyond which a head is refused before it is complete; nil or 0 leaves that to the server.
	MaxHeadBytes func() int
	// MaxConnections bounds the open connections; 0 sets no bound.
	MaxConnections int
	// BodyTimeout bounds the reading of a body that the handler does not read with ReadBody; 0 means defaultBodyTimeout.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long the client may take none of an answer; 0 sets no bound.
	WriteTimeout time.Duration
	// Refuse answers a request for which there is no memory. The request has not run. nil answers 503.
	Refuse http.Handler
}

const (
	defaultBodyTimeout = 10 * time.Second
	// discardTimeout bounds how long the rest of a body is awaited after the request has been answered.
	discardTimeout = time.Second
)

// Guard bounds what the clients of one HTTP server occupy.
type Guard struct {
	cfg         Config
	connections *Connections
}

// NewGuard returns a guard.
func NewGuard(cfg Config) *Guard {
	if cfg.Budget == nil {
		cfg.Budget = NewBudget(0, time.Now)
	}
	if cfg.MaxHeadBytes == nil {
		cfg.MaxHeadBytes = func() int { return 0 }
	}
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	if cfg.Refuse == nil {
		cfg.Refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	}
	return &Guard{cfg: cfg, connections: NewConnections(cfg.MaxConnections)}
}

// Protect makes a server that has not been started account for the requests of its clients. Its connections come from a listener
// that Listen returned, with or without TLS around it.
func (g *Guard) Protect(s *http.Server) {
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(handler, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, guardedConn(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := guardedConn(c); conn != nil && state == http.StateIdle {
			conn.awaitHead()
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// Listen returns a listener whose connections account for the heads that are read from them.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type (
	connKey    struct{}
	accountKey struct{}
)

// serve passes a request to the handler with an account, which is closed when the handler returns.
func (g *Guard) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*conn)
	account, ok := g.begin(conn, w, r)
	if !ok {
		panic(http.ErrAbortHandler) // the connection has given way to others and cannot be answered
	}
	defer account.Close()
	if r.ContentLength != 0 {
		g.limitBody(w, account, g.cfg.BodyTimeout)
		defer g.limitBody(w, account, discardTimeout)
	}
	err := account.ReserveUpTo(headCost(headSize(r)))
	if err == nil && r.ContentLength == 0 {
		err = account.Complete()
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		g.cfg.Refuse.ServeHTTP(w, r)
		return
	}
	handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, account)))
}

// limitBody bounds the reading of what is left of a body. The server reads it to its end before it answers, or waits for the next
// request, also when the handler does not.
func (g *Guard) limitBody(w http.ResponseWriter, account *Account, timeout time.Duration) {
	if account.isIncomplete() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // an error means that the client has disconnected
	}
}

// begin returns the account of a request whose head has been read, and reports whether the request may be handled.
func (g *Guard) begin(conn *conn, w http.ResponseWriter, r *http.Request) (*Account, bool) {
	multiplexed := r.ProtoMajor > 1
	if conn != nil {
		if account, ok := conn.beginRequest(multiplexed); !ok || !multiplexed {
			return account, ok
		}
	}
	response := http.NewResponseController(w)
	return g.cfg.Budget.Open(func() { _ = response.SetReadDeadline(longAgo) }), true // an error means that the client has disconnected
}

// OpenConnections returns the number of open connections.
func (g *Guard) OpenConnections() int { return g.connections.Open() }

// longAgo is a deadline that ends the reading of a connection at once.
var longAgo = time.Unix(0, 1)

// AccountOf returns the account of a request of a protected server, or one without a limit.
func AccountOf(ctx context.Context) *Account {
	if a, ok := ctx.Value(accountKey{}).(*Account); ok {
		return a
	}
	return NewBudget(0, time.Now).Open(func() {})
}

// lineBytes is what a parsed header line occupies beside its bytes, at most: entries of the maps of the request and of the copy that
// is passed on, slices of values, and what the collector has not freed yet.
const lineBytes = 256

// headCost returns the memory that a head takes once it is parsed.
func headCost(bytes, lines int) int { return bytes + lines*lineBytes }

// headSize returns the bytes and the number of the header lines of a request.
func headSize(r *http.Request) (bytes, lines int) {
	bytes = len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return bytes, lines
}
