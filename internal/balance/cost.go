package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultLatency is the reference latency while no target of the service has been observed.
	defaultLatency = 5 * time.Millisecond
	// failurePenalty is the cost added at a failure rate of 1, in multiples of the reference latency: the hedge or retry
	// that follows a failure.
	failurePenalty = 10
	// shedPenalty is the cost added to a target that just shed load, in multiples of the reference latency: another refusal
	// and a new attempt.
	shedPenalty = 2
	// unhealthyPenalty multiplies the cost of a target whose published health is bad and that has no recent own observation.
	unhealthyPenalty = 1.5
	// ownObservationMaxAge is the age up to which own observations override published health.
	ownObservationMaxAge = 5 * time.Second
	// publishedHealthTTL is the age from which published health no longer counts.
	publishedHealthTTL = 10 * time.Second
	// tieTolerance is the relative difference of costs up to which targets count as equal, so that noise in the estimates
	// does not send all calls to one of them.
	tieTolerance = 0.05
)

// cost estimates the time in ns until a response from s: service time, the own calls queued there, the round trip and an
// overdue call, plus penalties for the risk of a failure, recent shedding and bad published health.
func (p *Picker) cost(s *targetState, reference time.Duration, now time.Time) float64 {
	service := p.serviceTime(s, reference, now)
	cost := service + float64(s.RTT)
	if waiting := s.inFlight + 1 - s.Slots; waiting > 0 {
		cost += float64(waiting) * service / float64(s.Slots)
	}
	cost += float64(s.overdueWait(time.Duration(service)+s.RTT, now))
	cost += s.failRate * s.freshness(now) * failurePenalty * float64(reference)
	if now.Before(s.shedUntil) {
		cost += shedPenalty * float64(reference)
	}
	if s.publishedUnhealthy && now.Sub(s.publishedAt) < publishedHealthTTL && now.Sub(s.lastObserved) > ownObservationMaxAge {
		cost *= unhealthyPenalty
	}
	return cost
}

// serviceTime is the target's own mean latency, pulled towards the reference as it ages. The latency of an ejected target
// does not age: only probes show that it recovered.
func (p *Picker) serviceTime(s *targetState, reference time.Duration, now time.Time) float64 {
	own := s.meanLatency()
	if own == 0 {
		return float64(reference)
	}
	if s.phase != phaseActive {
		return float64(own)
	}
	return float64(reference) + s.freshness(now)*float64(own-reference)
}

// referenceLatency is the lower median of the mean latencies of all targets except one; nil excludes none.
func (p *Picker) referenceLatency(except *targetState) time.Duration {
	var buffer [16]time.Duration
	known := buffer[:0]
	for _, s := range p.targets {
		if s != except && s.samples > 0 && !s.isLeaving() {
			known = append(known, s.meanLatency())
		}
	}
	if len(known) == 0 {
		return defaultLatency
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// selectLeastCost returns the candidate with the least cost; ties are broken at random.
func (p *Picker) selectLeastCost(candidates []*targetState, now time.Time, rnd *rand.Rand) *targetState {
	if n := p.config.sampleSize; n > 0 && n < len(candidates) {
		candidates = slices.Clone(candidates)
		rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:n]
	}
	reference := p.referenceLatency(nil)
	costs := make([]float64, len(candidates))
	least := 0.0
	for i, s := range candidates {
		costs[i] = p.cost(s, reference, now)
		if i == 0 || costs[i] < least {
			least = costs[i]
		}
	}
	var best *targetState
	ties := 0
	for i, s := range candidates {
		if costs[i] > least*(1+tieTolerance) {
			continue
		}
		ties++
		if rnd.IntN(ties) == 0 {
			best = s
		}
	}
	return best
}

// overdueFactor is the age of a call in flight, in multiples of its expected latency, from which it suggests that the target
// has stalled.
const overdueFactor = 2

// overdueWait estimates the further wait from the age of the oldest call in flight: a call far beyond its expected time can
// be expected to take about as long again. This detects a stall before any call has ended.
func (s *targetState) overdueWait(expected time.Duration, now time.Time) time.Duration {
	if len(s.startTimes) == 0 {
		return 0
	}
	age := now.Sub(s.startTimes[0])
	if age < overdueFactor*expected {
		return 0
	}
	return age
}

// removeStartTime removes the start time of a call that ended.
func (s *targetState) removeStartTime(at time.Time) {
	for i, t := range s.startTimes {
		if t.Equal(at) {
			s.startTimes = append(s.startTimes[:i], s.startTimes[i+1:]...)
			return
		}
	}
}
