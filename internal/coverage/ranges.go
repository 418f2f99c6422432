package coverage

import (
	"cmp"
	"slices"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// normalise returns the sorted union of ranges: empty ranges are dropped, overlapping and adjacent ones are merged.
func normalise(ranges []api.KeyRange) []api.KeyRange {
	sorted := make([]api.KeyRange, 0, len(ranges))
	for _, r := range ranges {
		if !r.Empty() {
			sorted = append(sorted, r)
		}
	}
	slices.SortFunc(sorted, func(a, b api.KeyRange) int { return cmp.Compare(a.From, b.From) })
	union := sorted[:0]
	for _, r := range sorted {
		if n := len(union); n > 0 && r.From <= union[n-1].To {
			union[n-1].To = max(union[n-1].To, r.To)
			continue
		}
		union = append(union, r)
	}
	return union
}

// intersect returns the ranges of the keys that are in both a and b. Both must be normalised; so is the result.
func intersect(a, b []api.KeyRange) []api.KeyRange {
	var common []api.KeyRange
	for i, j := 0, 0; i < len(a) && j < len(b); {
		r := api.KeyRange{From: max(a[i].From, b[j].From), To: min(a[i].To, b[j].To)}
		if !r.Empty() {
			common = append(common, r)
		}
		if a[i].To < b[j].To {
			i++
		} else {
			j++
		}
	}
	return common
}

// subtract returns the ranges of the keys of a that are not in b. Both must be normalised; so is the result.
func subtract(a, b []api.KeyRange) []api.KeyRange {
	var difference []api.KeyRange
	j := 0
	for _, r := range a {
		for j < len(b) && b[j].To <= r.From {
			j++
		}
		from := r.From
		for k := j; k < len(b) && b[k].From < r.To; k++ {
			if from < b[k].From {
				difference = append(difference, api.KeyRange{From: from, To: b[k].From})
			}
			from = max(from, b[k].To)
		}
		if from < r.To {
			difference = append(difference, api.KeyRange{From: from, To: r.To})
		}
	}
	return difference
}

// contains reports whether key lies in one of the normalised ranges.
func contains(ranges []api.KeyRange, key uint64) bool {
	i, _ := slices.BinarySearchFunc(ranges, key, func(r api.KeyRange, k uint64) int {
		if r.To <= k {
			return -1
		}
		return 1
	})
	return i < len(ranges) && ranges[i].Contains(key)
}

// keyCount returns the number of keys in normalised ranges.
func keyCount(ranges []api.KeyRange) uint64 {
	var n uint64
	for _, r := range ranges {
		n += r.Size()
	}
	return n
}
