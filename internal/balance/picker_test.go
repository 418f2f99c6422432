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

const healthy = 6 * time.Millisecond

// rig drives a picker in virtual time.
type rig struct {
	*Picker
	at  time.Time
	rnd *rand.Rand
}

func newRig(targets ...Target) *rig {
	r := &rig{Picker: NewPicker(Config{}), at: start, rnd: rand.New(rand.NewPCG(9, 9))}
	r.Update(targets, r.at)
	r.at = r.at.Add(DefaultSlowStart)
	return r
}

func replicas() []Target {
	return []Target{
		{ID: "a", Domain: "x", Slots: 2}, {ID: "b", Domain: "y", Slots: 2, Hop: healthy}, {ID: "c", Domain: "z", Slots: 2, Hop: healthy},
	}
}

func (r *rig) pick(q Request) (Choice, bool) { return r.Pick(q, r.at, r.rnd) }

// only makes one call on the named target.
func (r *rig) only(id string, o Observation) Choice {
	c, ok := r.pick(Request{Eligible: func(t string) bool { return t == id }})
	Expect(ok).To(BeTrue())
	r.at = r.at.Add(time.Millisecond)
	r.Done(c, o, r.at)
	return c
}

func (r *rig) times(n int, id string, o Observation) {
	for range n {
		r.only(id, o)
	}
}

func (r *rig) warm() *rig {
	for _, t := range r.targets {
		r.times(minSamples, t.ID, Observation{Latency: healthy + t.Hop, Incarnation: "1"})
	}
	return r
}

func (r *rig) chosen(n int, q Request) map[string]int {
	count := map[string]int{}
	for range n {
		c, _ := r.pick(q)
		count[c.Target.ID]++
		r.Done(c, Observation{Result: Neutral}, r.at)
	}
	return count
}

func (r *rig) isEjected(id string) bool {
	for _, t := range r.Status(r.at).Targets {
		if t.ID == id {
			return t.Ejected
		}
	}
	return false
}

var _ = Describe("Picker", func() {
	// Guards against a hop paid for nothing, and against queueing at home while another failure domain is idle.
	It("prefers the local target until its queue costs more than the hop", func() {
		r := newRig(replicas()...).warm()
		for range 3 { // 2 slots and one queued call: half a service time, less than the hop
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

	// Guards against a hedge on the tried target or in its failure domain, and against an index version mix.
	It("excludes tried and ineligible targets and prefers another failure domain", func() {
		r := newRig(Target{ID: "a", Domain: "x"}, Target{ID: "a2", Domain: "x"}, Target{ID: "b", Domain: "y", Hop: healthy}).warm()
		Expect(r.chosen(20, Request{Tried: []string{"a"}})).To(Equal(map[string]int{"b": 20}))
		notB := func(id string) bool { return id != "b" }
		Expect(r.chosen(20, Request{Tried: []string{"a"}, Eligible: notB})).To(Equal(map[string]int{"a2": 20}))
		_, ok := r.pick(Request{Tried: []string{"a", "a2"}, Eligible: notB})
		Expect(ok).To(BeFalse())
	})

	// Guards against a leaving target that gets work again when a list or a late response is out of date.
	DescribeTable("leaving is sticky per incarnation", func(change func(*rig), used bool) {
		r := newRig(replicas()...).warm()
		change(r)
		Expect(r.chosen(50, Request{})["a"] > 0).To(Equal(used))
	},
		Entry("marked", func(r *rig) { r.MarkLeaving("a", "1") }, false),
		Entry("own signal", func(r *rig) { r.MarkLeaving("a", "") }, false),
		Entry("still reported healthy", func(r *rig) { r.MarkLeaving("a", "1"); r.Hint("a", false, r.at); r.NoteIncarnation("a", "1", r.at) }, false),
		Entry("kept over an update", func(r *rig) { r.MarkLeaving("a", "1"); r.Update(replicas(), r.at) }, false),
		Entry("marked before its incarnation was known", func(r *rig) {
			r.Update(replicas()[1:], r.at)
			r.Update(replicas(), r.at)
			r.MarkLeaving("a", "")
			r.NoteIncarnation("a", "1", r.at)
			r.at = r.at.Add(DefaultSlowStart)
		}, false),
		Entry("another incarnation was meant", func(r *rig) { r.MarkLeaving("a", "0") }, true),
		Entry("restarted", func(r *rig) {
			r.MarkLeaving("a", "1")
			r.NoteIncarnation("a", "2", r.at)
			r.at = r.at.Add(DefaultSlowStart)
		}, true),
		Entry("late response of an old incarnation", func(r *rig) {
			r.NoteIncarnation("a", "2", r.at)
			r.MarkLeaving("a", "2")
			r.NoteIncarnation("a", "1", r.at)
		}, false),
	)

	// Guards against published health that hides or condemns a target against the relay's own observations.
	It("takes published health as a weak hint", func() {
		r := newRig(Target{ID: "a"}, Target{ID: "b"}).warm()
		r.Hint("a", true, r.at)
		Expect(r.chosen(100, Request{})["a"]).To(BeNumerically(">", 30))
		r.at = r.at.Add(hintTrust + time.Second)
		r.Hint("a", true, r.at)
		Expect(r.chosen(100, Request{})["a"]).To(BeZero())
	})

	// Guards against a restarted target that receives a full share while its caches are empty.
	It("starts cold targets slowly", func() {
		r := newRig(Target{ID: "a"}, Target{ID: "b"}).warm()
		r.NoteIncarnation("a", "2", r.at)
		Expect(r.chosen(1000, Request{})["a"]).To(BeNumerically("~", 50, 30)) // half of the 10% of choices it takes part in
		r.at = r.at.Add(DefaultSlowStart / 2)
		Expect(r.chosen(1000, Request{})["a"]).To(BeNumerically("~", 275, 60))
	})
})

var _ = Describe("outlier ejection", func() {
	slow, cancelled := Observation{Latency: 10 * healthy}, Observation{Result: Cancelled, Latency: 4 * healthy}
	// Guards against stragglers that stay in use, in particular when all their calls lose to hedges.
	DescribeTable("ejects", func(o Observation, calls int, want bool) {
		r := newRig(replicas()...).warm()
		r.times(calls, "a", o)
		Expect(r.isEjected("a")).To(Equal(want))
	},
		Entry("after consecutive failures", Observation{Result: Failure}, failuresToEject, true),
		Entry("not before", Observation{Result: Failure}, failuresToEject-1, false),
		Entry("slow", slow, slowToEject, true),
		Entry("always cancelled", cancelled, slowToEject, true),
		Entry("not for one slow call", slow, 1, false),
		Entry("not for cancelled calls that were not slow", Observation{Result: Cancelled, Latency: healthy}, 50, false),
		Entry("not for shed calls", Observation{Result: Shed}, 50, false),
	)

	// Guards against a bad target that gets a burst of calls when its ejection ends, or is probed as often for ever.
	It("probes one call at a time and backs off", func() {
		r := newRig(replicas()...).warm()
		r.times(failuresToEject, "a", Observation{Result: Failure})
		Expect(r.chosen(100, Request{})["a"]).To(BeZero())
		r.at = r.at.Add(DefaultBaseEjection)
		probe, _ := r.pick(Request{})
		Expect(probe.Probe).To(BeTrue())
		Expect(r.chosen(100, Request{})["a"]).To(BeZero())
		r.Done(probe, Observation{Result: Failure}, r.at)
		r.at = r.at.Add(2*DefaultBaseEjection - time.Millisecond)
		Expect(r.chosen(100, Request{})["a"]).To(BeZero())
		r.at = r.at.Add(time.Millisecond)
		for range probesToReadmit {
			Expect(r.only("a", Observation{Latency: healthy}).Probe).To(BeTrue())
		}
		Expect(r.isEjected("a")).To(BeFalse())
	})

	// Guards against the one good target of three receiving all load without limit.
	It("uses all targets when too many look bad, and prefers the good one", func() {
		r := newRig(replicas()...).warm()
		r.times(failuresToEject, "b", Observation{Result: Failure})
		r.times(failuresToEject, "c", Observation{Result: Failure})
		Expect(r.Status(r.at).AllIn).To(BeTrue())
		Expect(r.chosen(100, Request{})).To(Equal(map[string]int{"a": 100}))
		seen := map[string]int{}
		for range 60 {
			c, _ := r.pick(Request{})
			seen[c.Target.ID]++
		}
		Expect(seen).To(And(HaveKey("b"), HaveKey("c")))
	})

	// Guards against a service without any usable target: at most half are ejected, a choice is always found, and a
	// leaving target is never it.
	It("never removes the last target", func() {
		rnd := rand.New(rand.NewPCG(11, 12))
		for n := 1; n <= 5; n++ {
			var targets []Target
			for i := range n {
				targets = append(targets, Target{ID: string(rune('a' + i)), Domain: string(rune('x' + i%3)), Slots: 2})
			}
			r := newRig(targets...)
			if n > 1 {
				r.MarkLeaving("a", "")
			}
			for range 5000 {
				c, ok := r.pick(Request{})
				Expect(ok).To(BeTrue())
				r.Done(c, Observation{Result: Result(rnd.IntN(5)), Latency: time.Duration(rnd.ExpFloat64() * float64(healthy) * 3)}, r.at)
				Expect(r.ejected()).To(BeNumerically("<=", max(1, n-1)/2))
				Expect(n > 1 && c.Target.ID == "a").To(BeFalse(), "leaving target chosen")
				r.at = r.at.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
			}
		}
	})
})

// Guards against calls that go on to a target which has just stalled: before any of its calls has ended, their age tells.
func TestStalledCallsMoveTheChoice(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	p := NewPicker(Config{})
	p.Update([]Target{{ID: "near", Slots: 9, Warm: true}, {ID: "far", Slots: 9, Warm: true, Hop: 24 * time.Millisecond}}, now)
	for range 20 {
		for _, id := range []string{"near", "far"} {
			c, _ := p.Pick(Request{Eligible: func(have string) bool { return have == id }}, now, rnd)
			p.Done(c, Observation{Result: Success, Latency: 10*time.Millisecond + c.Target.Hop}, now)
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

// Guards against the ejection of a target for a pause of some tenths of a second, and against keeping a slow one.
func TestShortSlownessDoesNotEject(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	p := NewPicker(Config{SlowSpan: 500 * time.Millisecond})
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
	g.Expect(p.Status(now).Ejections).To(BeZero())
	for range 40 {
		call("a", 200*time.Millisecond)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(p.Status(now).Ejections).NotTo(BeZero())
}

// Guards against a node that starts in the middle of a day and treats targets that run for long as cold.
func TestWarmAndColdTargetsAtTheStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPicker(Config{SlowStart: 4 * time.Second})
	p.Update([]Target{{ID: "warm", Warm: true}, {ID: "cold", ColdLeft: time.Second}, {ID: "new"}}, now)
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
