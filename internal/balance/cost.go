package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// assumedLatency stands in while no target of the service has been observed.
	assumedLatency = 5 * time.Millisecond
	// failPenalty is the cost of a certain failure in typical latencies: the hedge or retry that follows it.
	failPenalty = 10
	// shedPenalty is the cost of a target that just shed load, in typical latencies: another such answer and a new try.
	shedPenalty = 2
	// hintPenalty raises the cost of a target whose published health is bad and that has no recent own observation.
	hintPenalty = 1.5
	// hintTrust is the age of own observations from which published health counts.
	hintTrust = 5 * time.Second
	// hintLife is the age at which published health no longer counts.
	hintLife = 10 * time.Second
	// tieShare is the difference of costs under which targets count as equal, so that noise in the estimates does not
	// send all calls to one of them.
	tieShare = 0.05
)

// cost is the expected time in ns until a response from s: service time, own queue, hop, and the risk of a failure.
func (p *Picker) cost(s *state, reference time.Duration, now time.Time) float64 {
	service := p.serviceTime(s, reference, now)
	cost := service + float64(s.Hop)
	if waiting := s.inFlight + 1 - s.Slots; waiting > 0 {
		cost += float64(waiting) * service / float64(s.Slots)
	}
	cost += float64(s.overdue(time.Duration(service)+s.Hop, now))
	cost += s.failRate * s.freshness(now) * failPenalty * float64(reference)
	if now.Before(s.shedUntil) {
		cost += shedPenalty * float64(reference)
	}
	if s.hintBad && now.Sub(s.hintAt) < hintLife && now.Sub(s.seen) > hintTrust {
		cost *= hintPenalty
	}
	return cost
}

// serviceTime is the target's own latency, drawn towards the reference as it ages. An ejected target keeps its
// latency: only probes show that it recovered.
func (p *Picker) serviceTime(s *state, reference time.Duration, now time.Time) float64 {
	own := s.typical()
	if own == 0 {
		return float64(reference)
	}
	if s.phase != phaseActive {
		return float64(own)
	}
	return float64(reference) + s.freshness(now)*float64(own-reference)
}

// reference is the lower median of the latencies of all targets but one.
func (p *Picker) reference(without *state) time.Duration {
	var buffer [16]time.Duration
	known := buffer[:0]
	for _, s := range p.targets {
		if s != without && s.samples > 0 && !s.isLeaving() {
			known = append(known, s.typical())
		}
	}
	if len(known) == 0 {
		return assumedLatency
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// cheapest returns the candidate with the least cost; equal ones are chosen at random.
func (p *Picker) cheapest(candidates []*state, now time.Time, rnd *rand.Rand) *state {
	if n := p.config.sample; n > 0 && n < len(candidates) {
		candidates = slices.Clone(candidates)
		rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:n]
	}
	reference := p.reference(nil)
	costs := make([]float64, len(candidates))
	least := 0.0
	for i, s := range candidates {
		costs[i] = p.cost(s, reference, now)
		if i == 0 || costs[i] < least {
			least = costs[i]
		}
	}
	var best *state
	ties := 0
	for i, s := range candidates {
		if costs[i] > least*(1+tieShare) {
			continue
		}
		ties++
		if rnd.IntN(ties) == 0 {
			best = s
		}
	}
	return best
}

// overdueFactor is the age of a call in flight, in expected latencies, from which it counts as evidence that the target
// has stalled.
const overdueFactor = 2

// overdue is the further wait that the oldest call in flight suggests: a call that has outlived its expected time by far
// can be expected to take about as long again. It tells of a stall before any call has ended.
func (s *state) overdue(expected time.Duration, now time.Time) time.Duration {
	if len(s.started) == 0 {
		return 0
	}
	age := now.Sub(s.started[0])
	if age < overdueFactor*expected {
		return 0
	}
	return age
}

// forgetStart removes the start of a call that ended.
func (s *state) forgetStart(at time.Time) {
	for i, t := range s.started {
		if t.Equal(at) {
			s.started = append(s.started[:i], s.started[i+1:]...)
			return
		}
	}
}
