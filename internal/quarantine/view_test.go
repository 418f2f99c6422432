package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// Guards against a view that ends an expired reservation: reading the administration API would change how requests run.
var _ = It("lists records and reservations without ending them", func() {
	g := quarantine.NewGuard(0)
	g.End(startCall(g, fp, refT1, at(0)), quarantine.Lost, at(0))
	observe(g, quarantine.RedialRefused, "", at(0))
	lease, err := g.Reserve(otherFP, refT2, at(0))
	Expect(err).NotTo(HaveOccurred())
	Expect(g.IsReserved(refT2.Target, at(0))).To(BeTrue())
	Expect(g.View(at(0))).To(ConsistOf(And(HaveField("Fingerprint", fp), HaveField("State", quarantine.Suspect))))

	Expect(g.IsReserved(refT2.Target, at(quarantine.LeaseStartTimeout))).To(BeFalse())
	Expect(g.View(at(quarantine.SuspectTTL))).To(BeEmpty())
	_, err = g.StartIsolated(lease, at(0))
	Expect(err).NotTo(HaveOccurred(), "the reservation must not have ended")
})
