// Package netsim simulates the network between failure domains, with delays and cuts (network partitions). It wraps the dial
// functions of nodes that run in one process.
package netsim

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCut is the error of a dial between two places that are cut.
var ErrCut = eris.New("network between the failure domains is cut")

// Network connects places, which are failure domains or the platform. mu guards the fields below it.
type Network struct {
	delay  time.Duration
	jitter time.Duration
	memory *memoryTransport // nil means TCP

	mu     sync.Mutex
	rnd    *rand.Rand
	places map[string]string  // place of each listen address
	cuts   map[[2]string]bool // by placePair
	conns  map[*conn]struct{}
}

// New returns a TCP network with a one-way delay between different places, plus a random delay of less than jitter.
func New(delay, jitter time.Duration, seed uint64) *Network {
	return &Network{
		delay: delay, jitter: jitter, rnd: rand.New(rand.NewPCG(seed, 0)),
		places: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[*conn]struct{}{},
	}
}

// Place assigns a listen address to a place.
func (n *Network) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
}

// Cut partitions the network between two places. Connections between them stay open but deliver nothing, as when packets
// are dropped.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut. Data that was written during the cut is delivered, as TCP does by retransmission.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// setCut wakes the affected connections after it has released mu. A pipe calls isCut, which takes mu, while it holds its own
// lock, so waking a pipe under mu would take the two locks in the opposite order and deadlock.
func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	n.cuts[placePair(a, b)] = cut
	var affected []*conn
	for c := range n.conns {
		if placePair(c.from, c.to) == placePair(a, b) {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		c.wakePipes()
	}
}

// placePair returns the same key for (a, b) and (b, a).
func placePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[placePair(a, b)]
}

// oneWayDelay returns the delay of one message between two places.
func (n *Network) oneWayDelay(a, b string) time.Duration {
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

// Dialer returns the dial function of a process in the given place. A dial to
// another place takes one round trip.
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
		if err := sleep(ctx, 2*n.oneWayDelay(from, to)); err != nil {
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
