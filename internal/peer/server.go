package peer

import (
	"context"
	"net"
	"sync"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// maxRequestsPerConnection limits the handlers that run at once for one peer. A home relay runs one handler per search of
// the peer, so the limit lies far above the number of searches that a node admits.
const maxRequestsPerConnection = 4096

// Server answers calls of other nodes.
type Server struct {
	methods  handler.Map
	panics   *panics.Handler
	listener net.Listener

	mu      sync.Mutex // guards conns and closed
	conns   map[net.Conn]struct{}
	closed  bool
	serving sync.WaitGroup
}

// NewServer returns a server that answers on listener with the given handlers. A message whose handler panics is answered with
// an error; a nil contain contains no panics.
func NewServer(listener net.Listener, methods handler.Map, contain *panics.Handler) *Server {
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
		all[name] = contained(name, h, contain)
	}
	return &Server{methods: all, panics: contain, listener: listener, conns: map[net.Conn]struct{}{}}
}

var errHandlerPanicked = eris.New("internal error")

// contained returns a handler that answers with an error when h panics.
func contained(method string, h jrpc2.Handler, contain *panics.Handler) jrpc2.Handler {
	return func(ctx context.Context, req *jrpc2.Request) (result any, err error) {
		defer contain.Contain("peer message", logrus.Fields{"method": method}, func() { result, err = nil, errHandlerPanicked })
		return h(ctx, req)
	}
}

// cancelParams identifies the request to cancel.
type cancelParams struct {
	ID string `json:"id"`
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return eris.Wrap(err, "accept peer connection")
		}
		s.serveConn(conn)
	}
}

// serveConn answers requests on a connection in the background until it ends.
func (s *Server) serveConn(conn net.Conn) {
	srv := jrpc2.NewServer(s.methods, &jrpc2.ServerOptions{Concurrency: maxRequestsPerConnection})
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.serving.Add(1)
	s.mu.Unlock()
	srv.Start(newLineChannel(conn, writeTimeoutConn{conn}, checkRequest))
	go func() {
		defer s.serving.Done()
		_ = srv.Wait() // why the connection ended does not matter
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
