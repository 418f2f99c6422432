package targetsim

import (
	"net"
	"sync"
	"time"
)

// listener applies the connection limit, the connect cost and a freeze to accepted connections. mu guards conns.
type listener struct {
	net.Listener
	limit  int
	cost   time.Duration
	gate   *gate
	counts *counter
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(ln net.Listener, cfg Config, g *gate, c *counter) *listener {
	return &listener{Listener: ln, limit: cfg.ConnectionLimit, cost: cfg.ConnectCost, gate: g, counts: c,
		closed: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener. A connection above the limit is closed at once and counted as refused; accepting it
// takes as long as any other.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.gate.waitOpen(l.closed) {
			_ = raw.Close()
			return nil, net.ErrClosed
		}
		if l.cost > 0 {
			time.Sleep(l.cost)
		}
		if c := l.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// add registers an accepted connection. It returns nil when the connection limit is reached.
func (l *listener) add(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		l.counts.countConnectionRefused()
		return nil
	}
	c := &conn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.conns[c] = struct{}{}
	l.counts.countConnectionOpened(len(l.conns))
	return c
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// resetAll resets all connections instead of closing them regularly, as the death of a process does.
func (l *listener) resetAll() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// conn is an accepted connection whose reads and writes stop while the target is frozen.
type conn struct {
	net.Conn
	listener *listener
	closed   chan struct{}
	once     sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.gate.waitOpen(c.closed)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.listener.gate.waitOpen(c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	return c.Conn.Close()
}
