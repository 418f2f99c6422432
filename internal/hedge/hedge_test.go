package hedge_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

var start = time.Unix(1_000_000, 0)

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func observeMany(e *hedge.Estimator, n int, step time.Duration, at time.Time, latency func() time.Duration) time.Time {
	for range n {
		e.Observe(latency(), at)
		at = at.Add(step)
	}
	return at
}

func quantile(e *hedge.Estimator, q float64) time.Duration {
	d, ok := e.Quantile(q)
	Expect(ok).To(BeTrue())
	return d
}

var _ = Describe("Estimator", func() {
	// Guards against bucket arithmetic that biases the delay: a bucket is 6.25% wide, and the sample adds noise.
	DescribeTable("stays within 10% of the exact quantile", func(q float64) {
		rnd := rand.New(rand.NewPCG(1, 2))
		e := hedge.NewEstimator()
		var all []time.Duration
		observeMany(e, 1500, time.Millisecond, start, func() time.Duration {
			d := time.Duration(6e6 * math.Exp(0.6*rnd.NormFloat64()))
			all = append(all, d)
			return d
		})
		slices.Sort(all)
		exact := all[int(q*float64(len(all)))]
		Expect(quantile(e, q).Seconds()).To(BeNumerically("~", exact.Seconds(), 0.1*exact.Seconds()))
	}, Entry("median", 0.5), Entry("p90", 0.9), Entry("p95", 0.95))

	// Guards against estimates that stay at old latencies: after 3 half-lives, the new ones hold 7/8 of the weight.
	It("follows a change of the service's latency", func() {
		e := hedge.NewEstimator()
		at := observeMany(e, 20_000, time.Millisecond, start, func() time.Duration { return ms(40) })
		at = observeMany(e, 3000, time.Millisecond, at, func() time.Duration { return ms(5) })
		Expect(quantile(e, 0.8)).To(BeNumerically("<", ms(6)))
		observeMany(e, 200, time.Second, at, func() time.Duration { return ms(20) })
		Expect(quantile(e, 0.5)).To(BeNumerically("~", ms(20), ms(2)))
	})

	// Guards against survivor bias: if cancelled attempts were dropped, or counted as complete at the cancel time, a
	// straggler's slow calls would lower the estimate.
	It("counts cancelled attempts as longer than their cancel time", func() {
		rnd := rand.New(rand.NewPCG(3, 4))
		e, exact := hedge.NewEstimator(), hedge.NewEstimator()
		for i := range 1200 {
			at, d := start.Add(time.Duration(i)*time.Millisecond), ms(5+30*rnd.Float64())
			exact.Observe(d, at)
			if limit := ms(10 + 20*rnd.Float64()); d > limit {
				e.ObserveCensored(limit, at)
			} else {
				e.Observe(d, at)
			}
		}
		for _, q := range []float64{0.5, 0.7} {
			Expect(quantile(e, q).Seconds()).To(BeNumerically("~", quantile(exact, q).Seconds(), 0.002))
		}
		Expect(quantile(e, 0.999)).To(BeNumerically(">", ms(25)))
	})

	// Guards against a hedge that is scheduled when no second attempt could complete, or too early or too late to help.
	DescribeTable("Delay", func(floor, remaining, want time.Duration, ok bool) {
		e := hedge.NewEstimator()
		observeMany(e, 100, time.Millisecond, start, func() time.Duration { return ms(10) })
		d, got := e.Delay(0.95, floor, remaining)
		Expect(got).To(Equal(ok))
		if ok {
			Expect(d).To(BeNumerically("~", want, ms(0.7)))
		}
	},
		Entry("uses the quantile", ms(2), ms(100), ms(10), true),
		Entry("is not below the floor", ms(15), ms(100), ms(15), true),
		Entry("leaves time for a median attempt", ms(2), ms(15), ms(5), true),
		Entry("fails without time for a median attempt", ms(2), ms(11), time.Duration(0), false),
	)

	It("gives a delay before it has observations", func() {
		d, ok := hedge.NewEstimator().Delay(0.95, ms(2), ms(60))
		Expect(ok).To(BeTrue())
		Expect(d).To(Equal(ms(20)))
	})
})

// Guards against a hedge of a request that must run in isolation, and against a token withdrawn for a hedge that is not sent.
var _ = DescribeTable("ShouldHedge", func(change func(*hedge.State), want hedge.Reason) {
	s := hedge.State{Elapsed: ms(11), Delay: ms(10), Remaining: ms(30), UntriedTargets: 1}
	change(&s)
	b := hedge.NewBudget(0.05, 1)
	Expect(hedge.ShouldHedge(s, b, start)).To(Equal(want))
	Expect(b.Available()).To(Equal(map[bool]int{true: 0, false: 1}[want == hedge.ReasonAllowed]))
},
	Entry("allowed", func(*hedge.State) {}, hedge.ReasonAllowed),
	Entry("answered", func(s *hedge.State) { s.Answered = true }, hedge.ReasonAnswered),
	Entry("isolated", func(s *hedge.State) { s.Isolated = true }, hedge.ReasonIsolated),
	Entry("early", func(s *hedge.State) { s.Elapsed = ms(9) }, hedge.ReasonTooEarly),
	Entry("second hedge", func(s *hedge.State) { s.Hedges = 1 }, hedge.ReasonHedgeLimit),
	Entry("no other target", func(s *hedge.State) { s.UntriedTargets = 0 }, hedge.ReasonNoTarget),
	Entry("no time", func(s *hedge.State) { s.Remaining = ms(1) }, hedge.ReasonNoTime),
	Entry("first attempt not sent: still a hedge", func(s *hedge.State) { s.Unsent = true }, hedge.ReasonAllowed),
	Entry("overload", func(s *hedge.State) { s.Overload = true }, hedge.ReasonOverload),
)

// Guards against a shed or unsent attempt that costs a token although it put no load on a target.
var _ = DescribeTable("ShouldRetry", func(s hedge.State, retriable bool, want hedge.Reason, left int) {
	b := hedge.NewBudget(0.05, 1)
	s.Remaining, s.UntriedTargets = ms(30), 1
	Expect(hedge.ShouldRetry(s, retriable, b, start)).To(Equal(want))
	Expect(b.Available()).To(Equal(left))
},
	Entry("takes a token", hedge.State{}, true, hedge.ReasonAllowed, 0),
	Entry("unsent takes no token", hedge.State{Unsent: true, Overload: true}, true, hedge.ReasonAllowed, 1),
	Entry("isolated", hedge.State{Isolated: true, Unsent: true}, true, hedge.ReasonIsolated, 1),
	Entry("permanent", hedge.State{}, false, hedge.ReasonPermanent, 1),
	Entry("overload", hedge.State{Overload: true}, true, hedge.ReasonOverload, 1),
	Entry("another attempt may still answer", hedge.State{InFlight: 1}, true, hedge.ReasonInFlight, 1),
	Entry("unsent beside another attempt", hedge.State{InFlight: 1, Unsent: true}, true, hedge.ReasonAllowed, 1),
	Entry("refused beside another attempt", hedge.State{InFlight: 1, Refused: true}, true, hedge.ReasonAllowed, 0),
)

var _ = Describe("Budget", func() {
	// Guards against retry storms: the bound must hold over every window, not only from the start.
	It("never exceeds share plus burst over any window", func() {
		rnd := rand.New(rand.NewPCG(5, 6))
		b := hedge.NewBudget(0.05, 10)
		primary, extra := []int{0}, []int{0}
		for range 3000 {
			p, x := primary[len(primary)-1], extra[len(extra)-1]
			quiet := len(primary)/500%2 == 0 // fills the budget to its limit
			if quiet || rnd.Float64() < 0.5 {
				b.DepositPrimary()
				p++
			} else if b.WithdrawHedge(start) {
				x++
			}
			primary, extra = append(primary, p), append(extra, x)
		}
		worst := 0.0
		for i := range primary {
			for j := i; j < len(primary); j++ {
				worst = max(worst, float64(extra[j]-extra[i])-0.05*float64(primary[j]-primary[i]))
			}
		}
		Expect(worst).To(BeNumerically("<=", 10))
	})

	It("gives nothing while overloaded", func() {
		b := hedge.NewBudget(0, 0)
		b.SetOverloaded(true)
		Expect(b.WithdrawHedge(start)).To(BeFalse())
		b.SetOverloaded(false)
		Expect(b.WithdrawHedge(start)).To(BeTrue())
	})
})

// Guards against an early answer under coverage-first, and against waiting for a part that will not arrive under
// latency-first.
var _ = DescribeTable("PartWait", func(
	policy config.Policy, elapsed, running time.Duration, lost, answer bool, recheckAfter time.Duration,
) {
	e := hedge.NewEstimator()
	rnd := rand.New(rand.NewPCG(7, 8))
	observeMany(e, 1000, time.Millisecond, start, func() time.Duration { return ms(30 * rnd.Float64()) })
	w := hedge.PartWait{Policy: policy, Goal: ms(40), Budget: ms(66), Reserve: ms(6)}
	got, wait := w.Decide(elapsed, []hedge.MissingPart{{Estimator: e, Elapsed: running, Lost: lost}})
	Expect(got).To(Equal(answer))
	Expect(wait).To(Equal(recheckAfter))
},
	Entry("coverage-first waits to the end", config.CoverageFirst, ms(45), ms(45), false, false, ms(15)),
	Entry("coverage-first keeps the reserve", config.CoverageFirst, ms(60), ms(5), false, true, ms(0)),
	Entry("coverage-first answers when all is lost", config.CoverageFirst, ms(5), ms(5), true, true, ms(0)),
	Entry("latency-first waits to its goal", config.LatencyFirst, ms(25), ms(25), false, false, ms(15)),
	Entry("latency-first does not wait for a straggler", config.LatencyFirst, ms(40), ms(40), false, true, ms(0)),
	Entry("latency-first waits for a fresh hedge", config.LatencyFirst, ms(40), ms(12), false, false, ms(5)),
)

func BenchmarkObserve(b *testing.B) {
	e := hedge.NewEstimator()
	at := start
	for i := range b.N {
		at = at.Add(time.Millisecond)
		e.Observe(time.Duration(i&0xfffff)<<4, at)
		e.Quantile(0.95)
	}
}

// Guards against hedges that take the tokens while parts are lost because their retries find none: a search with too few parts
// fails, one with a late part is only late.
func TestHedgesLeaveTokensToStarvedRetries(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	b := hedge.NewEmptyBudget(0.5, 2)
	b.Fill()
	state := hedge.State{UntriedTargets: 1, Remaining: time.Second}
	g.Expect(hedge.ShouldHedge(state, b, start)).To(Equal(hedge.ReasonAllowed), "no retry has been refused a token yet")
	g.Expect(b.WithdrawRetry(start)).To(BeTrue())
	g.Expect(b.WithdrawRetry(start)).To(BeFalse())
	b.Fill()
	g.Expect(hedge.ShouldHedge(state, b, start)).To(Equal(hedge.ReasonBudget))
	g.Expect(b.WithdrawRetry(start)).To(BeTrue())
	g.Expect(b.WithdrawRetry(start)).To(BeTrue(), "the refused hedge took no token")
	b.Fill()
	g.Expect(hedge.ShouldHedge(state, b, start.Add(time.Minute))).To(Equal(hedge.ReasonAllowed),
		"no retry has been refused a token recently")
}
