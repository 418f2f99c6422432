package balance

import (
	"math"
	"slices"
	"time"
)

// Target is a candidate as the configuration names it.
type Target struct {
	ID     string
	Domain string        // failure domain
	Slots  int           // calls that the target runs at once
	Hop    time.Duration // measured round trip to it; 0 in the relay's own failure domain
	// Warm is set for a target that was running before it was first listed here, ColdLeft says how much longer another
	// one is cold. Without either, a new target passes through the whole slow start.
	Warm     bool
	ColdLeft time.Duration
}

// phase is the place of a target in outlier ejection.
type phase int

const (
	phaseActive    phase = iota
	phaseEjected         // receives nothing until ejectedUntil, then single probes
	phaseProbation       // ejection time has passed; single probes decide
)

// state is what the picker knows about one target.
type state struct {
	Target
	incarnation string
	past        []string // earlier incarnations; a late response from one of them is not a restart
	leaving     []string // incarnations that were reported as leaving; "" while the incarnation is unknown
	inFlight    int
	started     []time.Time // starts of the calls in flight, the oldest first

	logLatency float64 // moving mean of the logarithm of the latency in ns, without the hop
	samples    int
	seen       time.Time // last own observation of latency or failure
	failRate   float64   // moving share of failed calls
	failures   int       // consecutive
	slow       int       // consecutive calls slower than slowFactor × the others
	slowSince  time.Time // end of the first of them
	untold     untold

	phase        phase
	ejectedUntil time.Time
	suspectUntil time.Time // looks bad, but the cap on ejections was reached
	ejections    int       // consecutive, for the back-off
	readmitted   time.Time
	probing      bool
	probesPassed int

	coldSince time.Time // start of the slow start
	shedUntil time.Time
	hintBad   bool
	hintAt    time.Time
}

const (
	// latencyGain weighs a new latency; the mean then rests on about the last 10 calls.
	latencyGain = 0.2
	// slowGain weighs a latency that is slow in relation to the other targets: a target that has become slow costs each
	// further call more than a good one that is avoided for a moment.
	slowGain = 0.5
	// failGain weighs a new success or failure.
	failGain = 0.2
	// forgetHalfLife ages what is known about a target that is not used, so that it is tried again.
	forgetHalfLife = 5 * time.Second
	// maxPast bounds the incarnations that are remembered per target.
	maxPast = 8
)

// noteIncarnation notes the incarnation that a response reported. It returns true for a restart.
func (s *state) noteIncarnation(incarnation string, now time.Time) bool {
	if incarnation == "" || incarnation == s.incarnation || slices.Contains(s.past, incarnation) {
		return false
	}
	first := s.incarnation == ""
	if !first {
		s.past = appendBounded(s.past, s.incarnation)
	}
	s.incarnation = incarnation
	if first {
		s.nameLeaving()
		return false
	}
	s.resetForRestart(now)
	return true
}

// resetForRestart forgets what was observed of the previous incarnation; the new one is cold.
func (s *state) resetForRestart(now time.Time) {
	s.logLatency, s.samples, s.failRate, s.failures, s.slow = 0, 0, 0, 0, 0
	s.phase, s.ejections, s.probesPassed = phaseActive, 0, 0
	s.suspectUntil, s.shedUntil, s.coldSince, s.untold = time.Time{}, time.Time{}, now, untold{}
}

// nameLeaving turns a mark without an incarnation into one for the incarnation that is seen first: it may be the same
// run, and a leaving target must not receive new work.
func (s *state) nameLeaving() {
	if i := slices.Index(s.leaving, ""); i >= 0 {
		s.leaving[i] = s.incarnation
	}
}

func (s *state) isLeaving() bool {
	if len(s.leaving) == 0 {
		return false
	}
	return s.incarnation == "" || slices.Contains(s.leaving, s.incarnation)
}

func appendBounded(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	if len(list) >= maxPast {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func (s *state) addLatency(d time.Duration, gain float64, now time.Time) {
	v := math.Log(float64(max(d, time.Microsecond)))
	if s.samples == 0 {
		s.logLatency = v
	} else {
		s.logLatency += gain * (v - s.logLatency)
	}
	s.samples++
	s.seen = now
}

func (s *state) addOutcome(failed bool, now time.Time) {
	v := 0.0
	if failed {
		v = 1
	}
	s.failRate += failGain * (v - s.failRate)
	s.seen = now
}

// freshness is the share of what was observed that still counts: 1 at once, halving with time.
func (s *state) freshness(now time.Time) float64 {
	age := now.Sub(s.seen)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(forgetHalfLife))
}

// typical is the moving geometric mean of the latency, 0 without samples.
func (s *state) typical() time.Duration {
	if s.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.logLatency))
}
