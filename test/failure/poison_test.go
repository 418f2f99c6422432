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
	// poisonMarker in a query makes a target crash.
	poisonMarker = "crash-the-target"
	// maxPoisonCrashes is the bound of docs/design.md, section 8: two targets per fingerprint, and one first contact for
	// each home relay that has not heard of the suspicion yet. Two of the three failure domains can be in that state.
	maxPoisonCrashes = 4
	// restartAfter is how long a crashed target stays down.
	restartAfter = 200 * time.Millisecond
)

func (h *harness) crashCount() (n int64) {
	h.eachTarget(func(_ string, t *targetsim.Server) { n += t.Counts().Crashes })
	return n
}

// superviseTargets makes all targets crash on a poison request and restarts them until stop is called, as the owner of the
// targets would.
func (h *harness) superviseTargets() (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	h.eachTarget(func(_ string, t *targetsim.Server) {
		t.SetFaults(targetsim.Faults{CrashMarker: poisonMarker, CrashAfterMS: 1})
		wg.Go(func() {
			seen := t.Counts().Crashes
			for {
				select {
				case <-end:
					return
				case <-time.After(pollInterval):
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
	h.t.Cleanup(stop) // also when a failed expectation has ended the test
	return stop
}

// sendPoisonRequests sends poison requests for d, in turn to the nodes of the failure domains, and returns the last error.
// No domain means all of them.
func (h *harness) sendPoisonRequests(d time.Duration, domains ...string) (last error) {
	limit := 5
	c := demo.Client{HTTP: h.httpClient, Key: fleet.DemoKey}
	body := entry.SearchBody{Query: json.RawMessage(`{"q":"` + poisonMarker + `"}`), Limit: &limit}
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		members := slices.DeleteFunc(h.deployment.Members(), func(m *demo.Member) bool {
			return len(domains) > 0 && !slices.Contains(domains, m.Domain)
		})
		_, last = c.Search(h.t.Context(), members[i%len(members)].CallerURL, groupName, body, requestTimeout)
		time.Sleep(10 * time.Millisecond)
	}
	return last
}

// maxPoisonCrashesFromOneDomain is the bound of docs/design.md, section 8, for a caller that uses one failure domain: the
// first contact and the isolated run.
const maxPoisonCrashesFromOneDomain = 2

// Guards against a home relay that lets a request crash more than two targets (docs/design.md, section 8).
func TestPoisonRequestFromOneDomainCrashesAtMostTwoTargets(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		stop := h.superviseTargets()
		h.sendPoisonRequests(3*time.Second, "north")
		h.t.Logf("crashes: %d", h.crashCount())
		h.g.Expect(h.crashCount()).To(BeNumerically(">", 0), "no target crashed, so the test checks nothing")
		h.g.Expect(h.crashCount()).To(BeNumerically("<=", maxPoisonCrashesFromOneDomain))
		stop()
		h.waitUntilServing()
		h.verifyAnswers()
	})
}

// Guards against a request that crashes one target after another because its caller repeats it (docs/design.md, section
// 8). The answers to other callers must stay correct and return to complete coverage.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		stop := h.superviseTargets()
		h.sendPoisonRequests(3 * time.Second)
		first := h.crashCount()
		last := h.sendPoisonRequests(3 * time.Second)
		h.t.Logf("crashes: %d in the first 3 s, %d afterwards", first, h.crashCount()-first)
		h.g.Expect(first).To(BeNumerically(">", 0), "no target crashed, so the test checks nothing")
		h.g.Expect(h.crashCount()).To(Equal(first), "targets crashed after the poison request was confirmed")
		var refused *api.Error
		h.g.Expect(errors.As(last, &refused)).To(BeTrue(), "%v", last)
		h.g.Expect(refused.Code).To(Equal(api.CodeQuarantined))
		stop()
		h.waitUntilServing()
		h.verifyAnswers()
	})
}

// Guards against more crashes than docs/design.md, section 8, allows when poison requests reach all failure domains before
// the nodes have heard of the suspicion from each other.
func TestPoisonRequestFromAllDomainsCrashesBoundedTargets(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		stop := h.superviseTargets()
		h.sendPoisonRequests(3 * time.Second)
		crashes := h.crashCount()
		stop()
		h.t.Logf("crashes: %d", crashes)
		h.g.Expect(crashes).To(BeNumerically("<=", maxPoisonCrashes))
	})
}

// Guards against a failure domain that cannot quarantine a request by itself while it is cut off from the others.
func TestPoisonRequestIsQuarantinedInIsolatedDomain(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		repair := isolateFromDomainsAndPlatform(h)
		stop := h.superviseTargets()
		h.sendPoisonRequests(4 * time.Second)
		first := h.crashCount()
		h.sendPoisonRequests(2 * time.Second)
		h.t.Logf("crashes: %d in the first 4 s, %d afterwards", first, h.crashCount()-first)
		h.g.Expect(h.crashCount()).To(Equal(first), "targets crashed after the poison request was confirmed")
		repair()
		stop()
		h.waitUntilServing()
		h.verifyAnswers()
	})
}
