package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Evidence", func() {
	// Guards against peers that each have to lose calls of their own before they avoid a target that fails.
	It("lets a peer avoid a target that it has not called", func() {
		a, b := newRig(replicas()...).warm(), newRig(replicas()...).warm()
		Expect(a.Evidence(a.at)).To(BeEmpty(), "targets that do well are not told of")
		a.times(2, "a", Observation{Result: Failure, Incarnation: "1"})
		told := a.Evidence(a.at)
		Expect(told).To(Equal([]Evidence{{Target: "a", Incarnation: "1", Failed: 2}}))
		Expect(a.Evidence(a.at)).To(BeEmpty(), "it is told once")
		Expect(b.chosen(50, Request{})).To(HaveKeyWithValue("a", 50))
		for _, e := range told {
			b.Learn(e, b.at)
		}
		Expect(b.chosen(50, Request{})).NotTo(HaveKey("a"))
		Expect(b.isEjected("a")).To(BeFalse(), "the fault may lie between the peer and the target")
	})

	// Guards against a target that is avoided for longer than it fails.
	It("lets a peer take a target back that has recovered", func() {
		a, b := newRig(replicas()...).warm(), newRig(replicas()...).warm()
		a.Evidence(a.at)
		a.times(2, "a", Observation{Result: Failure, Incarnation: "1"})
		a.times(30, "a", Observation{Latency: healthy, Incarnation: "1"})
		for _, e := range a.Evidence(a.at) {
			Expect(e.Answered).To(Equal(30))
			b.Learn(e, b.at)
		}
		a.times(5, "a", Observation{Latency: healthy, Incarnation: "1"})
		Expect(a.Evidence(a.at)).To(BeEmpty(), "it does well again")
		for range 3 { // the mean of many calls outweighs the first losses
			b.Learn(Evidence{Target: "a", Incarnation: "1", Answered: 20}, b.at)
		}
		Expect(b.chosen(50, Request{})).To(HaveKeyWithValue("a", 50))
	})

	// Guards against evidence of a run that has ended, and against a faulty peer that outweighs all others.
	It("ignores other runs and bounds what one message can do", func() {
		r := newRig(replicas()...).warm()
		r.Learn(Evidence{Target: "a", Incarnation: "0", Failed: 50}, r.at)
		r.Learn(Evidence{Target: "a", Failed: -5, Answered: -5}, r.at)
		r.Learn(Evidence{Target: "unknown", Failed: 5}, r.at)
		Expect(r.chosen(50, Request{})).To(HaveKeyWithValue("a", 50))
		r.Learn(Evidence{Target: "a", Incarnation: "1", Failed: 1 << 40}, r.at)
		Expect(r.chosen(50, Request{})).NotTo(HaveKey("a"))
		r.at = r.at.Add(time.Minute)
		Expect(r.chosen(50, Request{})).To(HaveKey("a"), "evidence ages")
	})

	// Guards against nodes that all move their load at the same moment although each knows enough by itself.
	It("is left aside by a node that calls the targets often", func() {
		r := newRig(replicas()...).warm()
		for range 20 {
			r.Evidence(r.at)
			r.at = r.at.Add(200 * time.Millisecond)
			r.times(4, "a", Observation{Latency: healthy, Incarnation: "1"})
		}
		r.Learn(Evidence{Target: "a", Incarnation: "1", Failed: 50}, r.at)
		Expect(r.chosen(50, Request{})).To(HaveKeyWithValue("a", 50))
		for range 20 {
			r.at = r.at.Add(200 * time.Millisecond)
			r.Evidence(r.at)
		}
		r.Learn(Evidence{Target: "a", Incarnation: "1", Failed: 50}, r.at)
		Expect(r.chosen(50, Request{})).NotTo(HaveKey("a"), "it has become quiet")
	})

	// Guards against a restarted target that is blamed for its last run.
	It("forgets what was not told when a target restarts", func() {
		r := newRig(replicas()...).warm()
		r.times(2, "a", Observation{Result: Failure, Incarnation: "1"})
		r.NoteIncarnation("a", "2", r.at)
		Expect(r.Evidence(r.at)).To(BeEmpty())
	})
})
