package published

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/routing"
)

var t0 = time.Unix(1000, 0)

func configVersion(n uint64) *routing.Configuration { return &routing.Configuration{Version: n} }

func targetUpdate(revision uint64, id string, change ...func(*Target)) Update {
	t := &Target{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	for _, f := range change {
		f(t)
	}
	return Update{Revision: revision, Target: t}
}

func targetRemoval(revision uint64, id string) Update { return Update{Revision: revision, Removed: id} }

func targetIDs(s *state) []string {
	out := []string{}
	for _, list := range s.view().Targets {
		for _, t := range list {
			out = append(out, t.ID)
		}
	}
	return out
}

func stateWithTargets(targets ...string) *state {
	s := newState()
	for i, id := range targets {
		s.merge([]Update{targetUpdate(uint64(i+1), id)}, uint64(i+1), t0)
	}
	return s
}

// Guards against an older configuration that replaces a newer one, by watch, listing or snapshot.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	s.merge([]Update{{Revision: 5, Configuration: configVersion(9)}}, 5, t0)
	out := s.merge([]Update{{Revision: 6, Configuration: configVersion(7)}}, 6, t0)
	g.Expect(out.staleVersions).To(Equal([]uint64{7}))
	s.applyListing(Listing{Updates: []Update{{Revision: 8, Configuration: configVersion(8)}}, AsOf: 8}, t0)
	s.adoptSnapshot(Snapshot{Revision: 20, Configuration: configVersion(3)}, t0)
	g.Expect(s.view().Version()).To(BeEquivalentTo(9))
}

// Guards against changes that are applied twice or out of order after a watch was repeated from an older revision.
func TestOldChangesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	s := stateWithTargets("a", "b")
	s.merge([]Update{targetRemoval(3, "a")}, 3, t0)
	s.merge([]Update{targetUpdate(1, "a"), targetRemoval(3, "a")}, 3, t0)
	g.Expect(targetIDs(s)).To(ConsistOf("b"))
}

// Guards against a removed target that stays in use: without an outage of the store, it is removed at once.
func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	g := NewWithT(t)
	s := stateWithTargets("a", "b", "c", "d", "e", "f")
	s.merge([]Update{targetRemoval(7, "a")}, 7, t0)
	g.Expect(targetIDs(s)).NotTo(ContainElement("a"))
}

// Guards against the loss of all targets when their entries expire during an outage of the store: one answer then removes
// most of them. Live targets are back within 2 s, and those still missing then are gone. It holds for each way in which the
// node learns of the removals.
func TestMassRemovalIsHeld(t *testing.T) {
	removals := []Update{targetRemoval(6, "a"), targetRemoval(7, "b"), targetRemoval(8, "c"), targetRemoval(9, "d")}
	sender := stateWithTargets("a", "b", "c", "d", "e")
	sender.merge(removals, 9, t0)
	for name, removeMost := range map[string]func(*state){
		"watch":                 func(s *state) { s.merge(removals, 9, t0) },
		"list":                  func(s *state) { s.applyListing(Listing{Updates: []Update{targetUpdate(5, "e")}, AsOf: 9}, t0) },
		"reader":                func(s *state) { s.mergeDelta(sender.delta(5), t0) },
		"reader, full snapshot": func(s *state) { s.mergeDelta(sender.delta(0), t0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := stateWithTargets("a", "b", "c", "d", "e")
			removeMost(s)
			g.Expect(targetIDs(s)).To(HaveLen(5))
			s.merge([]Update{targetUpdate(10, "a")}, 10, t0.Add(time.Second))
			s.expire(t0.Add(removalHold - time.Millisecond))
			g.Expect(targetIDs(s)).To(HaveLen(5))
			s.expire(t0.Add(removalHold))
			g.Expect(targetIDs(s)).To(ConsistOf("a", "e"))
		})
	}
}

// Guards against a removed target that stays in use because another node, which was cut off from the store, still holds it.
// Found by vaktleit (scale-2): a node followed one that had just reconnected.
func TestTargetsHeldByAnotherNodeAreRemoved(t *testing.T) {
	g := NewWithT(t)
	reconnected := stateWithTargets("a", "b", "c", "d", "e")
	reconnected.applyListing(Listing{Updates: []Update{targetUpdate(5, "e")}, AsOf: 9}, t0)
	g.Expect(targetIDs(reconnected)).To(HaveLen(5), "it cannot tell an outage from the loss of its own connection")
	s := stateWithTargets("a", "b", "c", "d", "e")
	for i, id := range []string{"a", "b", "c"} {
		s.merge([]Update{targetRemoval(uint64(6+i), id)}, uint64(6+i), t0)
	}
	s.mergeDelta(reconnected.delta(0), t0)
	g.Expect(targetIDs(s)).To(ConsistOf("e"))
}

// Guards against a draining target that is kept in use because of an outage of the store: it announced itself that it leaves.
func TestDrainingTargetIsNotHeld(t *testing.T) {
	g := NewWithT(t)
	s := stateWithTargets("a", "b")
	s.merge([]Update{targetUpdate(3, "a", func(t *Target) { t.Draining = true })}, 3, t0)
	s.holdRemovalsUntil = t0.Add(removalHold)
	s.merge([]Update{targetRemoval(4, "a")}, 4, t0)
	g.Expect(targetIDs(s)).To(ConsistOf("b"))
}

// Guards against a late write of a target that undoes its newer one: of the same run, or of an earlier run under its id.
func TestOutdatedTargetEntriesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	byRun := func(startedAtMS int64, seq uint64, draining bool) func(*Target) {
		return func(t *Target) { t.StartedAtMS, t.Seq, t.Draining = startedAtMS, seq, draining }
	}
	s.merge([]Update{targetUpdate(1, "a", byRun(100, 8, true))}, 1, t0)
	out := s.merge([]Update{targetUpdate(2, "a", byRun(100, 7, false))}, 2, t0)
	g.Expect(out.outdated).To(Equal([]string{"a"}))
	g.Expect(s.targets["a"].target.Draining).To(BeTrue())
	s.merge([]Update{targetUpdate(3, "a", byRun(200, 1, false))}, 3, t0)
	g.Expect(s.targets["a"].target.Draining).To(BeFalse(), "a new run restarts its sequence numbers")
	s.merge([]Update{targetUpdate(4, "a", byRun(100, 9, true))}, 4, t0)
	g.Expect(s.targets["a"].target.StartedAtMS).To(BeEquivalentTo(200))
}

// Guards against an invalid entry of another writer that adds a target or affects other targets.
func TestRefusedEntryAddsNoTarget(t *testing.T) {
	g := NewWithT(t)
	s := stateWithTargets("a", "b")
	const reason = "no service"
	out := s.merge([]Update{{Revision: 3, Refused: reason, RefusedTarget: "x"}, {Revision: 4, Refused: reason, RefusedTarget: "a"}, {Revision: 5, Refused: reason}}, 5, t0)
	g.Expect(out.refused).To(HaveLen(3))
	g.Expect(targetIDs(s)).To(ConsistOf("b"))
}

// Guards against a target that a listing lacks and that stays in use, and against a listing older than the known state.
func TestListingReplacesTheState(t *testing.T) {
	g := NewWithT(t)
	s := stateWithTargets("a", "b", "c")
	s.applyListing(Listing{Updates: []Update{targetUpdate(2, "b"), targetUpdate(9, "d")}, AsOf: 8}, t0)
	g.Expect(targetIDs(s)).To(ConsistOf("b", "d"))
	s.applyListing(Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 4}, t0)
	g.Expect(targetIDs(s)).To(ConsistOf("b", "d"))
}

// Guards against a node that the store rejects and that learns nothing from its peers, or goes back to their older state.
func TestPeerSnapshotIsAdoptedWhenNewer(t *testing.T) {
	g := NewWithT(t)
	behind, ahead := stateWithTargets("a", "b"), stateWithTargets("a", "b")
	ahead.merge([]Update{targetRemoval(3, "a"), targetUpdate(4, "c"), {Revision: 5, Configuration: &routing.Configuration{Version: 2}}}, 5, t0)
	behind.adoptSnapshot(ahead.snapshot(), t0)
	g.Expect(targetIDs(behind)).To(ConsistOf("b", "c"))
	g.Expect(behind.view().Version()).To(BeEquivalentTo(2))
	ahead.adoptSnapshot(stateWithTargets("a").snapshot(), t0)
	g.Expect(targetIDs(ahead)).To(ConsistOf("b", "c"))
}
