package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Evidence", func() {
	// Guards against peers that each lose calls of their own before they avoid a failing target.
	It("lets a peer avoid a target that it has not called", func() {
		a, b := newPickerHarness(replicas()...).warmUp(), newPickerHarness(replicas()...).warmUp()
		Expect(a.TakeEvidence(a.now)).To(BeEmpty(), "healthy targets are not reported")
		a.callTimes(2, "a", Observation{Result: Failure, Incarnation: "1"})
		reports := a.TakeEvidence(a.now)
		Expect(reports).To(Equal([]Evidence{{Target: "a", Incarnation: "1", Failed: 2}}))
		Expect(a.TakeEvidence(a.now)).To(BeEmpty(), "evidence is reported once")
		Expect(b.countPicks(50, Request{})).To(HaveKeyWithValue("a", 50))
		for _, e := range reports {
			b.MergeEvidence(e, b.now)
		}
		Expect(b.countPicks(50, Request{})).NotTo(HaveKey("a"))
		Expect(b.isEjected("a")).To(BeFalse(), "the fault may lie between the peer and the target")
	})

	// Guards against a target that peers still avoid after it has recovered.
	It("lets a peer use a recovered target again", func() {
		a, b := newPickerHarness(replicas()...).warmUp(), newPickerHarness(replicas()...).warmUp()
		a.TakeEvidence(a.now)
		a.callTimes(2, "a", Observation{Result: Failure, Incarnation: "1"})
		a.callTimes(30, "a", Observation{Latency: healthyLatency, Incarnation: "1"})
		for _, e := range a.TakeEvidence(a.now) {
			Expect(e.Answered).To(Equal(30))
			b.MergeEvidence(e, b.now)
		}
		a.callTimes(5, "a", Observation{Latency: healthyLatency, Incarnation: "1"})
		Expect(a.TakeEvidence(a.now)).To(BeEmpty(), "the target is healthy again")
		for range 3 { // the mean of many calls outweighs the first failures
			b.MergeEvidence(Evidence{Target: "a", Incarnation: "1", Answered: 20}, b.now)
		}
		Expect(b.countPicks(50, Request{})).To(HaveKeyWithValue("a", 50))
	})

	// Guards against evidence of an earlier incarnation, and against a faulty peer that outweighs all others.
	It("ignores other incarnations and bounds the effect of one message", func() {
		r := newPickerHarness(replicas()...).warmUp()
		r.MergeEvidence(Evidence{Target: "a", Incarnation: "0", Failed: 50}, r.now)
		r.MergeEvidence(Evidence{Target: "a", Failed: -5, Answered: -5}, r.now)
		r.MergeEvidence(Evidence{Target: "unknown", Failed: 5}, r.now)
		Expect(r.countPicks(50, Request{})).To(HaveKeyWithValue("a", 50))
		r.MergeEvidence(Evidence{Target: "a", Incarnation: "1", Failed: 1 << 40}, r.now)
		Expect(r.countPicks(50, Request{})).NotTo(HaveKey("a"))
		r.now = r.now.Add(time.Minute)
		Expect(r.countPicks(50, Request{})).To(HaveKey("a"), "evidence ages")
	})

	// Guards against nodes that all shift their load at the same moment although each has enough observations of its own.
	It("is ignored by a node that calls the targets often", func() {
		r := newPickerHarness(replicas()...).warmUp()
		for range 20 {
			r.TakeEvidence(r.now)
			r.now = r.now.Add(200 * time.Millisecond)
			r.callTimes(4, "a", Observation{Latency: healthyLatency, Incarnation: "1"})
		}
		r.MergeEvidence(Evidence{Target: "a", Incarnation: "1", Failed: 50}, r.now)
		Expect(r.countPicks(50, Request{})).To(HaveKeyWithValue("a", 50))
		for range 20 {
			r.now = r.now.Add(200 * time.Millisecond)
			r.TakeEvidence(r.now)
		}
		r.MergeEvidence(Evidence{Target: "a", Incarnation: "1", Failed: 50}, r.now)
		Expect(r.countPicks(50, Request{})).NotTo(HaveKey("a"), "the own call rate has become low")
	})

	// Guards against a restarted target that is blamed for failures of its previous incarnation.
	It("discards pending evidence when a target restarts", func() {
		r := newPickerHarness(replicas()...).warmUp()
		r.callTimes(2, "a", Observation{Result: Failure, Incarnation: "1"})
		r.NoteIncarnation("a", "2", r.now)
		Expect(r.TakeEvidence(r.now)).To(BeEmpty())
	})
})
