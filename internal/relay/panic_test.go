package relay_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// containPanics makes a relay contain panics. A panic that may have broken shared state fails the test.
func containPanics(t *testing.T) func(*relay.Deps) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return func(d *relay.Deps) {
		d.Panics = panics.New(logrus.NewEntry(log), metrics.NewSet(), func() { t.Error("the process would stop") })
	}
}

// Guards against an unexpected error in one attempt that ends the process, loses the part although another target works, or leaves a
// call behind that counts as in flight for good.
func TestPanicCostsOneAttempt(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 4, nil, containPanics(t))
		defer h.close()
		faulty := h.targets["records-01-north"]
		faulty.update(func(f *fakeTarget) { f.panics = true })
		for range 20 {
			res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
			h.g.Expect(res.Refusal).To(BeNil())
			h.g.Expect(missing(res)).To(BeEmpty())
		}
		before := faulty.counts()
		h.g.Expect(before.searches).To(BeNumerically(">", 1))
		faulty.update(func(f *fakeTarget) { f.panics = false })
		for range 100 { // the target is ejected at first
			time.Sleep(500 * time.Millisecond)
			h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
		}
		h.g.Expect(faulty.counts().searches).To(BeNumerically(">", before.searches+5), "the target gets calls again")
	})
}

// Guards against a search that waits until its deadline, or that does not say what is missing, when every attempt of a part ends in an
// unexpected error.
func TestPartThatOnlyPanicsIsMissingAtOnce(t *testing.T) {
	for _, canary := range []config.Canary{config.CanaryAlways, config.CanaryOff} {
		t.Run(string(canary), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				h := newHarness(t, 4, func(g *config.Group) { g.Canary = canary }, containPanics(t))
				defer h.close()
				for id, f := range h.targets {
					if strings.HasPrefix(id, "records-01-") {
						f.update(func(f *fakeTarget) { f.panics = true })
					}
				}
				began := time.Now()
				res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, 5*time.Second))
				h.g.Expect(res.Refusal).To(BeNil())
				h.g.Expect(missing(res)).To(Equal(map[string]api.MissingReason{"records-01": api.MissingInternal}))
				h.g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			})
		})
	}
}

// Guards against a command that ended in an unexpected error and keeps its target's slot, so that later ones wait for ever.
func TestPanicOfACommandFreesItsTarget(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, nil, containPanics(t))
		defer h.close()
		for range 50 {
			for _, f := range h.targets {
				f.update(func(f *fakeTarget) { f.panics = true })
			}
			h.g.Expect(func() { h.command(time.Second) }).To(Panic(), "the server of the caller or of the peer contains it")
			for _, f := range h.targets {
				f.update(func(f *fakeTarget) { f.panics = false })
			}
			h.g.Expect(h.command(time.Second).Outcome).To(Equal(api.OutcomeRan))
		}
	})
}
