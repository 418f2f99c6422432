package balance

import (
	"math"
	"slices"
	"time"
)

// Target is a target as the configuration lists it.
type Target struct {
	ID     string
	Domain string        // failure domain
	Slots  int           // calls that the target runs at once
	RTT    time.Duration // estimated round trip to it; relays set 0 in their own failure domain
	// Warm is set for a target that was running before it was first listed here. WarmupLeft is what remains of the slow start
	// of a target that began it earlier. Without either, a new target goes through the whole slow start.
	Warm       bool
	WarmupLeft time.Duration
}

// phase is the state of a target in outlier ejection.
type phase int

const (
	phaseActive    phase = iota
	phaseEjected         // receives nothing until ejectedUntil, then single probes
	phaseProbation       // the ejection time has passed; single probes decide whether it is readmitted
)

// targetState is what the picker knows about one target.
type targetState struct {
	Target
	incarnation          string
	previousIncarnations []string // earlier incarnations; a late response from one of them is not a restart
	leavingIncarnations  []string // incarnations that were reported as leaving; "" while the incarnation is unknown
	inFlight             int
	startTimes           []time.Time // of the calls in flight, the oldest first

	logLatency          float64 // moving mean of the logarithm of the latency in ns, without the round trip
	samples             int
	lastObserved        time.Time // last own observation of latency or failure
	failRate            float64   // moving share of failed calls
	consecutiveFailures int
	slowStreak          int       // consecutive calls slower than slowFactor × the reference latency of the others
	slowSince           time.Time // end of the first call of the streak
	pending             pendingEvidence

	phase                phase
	ejectedUntil         time.Time
	suspectUntil         time.Time // looks bad, but the cap on ejections was reached
	consecutiveEjections int       // for the back-off
	readmittedAt         time.Time
	probeInFlight        bool
	probesPassed         int

	coldSince          time.Time // start of the slow start
	shedUntil          time.Time
	publishedUnhealthy bool
	publishedAt        time.Time
}

const (
	// normalLatencyWeight is the weight of a new latency in the moving mean, which then rests on about the last 10 calls.
	normalLatencyWeight = 0.2
	// slowLatencyWeight is the weight of a latency that is slow compared to the other targets. It is larger because each
	// further call to a target that has become slow costs more than avoiding a good target for a moment.
	slowLatencyWeight = 0.5
	// outcomeWeight is the weight of a new success or failure in the failure rate.
	outcomeWeight = 0.2
	// observationHalfLife is the time after which the observations of an unused target count half, so that it is tried again.
	observationHalfLife = 5 * time.Second
	// maxPreviousIncarnations bounds the incarnations that are remembered per target.
	maxPreviousIncarnations = 8
)

// noteIncarnation records the incarnation that a target reported. It returns true when the target has restarted.
func (s *targetState) noteIncarnation(incarnation string, now time.Time) bool {
	if incarnation == "" || incarnation == s.incarnation || slices.Contains(s.previousIncarnations, incarnation) {
		return false
	}
	first := s.incarnation == ""
	if !first {
		s.previousIncarnations = appendBounded(s.previousIncarnations, s.incarnation)
	}
	s.incarnation = incarnation
	if first {
		s.bindLeavingMark()
		return false
	}
	s.resetForRestart(now)
	return true
}

// resetForRestart discards what was observed of the previous incarnation; the new one is cold.
func (s *targetState) resetForRestart(now time.Time) {
	s.logLatency, s.samples, s.failRate, s.consecutiveFailures, s.slowStreak = 0, 0, 0, 0, 0
	s.phase, s.consecutiveEjections, s.probesPassed = phaseActive, 0, 0
	s.suspectUntil, s.shedUntil, s.coldSince, s.pending = time.Time{}, time.Time{}, now, pendingEvidence{}
}

// bindLeavingMark assigns a leaving mark without an incarnation to the first incarnation that is seen: it may be the process
// that was marked, and a leaving target must not receive new work.
func (s *targetState) bindLeavingMark() {
	if i := slices.Index(s.leavingIncarnations, ""); i >= 0 {
		s.leavingIncarnations[i] = s.incarnation
	}
}

func (s *targetState) isLeaving() bool {
	if len(s.leavingIncarnations) == 0 {
		return false
	}
	return s.incarnation == "" || slices.Contains(s.leavingIncarnations, s.incarnation)
}

func appendBounded(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	if len(list) >= maxPreviousIncarnations {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func (s *targetState) addLatency(d time.Duration, weight float64, now time.Time) {
	v := math.Log(float64(max(d, time.Microsecond)))
	if s.samples == 0 {
		s.logLatency = v
	} else {
		s.logLatency += weight * (v - s.logLatency)
	}
	s.samples++
	s.lastObserved = now
}

func (s *targetState) addOutcome(failed bool, now time.Time) {
	v := 0.0
	if failed {
		v = 1
	}
	s.failRate += outcomeWeight * (v - s.failRate)
	s.lastObserved = now
}

// freshness is the weight that the observations still have: 1 at the last one, halved every observationHalfLife.
func (s *targetState) freshness(now time.Time) float64 {
	age := now.Sub(s.lastObserved)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(observationHalfLife))
}

// meanLatency is the moving geometric mean of the latency, 0 without samples.
func (s *targetState) meanLatency() time.Duration {
	if s.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.logLatency))
}
