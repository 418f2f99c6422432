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
	hedgeAfter = 50 * time.Millisecond
	longest    = time.Second
)

// outcome is a scripted attempt: what it brings, and after how long.
type outcome struct {
	name  string
	after time.Duration
}

// script is a Caller whose attempts follow a list. It records what was launched and which attempts were cancelled.
type script struct {
	outcomes  []outcome
	launched  []attempts.Launch
	cancelled chan string
	noBudget  int
	noHedge   bool
	start     time.Time
}

func (s *script) Launch(ctx context.Context, l attempts.Launch, ended func(string)) bool {
	if len(s.outcomes) == 0 {
		return false
	}
	o := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	s.launched = append(s.launched, l)
	go func() {
		select {
		case <-time.After(o.after):
		case <-ctx.Done():
			s.cancelled <- o.name
		}
		ended(o.name)
	}()
	return true
}

// next holds what may follow each result of the scripts below.
var next = map[string]attempts.Next{
	"answer": {Final: true},
	"lost":   {},
	"unsent": {Unsent: true, NotRun: true},
	"shed":   {Again: true, NotRun: true},
	"busy":   {Unsent: true, Again: true, NotRun: true},
	"denied": {None: true},
	"slow":   {},
}

func (s *script) Ended(result string) attempts.Next { return next[result] }

func (s *script) HedgeDelay() (time.Duration, bool) { return hedgeAfter, !s.noHedge }

func (s *script) State(attempts.Kind) hedge.State {
	elapsed := time.Since(s.start)
	return hedge.State{Elapsed: elapsed, Remaining: longest - elapsed, Others: len(s.outcomes)}
}

func (s *script) NoBudget() { s.noBudget++ }

// Guards against attempts that are made without budget, too often or not at all, and against a result that claims not to
// have run although an attempt may have.
func TestRun(t *testing.T) {
	const ms = time.Millisecond
	first, hedged, retry := attempts.Launch{Kind: attempts.First}, attempts.Launch{Kind: attempts.Hedge}, attempts.Launch{Kind: attempts.Retry}
	again := attempts.Launch{Kind: attempts.Retry, Again: true}
	round := attempts.Launch{Kind: attempts.Retry, Again: true, Replaces: true}
	replacement := attempts.Launch{Kind: attempts.First, Replaces: true}
	atOnce := attempts.Limits{Unsent: 2, Refused: 2, HedgePause: 10 * ms}
	rounds := attempts.Limits{Unsent: 4, Rounds: 2, RoundPause: 10 * ms}
	cases := map[string]struct {
		outcomes []outcome
		limits   attempts.Limits
		tokens   int
		launched []attempts.Launch
		end      attempts.End[string]
		took     time.Duration
		left     int
		noBudget int
	}{
		"first attempt answers": {
			outcomes: []outcome{{name: "answer", after: 10 * ms}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first}, end: attempts.End[string]{Result: "answer"}, took: 10 * ms, left: 1,
		},
		"no target": {limits: atOnce, tokens: 1, end: attempts.End[string]{NoTarget: true, NotRun: true}, left: 1},
		"late attempt is hedged": {
			outcomes: []outcome{{name: "slow", after: 500 * ms}, {name: "answer", after: 10 * ms}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first, hedged}, end: attempts.End[string]{Result: "answer"}, took: 60 * ms,
		},
		"hedge without budget is considered again": {
			outcomes: []outcome{{name: "answer", after: 65 * ms}, {name: "answer", after: 10 * ms}}, limits: atOnce,
			launched: []attempts.Launch{first}, end: attempts.End[string]{Result: "answer"}, took: 65 * ms, noBudget: 2,
		},
		"failed attempt is retried from the budget": {
			outcomes: []outcome{{name: "lost", after: 10 * ms}, {name: "answer", after: 10 * ms}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first, retry}, end: attempts.End[string]{Result: "answer"}, took: 20 * ms,
		},
		"failed attempt without budget ends the run": {
			outcomes: []outcome{{name: "lost", after: 10 * ms}, {name: "answer"}}, limits: atOnce,
			launched: []attempts.Launch{first}, end: attempts.End[string]{Result: "lost"}, took: 10 * ms, noBudget: 1,
		},
		"failed attempt beside a hedge waits for it": {
			outcomes: []outcome{{name: "lost", after: 60 * ms}, {name: "answer", after: 100 * ms}, {name: "answer"}}, limits: atOnce, tokens: 2,
			launched: []attempts.Launch{first, hedged}, end: attempts.End[string]{Result: "answer"}, took: 150 * ms, left: 1,
		},
		"unsent attempt is replaced without budget": {
			outcomes: []outcome{{name: "unsent"}, {name: "unsent"}, {name: "answer", after: 10 * ms}}, limits: atOnce,
			launched: []attempts.Launch{first, replacement, replacement}, end: attempts.End[string]{Result: "answer"}, took: 10 * ms,
		},
		"unsent attempts are replaced a bounded number of times": {
			outcomes: []outcome{{name: "unsent"}, {name: "unsent"}, {name: "unsent"}, {name: "answer"}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first, replacement, replacement}, end: attempts.End[string]{Result: "unsent", NotRun: true}, left: 1,
		},
		"token of a hedge that was never sent goes back": {
			outcomes: []outcome{{name: "answer", after: 80 * ms}, {name: "unsent", after: 10 * ms}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first, hedged}, end: attempts.End[string]{Result: "answer"}, took: 80 * ms, left: 1,
		},
		"refused attempt is repeated at once from the budget": {
			outcomes: []outcome{{name: "shed"}, {name: "shed"}, {name: "shed"}, {name: "answer"}}, limits: atOnce, tokens: 5,
			launched: []attempts.Launch{first, again, again}, end: attempts.End[string]{Result: "shed", NotRun: true}, left: 3,
		},
		"refused attempts go through rounds without budget": {
			outcomes: []outcome{{name: "shed"}, {name: "busy"}, {name: "shed"}}, limits: rounds,
			launched: []attempts.Launch{first, round, {Kind: attempts.Retry, Replaces: true}}, end: attempts.End[string]{Result: "shed", NotRun: true},
			took: 30 * ms, noBudget: 1,
		},
		"run that may have run says so": {
			outcomes: []outcome{{name: "lost"}, {name: "shed"}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first, retry}, end: attempts.End[string]{Result: "shed"},
		},
		"attempt that another target would repeat ends the run": {
			outcomes: []outcome{{name: "denied"}, {name: "answer"}}, limits: atOnce, tokens: 1,
			launched: []attempts.Launch{first}, end: attempts.End[string]{Result: "denied"}, left: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &script{outcomes: c.outcomes, cancelled: make(chan string, 8), start: time.Now()}
				budget := hedge.NewEmptyBudget(0.0001, 8)
				for range c.tokens {
					budget.Refund()
				}
				end := attempts.Run[string](t.Context(), s, budget, c.limits)
				g.Expect(end).To(Equal(c.end))
				g.Expect(s.launched).To(Equal(c.launched))
				g.Expect(time.Since(s.start)).To(Equal(c.took))
				g.Expect(budget.Available()).To(Equal(c.left))
				g.Expect(s.noBudget).To(Equal(c.noBudget))
			})
		})
	}
}

// Guards against losers that go on at their targets after the answer, and a run that outlives its caller.
func TestAttemptsUnderWayAreCancelled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &script{cancelled: make(chan string, 8), start: time.Now(), outcomes: []outcome{{name: "slow", after: time.Hour}, {name: "answer"}}}
		end := attempts.Run[string](t.Context(), s, hedge.NewBudget(0.1, 1), attempts.Limits{})
		g.Expect(end.Result).To(Equal("answer"))
		g.Expect(<-s.cancelled).To(Equal("slow"))

		s = &script{cancelled: make(chan string, 8), start: time.Now(), outcomes: []outcome{{name: "slow", after: time.Hour}}, noHedge: true}
		ctx, leave := context.WithTimeout(t.Context(), hedgeAfter)
		defer leave()
		end = attempts.Run[string](ctx, s, hedge.NewBudget(0.1, 1), attempts.Limits{})
		g.Expect(end).To(Equal(attempts.End[string]{Cancelled: true}), "the attempt may have run")
		g.Expect(time.Since(s.start)).To(Equal(hedgeAfter))
		g.Expect(<-s.cancelled).To(Equal("slow"))
	})
}
