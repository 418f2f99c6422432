package platform_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyFault is how a proxy disturbs the connections through it.
type proxyFault string

const (
	noFault     proxyFault = ""
	delaying    proxyFault = "delay"   // each chunk is delayed by 5 ms
	refusing    proxyFault = "refuse"  // new connections are reset
	dropAnswers proxyFault = "one way" // answers are lost, requests arrive
	blackhole   proxyFault = "silent"  // nothing is forwarded; connections opened now never forward anything
)

// proxy forwards TCP connections to a stand-in or a node and injects faults into them. mu guards the fields below it.
type proxy struct {
	listener net.Listener
	target   string
	closed   chan struct{}

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]*atomic.Bool // whether each open connection has gone silent
}

func newProxy(l net.Listener, target string) *proxy {
	p := &proxy{listener: l, target: target, closed: make(chan struct{}), conns: map[net.Conn]*atomic.Bool{}}
	go p.acceptConnections()
	return p
}

func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConnections resets a random share of the open connections. A share of 1 or more resets all
// of them.
func (p *proxy) resetConnections(share float64, rnd *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if rnd.Float64() < share {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close send a reset
			}
			c.Close()
		}
	}
}

// silence makes a random share of the open connections deliver nothing for good, in either direction, also not their end. New
// connections work.
func (p *proxy) silence(share float64, rnd *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.conns {
		if rnd.Float64() < share {
			silent.Store(true)
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	close(p.closed)
	p.resetConnections(2, rand.New(rand.NewPCG(1, 1)))
}

func (p *proxy) acceptConnections() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == refusing {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.conns[c] = silent
	discard := p.fault == blackhole
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	go func() {
		p.forwardDirection(out, c, silent, discard, false)
		out.Close()
	}()
	p.forwardDirection(c, out, silent, discard, true)
}

// forwardDirection forwards one direction of a connection. With discard it keeps reading and forwards nothing. isAnswer
// marks the direction from the stand-in to the caller.
func (p *proxy) forwardDirection(to, from net.Conn, silent *atomic.Bool, discard, isAnswer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			f := p.currentFault()
			switch {
			case silent.Load():
			case discard, f == blackhole, f == dropAnswers && isAnswer:
				discard = true // lost bytes leave a gap in the stream, so the connection cannot be used again
			case f == delaying:
				time.Sleep(5 * time.Millisecond)
				fallthrough
			default:
				if _, werr := to.Write(buffer[:n]); werr != nil {
					return
				}
			}
		}
		if err != nil {
			if silent.Load() {
				<-p.closed
			}
			if discard && err == io.EOF {
				time.Sleep(time.Second) // delays the close, so that the other side does not learn of the end at once
			}
			return
		}
	}
}
