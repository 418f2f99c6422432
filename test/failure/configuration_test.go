package failure_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/standin/platformsim"
)

// configBound is the requirement R8: an accepted configuration is in force on every node within this time.
const configBound = 6 * time.Second

// secondKey is the key of a caller that version 2 of the configuration adds.
const secondKey = "second-caller-key"

func addCaller(d *config.Document) {
	c := d.Callers[0]
	c.Name, c.KeySHA256 = "second-caller", fleet.HashKey(secondKey)
	d.Callers = append(d.Callers, c)
}

// inForce reports whether all nodes have at least that version.
func (h *harness) inForce(number int) bool {
	for _, m := range h.d.Members() {
		if version(m, "configuration") < number {
			return false
		}
	}
	return true
}

func (h *harness) expectInForce(number int, within time.Duration) {
	h.t.Helper()
	h.g.Eventually(func() bool { return h.inForce(number) }, within, poll).Should(BeTrue(), "R8: version %d in force on every node", number)
}

// watchVersions fails the test when a node's version goes back or a node is ready with a version below floor.
func (h *harness) watchVersions(floor int) (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		seen := map[*demo.Member]int{}
		for {
			for _, m := range h.d.Members() {
				ready, v := m.Ready(), version(m, "configuration")
				if v < seen[m] || ready && v < floor {
					h.t.Errorf("R8: node %s has version %d, had %d, ready %t, in force %d", m.ID, v, seen[m], ready, floor)
					return
				}
				seen[m] = v
			}
			select {
			case <-end:
				return
			case <-time.After(poll):
			}
		}
	})
	stop = sync.OnceFunc(func() { close(end); wg.Wait() })
	h.t.Cleanup(stop)
	return stop
}

// Guards against a change that reaches only some nodes or fails requests on its way.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		for number := 2; number <= 4; number++ {
			h.publish(addCallerOnce(number))
			h.expectInForce(number, configBound)
		}
		h.recovered()
		h.verifyClean()
	})
}

// addCallerOnce adds the second caller in version 2 and changes a limit in later versions.
func addCallerOnce(number int) func(*config.Document) {
	if number == 2 {
		return addCaller
	}
	return func(d *config.Document) { d.Groups[0].MaxLimit = 1000 + number }
}

// Guards against a failure domain that cannot reach the platform and does not learn of a version from its peers.
func TestConfigurationReachesDomainWithoutPlatform(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		h.network.Cut("north", demo.PlacePlatform)
		h.publish(addCaller)
		h.expectInForce(2, configBound)
		h.verifyClean()
	})
}

// Guards against a configuration that reverts when the platform shows an older version and nodes restart.
func TestConfigurationNeverReverts(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		old := h.d.Fleet.Document()
		h.publish(addCaller)
		h.expectInForce(2, configBound)
		stop := h.watchVersions(2)
		h.g.Expect(h.d.Fleet.Publish(old)).To(Succeed()) // a stale replica of the platform answers from now on
		h.run(held)
		for _, m := range h.d.Members() {
			h.g.Expect(h.d.Replace(h.t.Context(), m)).To(Succeed())
			h.g.Expect(h.d.WaitReady(h.t.Context())).To(Succeed())
		}
		m := h.member("south", 1)
		h.d.Kill(m)
		h.g.Expect(h.d.Restart(h.t.Context(), m)).To(Succeed())
		h.g.Expect(h.d.WaitReady(h.t.Context())).To(Succeed())
		h.run(held)
		stop()
		h.recovered()
		h.verify()
		h.g.Expect(h.inForce(2)).To(BeTrue())
	})
}

// Guards against an invalid version, or other bytes under the same version, that takes effect or blocks the next one.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		good := h.d.Fleet.Document()
		stop := h.watchVersions(1)
		h.publish(func(d *config.Document) { d.Groups[0].ConnectionLimit = 1 }) // below candidates × 2
		h.run(held)
		for _, m := range h.d.Members() {
			h.g.Expect(version(m, "configuration")).To(Equal(1))
		}
		next := good
		next.Version.Number = 3
		next.Callers = append(next.Callers[:len(next.Callers):len(next.Callers)], next.Callers[0])
		addCaller(&next)
		next.Callers = append(next.Callers[:2:2], next.Callers[3])
		h.g.Expect(h.d.Fleet.Publish(next)).To(Succeed())
		h.expectInForce(3, configBound)
		stop()
		h.verifyClean()
	})
}

// Guards against a deployment that cannot take a change after its platform was down, or that loses its configuration
// meanwhile.
func TestConfigurationOutlastsThePlatform(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		h.publish(addCaller)
		h.expectInForce(2, configBound)
		h.d.Fleet.Platform.SetFaults(platformsim.Faults{Down: true})
		stop := h.watchVersions(2)
		m := h.member("east", 0)
		h.g.Expect(h.d.Replace(h.t.Context(), m)).To(Succeed())
		h.g.Expect(h.d.WaitReady(h.t.Context())).To(Succeed())
		stop()
		h.d.Fleet.Platform.SetFaults(platformsim.Faults{})
		h.publish(addCallerOnce(3))
		h.g.Eventually(func() bool { return h.inForce(3) }, settled, poll).Should(BeTrue())
		h.verifyClean()
	})
}

func removeFirstCaller(d *config.Document) { d.Callers = d.Callers[1:] }
