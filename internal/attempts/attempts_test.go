package attempts_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

const (
	hedgeDelay = 50 * time.Millisecond
	timeBudget = time.Second
)

// attempt is a scripted attempt: its result, and the time until it ends.
type attempt struct {
	result   string
	duration time.Duration
}

// scriptedLauncher is a Launcher whose attempts follow a script. It records the launched and the cancelled attempts.
type scriptedLauncher struct {
	attempts        []attempt
	launched        []attempts.Launch
	cancelled       chan string
	budgetExhausted int
	hedgeDisabled   bool
	start           time.Time
}

func (s *scriptedLauncher) Launch(ctx context.Context, l attempts.Launch, ended func(string)) bool {
	if len(s.attempts) == 0 {
		return false
	}
	a := s.attempts[0]
	s.attempts = s.attempts[1:]
	s.launched = append(s.launched, l)
	go func() {
		select {
		case <-time.After(a.duration):
		case <-ctx.Done():
			s.cancelled <- a.result
		}
		ended(a.result)
	}()
	return true
}

// followUpByResult holds what may follow each result in the scripts below.
var followUpByResult = map[string]attempts.FollowUp{
	"answer": {Final: true},
	"lost":   {},
	"unsent": {Unsent: true, NotRun: true},
	"shed":   {Refused: true, NotRun: true},
	"busy":   {Unsent: true, Refused: true, NotRun: true},
	"denied": {NotRetriable: true},
	"slow":   {},
}

func (s *scriptedLauncher) Ended(result string) attempts.FollowUp { return followUpByResult[result] }

func (s *scriptedLauncher) HedgeDelay() (time.Duration, bool) { return hedgeDelay, !s.hedgeDisabled }

func (s *scriptedLauncher) State(attempts.Kind) hedge.State {
	elapsed := time.Since(s.start)
	return hedge.State{Elapsed: elapsed, Remaining: timeBudget - elapsed, UntriedTargets: len(s.attempts)}
}

func (s *scriptedLauncher) BudgetExhausted() { s.budgetExhausted++ }

// Guards against attempts that are made without budget, too often or not at all, and against an Outcome that claims that the
// request did not run although an attempt may have run, or that names no reason why attempts stopped.
func TestRun(t *testing.T) {
	const ms = time.Millisecond
	first, hedged, retry := attempts.Launch{Kind: attempts.First}, attempts.Launch{Kind: attempts.Hedge}, attempts.Launch{Kind: attempts.Retry}
	retryRefused := attempts.Launch{Kind: attempts.Retry, AllowRefused: true}
	nextRound := attempts.Launch{Kind: attempts.Retry, AllowRefused: true, Replaces: true}
	replacement := attempts.Launch{Kind: attempts.First, Replaces: true}
	immediate := attempts.Limits{MaxReplacements: 2, MaxRefusals: 2, HedgeRetryDelay: 10 * ms}
	inRounds := attempts.Limits{MaxReplacements: 4, MaxRounds: 2, RoundPause: 10 * ms}
	cases := map[string]struct {
		script          []attempt
		limits          attempts.Limits
		tokens          int
		launched        []attempts.Launch
		end             attempts.Outcome[string]
		elapsed         time.Duration
		tokensLeft      int
		budgetExhausted int
	}{
		"first attempt answers": {
			script: []attempt{{result: "answer", duration: 10 * ms}}, limits: immediate, tokens: 1,
			launched: []attempts.Launch{first}, end: attempts.Outcome[string]{Result: "answer"}, elapsed: 10 * ms, tokensLeft: 1,
		},
		"no target": {limits: immediate, tokens: 1, end: attempts.Outcome[string]{NoTarget: true, NotRun: true}, tokensLeft: 1},
		"late attempt is hedged": {
			script: []attempt{{result: "slow", duration: 500 * ms}, {result: "answer", duration: 10 * ms}},
			limits: immediate, tokens: 1,
			launched: []attempts.Launch{first, hedged}, end: attempts.Outcome[string]{Result: "answer"}, elapsed: 60 * ms,
		},
		"hedge without budget is considered again": {
			script: []attempt{{result: "answer", duration: 65 * ms}, {result: "answer", duration: 10 * ms}}, limits: immediate,
			launched: []attempts.Launch{first}, end: attempts.Outcome[string]{Result: "answer"}, elapsed: 65 * ms, budgetExhausted: 2,
		},
		"failed attempt is retried from the budget": {
			script: []attempt{{result: "lost", duration: 10 * ms}, {result: "answer", duration: 10 * ms}},
			limits: immediate, tokens: 1,
			launched: []attempts.Launch{first, retry}, end: attempts.Outcome[string]{Result: "answer"}, elapsed: 20 * ms,
		},
		"failed attempt without budget ends the run": {
			script: []attempt{{result: "lost", duration: 10 * ms}, {result: "answer"}}, limits: immediate,
			launched: []attempts.Launch{first}, end: attempts.Outcome[string]{Result: "lost", Stopped: hedge.ReasonBudget}, elapsed: 10 * ms, budgetExhausted: 1,
		},
		"failed attempt beside a hedge waits for it": {
			script: []attempt{{result: "lost", duration: 60 * ms}, {result: "answer", duration: 100 * ms}, {result: "answer"}},
			limits: immediate, tokens: 2,
			launched: []attempts.Launch{first, hedged},
			end:      attempts.Outcome[string]{Result: "answer"}, elapsed: 150 * ms, tokensLeft: 1,
		},
		"unsent attempt is replaced without budget": {
			script: []attempt{{result: "unsent"}, {result: "unsent"}, {result: "answer", duration: 10 * ms}}, limits: immediate,
			launched: []attempts.Launch{first, replacement, replacement},
			end:      attempts.Outcome[string]{Result: "answer"}, elapsed: 10 * ms,
		},
		"unsent attempts are replaced a bounded number of times": {
			script: []attempt{{result: "unsent"}, {result: "unsent"}, {result: "unsent"}, {result: "answer"}},
			limits: immediate, tokens: 1,
			launched: []attempts.Launch{first, replacement, replacement},
			end:      attempts.Outcome[string]{Result: "unsent", NotRun: true, Stopped: attempts.StoppedByReplacements}, tokensLeft: 1,
		},
		"token of a hedge that was never sent is returned": {
			script: []attempt{{result: "answer", duration: 80 * ms}, {result: "unsent", duration: 10 * ms}},
			limits: immediate, tokens: 1,
			launched: []attempts.Launch{first, hedged},
			end:      attempts.Outcome[string]{Result: "answer"}, elapsed: 80 * ms, tokensLeft: 1,
		},
		"refused attempt is repeated at once from the budget": {
			script: []attempt{{result: "shed"}, {result: "shed"}, {result: "shed"}, {result: "answer"}},
			limits: immediate, tokens: 5,
			launched: []attempts.Launch{first, retryRefused, retryRefused},
			end:      attempts.Outcome[string]{Result: "shed", NotRun: true, Stopped: attempts.StoppedByRefusals}, tokensLeft: 3,
		},
		"refused attempts go through rounds without budget": {
			script: []attempt{{result: "shed"}, {result: "busy"}, {result: "shed"}}, limits: inRounds,
			launched: []attempts.Launch{first, nextRound, {Kind: attempts.Retry, Replaces: true}},
			end:      attempts.Outcome[string]{Result: "shed", NotRun: true, Stopped: hedge.ReasonNoTarget},
			elapsed:  30 * ms, budgetExhausted: 1,
		},
		"request that may have run is not reported as not run": {
			script: []attempt{{result: "lost"}, {result: "shed"}}, limits: immediate, tokens: 1,
			launched: []attempts.Launch{first, retry}, end: attempts.Outcome[string]{Result: "shed", Stopped: hedge.ReasonNoTarget},
		},
		"failure that another target would repeat ends the run": {
			script: []attempt{{result: "denied"}, {result: "answer"}}, limits: immediate, tokens: 1,
			launched: []attempts.Launch{first}, end: attempts.Outcome[string]{Result: "denied", Stopped: hedge.ReasonPermanent}, tokensLeft: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &scriptedLauncher{attempts: c.script, cancelled: make(chan string, 8), start: time.Now()}
				budget := hedge.NewEmptyBudget(0.0001, 8)
				for range c.tokens {
					budget.Refund()
				}
				end := attempts.Run[string](t.Context(), s, budget, c.limits)
				g.Expect(end).To(Equal(c.end))
				g.Expect(s.launched).To(Equal(c.launched))
				g.Expect(time.Since(s.start)).To(Equal(c.elapsed))
				g.Expect(budget.Available()).To(Equal(c.tokensLeft))
				g.Expect(s.budgetExhausted).To(Equal(c.budgetExhausted))
			})
		})
	}
}

// Guards against attempts that continue at their targets after another one has answered, and against a run that continues
// after its context has ended.
func TestAttemptsInFlightAreCancelled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scriptedLauncher{
			cancelled: make(chan string, 8), start: time.Now(),
			attempts: []attempt{{result: "slow", duration: time.Hour}, {result: "answer"}},
		}
		end := attempts.Run[string](t.Context(), s, hedge.NewBudget(0.1, 1), attempts.Limits{})
		g.Expect(end.Result).To(Equal("answer"))
		g.Expect(<-s.cancelled).To(Equal("slow"))

		s = &scriptedLauncher{
			cancelled: make(chan string, 8), start: time.Now(),
			attempts: []attempt{{result: "slow", duration: time.Hour}}, hedgeDisabled: true,
		}
		ctx, cancel := context.WithTimeout(t.Context(), hedgeDelay)
		defer cancel()
		end = attempts.Run[string](ctx, s, hedge.NewBudget(0.1, 1), attempts.Limits{})
		g.Expect(end).To(Equal(attempts.Outcome[string]{Cancelled: true}), "the attempt may have run")
		g.Expect(time.Since(s.start)).To(Equal(hedgeDelay))
		g.Expect(<-s.cancelled).To(Equal("slow"))
	})
}
