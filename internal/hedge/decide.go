package hedge

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

const (
	// DefaultQuantile is the latency quantile after which a part is hedged.
	DefaultQuantile = 0.95
	// DefaultFloor is the shortest hedge delay; a second attempt sooner costs more than it saves.
	DefaultFloor = 2 * time.Millisecond
	// MaxHedges is the number of hedges per part.
	MaxHedges = 1
	// initialShare is the share of the remaining budget after which a part is hedged before the estimator is ready.
	initialShare = 3
)

// Delay returns the time after the start of a part's first attempt at which to hedge it, and false when no hedge could
// still complete: quantile is the share of attempts expected to be back by then, floor the shortest delay, remaining
// the part's time budget. When the quantile leaves no room for a typical second attempt, the delay is shortened to
// leave that room.
func (e *Estimator) Delay(quantile float64, floor, remaining time.Duration) (time.Duration, bool) {
	if quantile <= 0 || quantile >= 1 {
		quantile = DefaultQuantile
	}
	delay, ready := e.Quantile(quantile)
	typical := api.MinAttemptBudget
	if !ready {
		delay = remaining / initialShare
	} else {
		typical = max(typical, e.median())
	}
	delay = min(max(delay, floor), remaining-typical)
	return delay, delay >= floor
}

// median does not use the cache, which holds the hedge quantile.
func (e *Estimator) median() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.medianLeft <= 0 {
		e.medianValue, e.medianLeft = e.quantile(0.5), refreshEvery
	}
	return e.medianValue
}

// Reason says why a second attempt is made or not.
type Reason string

// Reasons of decisions about hedges and retries.
const (
	ReasonGo        Reason = "go"
	ReasonAnswered  Reason = "answered"
	ReasonIsolated  Reason = "isolated"  // the request runs alone: no hedge, no retry on another target
	ReasonTooEarly  Reason = "too_early" // the hedge delay has not passed
	ReasonNoTarget  Reason = "no_target" // no other target can take the attempt
	ReasonNoTime    Reason = "no_time"   // a second attempt could not complete
	ReasonSpent     Reason = "spent"     // the part has had its hedge
	ReasonBudget    Reason = "budget"    // the budget is empty, or left to retries
	ReasonOverload  Reason = "overload"  // searches queue for admission
	ReasonPermanent Reason = "permanent" // another attempt would fail in the same way
	ReasonUnderWay  Reason = "under_way" // another attempt of the part may still answer
)

// State is what is known about a part when a second attempt is considered.
type State struct {
	Answered  bool          // a checked response has arrived
	Isolated  bool          // the request is suspect and runs alone
	Elapsed   time.Duration // since the first attempt was started
	Delay     time.Duration // from Estimator.Delay
	Remaining time.Duration // until the part must be back
	Hedges    int           // hedges made so far
	Others    int           // targets that were not tried and could take the attempt
	Overload  bool          // searches queue for admission: hedges and retries wait
	UnderWay  int           // attempts that have not ended
	Unsent    bool          // the attempt to retry left no work behind: not written, or shed by a relay's queue
	Refused   bool          // the target of the attempt to retry refused for now and may take it again
}

// ShouldHedge decides on a hedge and, when it decides for it, withdraws from the budget. On ReasonBudget, ask again
// after another Delay: the demand of a p95 delay is about the whole budget, so a frozen target's call that asks only
// once can stay without a hedge. While retries find no token, hedges leave the tokens to them: a retry replaces a lost
// part, a hedge only a late one.
func ShouldHedge(s State, b *Budget, now time.Time) Reason {
	switch {
	case s.Answered:
		return ReasonAnswered
	case s.Isolated:
		return ReasonIsolated
	case s.Hedges >= MaxHedges:
		return ReasonSpent
	case s.Elapsed < s.Delay:
		return ReasonTooEarly
	case s.Overload:
		return ReasonOverload
	case s.Others <= 0:
		return ReasonNoTarget
	case s.Remaining < api.MinAttemptBudget:
		return ReasonNoTime
	case !b.WithdrawHedge(now):
		return ReasonBudget
	}
	return ReasonGo
}

// ShouldRetry decides on another attempt after one failed, and withdraws from the budget for it. It ignores Delay and
// Hedges. Retriable is false for failures that another target would repeat. A retry of an unsent attempt is the first
// load that a target sees of it, so it costs no budget, is made under overload too, and may go to a target that is no
// good choice otherwise. A failed attempt is not retried while another one may still answer.
func ShouldRetry(s State, retriable bool, b *Budget, now time.Time) Reason {
	switch {
	case s.Answered:
		return ReasonAnswered
	case s.Isolated:
		return ReasonIsolated
	case !retriable:
		return ReasonPermanent
	case s.Remaining < api.MinAttemptBudget:
		return ReasonNoTime
	case s.Unsent:
		return ReasonGo
	case s.UnderWay > 0 && !s.Refused:
		return ReasonUnderWay
	case s.Overload:
		return ReasonOverload
	case s.Others <= 0:
		return ReasonNoTarget
	case !b.WithdrawRetry(now):
		return ReasonBudget
	}
	return ReasonGo
}
