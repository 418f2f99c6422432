package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

var start = time.Unix(1_000_000, 0)

const healthyLatency = 6 * time.Millisecond

// pickerHarness drives a picker in virtual time.
type pickerHarness struct {
	*Picker
	now time.Time
	rnd *rand.Rand
}

func newPickerHarness(targets ...Target) *pickerHarness {
	r := &pickerHarness{Picker: NewPicker(Config{}), now: start, rnd: rand.New(rand.NewPCG(9, 9))}
	r.Update(targets, r.now)
	r.now = r.now.Add(DefaultSlowStart)
	return r
}

func replicas() []Target {
	return []Target{
		{ID: "a", Domain: "x", Slots: 2},
		{ID: "b", Domain: "y", Slots: 2, RTT: healthyLatency},
		{ID: "c", Domain: "z", Slots: 2, RTT: healthyLatency},
	}
}

func (r *pickerHarness) pick(q Request) (Choice, bool) { return r.Pick(q, r.now, r.rnd) }

// call makes one call to the named target.
func (r *pickerHarness) call(id string, o Observation) Choice {
	c, ok := r.pick(Request{Eligible: func(t string) bool { return t == id }})
	Expect(ok).To(BeTrue())
	r.now = r.now.Add(time.Millisecond)
	r.Done(c, o, r.now)
	return c
}

func (r *pickerHarness) callTimes(n int, id string, o Observation) {
	for range n {
		r.call(id, o)
	}
}

// warmUp gives each target enough healthy calls for its mean latency to eject it later.
func (r *pickerHarness) warmUp() *pickerHarness {
	for _, t := range r.targets {
		r.callTimes(minSamples, t.ID, Observation{Latency: healthyLatency + t.RTT, Incarnation: "1"})
	}
	return r
}

// countPicks picks n times and returns the picks per target. The calls end at once and are not observed.
func (r *pickerHarness) countPicks(n int, q Request) map[string]int {
	count := map[string]int{}
	for range n {
		c, _ := r.pick(q)
		count[c.Target.ID]++
		r.Done(c, Observation{Result: Neutral}, r.now)
	}
	return count
}

func (r *pickerHarness) isEjected(id string) bool {
	for _, t := range r.Status(r.now).Targets {
		if t.ID == id {
			return t.Ejected
		}
	}
	return false
}

var _ = Describe("Picker", func() {
	// Guards against a needless round trip, and against queueing in the own failure domain while another one is idle.
	It("prefers the local target until its queue costs more than the round trip", func() {
		r := newPickerHarness(replicas()...).warmUp()
		for range 3 { // 2 slots and one queued call: half a service time, less than the round trip
			c, _ := r.pick(Request{})
			Expect(c.Target.ID).To(Equal("a"))
		}
		seen := map[string]bool{}
		for range 3 {
			c, _ := r.pick(Request{})
			seen[c.Target.ID] = true
		}
		Expect(seen).To(Or(HaveKey("b"), HaveKey("c")))
	})

	// Guards against a hedge on the tried target or in its failure domain, and against mixed index versions.
	It("excludes tried and ineligible targets and prefers another failure domain", func() {
		r := newPickerHarness(
			Target{ID: "a", Domain: "x"}, Target{ID: "a2", Domain: "x"}, Target{ID: "b", Domain: "y", RTT: healthyLatency},
		).warmUp()
		Expect(r.countPicks(20, Request{Tried: []string{"a"}})).To(Equal(map[string]int{"b": 20}))
		isNotB := func(id string) bool { return id != "b" }
		Expect(r.countPicks(20, Request{Tried: []string{"a"}, Eligible: isNotB})).To(Equal(map[string]int{"a2": 20}))
		_, ok := r.pick(Request{Tried: []string{"a", "a2"}, Eligible: isNotB})
		Expect(ok).To(BeFalse())
	})

	// Guards against a leaving target that gets work again because of an outdated target list or a late response.
	DescribeTable("leaving is sticky per incarnation", func(change func(*pickerHarness), wantPicked bool) {
		r := newPickerHarness(replicas()...).warmUp()
		change(r)
		Expect(r.countPicks(50, Request{})["a"] > 0).To(Equal(wantPicked))
	},
		Entry("marked", func(r *pickerHarness) { r.MarkLeaving("a", "1") }, false),
		Entry("marked without an incarnation", func(r *pickerHarness) { r.MarkLeaving("a", "") }, false),
		Entry("still reported healthy", func(r *pickerHarness) {
			r.MarkLeaving("a", "1")
			r.SetPublishedHealth("a", false, r.now)
			r.NoteIncarnation("a", "1", r.now)
		}, false),
		Entry("kept across an update", func(r *pickerHarness) { r.MarkLeaving("a", "1"); r.Update(replicas(), r.now) }, false),
		Entry("marked before its incarnation was known", func(r *pickerHarness) {
			r.Update(replicas()[1:], r.now)
			r.Update(replicas(), r.now)
			r.MarkLeaving("a", "")
			r.NoteIncarnation("a", "1", r.now)
			r.now = r.now.Add(DefaultSlowStart)
		}, false),
		Entry("another incarnation was marked", func(r *pickerHarness) { r.MarkLeaving("a", "0") }, true),
		Entry("restarted", func(r *pickerHarness) {
			r.MarkLeaving("a", "1")
			r.NoteIncarnation("a", "2", r.now)
			r.now = r.now.Add(DefaultSlowStart)
		}, true),
		Entry("late response of an old incarnation", func(r *pickerHarness) {
			r.NoteIncarnation("a", "2", r.now)
			r.MarkLeaving("a", "2")
			r.NoteIncarnation("a", "1", r.now)
		}, false),
	)

	// Guards against published health that overrides the node's own recent observations of a target.
	It("uses published health only without recent own observations", func() {
		r := newPickerHarness(Target{ID: "a"}, Target{ID: "b"}).warmUp()
		r.SetPublishedHealth("a", true, r.now)
		Expect(r.countPicks(100, Request{})["a"]).To(BeNumerically(">", 30))
		r.now = r.now.Add(ownObservationMaxAge + time.Second)
		r.SetPublishedHealth("a", true, r.now)
		Expect(r.countPicks(100, Request{})["a"]).To(BeZero())
	})

	// Guards against a restarted target that receives a full share while its caches are empty.
	It("starts cold targets slowly", func() {
		r := newPickerHarness(Target{ID: "a"}, Target{ID: "b"}).warmUp()
		r.NoteIncarnation("a", "2", r.now)
		Expect(r.countPicks(1000, Request{})["a"]).To(BeNumerically("~", 50, 30)) // half of the 10% of picks it is a candidate for
		r.now = r.now.Add(DefaultSlowStart / 2)
		Expect(r.countPicks(1000, Request{})["a"]).To(BeNumerically("~", 275, 60))
	})
})

var _ = Describe("outlier ejection", func() {
	slow, cancelled := Observation{Latency: 10 * healthyLatency}, Observation{Result: Cancelled, Latency: 4 * healthyLatency}
	// Guards against stragglers that stay in use, in particular when all their calls are cancelled after a hedge was faster.
	DescribeTable("ejects", func(o Observation, calls int, want bool) {
		r := newPickerHarness(replicas()...).warmUp()
		r.callTimes(calls, "a", o)
		Expect(r.isEjected("a")).To(Equal(want))
	},
		Entry("after consecutive failures", Observation{Result: Failure}, failuresToEject, true),
		Entry("not before", Observation{Result: Failure}, failuresToEject-1, false),
		Entry("slow", slow, slowCallsToEject, true),
		Entry("always cancelled", cancelled, slowCallsToEject, true),
		Entry("not for one slow call", slow, 1, false),
		Entry("not for cancelled calls that were not slow", Observation{Result: Cancelled, Latency: healthyLatency}, 50, false),
		Entry("not for shed calls", Observation{Result: Shed}, 50, false),
	)

	// Guards against a bad target that gets a burst of calls when its ejection ends, or whose ejection times do not grow.
	It("probes one call at a time and backs off", func() {
		r := newPickerHarness(replicas()...).warmUp()
		r.callTimes(failuresToEject, "a", Observation{Result: Failure})
		Expect(r.countPicks(100, Request{})["a"]).To(BeZero())
		r.now = r.now.Add(DefaultBaseEjection)
		probe, _ := r.pick(Request{})
		Expect(probe.Probe).To(BeTrue())
		Expect(r.countPicks(100, Request{})["a"]).To(BeZero())
		r.Done(probe, Observation{Result: Failure}, r.now)
		r.now = r.now.Add(2*DefaultBaseEjection - time.Millisecond)
		Expect(r.countPicks(100, Request{})["a"]).To(BeZero())
		r.now = r.now.Add(time.Millisecond)
		for range probesToReadmit {
			Expect(r.call("a", Observation{Latency: healthyLatency}).Probe).To(BeTrue())
		}
		Expect(r.isEjected("a")).To(BeFalse())
	})

	// Guards against unlimited load on the only good target of three.
	It("uses all targets when too many look bad, and prefers the good one", func() {
		r := newPickerHarness(replicas()...).warmUp()
		r.callTimes(failuresToEject, "b", Observation{Result: Failure})
		r.callTimes(failuresToEject, "c", Observation{Result: Failure})
		Expect(r.Status(r.now).PanicMode).To(BeTrue())
		Expect(r.countPicks(100, Request{})).To(Equal(map[string]int{"a": 100}))
		seen := map[string]int{}
		for range 60 {
			c, _ := r.pick(Request{})
			seen[c.Target.ID]++
		}
		Expect(seen).To(And(HaveKey("b"), HaveKey("c")))
	})

	// Guards against a service without any usable target: at most half are ejected, a pick always succeeds, and a leaving
	// target is never picked.
	It("never removes the last target", func() {
		rnd := rand.New(rand.NewPCG(11, 12))
		for n := 1; n <= 5; n++ {
			var targets []Target
			for i := range n {
				targets = append(targets, Target{ID: string(rune('a' + i)), Domain: string(rune('x' + i%3)), Slots: 2})
			}
			r := newPickerHarness(targets...)
			if n > 1 {
				r.MarkLeaving("a", "")
			}
			for range 5000 {
				c, ok := r.pick(Request{})
				Expect(ok).To(BeTrue())
				r.Done(c, Observation{Result: Result(rnd.IntN(5)), Latency: time.Duration(rnd.ExpFloat64() * float64(healthyLatency) * 3)}, r.now)
				Expect(r.countEjected()).To(BeNumerically("<=", max(1, n-1)/2))
				Expect(n > 1 && c.Target.ID == "a").To(BeFalse(), "leaving target chosen")
				r.now = r.now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
			}
		}
	})
})

// Guards against further calls to a target that has just stalled: the age of its calls in flight shows the stall before any
// of them has ended.
func TestPickAvoidsStalledTarget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	p := NewPicker(Config{})
	p.Update([]Target{{ID: "near", Slots: 9, Warm: true}, {ID: "far", Slots: 9, Warm: true, RTT: 24 * time.Millisecond}}, now)
	for range 20 {
		for _, id := range []string{"near", "far"} {
			c, _ := p.Pick(Request{Eligible: func(have string) bool { return have == id }}, now, rnd)
			p.Done(c, Observation{Result: Success, Latency: 10*time.Millisecond + c.Target.RTT}, now)
		}
	}
	stalled, _ := p.Pick(Request{}, now, rnd)
	g.Expect(stalled.Target.ID).To(Equal("near"))
	for _, c := range []struct {
		age  time.Duration
		want string
	}{{15 * time.Millisecond, "near"}, {40 * time.Millisecond, "far"}} {
		next, _ := p.Pick(Request{}, now.Add(c.age), rnd)
		g.Expect(next.Target.ID).To(Equal(c.want), "after %v", c.age)
		p.Done(next, Observation{Result: Neutral}, now.Add(c.age))
	}
	p.Done(stalled, Observation{Result: Success, Latency: 50 * time.Millisecond}, now.Add(50*time.Millisecond))
	next, _ := p.Pick(Request{}, now.Add(51*time.Millisecond), rnd)
	g.Expect(next.Target.ID).To(Equal("near"), "the stall is over")
}

// Guards against calls to a target where no process listens.
func TestUnreachableTargetIsEjectedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	p := NewPicker(Config{})
	p.Update([]Target{{ID: "a", Slots: 2, Warm: true}, {ID: "b", Slots: 2, Warm: true}}, now)
	c, _ := p.Pick(Request{}, now, rnd)
	p.Done(c, Observation{Result: Unreachable}, now)
	for range 20 {
		next, _ := p.Pick(Request{}, now, rnd)
		g.Expect(next.Target.ID).NotTo(Equal(c.Target.ID))
	}
}

// Guards against ejecting a target for a pause of a few tenths of a second, and against keeping one that stays slow.
func TestShortSlownessDoesNotEject(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	p := NewPicker(Config{MinSlowDuration: 500 * time.Millisecond})
	p.Update([]Target{{ID: "a", Slots: 9, Warm: true}, {ID: "b", Slots: 9, Warm: true}}, now)
	call := func(id string, latency time.Duration) {
		c, _ := p.Pick(Request{Eligible: func(have string) bool { return have == id }}, now, rnd)
		p.Done(c, Observation{Result: Success, Latency: latency}, now)
	}
	for range 20 {
		call("a", 10*time.Millisecond)
		call("b", 10*time.Millisecond)
	}
	for range 8 {
		call("a", 200*time.Millisecond)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(p.Status(now).TotalEjections).To(BeZero())
	for range 40 {
		call("a", 200*time.Millisecond)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(p.Status(now).TotalEjections).NotTo(BeZero())
}

// Guards against a node that, after its own start, treats targets that have been running for long as cold.
func TestWarmAndColdTargetsOnFirstUpdate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPicker(Config{SlowStart: 4 * time.Second})
	p.Update([]Target{{ID: "warm", Warm: true}, {ID: "cold", WarmupLeft: time.Second}, {ID: "new"}}, now)
	cold := func(at time.Time) (ids []string) {
		candidates, _ := p.View(Request{}, at)
		for _, c := range candidates {
			if c.Cold {
				ids = append(ids, c.ID)
			}
		}
		return ids
	}
	g.Expect(cold(now)).To(ConsistOf("cold", "new"))
	g.Expect(cold(now.Add(time.Second))).To(ConsistOf("new"))
	g.Expect(cold(now.Add(4 * time.Second))).To(BeEmpty())
}
