// Package attempts runs a request on one service until a target has answered: a first attempt, a hedge while it is late, and
// retries of attempts that failed, within the retry budget of the service. It decides when attempts are made; a Caller
// chooses the targets and makes the calls. Both the relays of the product's own interface and the platform path use it.
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
	// Replaces is set when the attempt stands in for one that left no work behind.
	Replaces bool
	// Again allows targets that refused the request before.
	Again bool
}

// Next says what may follow an attempt that has ended.
type Next struct {
	Final  bool // the run ends with this result
	None   bool // another attempt would end the same; attempts under way go on
	Unsent bool // the attempt left no work behind: another one adds no load and costs no budget
	Again  bool // the target refused for now: it may run the request a little later
	NotRun bool // there is proof that this attempt did not run
}

// Caller chooses targets and makes the calls of one run. Its methods are called by one goroutine.
type Caller[R any] interface {
	// Launch starts an attempt and reports whether there is a target for it. The attempt calls ended once.
	Launch(ctx context.Context, l Launch, ended func(R)) bool
	// Ended takes the result of an attempt and says what may follow.
	Ended(result R) Next
	// HedgeDelay returns the time until a hedge is considered, and false for none.
	HedgeDelay() (time.Duration, bool)
	// State describes the run to the decision on a hedge or a retry. The loop adds what it knows itself.
	State(kind Kind) hedge.State
	// NoBudget is told of a hedge or retry that the budget did not allow.
	NoBudget()
}

// Limits bound the attempts of a run.
type Limits struct {
	// Unsent is the number of attempts that may stand in for attempts that left no work behind.
	Unsent int
	// Refused is the number of attempts after which a refusal is final. 0 sets no limit.
	Refused int
	// Rounds is how often the run goes through targets that refused it, after a pause that grows by RoundPause each time.
	// Rounds cost no budget. With 0, a retry may go to a target that refused at once, and costs budget.
	Rounds     int
	RoundPause time.Duration
	// HedgePause is the time until a hedge without budget is considered again; 0 takes the hedge delay.
	HedgePause time.Duration
}

// End is how a run ended.
type End[R any] struct {
	Result    R    // of the attempt that ended the run; zero when Cancelled or NoTarget is set
	NoTarget  bool // no attempt was made
	Cancelled bool // ctx ended first
	NotRun    bool // each attempt is proved not to have run
}

// Run makes attempts until one is final, none can help any more, or ctx ends. Attempts under way are cancelled then.
func Run[R any](ctx context.Context, caller Caller[R], budget *hedge.Budget, limits Limits) End[R] {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &loop[R]{caller: caller, budget: budget, limits: limits, ended: make(chan attempt[R]), notRun: true}
	if !l.launch(ctx, Launch{Kind: First}) {
		return End[R]{NoTarget: true, NotRun: true}
	}
	budget.DepositPrimary()
	return l.run(ctx)
}

// attempt is an attempt that has ended.
type attempt[R any] struct {
	kind   Kind
	result R
}

// loop is the state of one run. It belongs to the goroutine of Run.
type loop[R any] struct {
	caller Caller[R]
	budget *hedge.Budget
	limits Limits
	ended  chan attempt[R]

	open    int // attempts under way
	hedges  int
	unsent  int
	refused int
	rounds  int
	notRun  bool // all attempts that ended are proved not to have run
}

func (l *loop[R]) run(ctx context.Context) End[R] {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.armHedge(timer)
	for {
		select {
		case <-ctx.Done():
			return End[R]{Cancelled: true, NotRun: l.notRun && l.open == 0}
		case <-timer.C:
			l.hedge(ctx, timer)
		case a := <-l.ended:
			l.open--
			next := l.caller.Ended(a.result)
			l.notRun = l.notRun && next.NotRun
			if next.Final || !l.follow(ctx, a.kind, next) && l.open == 0 {
				return End[R]{Result: a.result, NotRun: l.notRun}
			}
		}
	}
}

// launch starts an attempt and reports whether there is a target for it.
func (l *loop[R]) launch(ctx context.Context, what Launch) bool {
	started := l.caller.Launch(ctx, what, func(result R) {
		select {
		case l.ended <- attempt[R]{what.Kind, result}:
		case <-ctx.Done(): // the run has ended
		}
	})
	if started {
		l.open++
	}
	return started
}

func (l *loop[R]) armHedge(timer *time.Timer) {
	if delay, ok := l.caller.HedgeDelay(); ok {
		timer.Reset(delay)
	}
}

// hedge starts a second attempt while the first is under way.
func (l *loop[R]) hedge(ctx context.Context, timer *time.Timer) {
	state := l.caller.State(Hedge)
	state.Hedges = l.hedges
	switch hedge.ShouldHedge(state, l.budget, time.Now()) {
	case hedge.ReasonAllowed:
		if l.launch(ctx, Launch{Kind: Hedge}) {
			l.hedges++
			return
		}
		l.budget.Refund()
	case hedge.ReasonBudget:
		l.caller.NoBudget()
		if l.limits.HedgePause > 0 {
			timer.Reset(l.limits.HedgePause)
		} else {
			l.armHedge(timer)
		}
	}
}

// follow starts another attempt after one that ended without an answer, and reports whether it did.
func (l *loop[R]) follow(ctx context.Context, kind Kind, next Next) bool {
	if ctx.Err() != nil {
		return false
	}
	if next.Again {
		if l.refused++; l.limits.Refused > 0 && l.refused > l.limits.Refused {
			return false
		}
	}
	if next.Unsent {
		return l.replace(ctx, kind, next)
	}
	state := l.caller.State(Retry)
	state.InFlight, state.Refused = l.open, next.Again
	switch hedge.ShouldRetry(state, !next.None, l.budget, time.Now()) {
	case hedge.ReasonAllowed:
		if l.launch(ctx, Launch{Kind: Retry, Again: next.Again && l.limits.Rounds == 0}) {
			return true
		}
		l.budget.Refund()
	case hedge.ReasonBudget:
		l.caller.NoBudget()
	}
	return next.Again && l.nextRound(ctx)
}

// replace starts an attempt in the place of one that left no work behind. The token of a hedge or retry that cannot be
// replaced goes back to the budget.
func (l *loop[R]) replace(ctx context.Context, kind Kind, next Next) bool {
	state := l.caller.State(Retry)
	state.Unsent = true
	if hedge.ShouldRetry(state, !next.None, l.budget, time.Now()) == hedge.ReasonAllowed && l.unsent < l.limits.Unsent {
		l.unsent++
		if l.launch(ctx, Launch{Kind: kind, Replaces: true}) {
			return true
		}
	}
	if kind != First {
		l.budget.Refund()
	}
	return next.Again && l.nextRound(ctx)
}

// nextRound goes through the targets again after each refused for now.
func (l *loop[R]) nextRound(ctx context.Context) bool {
	if l.open > 0 || l.rounds >= l.limits.Rounds {
		return false
	}
	l.rounds++
	pause := time.NewTimer(time.Duration(l.rounds) * l.limits.RoundPause)
	defer pause.Stop()
	select {
	case <-pause.C:
		return l.launch(ctx, Launch{Kind: Retry, Replaces: true, Again: true})
	case <-ctx.Done():
		return false
	}
}
