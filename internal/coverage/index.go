package coverage

import (
	"cmp"
	"slices"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Index is a partition map preprocessed for many searches: with 500 services, sorting the map for each search would cost
// more than merging the hits. It does not change after NewIndex.
type Index struct {
	version    uint64
	assigned   []Assigned     // ordered by service name; disjoint
	unassigned []api.KeyRange // gaps of the map
}

// NewIndex returns the index of a map. If ranges of an invalid map overlap, a shared key is assigned to the first of its
// services by name.
func NewIndex(m config.PartitionMap) *Index {
	rangesByService := make(map[string][]api.KeyRange)
	for _, a := range m.Assignments {
		rangesByService[a.Service] = append(rangesByService[a.Service], a.Range)
	}
	x := &Index{version: m.Version, unassigned: wantedRanges(nil)}
	services := make([]string, 0, len(rangesByService))
	for service := range rangesByService {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		ranges := normalise(rangesByService[service])
		if unclaimed := intersect(ranges, x.unassigned); len(unclaimed) > 0 {
			x.assigned = append(x.assigned, Assigned{Service: service, Ranges: unclaimed})
			x.unassigned = subtract(x.unassigned, ranges)
		}
	}
	return x
}

// Assign returns, ordered by service name, the key ranges that a search needs from each service, clipped to want.
// A nil want is the whole key space. The result is shared and must not be changed.
func (x *Index) Assign(want *api.KeyRange) []Assigned {
	if want == nil {
		return x.assigned
	}
	wanted := wantedRanges(want)
	var assigned []Assigned
	for _, a := range x.assigned {
		if clipped := intersect(a.Ranges, wanted); len(clipped) > 0 {
			assigned = append(assigned, Assigned{Service: a.Service, Ranges: clipped})
		}
	}
	return assigned
}

// wantedRanges returns want clipped to the key space; a nil want is the whole key space.
func wantedRanges(want *api.KeyRange) []api.KeyRange {
	if want == nil {
		return []api.KeyRange{{To: api.KeySpaceEnd}}
	}
	return normalise([]api.KeyRange{{From: want.From, To: min(want.To, api.KeySpaceEnd)}})
}

// Compute returns the coverage that parts prove for a search of want on snapshot. Only an answered part of that
// snapshot counts, and only for the ranges that it states and that the map assigns to its service. All other wanted
// ranges are missing. If the map's version is not that of the snapshot, no range counts as answered.
func (x *Index) Compute(want *api.KeyRange, snapshot api.Snapshot, parts []api.Part) api.Coverage {
	wanted := wantedRanges(want)
	answered := make([]api.KeyRange, 0, len(parts))
	missing := appendMissing(nil, "", intersect(x.unassigned, wanted), api.MissingUnassigned)
	order := orderByService(parts)
	for _, a := range x.Assign(want) {
		for len(order) > 0 && parts[order[0]].Service < a.Service {
			order = order[1:]
		}
		count := 0
		for count < len(order) && parts[order[count]].Service == a.Service {
			count++
		}
		got, reason := x.answeredRanges(a.Ranges, snapshot, parts, order[:count])
		answered = append(answered, got...)
		missing = appendMissing(missing, a.Service, subtract(a.Ranges, got), reason)
	}
	slices.SortFunc(missing, func(a, b api.MissingRange) int { return cmp.Compare(a.From, b.From) })
	answered = normalise(answered)
	return api.Coverage{
		Complete: len(missing) == 0,
		Fraction: fraction(keyCount(answered), keyCount(wanted)),
		Answered: answered,
		Missing:  missing,
	}
}

// orderByService returns the indexes of parts ordered by service; parts of one service keep their order.
func orderByService(parts []api.Part) []int {
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(parts[a].Service, parts[b].Service) })
	return order
}

// answeredRanges returns which of the assigned ranges of one service were answered by the parts at the indexes in
// partOrder, and the reason why the others are missing.
func (x *Index) answeredRanges(assigned []api.KeyRange, snapshot api.Snapshot, parts []api.Part,
	partOrder []int) ([]api.KeyRange, api.MissingReason) {
	reason := api.MissingNotPlanned
	var ranges []api.KeyRange
	for _, i := range partOrder {
		p := &parts[i]
		switch {
		case p.Answered() && p.Snapshot == snapshot && x.version == snapshot.MapVersion:
			if slices.Equal(p.Ranges, assigned) {
				return assigned, ""
			}
			ranges = append(ranges, p.Ranges...)
			reason = api.MissingRangeMismatch
		case len(ranges) > 0:
		case p.Answered():
			reason = api.MissingSnapshotMismatch
		default:
			reason = p.Reason
		}
	}
	return intersect(normalise(ranges), assigned), reason
}

func appendMissing(missing []api.MissingRange, service string, ranges []api.KeyRange, reason api.MissingReason) []api.MissingRange {
	for _, r := range ranges {
		missing = append(missing, api.MissingRange{KeyRange: r, Service: service, Reason: reason})
	}
	return missing
}

// fraction returns answered/total; a search that wants no key is fully answered.
func fraction(answered, total uint64) float64 {
	if total == 0 {
		return 1
	}
	return float64(answered) / float64(total)
}
