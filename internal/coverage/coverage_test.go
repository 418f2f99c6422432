package coverage_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
)

func TestCoverage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coverage")
}

const (
	testKeys = 64 // size of the key space in the property tests, which check every key
	rounds   = 3000
)

func keyRange(from, to uint64) api.KeyRange { return api.KeyRange{From: from, To: to} }

func newMap(assignments ...config.Assignment) config.PartitionMap {
	return config.PartitionMap{Version: 1, Assignments: assignments}
}

// Guards against a published map whose overlapping or empty ranges would make coverage ambiguous.
var _ = DescribeTable("ValidateMap",
	func(kind coverage.ErrorKind, ranges ...api.KeyRange) {
		var m config.PartitionMap
		for i, r := range ranges {
			m.Assignments = append(m.Assignments, config.Assignment{Service: fmt.Sprint(i), Range: r})
		}
		err := coverage.ValidateMap(m)
		if kind == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(HaveField("Kind", kind))
	},
	Entry("gap", coverage.ErrorKind(""), keyRange(20, 30), keyRange(0, 10)),
	Entry("whole key space", coverage.ErrorKind(""), keyRange(0, api.KeySpaceEnd)),
	Entry("one key shared", coverage.KindOverlap, keyRange(10, 20), keyRange(0, 11)),
	Entry("contained", coverage.KindOverlap, keyRange(0, 100), keyRange(5, 6)),
	Entry("empty", coverage.KindEmptyRange, keyRange(5, 5)),
	Entry("reversed", coverage.KindEmptyRange, keyRange(6, 5)),
	Entry("beyond the key space", coverage.KindOutOfKeySpace, keyRange(0, api.KeySpaceEnd+1)),
)

var _ = Describe("CheckPart", func() {
	pinned := api.Snapshot{IndexVersion: 7, MapVersion: 1}
	assigned := coverage.Assigned{Service: "a", Ranges: []api.KeyRange{keyRange(10, 20), keyRange(30, 40)}}
	hit := func(key uint64) api.Hit { return api.Hit{ID: fmt.Sprint(key), Key: key} }

	// Guards against an answer that mixes index versions.
	It("treats a reply of another snapshot as missing, without its hits", func() {
		other := api.Snapshot{IndexVersion: 8, MapVersion: 1}
		p := coverage.CheckPart(assigned, pinned,
			api.Part{Service: "a", Snapshot: other, Ranges: assigned.Ranges, Hits: []api.Hit{hit(11)}})
		Expect(p.Reason).To(Equal(api.MissingSnapshotMismatch))
		Expect(p.Hits).To(BeEmpty())
		Expect(p.Ranges).To(BeEmpty())
	})

	// Guards against counting a reply as complete that states only some of the assigned ranges, and against hits outside
	// them.
	It("keeps the assigned ranges that the reply states, and only their hits", func() {
		reply := api.Part{Service: "a", Snapshot: pinned, Ranges: []api.KeyRange{keyRange(0, 15)},
			Hits: []api.Hit{hit(9), hit(12), hit(35)}}
		p := coverage.CheckPart(assigned, pinned, reply)
		Expect(p.Answered()).To(BeTrue())
		Expect(p.Ranges).To(Equal([]api.KeyRange{keyRange(10, 15)}))
		Expect(p.Hits).To(Equal([]api.Hit{hit(12)}))
		Expect(reply.Hits).To(HaveLen(3), "the argument must not change, since other goroutines share it")
	})

	It("treats a reply without any assigned range as missing", func() {
		p := coverage.CheckPart(assigned, pinned,
			api.Part{Service: "a", Snapshot: pinned, Ranges: []api.KeyRange{keyRange(20, 30)}, Hits: []api.Hit{hit(25)}})
		Expect(p.Reason).To(Equal(api.MissingRangeMismatch))
		Expect(p.Hits).To(BeEmpty())
	})
})

// randomMap assigns random ranges of the first testKeys keys to three services, with gaps.
func randomMap(rng *rand.Rand) config.PartitionMap {
	m := newMap()
	for at := uint64(0); at < testKeys; {
		to := min(testKeys, at+1+rng.Uint64N(12))
		if s := rng.IntN(4); s < 3 {
			m.Assignments = append(m.Assignments, config.Assignment{Service: fmt.Sprint(s), Range: keyRange(at, to)})
		}
		at = to
	}
	rng.Shuffle(len(m.Assignments), func(i, j int) { m.Assignments[i], m.Assignments[j] = m.Assignments[j], m.Assignments[i] })
	return m
}

// randomReply returns a reply that a target might send: any ranges, a hit on every key, sometimes a missing reason, and
// sometimes another snapshot.
func randomReply(rng *rand.Rand, service string, pinned api.Snapshot) api.Part {
	p := api.Part{Service: service, Snapshot: pinned}
	switch rng.IntN(5) {
	case 0:
		p.Snapshot.IndexVersion++
	case 1:
		p.Reason = api.MissingTimeout
	}
	for range rng.IntN(4) {
		from := rng.Uint64N(testKeys)
		p.Ranges = append(p.Ranges, keyRange(from, from+rng.Uint64N(30)))
	}
	for k := range uint64(testKeys) {
		p.Hits = append(p.Hits, api.Hit{ID: fmt.Sprintf("%d/%d", p.Snapshot.IndexVersion, k), Key: k, Score: rng.Float64()})
	}
	return p
}

// rangesContaining returns how many of the ranges contain key.
func rangesContaining(ranges []api.KeyRange, key uint64) int {
	n := 0
	for _, r := range ranges {
		if r.Contains(key) {
			n++
		}
	}
	return n
}

// Guards against coverage that states more than the replies prove, or omits a wanted key (R1, R2).
var _ = It("states the coverage that the replies prove for every key", func() {
	rng := rand.New(rand.NewPCG(1, 2))
	pinned := api.Snapshot{IndexVersion: 7, MapVersion: 1}
	for round := range rounds {
		m := randomMap(rng)
		from := rng.Uint64N(testKeys)
		want := keyRange(from, from+rng.Uint64N(testKeys-from+1))
		var replies, parts []api.Part
		for _, a := range coverage.Assign(m, &want) {
			for range rng.IntN(3) {
				reply := randomReply(rng, a.Service, pinned)
				replies = append(replies, reply)
				// Some replies stay unchecked: Compute must not count a wrong part that another node did not check.
				if (reply.Snapshot == pinned && reply.Answered()) || rng.IntN(2) == 0 {
					reply = coverage.CheckPart(a, pinned, reply)
				}
				parts = append(parts, reply)
			}
		}
		cov := coverage.Compute(m, &want, pinned, parts)
		var missing []api.KeyRange
		for _, mr := range cov.Missing {
			Expect(mr.Empty()).To(BeFalse())
			Expect(mr.Reason).NotTo(BeEmpty())
			missing = append(missing, mr.KeyRange)
		}
		Expect(cov.Complete).To(Equal(len(cov.Missing) == 0), "round %d", round)
		answered := uint64(0)
		for key := range uint64(testKeys + 40) {
			expected := want.Contains(key) && slices.ContainsFunc(m.Assignments, func(a config.Assignment) bool {
				return a.Range.Contains(key) && slices.ContainsFunc(replies, func(p api.Part) bool {
					return p.Service == a.Service && p.Reason == "" && p.Snapshot == pinned && rangesContaining(p.Ranges, key) > 0
				})
			})
			if expected {
				answered++
			}
			Expect(rangesContaining(cov.Answered, key) == 1).To(Equal(expected), "round %d key %d", round, key)
			Expect(rangesContaining(cov.Answered, key)+rangesContaining(missing, key) == 1).To(Equal(want.Contains(key)),
				"round %d key %d", round, key)
		}
		if !want.Empty() {
			Expect(cov.Fraction).To(BeNumerically("~", float64(answered)/float64(want.Size()), 1e-9))
		}
		hits, _ := coverage.MergeParts(1000, pinned, parts)
		for _, h := range hits {
			Expect(rangesContaining(cov.Answered, h.Key)).To(Equal(1), "a hit outside the answered ranges, round %d", round)
			Expect(h.ID).To(HavePrefix("7/"), "a hit of another snapshot, round %d", round)
		}
	}
})

// Guards against coverage of a map version that is computed from parts of another version.
var _ = It("counts no part when the map has another version than the snapshot", func() {
	m := newMap(config.Assignment{Service: "a", Range: keyRange(0, 10)})
	pinned := api.Snapshot{IndexVersion: 7, MapVersion: 2}
	parts := []api.Part{{Service: "a", Snapshot: pinned, Ranges: []api.KeyRange{keyRange(0, 10)}}}
	want := keyRange(0, 10)
	Expect(coverage.Compute(m, &want, pinned, parts).Missing).To(Equal(
		[]api.MissingRange{{KeyRange: want, Service: "a", Reason: api.MissingSnapshotMismatch}}))
})

// Guards against a result that depends on how relays group the parts, and against truncation that is not reported.
var _ = It("merges merged lists to the same hits and truncation as all lists at once", func() {
	rng := rand.New(rand.NewPCG(3, 4))
	for round := range rounds {
		limit := rng.IntN(8)
		lists := make([][]api.Hit, 1+rng.IntN(5))
		distinct := map[string]bool{}
		for i := range lists {
			for range rng.IntN(6) {
				h := api.Hit{ID: fmt.Sprint(rng.IntN(12)), Score: float64(rng.IntN(4)), Doc: []byte{byte('0' + rng.IntN(3))}}
				lists[i] = append(lists[i], h)
				distinct[h.ID] = true
			}
		}
		all, truncated := coverage.MergeHits(limit, lists...)
		Expect(truncated).To(Equal(len(distinct) > limit), "round %d", round)
		split := rng.IntN(len(lists) + 1)
		left, truncatedLeft := coverage.MergeHits(limit, lists[:split]...)
		right, truncatedRight := coverage.MergeHits(limit, lists[split:]...)
		merged, truncatedMerged := coverage.MergeHits(limit, right, left)
		Expect(merged).To(Equal(all), "round %d", round)
		Expect(truncatedLeft || truncatedRight || truncatedMerged).To(Equal(truncated), "round %d", round)
		Expect(slices.IsSortedFunc(all, func(a, b api.Hit) int {
			if a.Score != b.Score {
				return int(b.Score - a.Score)
			}
			return map[bool]int{true: -1, false: 1}[a.ID < b.ID]
		})).To(BeTrue())
	}
})
