package netsim

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// firstPort is the first port that is assigned to a listener that asks for port 0.
const firstPort = 20_000

// memoryTransport connects the nodes and stand-ins of one test without sockets, so that a whole deployment runs in virtual
// time. mu guards all fields.
type memoryTransport struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
	nextPort  int
}

// NewInMemory returns a network like that of New, with listeners and connections in memory.
func NewInMemory(delay, jitter time.Duration, seed uint64) *Network {
	n := New(delay, jitter, seed)
	n.memory = &memoryTransport{listeners: map[string]*memoryListener{}, nextPort: firstPort}
	return n
}

// Listen opens a listener. Port 0 selects a free port.
func (n *Network) Listen(address string) (net.Listener, error) {
	if n.memory == nil {
		l, err := net.Listen("tcp", address)
		return l, eris.Wrapf(err, "listen on %s", address)
	}
	return n.memory.listen(address)
}

// Dial connects to a listener as a process in the same location does: without delay and regardless of partitions.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.memory == nil {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		return c, eris.Wrapf(err, "dial %s", address)
	}
	return n.memory.dial(ctx, address)
}

func (m *memoryTransport) listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if port == "0" {
		port = strconv.Itoa(m.nextPort)
		m.nextPort++
	}
	address = net.JoinHostPort(host, port)
	if m.listeners[address] != nil {
		return nil, eris.Wrapf(syscall.EADDRINUSE, "listen on %s", address)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	l := &memoryListener{
		memory: m, address: &net.TCPAddr{IP: net.ParseIP(host), Port: number}, key: address,
		backlog: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.listeners[address] = l
	return l, nil
}

func (m *memoryTransport) dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	refused := eris.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
	if l == nil {
		return nil, refused
	}
	clientEnd, serverEnd := newMemoryPair(l.address)
	select {
	case l.backlog <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "dial %s", address)
	}
}

// memoryListener accepts the connections that memoryTransport.dial puts into its backlog.
type memoryListener struct {
	memory  *memoryTransport
	address net.Addr
	key     string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		delete(l.memory.listeners, l.key)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryConn is one end of a connection in memory.
type memoryConn struct {
	in, out       *stream
	local, remote net.Addr
}

// newMemoryPair returns both ends of a connection to a listener.
func newMemoryPair(server net.Addr) (client, accepted *memoryConn) {
	toServer, toClient := newStream(), newStream()
	from := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}
	return &memoryConn{in: toClient, out: toServer, local: from, remote: server},
		&memoryConn{in: toServer, out: toClient, local: server, remote: from}
}

// Read implements net.Conn.
func (c *memoryConn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn. It never blocks: the stream buffers everything that is not read yet.
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.out.end(io.EOF)
	c.in.end(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. Writes never block, so only reads have a deadline.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection in memory. mu guards all fields.
type stream struct {
	mu       sync.Mutex
	changed  *sync.Cond
	data     []byte
	ended    error // io.EOF after the writer closed, net.ErrClosed after the reader closed
	deadline time.Time
	timer    *time.Timer
}

func newStream() *stream {
	s := &stream{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.ended == net.ErrClosed:
			return 0, net.ErrClosed
		case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.data) > 0 || len(p) == 0:
			n := copy(p, s.data)
			s.data = s.data[n:]
			return n, nil
		case s.ended != nil:
			return 0, s.ended
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.ended {
	case nil:
		s.data = append(s.data, p...)
		s.changed.Broadcast()
		return len(p), nil
	case net.ErrClosed:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET} // the other end has closed
	default:
		return 0, net.ErrClosed
	}
}

// end ends the stream. A close by the reader takes precedence over one by the writer.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil || err == net.ErrClosed {
		s.ended = err
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.changed.Broadcast()
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
	}
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		s.timer = time.AfterFunc(wait, s.changed.Broadcast)
	}
	s.changed.Broadcast()
}
