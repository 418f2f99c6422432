package snapshot_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/snapshot"
)

func TestSnapshot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "snapshot")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// catalogueOf returns a catalogue with the index versions up to newest: 1 and 2 use map 1 (services a and b), 3 uses
// map 2 (services a and c).
func catalogueOf(newest uint64) config.GroupCatalogue {
	half := api.KeySpaceEnd / 2
	low, high := api.KeyRange{To: half}, api.KeyRange{From: half, To: api.KeySpaceEnd}
	c := config.GroupCatalogue{Group: "g", Maps: []config.PartitionMap{
		{Version: 1, Assignments: []config.Assignment{{Service: "a", Range: low}, {Service: "b", Range: high}}},
		{Version: 2, Assignments: []config.Assignment{{Service: "a", Range: low}, {Service: "c", Range: high}}},
	}}
	for v := uint64(1); v <= newest; v++ {
		c.Versions = append(c.Versions, config.IndexVersion{Index: v, Map: 1 + v/3})
	}
	return c
}

// newChooser returns a Chooser with two targets for each of the services a, b and c.
func newChooser(newest uint64) *snapshot.Chooser {
	c := snapshot.NewChooser()
	var services []config.Service
	for _, s := range []string{"a", "b", "c"} {
		services = append(services, config.Service{Name: s, Targets: []config.Target{{ID: s + "1"}, {ID: s + "2"}}})
	}
	c.SetServices(services)
	accepted, err := c.SetCatalogue(config.Version{Number: 1}, catalogueOf(newest))
	Expect(err).NotTo(HaveOccurred())
	Expect(accepted).To(BeTrue())
	return c
}

// Guards against a search that pins a version which a needed service does not hold.
var _ = DescribeTable("Choose",
	func(newest uint64, report func(c *snapshot.Chooser), elapsed time.Duration, wantIndex uint64, targets map[string][]string,
		lacking map[string]api.MissingReason) {
		c := newChooser(newest)
		report(c)
		choice, ok := c.Choose(snapshot.Query{}, start.Add(elapsed))
		Expect(ok).To(BeTrue())
		Expect(choice.Snapshot).To(Equal(api.Snapshot{IndexVersion: wantIndex, MapVersion: 1 + wantIndex/3}))
		Expect(choice.Targets).To(Equal(targets))
		Expect(choice.Lacking).To(Equal(lacking))
	},
	Entry("nothing reported: newest published", uint64(2), func(*snapshot.Chooser) {}, time.Duration(0), uint64(2),
		map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, map[string]api.MissingReason{}),
	Entry("newest version not yet held by any target of a service", uint64(2), func(c *snapshot.Chooser) {
		c.Observe("b1", "b", []uint64{1}, start)
		c.Observe("b2", "b", []uint64{1}, start)
	}, time.Second, uint64(1), map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, map[string]api.MissingReason{}),
	Entry("one target lags", uint64(2), func(c *snapshot.Chooser) {
		c.Observe("b1", "b", []uint64{1}, start)
	}, time.Second, uint64(2), map[string][]string{"a": {"a1", "a2"}, "b": {"b2"}}, map[string]api.MissingReason{}),
	Entry("reports have expired", uint64(2), func(c *snapshot.Chooser) {
		c.Observe("b1", "b", []uint64{1}, start)
		c.Observe("b2", "b", []uint64{1}, start)
	}, snapshot.ReportTTL, uint64(2), map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, map[string]api.MissingReason{}),
	Entry("refused after it was listed", uint64(2), func(c *snapshot.Chooser) {
		c.Observe("b1", "b", []uint64{1, 2}, start)
		c.ObserveRefusal("b1", "b", 2, start.Add(time.Second))
	}, 2*time.Second, uint64(2), map[string][]string{"a": {"a1", "a2"}, "b": {"b2"}}, map[string]api.MissingReason{}),
	Entry("listed again after it was refused", uint64(2), func(c *snapshot.Chooser) {
		c.ObserveRefusal("b1", "b", 2, start)
		c.Observe("b1", "b", []uint64{1, 2}, start.Add(time.Second))
	}, 2*time.Second, uint64(2), map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, map[string]api.MissingReason{}),
	Entry("repartition: the new map needs service c, not b", uint64(3), func(c *snapshot.Chooser) {
		c.Observe("b1", "b", []uint64{2}, start)
		c.Observe("b2", "b", []uint64{2}, start)
	}, time.Second, uint64(3), map[string][]string{"a": {"a1", "a2"}, "c": {"c1", "c2"}}, map[string]api.MissingReason{}),
	Entry("repartition: the new service does not hold it yet", uint64(3), func(c *snapshot.Chooser) {
		c.Observe("c1", "c", []uint64{9}, start)
		c.Observe("c2", "c", []uint64{9}, start)
	}, time.Second, uint64(2), map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, map[string]api.MissingReason{}),
	Entry("no common version: the one that most services hold, the newest of those", uint64(2), func(c *snapshot.Chooser) {
		for _, t := range []string{"a1", "a2"} {
			c.Observe(t, "a", []uint64{1}, start)
		}
		for _, t := range []string{"b1", "b2"} {
			c.Observe(t, "b", []uint64{2}, start)
		}
	}, time.Second, uint64(2), map[string][]string{"b": {"b1", "b2"}}, map[string]api.MissingReason{"a": api.MissingVersionGone}),
)

var _ = Describe("Chooser", func() {
	// Guards against a reused choice that outlives a report or a change of the usable targets.
	It("reuses a choice for at most ChoiceTTL and only while no report changes", func() {
		c := newChooser(2)
		down := false
		q := snapshot.Query{Usable: func(_, target string) bool { return !down || target != "a1" }}
		targets := func(after time.Duration) []string {
			choice, _ := c.Choose(q, start.Add(after))
			return choice.Targets["a"]
		}
		Expect(targets(0)).To(Equal([]string{"a1", "a2"}))
		c.ObserveRefusal("a2", "a", 2, start)
		Expect(targets(1)).To(Equal([]string{"a1"}))
		c.Observe("a2", "a", []uint64{1, 2}, start)
		Expect(targets(2)).To(Equal([]string{"a1", "a2"}))
		down = true
		Expect(targets(2 + snapshot.ChoiceTTL)).To(Equal([]string{"a2"}))
	})

	// Guards against pinning a version that only an unusable target holds.
	It("considers only usable targets", func() {
		c := newChooser(2)
		c.Observe("b1", "b", []uint64{1}, start)
		q := snapshot.Query{Usable: func(_, target string) bool { return target != "b2" }}
		choice, _ := c.Choose(q, start)
		Expect(choice.Snapshot.IndexVersion).To(Equal(uint64(1)))
		Expect(choice.Targets["b"]).To(Equal([]string{"b1"}))
	})

	// Guards against a search over a few keys that pins an older version because of services it does not need.
	It("considers only the services of the wanted range", func() {
		c := newChooser(2)
		c.Observe("b1", "b", []uint64{1}, start)
		c.Observe("b2", "b", []uint64{1}, start)
		whole, _ := c.Choose(snapshot.Query{}, start)
		Expect(whole.Snapshot.IndexVersion).To(Equal(uint64(1)))
		choice, ok := c.Choose(snapshot.Query{Range: &api.KeyRange{To: 10}}, start)
		Expect(ok).To(BeTrue())
		Expect(choice.Snapshot.IndexVersion).To(Equal(uint64(2)))
		Expect(choice.Assigned).To(HaveLen(1))
	})

	// Guards against restarting a search on the version that targets just refused, or on one that a needed service lacks.
	It("returns a newer snapshot only when all needed services hold it", func() {
		c := newChooser(1)
		_, ok := c.Newer(api.Snapshot{IndexVersion: 1, MapVersion: 1}, snapshot.Query{}, start)
		Expect(ok).To(BeFalse())
		_, err := c.SetCatalogue(config.Version{Number: 2}, catalogueOf(2))
		Expect(err).NotTo(HaveOccurred())
		newer, ok := c.Newer(api.Snapshot{IndexVersion: 1, MapVersion: 1}, snapshot.Query{}, start)
		Expect(ok).To(BeTrue())
		Expect(newer.Snapshot.IndexVersion).To(Equal(uint64(2)))
		c.ObserveRefusal("a1", "a", 2, start)
		c.ObserveRefusal("a2", "a", 2, start)
		_, ok = c.Newer(api.Snapshot{IndexVersion: 1, MapVersion: 1}, snapshot.Query{}, start)
		Expect(ok).To(BeFalse())
	})

	// Guards against a stale read that reverts to an older catalogue, and against an invalid one that replaces a valid one.
	It("ignores an older catalogue and refuses an invalid one", func() {
		c := newChooser(2)
		accepted, err := c.SetCatalogue(config.Version{Number: 1}, catalogueOf(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted).To(BeFalse())
		bad := catalogueOf(3)
		bad.Maps = bad.Maps[:1]
		_, err = c.SetCatalogue(config.Version{Number: 2}, bad)
		Expect(err).To(HaveField("Kind", snapshot.KindUnknownMap))
		choice, _ := c.Choose(snapshot.Query{}, start)
		Expect(choice.Snapshot.IndexVersion).To(Equal(uint64(2)))
		accepted, err = c.SetCatalogue(config.Version{Number: 3}, catalogueOf(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted).To(BeTrue(), "withdrawing an index version makes a newer catalogue")
		choice, _ = c.Choose(snapshot.Query{}, start)
		Expect(choice.Snapshot.IndexVersion).To(Equal(uint64(1)))
	})
})
