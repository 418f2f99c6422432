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
	// initialDelayDivisor sets the hedge delay until the estimator is ready: remaining time budget / initialDelayDivisor.
	initialDelayDivisor = 3
)

// Delay returns the time after the start of a part's first attempt at which to hedge it, and false when no hedge could
// complete in time. quantile is the share of attempts expected to have completed by then, floor the shortest delay, and
// remaining the part's time budget. When the quantile leaves too little time for a second attempt of median latency, the
// delay is shortened to leave that time.
func (e *Estimator) Delay(quantile float64, floor, remaining time.Duration) (time.Duration, bool) {
	if quantile <= 0 || quantile >= 1 {
		quantile = DefaultQuantile
	}
	delay, ready := e.Quantile(quantile)
	typical := api.MinAttemptBudget
	if !ready {
		delay = remaining / initialDelayDivisor
	} else {
		typical = max(typical, e.median())
	}
	delay = min(max(delay, floor), remaining-typical)
	return delay, delay >= floor
}

// median keeps its own cached value, because e.cache holds the hedge quantile.
func (e *Estimator) median() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.medianRemaining <= 0 {
		e.medianValue, e.medianRemaining = e.quantile(0.5), refreshObservations
	}
	return e.medianValue
}

// Reason says why a second attempt is made or not made.
type Reason string

// Reasons for decisions about hedges and retries.
const (
	ReasonAllowed    Reason = "go"
	ReasonAnswered   Reason = "answered"
	ReasonIsolated   Reason = "isolated"  // the request runs in isolation: no hedge, no retry on another target
	ReasonTooEarly   Reason = "too_early" // the hedge delay has not passed
	ReasonNoTarget   Reason = "no_target" // no other target can take the attempt
	ReasonNoTime     Reason = "no_time"   // a second attempt could not complete
	ReasonHedgeLimit Reason = "spent"     // the part has had MaxHedges hedges
	ReasonBudget     Reason = "budget"    // the budget is empty, closed, or reserved for retries
	ReasonOverload   Reason = "overload"  // searches queue for admission
	ReasonPermanent  Reason = "permanent" // another attempt would fail in the same way
	ReasonInFlight   Reason = "under_way" // another attempt of the part may still answer
)

// State describes a part when a second attempt is considered.
type State struct {
	Answered       bool          // a validated response has arrived
	Isolated       bool          // the request is suspected of crashing targets and runs in isolation
	Elapsed        time.Duration // since the first attempt was started
	Delay          time.Duration // from Estimator.Delay
	Remaining      time.Duration // until the part's response is due
	Hedges         int           // hedges made so far
	UntriedTargets int           // targets that were not tried and could take the attempt
	Overload       bool          // searches queue for admission: no hedges, and retries only of unsent attempts
	InFlight       int           // attempts that have not ended
	Unsent         bool          // the attempt to retry caused no work at a target: not written, or shed by a relay's queue
	Refused        bool          // the target of the attempt to retry refused it for now and may accept it later
}

// ShouldHedge decides whether to hedge and, if so, withdraws a token from the budget. On ReasonBudget, call it again after
// another Delay: hedging at the p95 uses about the whole budget, so a call to a stalled target may never be hedged if it is
// considered only once. For retryReserveTime after a retry found no token, hedges get none: a retry replaces a lost part, a
// hedge only a late one.
func ShouldHedge(s State, b *Budget, now time.Time) Reason {
	switch {
	case s.Answered:
		return ReasonAnswered
	case s.Isolated:
		return ReasonIsolated
	case s.Hedges >= MaxHedges:
		return ReasonHedgeLimit
	case s.Elapsed < s.Delay:
		return ReasonTooEarly
	case s.Overload:
		return ReasonOverload
	case s.UntriedTargets <= 0:
		return ReasonNoTarget
	case s.Remaining < api.MinAttemptBudget:
		return ReasonNoTime
	case !b.WithdrawHedge(now):
		return ReasonBudget
	}
	return ReasonAllowed
}

// ShouldRetry decides whether to make another attempt after one failed and, if so, withdraws a token from the budget. It
// ignores Delay and Hedges. retriable is false for failures that another target would repeat. A retry of an unsent attempt is
// the first load that the attempt puts on a target, so it costs no token, is made under overload too, and does not need a
// target that counts in UntriedTargets. A failed attempt is not retried while another one may still answer.
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
		return ReasonAllowed
	case s.InFlight > 0 && !s.Refused:
		return ReasonInFlight
	case s.Overload:
		return ReasonOverload
	case s.UntriedTargets <= 0:
		return ReasonNoTarget
	case !b.WithdrawRetry(now):
		return ReasonBudget
	}
	return ReasonAllowed
}
