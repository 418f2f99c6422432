package failure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/platform"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

const (
	// leavingBound is the requirement R6: a leaving target receives no new work after this time.
	leavingBound = 5 * time.Second
	// watchAfter is how long a target is watched after the bound.
	watchAfter = 2 * time.Second
	leaving    = "records-01-north"
)

// expectNoCalls fails when the target receives a call within d.
func (h *harness) expectNoCalls(t *targetsim.Server, d time.Duration) {
	h.t.Helper()
	before := t.Counts().Received
	h.run(d)
	if n := t.Counts().Received - before; n > 0 {
		h.t.Errorf("R6: %d new calls at a leaving target after the bound", n)
	}
}

// Guards against new work at a target that the published list names as leaving, while the target itself does not know.
func TestNoWorkAfterLeavingByList(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		h.g.Expect(h.d.Fleet.Platform.Mark(leaving, platform.InstanceLeaving)).To(BeTrue())
		h.run(leavingBound)
		h.expectNoCalls(h.d.Fleet.Targets[leaving], watchAfter)
		h.recovered()
		h.verifyClean()
	})
}

// Guards against a mark by the list that is lost when the platform fails right after the readers saw it.
func TestLeavingByListOutlastsThePlatform(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		h.g.Expect(h.d.Fleet.Platform.Mark(leaving, platform.InstanceLeaving)).To(BeTrue())
		h.run(2 * time.Second) // two reads of the list
		h.d.Fleet.Platform.Mark(leaving, platform.InstanceLive)
		h.network.Cut("north", demo.PlacePlatform)
		h.run(leavingBound - 2*time.Second)
		h.expectNoCalls(h.d.Fleet.Targets[leaving], watchAfter)
		h.verifyClean()
	})
}

// Guards against new work at a target that drains by its own signal while the platform cannot be reached.
func TestNoWorkAfterDrainSignalWithoutPlatform(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		for _, domain := range []string{"north", "east", "south"} {
			h.network.Cut(domain, demo.PlacePlatform)
		}
		target := h.d.Fleet.Targets[leaving]
		target.Drain()
		h.run(leavingBound + watchAfter)
		h.recovered()
		h.verifyClean()
		h.g.Expect(target.Counts().LastWhileDrainingMS).To(BeNumerically("<=", leavingBound.Milliseconds()))
	})
}

// Guards against a target that leaves for nodes of the past only: nodes that start after the bound must not send it new
// work either, although they did not see the signal. Only the target itself knows that it leaves.
func TestNewNodesSendNoWorkToDrainingTarget(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		target := h.d.Fleet.Targets[leaving]
		target.Drain()
		h.run(leavingBound)
		for _, m := range h.d.Members() {
			if m.Domain == "north" {
				h.g.Expect(h.d.Replace(h.t.Context(), m)).To(Succeed())
				h.g.Expect(h.d.WaitReady(h.t.Context())).To(Succeed())
			}
		}
		h.run(watchAfter)
		h.verifyClean()
		h.g.Expect(target.Counts().LastWhileDrainingMS).To(BeNumerically("<=", leavingBound.Milliseconds()))
	})
}

// Guards against a cut between failure domains that keeps the leaving mark from those who would ask for remote attempts.
func TestNoWorkAfterDrainSignalWhileDomainIsCut(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		repair := cutFromAll(h)
		target := h.d.Fleet.Targets[leaving]
		target.Drain()
		h.run(leavingBound)
		repair() // the others learn of the mark only now
		h.run(watchAfter)
		h.recovered()
		h.verify()
		h.g.Expect(target.Counts().LastWhileDrainingMS).To(BeNumerically("<=", leavingBound.Milliseconds()))
	})
}

// Guards against a mark that sticks to a target's name: a restarted target is another incarnation and gets work again.
func TestRestartedTargetGetsWorkAgain(t *testing.T) {
	deploy(t, 1, func(h *harness) {
		target := h.d.Fleet.Targets[leaving]
		target.Drain()
		h.run(2 * time.Second)
		h.g.Expect(target.Restart()).To(Succeed())
		before := target.Counts().SearchRuns
		h.eventually(func() bool { return target.Counts().SearchRuns > before+5 }, "the new incarnation gets work")
		h.recovered()
		h.verify()
	})
}
