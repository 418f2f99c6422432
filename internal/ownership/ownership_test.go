package ownership_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/ownership"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

// Guards against a cap formula that omits IncarnationsPerOrdinal or rounds up.
var _ = DescribeTable("connection cap",
	func(ordinals, candidates, limit, wantCap, wantMaxConnections int) {
		s := ownership.OrdinalSpace{Ordinals: ordinals, Candidates: candidates}
		Expect(s.Check(limit)).To(Succeed())
		Expect(s.ConnectionCap(limit)).To(Equal(wantCap))
		Expect(s.MaxConnections(limit)).To(Equal(wantMaxConnections))
		Expect(wantMaxConnections).To(BeNumerically("<=", limit))
	},
	Entry("3 nodes, 25", 3, 3, 25, 4, 24),
	Entry("3 nodes, 30", 3, 3, 30, 5, 30),
	Entry("3 nodes, 50", 3, 3, 50, 8, 48),
	Entry("3 nodes, 110", 3, 3, 110, 18, 108),
	Entry("9 nodes, 25", 9, 9, 25, 1, 18),
	Entry("9 nodes, 30", 9, 9, 30, 1, 18),
	Entry("9 nodes, 50", 9, 9, 50, 2, 36),
	Entry("9 nodes, 110", 9, 9, 110, 6, 108),
	Entry("100 nodes, 25", 100, 12, 25, 1, 24),
	Entry("100 nodes, 30", 100, 12, 30, 1, 24),
	Entry("100 nodes, 50", 100, 12, 50, 2, 48),
	Entry("100 nodes, 110", 100, 12, 110, 4, 96),
)

// Guards against accepting published values with which some candidate could never connect.
var _ = DescribeTable("Check rejects invalid published values",
	func(s ownership.OrdinalSpace, limit int, code ownership.Code) {
		var e *ownership.Error
		Expect(errors.As(s.Check(limit), &e)).To(BeTrue())
		Expect(e.Code).To(Equal(code))
	},
	Entry("limit", ownership.OrdinalSpace{Ordinals: 100, Candidates: 13}, 25, ownership.CodeLimitTooLow),
	Entry("ordinals", ownership.OrdinalSpace{Candidates: 1}, 25, ownership.CodeBadSpace),
	Entry("candidates", ownership.OrdinalSpace{Ordinals: 3}, 25, ownership.CodeBadCandidate),
)

// randomView returns a random membership view. It may be empty, be stale (old incarnations, lost nodes) or contain
// ordinals outside the space.
func randomView(rng *rand.Rand, ordinals int) []ownership.Relay {
	var view []ownership.Relay
	for range rng.IntN(2*ordinals + 1) {
		ordinal := rng.IntN(ordinals+10) - 5
		view = append(view, ownership.Relay{
			ID: fmt.Sprintf("node-%d-run%d", ordinal, rng.IntN(ownership.IncarnationsPerOrdinal)), Ordinal: ordinal,
		})
	}
	return view
}

// Guards against exceeding a target's connection limit while nodes disagree about the membership.
var _ = It("keeps the sum of connections within the limit under any mix of views", func() {
	rng := rand.New(rand.NewPCG(7, 1))
	for round := range 400 {
		ordinals := 1 + rng.IntN(100)
		s := ownership.OrdinalSpace{Ordinals: ordinals, Candidates: 1 + rng.IntN(12)}
		limit := s.Candidates*2 + rng.IntN(100)
		group := fmt.Sprintf("group-%d", round)
		// An incarnation opens as many connections as its cap allows as soon as any node's view makes it an owner.
		owners := map[string]bool{}
		for range ordinals * ownership.IncarnationsPerOrdinal {
			o := s.Owners(group, randomView(rng, ordinals))
			owners[o.Home], owners[o.Spare] = true, true
		}
		delete(owners, "")
		Expect(len(owners) * s.ConnectionCap(limit)).To(BeNumerically("<=", limit))
		// A node also determines from its ordinal alone whether it may connect.
		selfTotal := 0
		for ordinal := -5; ordinal < ordinals+5; ordinal++ {
			if s.IsCandidate(group, ordinal) {
				selfTotal += ownership.IncarnationsPerOrdinal * s.ConnectionCap(limit)
			}
		}
		Expect(selfTotal).To(BeNumerically("<=", limit))
		Expect(selfTotal).To(Equal(s.MaxConnections(limit)))
	}
})

// Guards against a hash that moves groups between the remaining relays when another relay leaves.
var _ = It("moves only the groups of a relay that leaves, to their spare relay", func() {
	const nodes, groups = 9, 2000
	s := ownership.OrdinalSpace{Ordinals: nodes, Candidates: nodes}
	var live []ownership.Relay
	for i := range nodes {
		live = append(live, ownership.Relay{ID: fmt.Sprintf("node-%d", i), Ordinal: i})
	}
	homeCount := map[string]int{}
	for g := range groups {
		group := fmt.Sprintf("group-%d", g)
		before := s.Owners(group, live)
		homeCount[before.Home]++
		for removed := range live {
			after := s.Owners(group, slices.Delete(slices.Clone(live), removed, removed+1))
			if live[removed].ID == before.Home {
				Expect(after.Home).To(Equal(before.Spare))
			} else {
				Expect(after.Home).To(Equal(before.Home))
			}
		}
	}
	for _, n := range homeCount {
		Expect(n).To(BeNumerically("~", groups/nodes, groups/nodes/4))
	}
})

// Guards against disagreement between CandidateOrdinals and IsCandidate, and between Rank and IsInTopN.
var _ = It("returns consistent ranks and candidate sets", func() {
	s := ownership.OrdinalSpace{Ordinals: 100, Candidates: 12}
	ids := []string{"a", "b", "c", "d", "e"}
	for g := range 200 {
		group := fmt.Sprintf("group-%d", g)
		candidates := s.CandidateOrdinals(group)
		Expect(candidates).To(HaveLen(12))
		for ordinal := range 100 {
			Expect(s.IsCandidate(group, ordinal)).To(Equal(slices.Contains(candidates, ordinal)))
		}
		ranked := ownership.Rank(group, ids)
		for i, id := range ranked {
			Expect(ownership.IsInTopN(group, id, ids, 2)).To(Equal(i < 2))
		}
		Expect(ownership.IsInTopN(group, "absent", ids, 5)).To(BeFalse())
	}
})

// Guards against exceeding a target's connection limit while some nodes use the old and some the new published values.
var _ = It("bounds the connections while nodes use two versions of the published values", func() {
	threeOrdinals := ownership.OrdinalSpace{Ordinals: 3, Candidates: 3}
	moreCandidates := ownership.OrdinalSpace{Ordinals: 3, Candidates: 9}
	nineOrdinals := ownership.OrdinalSpace{Ordinals: 9, Candidates: 9}
	Expect(threeOrdinals.CheckChange(nineOrdinals, 25, 25)).To(MatchError(ContainSubstring("36 connections")))
	Expect(threeOrdinals.CheckChange(moreCandidates, 25, 25)).To(Succeed())
	Expect(moreCandidates.CheckChange(nineOrdinals, 25, 25)).To(Succeed())
	rng := rand.New(rand.NewPCG(7, 2))
	randomSpace := func() ownership.OrdinalSpace {
		return ownership.OrdinalSpace{Ordinals: 1 + rng.IntN(20), Candidates: 1 + rng.IntN(12)}
	}
	for round := range 2000 {
		old, next, limit := randomSpace(), randomSpace(), 24+rng.IntN(100)
		if old.CheckChange(next, limit, limit) != nil {
			continue
		}
		group, total := fmt.Sprint("group-", round), 0
		for ordinal := range 20 {
			maxCap := 0
			if old.IsCandidate(group, ordinal) {
				maxCap = old.ConnectionCap(limit)
			}
			if next.IsCandidate(group, ordinal) {
				maxCap = max(maxCap, next.ConnectionCap(limit))
			}
			total += maxCap * ownership.IncarnationsPerOrdinal
		}
		Expect(total).To(BeNumerically("<=", limit))
	}
})
