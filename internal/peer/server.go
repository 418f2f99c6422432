package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/intake"
	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// maxRequestsPerConnection limits the handlers that run at once for one peer. A home relay runs one handler per search of
// the peer, so the limit lies far above the number of searches that a node admits.
const maxRequestsPerConnection = 4096

// Server answers calls of other nodes.
type Server struct {
	methods     jrpc2.Assigner
	listener    net.Listener
	connections *intake.Connections
	budget      *intake.Budget
	pending     int // largest cost of the messages of one connection that are handled; 0 for no limit

	mu      sync.Mutex // guards conns and closed
	conns   map[*serverConn]struct{}
	closed  bool
	serving sync.WaitGroup
}

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// Panics contains the panics of handlers, whose messages are answered with an error; nil contains none.
	Panics *panics.Handler
	// MaxConnections bounds the connections of other nodes; 0 sets no bound.
	MaxConnections int
	// MemoryBytes bounds the memory of messages that are read and handled; 0 sets no bound.
	MemoryBytes int64
	// ConnectionShare is the share of MemoryBytes that messages of one connection may occupy while they are handled. Until then, its
	// later messages are not read, not even a ping.
	ConnectionShare float64
}

// NewServer returns a server that answers on listener with the given handlers.
func NewServer(listener net.Listener, methods handler.Map, cfg ServerConfig) *Server {
	all := handler.Map{
		methodPing: handler.New(func(context.Context) (bool, error) { return true, nil }),
		methodCancel: handler.New(func(ctx context.Context, p cancelParams) error {
			jrpc2.ServerFromContext(ctx).CancelRequest(p.ID)
			return nil
		}),
	}
	for name, h := range methods {
		all[name] = h
	}
	for name, h := range all {
		all[name] = contained(name, h, cfg.Panics)
	}
	return &Server{
		methods: assigner{methods: all, unknown: contained("unknown", unknownMethod, cfg.Panics)}, listener: listener, connections: intake.NewConnections(cfg.MaxConnections),
		budget: intake.NewBudget(cfg.MemoryBytes, time.Now), pending: int(cfg.ConnectionShare * float64(cfg.MemoryBytes)), conns: map[*serverConn]struct{}{},
	}
}

var errHandlerPanicked = eris.New("internal error")

// assigner finds the handler of each message, also of those with an unknown method: a handler that ends is what gives back the memory
// of a notification.
type assigner struct {
	methods handler.Map
	unknown jrpc2.Handler
}

// Assign implements jrpc2.Assigner.
func (a assigner) Assign(ctx context.Context, method string) jrpc2.Handler {
	if h := a.methods.Assign(ctx, method); h != nil {
		return h
	}
	return a.unknown
}

func unknownMethod(_ context.Context, req *jrpc2.Request) (any, error) {
	return nil, jrpc2.Errorf(jrpc2.MethodNotFound, "no such method %q", req.Method())
}

type incomingKey struct{}

// contained returns a handler that answers with an error when h panics, and gives back the memory of a notification, which has no
// answer.
func contained(method string, h jrpc2.Handler, contain *panics.Handler) jrpc2.Handler {
	return func(ctx context.Context, req *jrpc2.Request) (result any, err error) {
		if memory, ok := ctx.Value(incomingKey{}).(*incoming); ok && req.IsNotification() {
			defer memory.release()
		}
		defer contain.Contain("peer message", logrus.Fields{"method": method}, func() { result, err = nil, errHandlerPanicked })
		return h(ctx, req)
	}
}

// cancelParams identifies the request to cancel.
type cancelParams struct {
	ID string `json:"id"`
}

// acceptRetryDelay is the pause after a connection could not be accepted, for example because the process has no descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections until Close is called.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.serveConn(conn)
		case s.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept peer connection")
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// serveConn answers requests on a connection in the background until it ends.
func (s *Server) serveConn(accepted net.Conn) {
	conn := newServerConn(accepted, s)
	if !s.connections.Admit(conn) {
		conn.Close()
		return
	}
	srv := jrpc2.NewServer(s.methods, &jrpc2.ServerOptions{
		Concurrency: maxRequestsPerConnection,
		NewContext:  func() context.Context { return context.WithValue(context.Background(), incomingKey{}, conn.memory) },
	})
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		conn.Close()
		s.connections.Remove(conn)
		return
	}
	s.conns[conn] = struct{}{}
	s.serving.Add(1)
	s.mu.Unlock()
	messages := newLineChannel(conn, writeTimeoutConn{conn}, conn.checkMessage)
	messages.memory = conn.memory
	srv.Start(messages)
	go func() {
		defer s.serving.Done()
		_ = srv.Wait() // why the connection ended does not matter
		conn.memory.releaseAll()
		s.connections.Remove(conn)
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops accepting and closes all connections; handlers in flight are cancelled. It closes the sockets instead of calling
// Stop of jrpc2, which panics when a request arrives while it runs.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.serving.Wait()
	return eris.Wrap(err, "close peer listener")
}
