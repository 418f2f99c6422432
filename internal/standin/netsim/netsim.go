// Package netsim is a stand-in for the network between failure domains: it delays what crosses it and can cut it. It
// wraps the dial functions of nodes that run in one process.
package netsim

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCut is the error of a dial across a cut.
var ErrCut = eris.New("network between the failure domains is cut")

// Network connects places, which are failure domains or the platform. mu guards the fields below it.
type Network struct {
	delay  time.Duration
	jitter time.Duration
	memory *memory // nil connects over TCP

	mu     sync.Mutex
	rnd    *rand.Rand
	places map[string]string // by listen address
	cuts   map[[2]string]bool
	conns  map[*conn]struct{}
}

// New returns a network with a one-way delay between different places, plus a random part of up to jitter.
func New(delay, jitter time.Duration, seed uint64) *Network {
	return &Network{
		delay: delay, jitter: jitter, rnd: rand.New(rand.NewPCG(seed, 0)),
		places: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[*conn]struct{}{},
	}
}

// Place says in which place a listen address is.
func (n *Network) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
}

// Cut separates two places. Connections between them stay open but carry nothing, as when packets are dropped.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut. What was written meanwhile arrives, as retransmissions do.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// setCut wakes the connections concerned after it has released mu: a connection asks for cuts under its own lock, and the
// two locks in both orders made a deadlock.
func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	n.cuts[pair(a, b)] = cut
	var concerned []*conn
	for c := range n.conns {
		if pair(c.from, c.to) == pair(a, b) {
			concerned = append(concerned, c)
		}
	}
	n.mu.Unlock()
	for _, c := range concerned {
		c.changed()
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)]
}

// oneWay is the delay of one message between two places.
func (n *Network) oneWay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.delay
	if n.jitter > 0 {
		d += time.Duration(n.rnd.Int64N(int64(n.jitter)))
	}
	return d
}

// Dialer returns a dial function for a process in the given place.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[address]
		n.mu.Unlock()
		if n.isCut(from, to) {
			<-ctx.Done() // packets are dropped, so a dial times out
			return nil, eris.Wrap(ErrCut, address)
		}
		raw, err := n.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		if err := sleep(ctx, 2*n.oneWay(from, to)); err != nil {
			raw.Close()
			return nil, err
		}
		if from == to {
			return raw, nil
		}
		return n.wrap(raw, from, to), nil
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "dial")
	}
}
