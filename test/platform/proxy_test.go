package platform_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxyFault is what a proxy does to the connections through it.
type proxyFault string

const (
	passing  proxyFault = ""
	delaying proxyFault = "delay"   // each piece is held for some milliseconds
	refusing proxyFault = "refuse"  // new connections are reset
	halfCut  proxyFault = "one way" // answers are lost, requests arrive
	silent   proxyFault = "silent"  // nothing passes; connections made now stay silent for good
)

// proxy forwards TCP connections to a stand-in and harms them on demand. mu guards the fields below it.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]struct{}
}

func newProxy(l net.Listener, target string) *proxy {
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.run()
	return p
}

func (p *proxy) set(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) now() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset resets a share of the open connections.
func (p *proxy) reset(share float64, rnd *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if rnd.Float64() < share {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // the close is then a reset
			}
			c.Close()
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset(2, rand.New(rand.NewPCG(1, 1)))
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == refusing {
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
	p.mu.Lock()
	p.conns[c] = struct{}{}
	muted := p.fault == silent
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	go func() {
		p.copy(out, c, muted, false)
		out.Close()
	}()
	p.copy(c, out, muted, true)
}

// copy forwards one direction. A muted connection reads on and forwards nothing.
func (p *proxy) copy(to, from net.Conn, muted, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			f := p.now()
			switch {
			case muted, f == silent, f == halfCut && answers:
				muted = true // what is lost leaves a gap, so the connection never works again
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
			if muted && err == io.EOF {
				time.Sleep(time.Second) // the other side must not learn of the end from us at once
			}
			return
		}
	}
}
