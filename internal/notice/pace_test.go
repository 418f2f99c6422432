package notice

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// countSent reserves whenever a request may be sent, with demand at random moments, and returns the most requests in any 4 s.
func countSent(paces []*Pace, demand float64, start time.Time, seed uint64) (most int) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var sent []time.Time
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(time.Duration(rnd.ExpFloat64() / demand * float64(time.Second))) {
		if _, ok := paces[rnd.IntN(len(paces))].Reserve(at, 0); ok {
			sent = append(sent, at)
		}
	}
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a limit that nodes exceed together, from a few nodes with a large limit to many nodes with a small one, whatever the
// load.
func TestPacesTogetherKeepTheLimit(t *testing.T) {
	for _, c := range []struct {
		nodes         int
		limit, demand float64
	}{
		{4, 36, 500}, {9, 36, 60}, {9, 3, 60}, {61, 20, 37}, {61, 20, 200}, {295, 30, 90}, {295, 10, 24}, {1800, 40, 2000},
	} {
		g := NewWithT(t)
		phases := rand.New(rand.NewPCG(1, 3))
		var paces []*Pace
		for range c.nodes {
			p := NewPace(phases.Float64())
			p.SetNodes(c.nodes, t0)
			p.Hear(Notice{Limited: true, RequestsPerSecond: c.limit}, t0.Add(-time.Minute))
			paces = append(paces, p)
		}
		for seed := range uint64(5) {
			start := t0.Add(time.Duration(seed) * time.Minute) // after a quiet time
			g.Expect(float64(countSent(paces, c.demand, start, seed))).To(BeNumerically("<=", 1.5*4*c.limit+5), "%+v seed %d", c, seed)
		}
	}
}

// Guards against a target that is never asked again after it named 0, and against a wait that outlives a higher limit.
func TestPaceLeavesAWayBack(t *testing.T) {
	g := NewWithT(t)
	p := NewPace(0)
	p.SetNodes(4, t0)
	p.Hear(Notice{Limited: true}, t0)
	_, ok := p.Reserve(t0, 0)
	g.Expect(ok).To(BeTrue())
	wait, ok := p.Reserve(t0, time.Second)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(8 * time.Second))
	g.Expect(p.Hear(Notice{Limited: true, RequestsPerSecond: 40}, t0)).To(BeFalse())
	g.Expect(p.Wait(t0)).To(BeNumerically("<=", 100*time.Millisecond))
	g.Expect(p.Hear(Notice{}, t0)).To(BeTrue())
	g.Expect(p.Wait(t0)).To(BeZero())
}

// Guards against a reservation that was not used and still counts.
func TestReturnedReservationIsAvailable(t *testing.T) {
	g := NewWithT(t)
	p := NewPace(0)
	p.SetNodes(10, t0)
	p.Hear(Notice{Limited: true, RequestsPerSecond: 10}, t0)
	_, ok := p.Reserve(t0, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(p.Wait(t0)).To(Equal(time.Second))
	p.Return(t0, t0)
	g.Expect(p.Wait(t0)).To(BeZero())
	_, ok = p.Reserve(t0, 0)
	g.Expect(ok).To(BeTrue())
	p.Return(t0, t0.Add(900*time.Millisecond))
	g.Expect(p.Wait(t0.Add(900*time.Millisecond))).To(Equal(100*time.Millisecond), "a request that has lapsed is lost")
}

// Guards against requests that fell due long ago and are sent beside those that are due now.
func TestLapsedReservationTakesTheNextPlace(t *testing.T) {
	g := NewWithT(t)
	p := NewPace(0)
	p.Hear(Notice{Limited: true, RequestsPerSecond: 10}, t0)
	for range 10 { // requests fall due until t0 + 0.9 s
		_, ok := p.Reserve(t0, time.Second)
		g.Expect(ok).To(BeTrue())
	}
	g.Expect(p.Redeem(t0, t0.Add(maxReservationAge))).To(BeTrue())
	g.Expect(p.Redeem(t0, t0.Add(900*time.Millisecond))).To(BeFalse(), "the next one falls due at t0 + 1 s")
	g.Expect(p.Redeem(t0, t0.Add(time.Second))).To(BeTrue())
	g.Expect(p.Wait(t0.Add(time.Second))).To(Equal(100*time.Millisecond), "it took the place of the next one")
}
