// Package attempts runs a request on one service until a target has answered: a first attempt, a hedge when it is late, and
// retries of failed attempts, within the retry budget of the service. It decides when attempts are made; a Launcher chooses the
// targets and makes the calls. Package relay uses it for the parts of searches of the product's own interface, package query
// for the requests of the platform interface.
package attempts

import (
	"context"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/hedge"
)

// Kind says why an attempt is made.
type Kind string

// Kinds of attempts.
const (
	First Kind = "first"
	Hedge Kind = "hedge"
	Retry Kind = "retry"
)

// Launch describes an attempt to be made.
type Launch struct {
	Kind Kind
	// Replaces is set when the attempt replaces one that caused no work at a target.
	Replaces bool
	// AllowRefused allows targets that refused the request before.
	AllowRefused bool
}

// FollowUp says what may follow an attempt that has ended.
type FollowUp struct {
	Final        bool // the run ends with this result
	NotRetriable bool // another attempt would fail in the same way; attempts in flight continue
	Unsent       bool // the attempt caused no work at a target: another one adds no load and costs no budget
	Refused      bool // the target refused for now: it may accept the request a little later
	NotRun       bool // the attempt is proved not to have run
}

// Launcher chooses targets and makes the calls of one run. Its methods are called from one goroutine.
type Launcher[R any] interface {
	// Launch starts an attempt and reports whether there is a target for it. The attempt calls ended once.
	Launch(ctx context.Context, l Launch, ended func(R)) bool
	// Ended handles the result of an attempt and returns what may follow.
	Ended(result R) FollowUp
	// HedgeDelay returns the time until a hedge is considered, and false for no hedge.
	HedgeDelay() (time.Duration, bool)
	// State describes the run for the decision on a hedge or a retry. Run itself sets Hedges, InFlight, Unsent and Refused.
	State(kind Kind) hedge.State
	// BudgetExhausted is called for each hedge or retry that the budget did not allow.
	BudgetExhausted()
}

// Limits bound the attempts of a run.
type Limits struct {
	// MaxReplacements is the number of attempts that may replace attempts that caused no work at a target.
	MaxReplacements int
	// MaxRefusals is the number of refusals after which the next one is final. 0 sets no limit.
	MaxRefusals int
	// MaxRounds is how often the run tries targets again that refused it, each time after a pause that grows by RoundPause.
	// Rounds cost no budget. With 0 rounds, a retry may go to a target that refused without a pause, and costs budget.
	MaxRounds  int
	RoundPause time.Duration
	// HedgeRetryDelay is the time until a hedge that found no budget is considered again; 0 selects the hedge delay.
	HedgeRetryDelay time.Duration
}

// Outcome is how a run ended.
type Outcome[R any] struct {
	Result    R    // of the attempt that ended the run; zero when Cancelled or NoTarget is set
	NoTarget  bool // no attempt was made
	Cancelled bool // ctx ended first
	NotRun    bool // each attempt is proved not to have run
	// Stopped says why no attempt followed the last one that failed; it is empty after a final result.
	Stopped hedge.Reason
}

// Reasons of this package for which no attempt follows, beside those of package hedge.
const (
	StoppedByRefusals     hedge.Reason = "refusals"     // targets have refused MaxRefusals times
	StoppedByReplacements hedge.Reason = "replacements" // MaxReplacements attempts have replaced unsent ones
)

// Run makes attempts until a result is final, no attempt is in flight and none may follow, or ctx ends. It then cancels the
// attempts in flight.
func Run[R any](ctx context.Context, caller Launcher[R], budget *hedge.Budget, limits Limits) Outcome[R] {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runState[R]{caller: caller, budget: budget, limits: limits, endedAttempts: make(chan endedAttempt[R]), notRun: true}
	if !r.launch(ctx, Launch{Kind: First}) {
		return Outcome[R]{NoTarget: true, NotRun: true}
	}
	budget.DepositPrimary()
	return r.run(ctx)
}

// endedAttempt holds the kind and the result of an attempt that has ended.
type endedAttempt[R any] struct {
	kind   Kind
	result R
}

// runState is the state of one run. It belongs to the goroutine of Run.
type runState[R any] struct {
	caller        Launcher[R]
	budget        *hedge.Budget
	limits        Limits
	endedAttempts chan endedAttempt[R]

	inFlight     int // attempts that have not ended
	hedgeCount   int
	replacements int // attempts made for unsent ones
	refusals     int
	rounds       int
	notRun       bool // all attempts that ended are proved not to have run
	stopped      hedge.Reason
}

func (r *runState[R]) run(ctx context.Context) Outcome[R] {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.scheduleHedge(timer)
	for {
		select {
		case <-ctx.Done():
			return Outcome[R]{Cancelled: true, NotRun: r.notRun && r.inFlight == 0}
		case <-timer.C:
			r.considerHedge(ctx, timer)
		case ended := <-r.endedAttempts:
			r.inFlight--
			followUp := r.caller.Ended(ended.result)
			r.notRun = r.notRun && followUp.NotRun
			if followUp.Final {
				return Outcome[R]{Result: ended.result, NotRun: r.notRun}
			}
			if !r.startFollowUp(ctx, ended.kind, followUp) && r.inFlight == 0 {
				return Outcome[R]{Result: ended.result, NotRun: r.notRun, Stopped: r.stopped}
			}
		}
	}
}

// launch starts an attempt and reports whether there is a target for it.
func (r *runState[R]) launch(ctx context.Context, spec Launch) bool {
	started := r.caller.Launch(ctx, spec, func(result R) {
		select {
		case r.endedAttempts <- endedAttempt[R]{spec.Kind, result}:
		case <-ctx.Done(): // the run has ended
		}
	})
	if started {
		r.inFlight++
	}
	return started
}

func (r *runState[R]) scheduleHedge(timer *time.Timer) {
	if delay, ok := r.caller.HedgeDelay(); ok {
		timer.Reset(delay)
	}
}

// considerHedge starts a hedge if one is allowed now. Without budget it schedules another try.
func (r *runState[R]) considerHedge(ctx context.Context, timer *time.Timer) {
	state := r.caller.State(Hedge)
	state.Hedges = r.hedgeCount
	switch hedge.ShouldHedge(state, r.budget, time.Now()) {
	case hedge.ReasonAllowed:
		if r.launch(ctx, Launch{Kind: Hedge}) {
			r.hedgeCount++
			return
		}
		r.budget.Refund()
	case hedge.ReasonBudget:
		r.caller.BudgetExhausted()
		if r.limits.HedgeRetryDelay > 0 {
			timer.Reset(r.limits.HedgeRetryDelay)
		} else {
			r.scheduleHedge(timer)
		}
	}
}

// startFollowUp starts another attempt after one that ended without a final result, and reports whether it did.
func (r *runState[R]) startFollowUp(ctx context.Context, kind Kind, followUp FollowUp) bool {
	if ctx.Err() != nil {
		return false
	}
	if followUp.Refused {
		if r.refusals++; r.limits.MaxRefusals > 0 && r.refusals > r.limits.MaxRefusals {
			r.stopped = StoppedByRefusals
			return false
		}
	}
	if followUp.Unsent {
		return r.replaceUnsent(ctx, kind, followUp)
	}
	state := r.caller.State(Retry)
	state.InFlight, state.Refused = r.inFlight, followUp.Refused
	r.stopped = hedge.ShouldRetry(state, !followUp.NotRetriable, r.budget, time.Now())
	switch r.stopped {
	case hedge.ReasonAllowed:
		if r.launch(ctx, Launch{Kind: Retry, AllowRefused: followUp.Refused && r.limits.MaxRounds == 0}) {
			return true
		}
		r.stopped = hedge.ReasonNoTarget
		r.budget.Refund()
	case hedge.ReasonBudget:
		r.caller.BudgetExhausted()
	}
	return followUp.Refused && r.startNextRound(ctx)
}

// replaceUnsent starts an attempt in place of one that caused no work at a target. The token of a hedge or retry that cannot
// be replaced is returned to the budget.
func (r *runState[R]) replaceUnsent(ctx context.Context, kind Kind, followUp FollowUp) bool {
	state := r.caller.State(Retry)
	state.Unsent = true
	r.stopped = hedge.ShouldRetry(state, !followUp.NotRetriable, r.budget, time.Now())
	switch {
	case r.stopped != hedge.ReasonAllowed:
	case r.replacements >= r.limits.MaxReplacements:
		r.stopped = StoppedByReplacements
	default:
		r.replacements++
		if r.launch(ctx, Launch{Kind: kind, Replaces: true}) {
			return true
		}
		r.stopped = hedge.ReasonNoTarget
	}
	if kind != First {
		r.budget.Refund()
	}
	return followUp.Refused && r.startNextRound(ctx)
}

// startNextRound waits for the pause of the round and then starts an attempt that may go to targets that refused before. It
// reports whether it did.
func (r *runState[R]) startNextRound(ctx context.Context) bool {
	if r.inFlight > 0 || r.rounds >= r.limits.MaxRounds {
		return false
	}
	r.rounds++
	pause := time.NewTimer(time.Duration(r.rounds) * r.limits.RoundPause)
	defer pause.Stop()
	select {
	case <-pause.C:
		return r.launch(ctx, Launch{Kind: Retry, Replaces: true, AllowRefused: true})
	case <-ctx.Done():
		return false
	}
}
