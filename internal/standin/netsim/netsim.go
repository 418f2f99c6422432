// Package netsim simulates the network between failure domains, with delays and partitions. It wraps the dial
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

// ErrPartitioned is the error of a dial between two locations that are partitioned.
var ErrPartitioned = eris.New("network between the failure domains is cut")

// Network connects locations, which are failure domains or the platform. mu guards the fields below it.
type Network struct {
	delay  time.Duration
	jitter time.Duration
	memory *memoryTransport // nil means TCP

	mu         sync.Mutex
	rnd        *rand.Rand
	locations  map[string]string  // location of each listen address
	partitions map[[2]string]bool // by locationPair
	conns      map[*conn]struct{}
}

// New returns a TCP network with a one-way delay between different locations, plus a random delay of less than jitter.
func New(delay, jitter time.Duration, seed uint64) *Network {
	return &Network{
		delay: delay, jitter: jitter, rnd: rand.New(rand.NewPCG(seed, 0)),
		locations: map[string]string{}, partitions: map[[2]string]bool{}, conns: map[*conn]struct{}{},
	}
}

// SetLocation assigns a listen address to a location.
func (n *Network) SetLocation(address, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = location
}

// Partition partitions the network between two locations. Connections between them stay open but deliver nothing, as when
// packets are dropped.
func (n *Network) Partition(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends a partition. Data that was written during it is delivered, as TCP does by retransmission.
func (n *Network) Heal(a, b string) { n.setPartitioned(a, b, false) }

// setPartitioned wakes the affected connections after it has released mu. A pipe calls isPartitioned, which takes mu, while
// it holds its own lock, so waking a pipe under mu would take the two locks in the opposite order and deadlock.
func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	n.partitions[locationPair(a, b)] = partitioned
	var affected []*conn
	for c := range n.conns {
		if locationPair(c.from, c.to) == locationPair(a, b) {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		c.wakePipes()
	}
}

// Silence makes a random share of the open connections between different locations deliver nothing for good. They stay open,
// and new connections work. It returns the number of connections that it silenced.
func (n *Network) Silence(share float64) (silenced int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if n.rnd.Float64() < share {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced
}

// locationPair returns the same key for (a, b) and (b, a).
func locationPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *Network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[locationPair(a, b)]
}

// oneWayDelay returns the delay of one message between two locations.
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

// Dialer returns the dial function of a process in the given location. A dial to
// another location takes one round trip.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.locations[address]
		n.mu.Unlock()
		if n.isPartitioned(from, to) {
			<-ctx.Done() // packets are dropped, so a dial times out
			return nil, eris.Wrap(ErrPartitioned, address)
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
