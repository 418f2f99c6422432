package hedge

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

const (
	// minArrivalChance is the least probability of arrival at which a latency-first search waits for a part after its goal.
	minArrivalChance = 0.5
	// recheckSteps is the number of steps between goal and end at which the probabilities are estimated again: they fall
	// while a part is missing.
	recheckSteps = 4
	// minRecheck is the shortest such step; it bounds the work of the estimates.
	minRecheck = time.Millisecond
)

// PartWait decides how long a search waits for its missing parts. It is a value; use one per search.
type PartWait struct {
	Policy  config.Policy
	Goal    time.Duration // the latency goal, from the start of the search; used by latency-first groups
	Budget  time.Duration // the time budget, from the start of the search
	Reserve time.Duration // time to merge the parts and to send the answer to the caller
}

// MissingPart is a part that a search still waits for.
type MissingPart struct {
	Estimator *Estimator    // of the part's service; nil when unknown
	Elapsed   time.Duration // since the start of its latest attempt in flight
	Lost      bool          // no attempt in flight, and none will follow
}

// End returns the time from the start of the search at which it must answer.
func (w PartWait) End() time.Duration { return max(0, w.Budget-w.Reserve) }

// Decide returns whether to answer now, elapsed after the start, and otherwise the time after which to call it again. Call it
// earlier when a part arrives or is lost.
func (w PartWait) Decide(elapsed time.Duration, missing []MissingPart) (answer bool, recheckAfter time.Duration) {
	left := w.End() - elapsed
	if left <= 0 || allLost(missing) {
		return true, 0
	}
	if !w.UsesArrivalChances(elapsed) {
		if w.Policy == config.LatencyFirst && w.Goal > 0 {
			left = min(left, w.Goal-elapsed)
		}
		return false, left
	}
	if !anyArrivalLikely(missing, left) {
		return true, 0
	}
	return false, min(left, max(minRecheck, (w.End()-w.Goal)/recheckSteps))
}

// UsesArrivalChances reports whether Decide uses the arrival probabilities of the missing parts. Otherwise it needs to know
// only whether any of them is not lost.
func (w PartWait) UsesArrivalChances(elapsed time.Duration) bool {
	return w.Policy == config.LatencyFirst && w.Goal > 0 && elapsed >= w.Goal
}

func allLost(missing []MissingPart) bool {
	for _, m := range missing {
		if !m.Lost {
			return false
		}
	}
	return true
}

func anyArrivalLikely(missing []MissingPart, left time.Duration) bool {
	for _, m := range missing {
		if m.Lost {
			continue
		}
		if m.Estimator == nil || m.Estimator.ArrivalChance(m.Elapsed, left) >= minArrivalChance {
			return true
		}
	}
	return false
}
