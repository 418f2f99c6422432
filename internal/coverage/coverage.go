// Package coverage computes which key ranges a search needs from each service and which of them were answered, and
// merges the hits of the parts. Its values do not change after construction, so everything is safe for concurrent use.
package coverage

import (
	"cmp"
	"slices"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Assigned holds the key ranges that a search requests from one service: sorted, disjoint and non-empty.
type Assigned struct {
	Service string
	Ranges  []api.KeyRange
}

// ValidateMap rejects a map with an assignment without a service, or with ranges that are empty, overlap or reach beyond
// the key space. Gaps are allowed: searches report them as missing with reason unassigned. The error is an *Error.
func ValidateMap(m config.PartitionMap) error {
	order := make([]int, len(m.Assignments))
	for i, a := range m.Assignments {
		order[i] = i
		switch {
		case a.Service == "":
			return newMapError(KindNoService, m, i)
		case a.Range.Empty():
			return newMapError(KindEmptyRange, m, i)
		case a.Range.To > api.KeySpaceEnd:
			return newMapError(KindOutOfKeySpace, m, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(m.Assignments[a].Range.From, m.Assignments[b].Range.From)
	})
	for k := 1; k < len(order); k++ {
		if m.Assignments[order[k-1]].Range.Overlaps(m.Assignments[order[k]].Range) {
			return newMapError(KindOverlap, m, order[k])
		}
	}
	return nil
}

func newMapError(kind ErrorKind, m config.PartitionMap, index int) *Error {
	a := m.Assignments[index]
	return &Error{Kind: kind, Map: m.Version, Index: index, Service: a.Service, Range: a.Range}
}

// Assign returns, ordered by service name, the key ranges that a search needs from each service, clipped to want.
// A nil want is the whole key space. Services without a wanted key are left out. For many searches on one map, keep an
// Index instead.
func Assign(m config.PartitionMap, want *api.KeyRange) []Assigned { return NewIndex(m).Assign(want) }

// Compute is Index.Compute for a single search on a map.
func Compute(m config.PartitionMap, want *api.KeyRange, snapshot api.Snapshot, parts []api.Part) api.Coverage {
	return NewIndex(m).Compute(want, snapshot, parts)
}
