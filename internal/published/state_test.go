package published

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/routing"
)

var t0 = time.Unix(1000, 0)

func version(n uint64) *routing.Configuration { return &routing.Configuration{Version: n} }

func put(revision uint64, id string, change ...func(*Target)) Update {
	t := &Target{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	for _, f := range change {
		f(t)
	}
	return Update{Revision: revision, Target: t}
}

func gone(revision uint64, id string) Update { return Update{Revision: revision, Removed: id} }

func ids(s *state) []string {
	out := []string{}
	for _, list := range s.view().Targets {
		for _, t := range list {
			out = append(out, t.ID)
		}
	}
	return out
}

func filled(targets ...string) *state {
	s := newState()
	for i, id := range targets {
		s.merge([]Update{put(uint64(i+1), id)}, uint64(i+1), t0)
	}
	return s
}

// Guards against an older configuration that replaces a newer one, whichever way it arrives.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	s.merge([]Update{{Revision: 5, Configuration: version(9)}}, 5, t0)
	out := s.merge([]Update{{Revision: 6, Configuration: version(7)}}, 6, t0)
	g.Expect(out.stale).To(Equal([]uint64{7}))
	s.list(Listing{Updates: []Update{{Revision: 8, Configuration: version(8)}}, AsOf: 8}, t0)
	s.adopt(Snapshot{Revision: 20, Configuration: version(3)}, t0)
	g.Expect(s.view().Version()).To(BeEquivalentTo(9))
}

// Guards against changes that are applied twice or out of order after a watch was asked again from an older revision.
func TestOldChangesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	s := filled("a", "b")
	s.merge([]Update{gone(3, "a")}, 3, t0)
	s.merge([]Update{put(1, "a"), gone(3, "a")}, 3, t0)
	g.Expect(ids(s)).To(ConsistOf("b"))
}

// Guards against a removed target that stays in use: without an outage, it is gone at once.
func TestRemovalIsImmediateWhileTheStoreIsSound(t *testing.T) {
	g := NewWithT(t)
	s := filled("a", "b", "c", "d", "e", "f")
	s.merge([]Update{gone(7, "a")}, 7, t0)
	g.Expect(ids(s)).NotTo(ContainElement("a"))
}

// Guards against the loss of all targets when their entries lapse during an outage of the store: one answer then takes
// away most of them. Live ones are back within 2 s, and what is missing then is gone. It holds for each way in which the
// node learns of it.
func TestMassRemovalIsHeld(t *testing.T) {
	removals := []Update{gone(6, "a"), gone(7, "b"), gone(8, "c"), gone(9, "d")}
	sender := filled("a", "b", "c", "d", "e")
	sender.merge(removals, 9, t0)
	for name, lapse := range map[string]func(*state){
		"watch":         func(s *state) { s.merge(removals, 9, t0) },
		"list":          func(s *state) { s.list(Listing{Updates: []Update{put(5, "e")}, AsOf: 9}, t0) },
		"reader":        func(s *state) { s.follow(sender.delta(5), t0) },
		"whole, reader": func(s *state) { s.follow(sender.delta(0), t0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := filled("a", "b", "c", "d", "e")
			lapse(s)
			g.Expect(ids(s)).To(HaveLen(5))
			s.merge([]Update{put(10, "a")}, 10, t0.Add(time.Second))
			s.expire(t0.Add(lapseHold - time.Millisecond))
			g.Expect(ids(s)).To(HaveLen(5))
			s.expire(t0.Add(lapseHold))
			g.Expect(ids(s)).To(ConsistOf("a", "e"))
		})
	}
}

// Guards against a target that is gone and stays in use because another node, which was cut off from the store, still holds
// it (vaktleit scale-2: a node followed one that had just come back).
func TestTargetsThatAnotherNodeHoldsAreGone(t *testing.T) {
	g := NewWithT(t)
	back := filled("a", "b", "c", "d", "e")
	back.list(Listing{Updates: []Update{put(5, "e")}, AsOf: 9}, t0)
	g.Expect(ids(back)).To(HaveLen(5), "it cannot tell an outage from its own cut")
	s := filled("a", "b", "c", "d", "e")
	for i, id := range []string{"a", "b", "c"} {
		s.merge([]Update{gone(uint64(6+i), id)}, uint64(6+i), t0)
	}
	s.follow(back.delta(0), t0)
	g.Expect(ids(s)).To(ConsistOf("e"))
}

// Guards against a draining target that is kept in use because the store was away: it said itself that it leaves.
func TestDrainingTargetIsNotHeld(t *testing.T) {
	g := NewWithT(t)
	s := filled("a", "b")
	s.merge([]Update{put(3, "a", func(t *Target) { t.Draining = true })}, 3, t0)
	s.settled = t0.Add(lapseHold)
	s.merge([]Update{gone(4, "a")}, 4, t0)
	g.Expect(ids(s)).To(ConsistOf("b"))
}

// Guards against a late write of a target that undoes its newer one: of the same run, or of an earlier run under its id.
func TestLateEntriesOfATargetAreIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	run := func(born int64, seq uint64, draining bool) func(*Target) {
		return func(t *Target) { t.Born, t.Seq, t.Draining = born, seq, draining }
	}
	s.merge([]Update{put(1, "a", run(100, 8, true))}, 1, t0)
	out := s.merge([]Update{put(2, "a", run(100, 7, false))}, 2, t0)
	g.Expect(out.late).To(Equal([]string{"a"}))
	g.Expect(s.targets["a"].target.Draining).To(BeTrue())
	s.merge([]Update{put(3, "a", run(200, 1, false))}, 3, t0)
	g.Expect(s.targets["a"].target.Draining).To(BeFalse(), "a new run starts to count anew")
	s.merge([]Update{put(4, "a", run(100, 9, true))}, 4, t0)
	g.Expect(s.targets["a"].target.Born).To(BeEquivalentTo(200))
}

// Guards against an entry of another writer that adds a target or harms others.
func TestBrokenEntryNamesNoTarget(t *testing.T) {
	g := NewWithT(t)
	s := filled("a", "b")
	const broken = "no service"
	out := s.merge([]Update{{Revision: 3, Refused: broken, RefusedTarget: "x"}, {Revision: 4, Refused: broken, RefusedTarget: "a"}, {Revision: 5, Refused: broken}}, 5, t0)
	g.Expect(out.refused).To(HaveLen(3))
	g.Expect(ids(s)).To(ConsistOf("b"))
}

// Guards against a listing whose missing entries stay in use, and against one that is older than what is known.
func TestListingReplacesTheState(t *testing.T) {
	g := NewWithT(t)
	s := filled("a", "b", "c")
	s.list(Listing{Updates: []Update{put(2, "b"), put(9, "d")}, AsOf: 8}, t0)
	g.Expect(ids(s)).To(ConsistOf("b", "d"))
	s.list(Listing{Updates: []Update{put(1, "a")}, AsOf: 4}, t0)
	g.Expect(ids(s)).To(ConsistOf("b", "d"))
}

// Guards against a node that the store turns away and that learns nothing from its peers, or goes back with them.
func TestStateOfAPeerIsAdoptedWhenNewer(t *testing.T) {
	g := NewWithT(t)
	behind, ahead := filled("a", "b"), filled("a", "b")
	ahead.merge([]Update{gone(3, "a"), put(4, "c"), {Revision: 5, Configuration: &routing.Configuration{Version: 2}}}, 5, t0)
	behind.adopt(ahead.snapshot(), t0)
	g.Expect(ids(behind)).To(ConsistOf("b", "c"))
	g.Expect(behind.view().Version()).To(BeEquivalentTo(2))
	ahead.adopt(filled("a").snapshot(), t0)
	g.Expect(ids(ahead)).To(ConsistOf("b", "c"))
}
