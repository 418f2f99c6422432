package failure_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/standin/configservicesim"
)

// configApplyBound is the bound of requirement R8: an accepted configuration is in force on every node within this time.
const configApplyBound = 6 * time.Second

// secondCallerKey is the API key of the caller that version 2 of the configuration adds.
const secondCallerKey = "second-caller-key"

func addCaller(d *config.Document) {
	c := d.Callers[0]
	c.Name, c.KeySHA256 = "second-caller", fleet.HashKey(secondCallerKey)
	d.Callers = append(d.Callers, c)
}

// hasVersionInForce reports whether all nodes have at least that configuration version in force.
func (h *harness) hasVersionInForce(number int) bool {
	for _, m := range h.deployment.Members() {
		if versionInForce(m, "configuration") < number {
			return false
		}
	}
	return true
}

func (h *harness) expectVersionInForce(number int, within time.Duration) {
	h.t.Helper()
	h.g.Eventually(func() bool { return h.hasVersionInForce(number) }, within, pollInterval).Should(BeTrue(),
		"R8: version %d in force on every node", number)
}

// watchVersions fails the test when a node's version decreases or a node is ready with a version below minReady. It watches
// until stop is called.
func (h *harness) watchVersions(minReady int) (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		seen := map[*demo.Member]int{}
		for {
			for _, m := range h.deployment.Members() {
				ready, v := m.Ready(), versionInForce(m, "configuration")
				if v < seen[m] || ready && v < minReady {
					h.t.Errorf("R8: node %s has version %d after version %d, ready %t, a ready node must have %d",
						m.ID, v, seen[m], ready, minReady)
					return
				}
				seen[m] = v
			}
			select {
			case <-end:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	stop = sync.OnceFunc(func() { close(end); wg.Wait() })
	h.t.Cleanup(stop)
	return stop
}

// Guards against a configuration change that reaches only some nodes, or that makes requests fail while it is rolled out.
func TestConfigurationReachesEveryNode(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		for number := 2; number <= 4; number++ {
			h.publish(changeForVersion(number))
			h.expectVersionInForce(number, configApplyBound)
		}
		h.waitUntilServing()
		h.verifyNoFailures()
	})
}

// changeForVersion returns the change of a version: version 2 adds the second caller, later versions change a limit.
func changeForVersion(number int) func(*config.Document) {
	if number == 2 {
		return addCaller
	}
	return func(d *config.Document) { d.Groups[0].MaxLimit = 1000 + number }
}

// Guards against a failure domain that cannot reach the platform and does not get a new version from its peers either.
func TestConfigurationReachesDomainWithoutPlatform(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		h.network.Partition("north", demo.PlatformLocation)
		h.publish(addCaller)
		h.expectVersionInForce(2, configApplyBound)
		h.verifyNoFailures()
	})
}

// Guards against a configuration that reverts when the platform serves an older version and nodes restart.
func TestConfigurationNeverReverts(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		old := h.deployment.Fleet.Document()
		h.publish(addCaller)
		h.expectVersionInForce(2, configApplyBound)
		stop := h.watchVersions(2)
		// From now on the platform serves the old version, as a stale replica would.
		h.g.Expect(h.deployment.Fleet.Publish(old)).To(Succeed())
		h.letTrafficRun(failureDuration)
		for _, m := range h.deployment.Members() {
			h.g.Expect(h.deployment.Replace(h.t.Context(), m)).To(Succeed())
			h.g.Expect(h.deployment.WaitReady(h.t.Context())).To(Succeed())
		}
		m := h.member("south", 1)
		h.deployment.Kill(m)
		h.g.Expect(h.deployment.Restart(h.t.Context(), m)).To(Succeed())
		h.g.Expect(h.deployment.WaitReady(h.t.Context())).To(Succeed())
		h.letTrafficRun(failureDuration)
		stop()
		h.waitUntilServing()
		h.verifyAnswers()
		h.g.Expect(h.hasVersionInForce(2)).To(BeTrue())
	})
}

// Guards against an invalid version, or different content under the same version number, that takes effect or blocks the
// next version.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		good := h.deployment.Fleet.Document()
		stop := h.watchVersions(1)
		h.publish(func(d *config.Document) { d.Groups[0].ConnectionLimit = 1 }) // invalid: below candidates × 2
		h.letTrafficRun(failureDuration)
		for _, m := range h.deployment.Members() {
			h.g.Expect(versionInForce(m, "configuration")).To(Equal(1))
		}
		next := good
		next.Version.Number = 3
		next.Callers = append(next.Callers[:len(next.Callers):len(next.Callers)], next.Callers[0])
		addCaller(&next)
		next.Callers = append(next.Callers[:2:2], next.Callers[3])
		h.g.Expect(h.deployment.Fleet.Publish(next)).To(Succeed())
		h.expectVersionInForce(3, configApplyBound)
		stop()
		h.verifyNoFailures()
	})
}

// Guards against a deployment that loses its configuration during a platform outage, or that accepts no change after it.
func TestConfigurationSurvivesPlatformOutage(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		h.publish(addCaller)
		h.expectVersionInForce(2, configApplyBound)
		h.deployment.Fleet.Platform.SetFaults(configservicesim.Faults{Down: true})
		stop := h.watchVersions(2)
		m := h.member("east", 0)
		h.g.Expect(h.deployment.Replace(h.t.Context(), m)).To(Succeed())
		h.g.Expect(h.deployment.WaitReady(h.t.Context())).To(Succeed())
		stop()
		h.deployment.Fleet.Platform.SetFaults(configservicesim.Faults{})
		h.publish(changeForVersion(3))
		h.g.Eventually(func() bool { return h.hasVersionInForce(3) }, settleTimeout, pollInterval).Should(BeTrue())
		h.verifyNoFailures()
	})
}

func removeFirstCaller(d *config.Document) { d.Callers = d.Callers[1:] }
