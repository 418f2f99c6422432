package netsim

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn delays both directions of a connection and keeps the order of the data. During a partition it holds data back.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	silent   atomic.Bool // the connection delivers nothing any more

	out, in *pipe
}

// pipe is one direction. mu guards the fields below it.
type pipe struct {
	mu      sync.Mutex
	cond    *sync.Cond
	queue   []chunk
	closed  error
	lastDue time.Time // due time of the newest chunk; later chunks are not due before it, which keeps the order
}

// chunk is data that is delivered at its due time.
type chunk struct {
	data []byte
	due  time.Time
}

func newPipe() *pipe {
	p := &pipe{}
	p.cond = sync.NewCond(&p.mu)
	return p
}

// wrap returns a connection over raw with the delays and partitions between two locations.
func (n *Network) wrap(raw net.Conn, from, to string) net.Conn {
	c := &conn{Conn: raw, network: n, from: from, to: to, out: newPipe(), in: newPipe()}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	go c.pumpOut()
	go c.pumpIn()
	return c
}

// wakePipes makes both pipes check again for a partition.
func (c *conn) wakePipes() {
	c.out.wake()
	c.in.wake()
}

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond.Broadcast()
}

func (p *pipe) push(data []byte, delay time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed != nil {
		return p.closed
	}
	due := time.Now().Add(delay)
	if due.Before(p.lastDue) {
		due = p.lastDue
	}
	p.lastDue = due
	p.queue = append(p.queue, chunk{append([]byte(nil), data...), due})
	p.cond.Broadcast()
	return nil
}

func (p *pipe) close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A local close ends the pipe even when the other end closed first and a partition still holds back its data.
	if p.closed == nil || err == net.ErrClosed {
		p.closed = err
	}
	p.cond.Broadcast()
}

// next waits until the oldest chunk is due and the network is not partitioned, and returns the chunk.
func (p *pipe) next(isPartitioned func() bool) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.closed == net.ErrClosed:
			return nil, p.closed
		case len(p.queue) > 0 && !isPartitioned():
			first := p.queue[0]
			if wait := time.Until(first.due); wait > 0 {
				p.mu.Unlock()
				time.Sleep(wait)
				p.mu.Lock()
				continue
			}
			p.queue = p.queue[1:]
			return first.data, nil
		case p.closed != nil && len(p.queue) == 0:
			return nil, p.closed
		}
		p.cond.Wait()
	}
}

func (c *conn) isPartitioned() bool { return c.silent.Load() || c.network.isPartitioned(c.from, c.to) }

// pumpOut writes the chunks of the out pipe to the underlying connection when they are due.
func (c *conn) pumpOut() {
	for {
		data, err := c.out.next(c.isPartitioned)
		if err != nil {
			return
		}
		if _, err := c.Conn.Write(data); err != nil {
			c.out.close(err)
			return
		}
	}
}

// pumpIn reads from the underlying connection into the in pipe.
func (c *conn) pumpIn() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 && c.in.push(buffer[:n], c.network.oneWayDelay(c.from, c.to)) != nil {
			return
		}
		if err != nil {
			c.in.close(io.EOF)
			return
		}
	}
}

// Write implements net.Conn. It returns without waiting for the delay.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.out.push(data, c.network.oneWayDelay(c.from, c.to)); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	data, err := c.in.next(c.isPartitioned)
	if err != nil {
		return 0, err
	}
	n := copy(buffer, data)
	if n < len(data) {
		c.in.mu.Lock()
		c.in.queue = append([]chunk{{data: data[n:]}}, c.in.queue...)
		c.in.mu.Unlock()
	}
	return n, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.out.close(net.ErrClosed)
	c.in.close(net.ErrClosed)
	return c.Conn.Close()
}
