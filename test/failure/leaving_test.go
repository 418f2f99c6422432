package failure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

const (
	// leavingBound is the bound of requirement R6: a leaving target receives no new work after this time.
	leavingBound = 5 * time.Second
	// watchDuration is how long a target is watched after the bound.
	watchDuration   = 2 * time.Second
	leavingTargetID = "records-01-north"
)

// expectNoCalls fails the test when the target receives a call within d.
func (h *harness) expectNoCalls(t *targetsim.Server, d time.Duration) {
	h.t.Helper()
	before := t.Counts().Received
	h.letTrafficRun(d)
	if n := t.Counts().Received - before; n > 0 {
		h.t.Errorf("R6: %d new calls at a leaving target after the bound", n)
	}
}

// Guards against new work at a target that the platform lists as leaving, while the target itself does not know of it.
func TestNoWorkAfterPlatformListsTargetAsLeaving(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		h.g.Expect(h.deployment.Fleet.Platform.Mark(leavingTargetID, configservice.InstanceLeaving)).To(BeTrue())
		h.letTrafficRun(leavingBound)
		h.expectNoCalls(h.deployment.Fleet.Targets[leavingTargetID], watchDuration)
		h.waitUntilServing()
		h.verifyNoFailures()
	})
}

// Guards against a leaving mark from the platform's list that is lost when the platform fails right after nodes read it.
func TestLeavingMarkFromListSurvivesPlatformOutage(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		h.g.Expect(h.deployment.Fleet.Platform.Mark(leavingTargetID, configservice.InstanceLeaving)).To(BeTrue())
		h.letTrafficRun(2 * time.Second) // two reads of the list
		h.deployment.Fleet.Platform.Mark(leavingTargetID, configservice.InstanceLive)
		h.network.Partition("north", demo.PlatformLocation)
		h.letTrafficRun(leavingBound - 2*time.Second)
		h.expectNoCalls(h.deployment.Fleet.Targets[leavingTargetID], watchDuration)
		h.verifyNoFailures()
	})
}

// Guards against new work at a target that announces by itself that it drains, while the platform cannot be reached.
func TestNoWorkAfterDrainSignalWithoutPlatform(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		for _, domain := range []string{"north", "east", "south"} {
			h.network.Partition(domain, demo.PlatformLocation)
		}
		target := h.deployment.Fleet.Targets[leavingTargetID]
		target.Drain()
		h.letTrafficRun(leavingBound + watchDuration)
		h.waitUntilServing()
		h.verifyNoFailures()
		h.g.Expect(target.Counts().LastWhileDrainingMS).To(BeNumerically("<=", leavingBound.Milliseconds()))
	})
}

// Guards against new nodes that send work to a draining target: nodes that start after the bound did not see its drain
// signal and must not send it new work either. Only the target itself knows that it leaves.
func TestNewNodesSendNoWorkToDrainingTarget(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		target := h.deployment.Fleet.Targets[leavingTargetID]
		target.Drain()
		h.letTrafficRun(leavingBound)
		for _, m := range h.deployment.Members() {
			if m.Domain == "north" {
				h.g.Expect(h.deployment.Replace(h.t.Context(), m)).To(Succeed())
				h.g.Expect(h.deployment.WaitReady(h.t.Context())).To(Succeed())
			}
		}
		h.letTrafficRun(watchDuration)
		h.verifyNoFailures()
		h.g.Expect(target.Counts().LastWhileDrainingMS).To(BeNumerically("<=", leavingBound.Milliseconds()))
	})
}

// Guards against a network partition that keeps the leaving mark from nodes of other failure domains, which could then
// request remote attempts at the target.
func TestNoWorkAfterDrainSignalWhileDomainIsCut(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		repair := isolateFromDomainsAndPlatform(h)
		target := h.deployment.Fleet.Targets[leavingTargetID]
		target.Drain()
		h.letTrafficRun(leavingBound)
		repair() // the other domains learn of the mark only now
		h.letTrafficRun(watchDuration)
		h.waitUntilServing()
		h.verifyAnswers()
		h.g.Expect(target.Counts().LastWhileDrainingMS).To(BeNumerically("<=", leavingBound.Milliseconds()))
	})
}

// Guards against a leaving mark that is bound to the id of a target instead of its incarnation: a restarted target is a
// new incarnation and gets work again.
func TestRestartedTargetGetsWorkAgain(t *testing.T) {
	withDeployment(t, 1, func(h *harness) {
		target := h.deployment.Fleet.Targets[leavingTargetID]
		target.Drain()
		h.letTrafficRun(2 * time.Second)
		h.g.Expect(target.Restart()).To(Succeed())
		before := target.Counts().SearchRuns
		h.eventually(func() bool { return target.Counts().SearchRuns > before+5 }, "the new incarnation gets work")
		h.waitUntilServing()
		h.verifyAnswers()
	})
}
