package balance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exclusions maps the targets of a view to the reasons why they are not chosen.
func (r *pickerHarness) exclusions(q Request) map[string]Exclusion {
	out := map[string]Exclusion{}
	candidates, _ := r.View(q, r.now)
	for _, c := range candidates {
		out[c.ID] = c.Excluded
	}
	return out
}

// Guards against a view that disagrees with Pick, or that starts a probe.
var _ = It("views targets as Pick would choose them and changes nothing", func() {
	r := newPickerHarness(replicas()...).warmUp()
	r.callTimes(failuresToEject, "a", Observation{Result: Failure, Incarnation: "1"})
	Expect(r.exclusions(Request{})).To(Equal(map[string]Exclusion{"a": ExcludedEjected, "b": "", "c": ""}))
	r.MarkLeaving("b", "1")
	q := Request{Eligible: func(id string) bool { return id != "c" }}
	Expect(r.exclusions(q)).To(HaveKeyWithValue("b", ExcludedLeaving))
	Expect(r.exclusions(q)).To(HaveKeyWithValue("c", ExcludedIneligible))

	r.now = r.now.Add(2 * DefaultBaseEjection)
	for range 3 { // a view that started the probe would show it as in flight the next time
		candidates, _ := r.View(Request{}, r.now)
		Expect(candidates[0].ID).To(Equal("a"))
		Expect(candidates[0].Probation).To(BeTrue())
		Expect(candidates[0].Excluded).To(BeEmpty())
	}
	probe, ok := r.pick(Request{})
	Expect(ok && probe.Probe).To(BeTrue())
	Expect(r.exclusions(Request{})).To(HaveKeyWithValue("a", ExcludedProbation))
})
