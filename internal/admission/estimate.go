package admission

import (
	"math"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

const (
	// serviceTimeGain is the weight of a new search time in the moving means, which thus cover about the last 20
	// searches.
	serviceTimeGain = 0.05
	// deviationFactor is the distance, in mean deviations, of two thresholds of the remaining time from the mean search
	// time. Below the upper one a queued search is dropped (see minRemainingQueued), below the lower one a new search is
	// refused (see minRemaining).
	deviationFactor = 2
	// maxRelativeDeviation bounds the mean deviation as a fraction of the mean. With a straggler a few searches take
	// very long; without the bound, their deviation would empty the queue although most searches still complete
	// quickly.
	maxRelativeDeviation = 0.5
	// estimateHalfLife is the half-life of an estimate that is not renewed; the decay begins at this age. Without
	// decay, an estimate above all offered time budgets would refuse every search and could never be corrected.
	estimateHalfLife = time.Second
)

// serviceTimeEstimator tracks how long admitted searches run, in ns.
type serviceTimeEstimator struct {
	occupancy       float64   // moving mean over all searches: how long a search counts towards the limit
	mean, deviation float64   // moving mean and mean deviation over complete searches
	lastComplete    time.Time // when the last complete search ended
}

func (s *serviceTimeEstimator) setInitial(d time.Duration) {
	s.occupancy, s.mean = float64(d), float64(d)
}

// observe adds the time of a search. An incomplete search ends at the latency goal or the deadline, which says nothing
// about the time that a search needs.
func (s *serviceTimeEstimator) observe(d time.Duration, complete bool, now time.Time) {
	v := float64(max(d, 0))
	s.occupancy += serviceTimeGain * (v - s.occupancy)
	if !complete {
		return
	}
	diff := v - s.mean
	s.mean += serviceTimeGain * diff
	s.deviation += serviceTimeGain * (math.Abs(diff) - s.deviation)
	s.lastComplete = now
}

// minRemainingQueued is the remaining time below which a queued search is dropped.
func (s *serviceTimeEstimator) minRemainingQueued(now time.Time) time.Duration {
	return s.decayed(s.mean+deviationFactor*min(s.deviation, maxRelativeDeviation*s.mean), now)
}

// minRemaining is the remaining time below which a search is refused although there is room for it.
func (s *serviceTimeEstimator) minRemaining(now time.Time) time.Duration {
	return max(api.MinAttemptBudget, s.decayed(s.mean-deviationFactor*s.deviation, now))
}

func (s *serviceTimeEstimator) decayed(v float64, now time.Time) time.Duration {
	if s.lastComplete.IsZero() {
		return time.Duration(v)
	}
	if age := now.Sub(s.lastComplete) - estimateHalfLife; age > 0 {
		v *= math.Exp2(-float64(age) / float64(estimateHalfLife))
	}
	return time.Duration(v)
}

// expectedWait estimates the time until a further search of c would start. Virtual time guarantees the caller its
// weighted share of the rate while others queue, so the searches ahead of it are its own queue divided by that share.
func (q *Queue) expectedWait(c *caller) time.Duration {
	rate := float64(q.limit.current()) / max(q.serviceTime.occupancy, 1)
	total := c.weight
	for _, o := range q.callers {
		if o != c && o.queued > 0 {
			total += o.weight
		}
	}
	ahead := float64(c.queued+1) * total / c.weight
	// No search waits behind more than the whole queue.
	return time.Duration(min(ahead, float64(q.queued+1)) / rate)
}

// evictionCandidate returns the queued search to drop for one of c when the queue is full, or nil. It belongs to the
// caller with the most queued searches per weight, provided that c would have fewer. It is the search with the latest
// deadline in the flow of that caller with the lowest weight.
func (q *Queue) evictionCandidate(c *caller) *queuedSearch {
	var mostQueued *caller
	for _, o := range q.callers {
		if o.queued == 0 {
			continue
		}
		if mostQueued == nil || o.queuedPerWeight() > mostQueued.queuedPerWeight() ||
			o.queuedPerWeight() == mostQueued.queuedPerWeight() && o.name < mostQueued.name {
			mostQueued = o
		}
	}
	if mostQueued == nil || mostQueued == c || mostQueued.queuedPerWeight() <= float64(c.queued+1)/c.weight {
		return nil
	}
	var lowestWeight *flow
	for _, f := range mostQueued.flows {
		if len(f.entries) > 0 && (lowestWeight == nil || f.weight < lowestWeight.weight) {
			lowestWeight = f
		}
	}
	return lowestWeight.latest()
}

// queuedPerWeight returns the number of queued searches divided by the weight of the caller.
func (c *caller) queuedPerWeight() float64 { return float64(c.queued) / c.weight }
