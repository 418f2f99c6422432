package failure_test

import (
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

const (
	poison = "crash-the-target"
	// poisonBound is the bound of design section 8: two targets per fingerprint, and one first contact for each home
	// relay that has not heard of the suspicion yet. Two of the three failure domains can be in that state.
	poisonBound = 4
	// restartAfter is how long a crashed target stays away.
	restartAfter = 200 * time.Millisecond
)

func (h *harness) crashes() (n int64) {
	h.eachTarget(func(_ string, t *targetsim.Server) { n += t.Counts().Crashes })
	return n
}

// superviseTargets makes all targets crash on the poison and restarts them, as the owner of the targets would.
func (h *harness) superviseTargets() (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	h.eachTarget(func(_ string, t *targetsim.Server) {
		t.SetFaults(targetsim.Faults{CrashMarker: poison, CrashAfterMS: 1})
		wg.Go(func() {
			seen := t.Counts().Crashes
			for {
				select {
				case <-end:
					return
				case <-time.After(poll):
				}
				if n := t.Counts().Crashes; n > seen {
					seen = n
					time.Sleep(restartAfter)
					if err := t.Restart(); err != nil {
						h.t.Errorf("restart a target: %v", err)
					}
				}
			}
		})
	})
	stop = sync.OnceFunc(func() { close(end); wg.Wait() })
	h.t.Cleanup(stop) // also when an expectation has ended the test
	return stop
}

// sendPoison sends the poison to the nodes of the failure domains in turn and returns the last error. No domain means
// all of them.
func (h *harness) sendPoison(d time.Duration, domains ...string) (last error) {
	limit := 5
	c := demo.Client{HTTP: h.callers, Key: fleet.DemoKey}
	body := entry.SearchBody{Query: json.RawMessage(`{"q":"` + poison + `"}`), Limit: &limit}
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		members := slices.DeleteFunc(h.d.Members(), func(m *demo.Member) bool {
			return len(domains) > 0 && !slices.Contains(domains, m.Domain)
		})
		_, last = c.Search(h.t.Context(), members[i%len(members)].URL, group, body, timeout)
		time.Sleep(10 * time.Millisecond)
	}
	return last
}

// oneDomainBound is the bound of design section 8 for a caller that uses one failure domain: the first contact and the
// run alone.
const oneDomainBound = 2

// Guards against a home relay that lets a request crash more than two targets (design section 8).
func TestPoisonFromOneDomainCrashesTwoTargets(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		stop := h.superviseTargets()
		h.sendPoison(3*time.Second, "north")
		h.t.Logf("crashes: %d", h.crashes())
		h.g.Expect(h.crashes()).To(BeNumerically(">", 0), "the poison must crash a target for the test to mean anything")
		h.g.Expect(h.crashes()).To(BeNumerically("<=", oneDomainBound))
		stop()
		h.recovered()
		h.verify()
	})
}

// Guards against a request that crashes one target after another because its caller sends it again (design section 8),
// while the other callers' answers stay true and come back to full coverage.
func TestPoisonIsContained(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		stop := h.superviseTargets()
		h.sendPoison(3 * time.Second)
		first := h.crashes()
		last := h.sendPoison(3 * time.Second)
		h.t.Logf("crashes: %d in the first 3 s, %d afterwards", first, h.crashes()-first)
		h.g.Expect(first).To(BeNumerically(">", 0), "the poison must crash a target for the test to mean anything")
		h.g.Expect(h.crashes()).To(Equal(first), "the poison crashes targets after it was confirmed")
		var refused *api.Error
		h.g.Expect(errors.As(last, &refused)).To(BeTrue(), "%v", last)
		h.g.Expect(refused.Code).To(Equal(api.CodeQuarantined))
		stop()
		h.recovered()
		h.verify()
	})
}

// Guards against more crashes than design section 8 allows when the poison reaches all failure domains before their
// nodes have heard of it.
func TestPoisonFromAllDomainsIsBounded(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		stop := h.superviseTargets()
		h.sendPoison(3 * time.Second)
		crashes := h.crashes()
		stop()
		h.t.Logf("crashes: %d", crashes)
		h.g.Expect(crashes).To(BeNumerically("<=", poisonBound))
	})
}

// Guards against a quarantine that a failure domain without contact to the others does not build up by itself.
func TestPoisonIsContainedInCutDomain(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		repair := cutFromAll(h)
		stop := h.superviseTargets()
		h.sendPoison(4 * time.Second)
		first := h.crashes()
		h.sendPoison(2 * time.Second)
		h.t.Logf("crashes: %d in the first 4 s, %d afterwards", first, h.crashes()-first)
		h.g.Expect(h.crashes()).To(Equal(first), "the poison crashes targets after it was confirmed")
		repair()
		stop()
		h.recovered()
		h.verify()
	})
}
