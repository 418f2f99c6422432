package hedge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a gathered answer that is sent too early, delayed without benefit, or sent with too few parts.
func TestGatherWait(t *testing.T) {
	w := GatherWait{Goal: 100 * time.Millisecond, End: time.Second, MinShare: 0.9}
	for name, c := range map[string]struct {
		elapsed      time.Duration
		p            Progress
		answer       bool
		recheckAfter time.Duration
	}{
		"all parts are in":                  {10 * time.Millisecond, Progress{10, 10, 0}, true, 0},
		"a part is missing before the goal": {10 * time.Millisecond, Progress{10, 9, 1}, false, 90 * time.Millisecond},
		"a part is missing at the goal":     {100 * time.Millisecond, Progress{10, 9, 1}, true, 0},
		"too few parts at the goal":         {100 * time.Millisecond, Progress{10, 8, 2}, false, 900 * time.Millisecond},
		"enough parts after the goal":       {300 * time.Millisecond, Progress{10, 9, 1}, true, 0},
		"the others have failed":            {10 * time.Millisecond, Progress{10, 9, 0}, true, 0},
		"too many have failed":              {10 * time.Millisecond, Progress{10, 5, 3}, true, 0},
		"no part has answered yet":          {10 * time.Millisecond, Progress{10, 0, 10}, false, 90 * time.Millisecond},
		"the time is over":                  {time.Second, Progress{10, 2, 8}, true, 0},
		"the only part has answered":        {time.Millisecond, Progress{1, 1, 0}, true, 0},
		"the only part has failed":          {time.Millisecond, Progress{1, 0, 0}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answer, recheckAfter := w.Decide(c.elapsed, c.p)
			g.Expect(answer).To(Equal(c.answer))
			g.Expect(recheckAfter).To(Equal(c.recheckAfter))
		})
	}
	g := NewWithT(t)
	g.Expect(GatherWait{MinShare: 0}.HasEnoughParts(Progress{Total: 3})).To(BeFalse(), "a success has at least one part")
	g.Expect(GatherWait{MinShare: 0.3}.HasEnoughParts(Progress{Total: 10, Answered: 3})).To(BeTrue(), "0.3 of 10 is 3 in spite of rounding")
}

// Guards against a restarted process that can spend its predecessor's tokens again, and against tokens above a burst that has
// been lowered because the fleet has grown.
func TestEmptyBudgetHoldsNoMoreThanItsBurst(t *testing.T) {
	g := NewWithT(t)
	b := NewEmptyBudget(0.2, 3)
	g.Expect(b.WithdrawHedge(time.Unix(1000, 0))).To(BeFalse())
	for range 100 {
		b.DepositPrimary()
	}
	g.Expect(b.Available()).To(Equal(3))
	b.SetBurst(1.5)
	g.Expect(b.Available()).To(Equal(1))
}
