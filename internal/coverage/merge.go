package coverage

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// compareHits orders hits by descending score, then by id. Key and document order duplicates of one id, so that the
// result does not depend on the order in which parts arrive.
func compareHits(a, b api.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	if c := cmp.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Key, b.Key); c != 0 {
		return c
	}
	return bytes.Compare(a.Doc, b.Doc)
}

// sortedHits returns hits ordered by compareHits; the argument is copied only when it is not ordered yet.
func sortedHits(hits []api.Hit) []api.Hit {
	if slices.IsSortedFunc(hits, compareHits) {
		return hits
	}
	sorted := slices.Clone(hits)
	slices.SortFunc(sorted, compareHits)
	return sorted
}

// MergeHits returns the best limit hits of all lists, ordered by descending score, then by id, each id once with its best
// score. The second result reports whether hits were left out because of limit. Merging is associative: merging merged
// lists gives the same hits as merging all lists at once.
func MergeHits(limit int, lists ...[]api.Hit) ([]api.Hit, bool) {
	limit = max(limit, 0)
	queue := make(hitQueue, 0, len(lists))
	total := 0
	for _, list := range lists {
		if len(list) > 0 {
			queue = append(queue, sortedHits(list))
			total += len(list)
		}
	}
	heap.Init(&queue)
	merged := make([]api.Hit, 0, min(limit, total))
	seen := make(map[string]struct{}, min(limit, total))
	for len(queue) > 0 {
		hit := queue.next()
		if _, duplicate := seen[hit.ID]; duplicate {
			continue
		}
		if len(merged) == limit {
			return merged, true
		}
		seen[hit.ID] = struct{}{}
		merged = append(merged, hit)
	}
	return merged, false
}

// MergeParts merges the hits of the answered parts of snapshot. The second result reports whether hits were left out, by
// a target or because of limit. Parts must have passed CheckPart.
func MergeParts(limit int, snapshot api.Snapshot, parts []api.Part) ([]api.Hit, bool) {
	lists := make([][]api.Hit, 0, len(parts))
	truncated := false
	for _, p := range parts {
		if p.Answered() && p.Snapshot == snapshot {
			lists = append(lists, p.Hits)
			truncated = truncated || p.Truncated
		}
	}
	hits, exceedsLimit := MergeHits(limit, lists...)
	return hits, exceedsLimit || truncated
}

// hitQueue is a heap of non-empty sorted lists, ordered by their first hit.
type hitQueue [][]api.Hit

func (q hitQueue) Len() int           { return len(q) }
func (q hitQueue) Less(i, j int) bool { return compareHits(q[i][0], q[j][0]) < 0 }
func (q hitQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface. MergeHits does not use it: no list is added after heap.Init.
func (q *hitQueue) Push(x any) { *q = append(*q, x.([]api.Hit)) }

// Pop implements heap.Interface.
func (q *hitQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// next removes and returns the best hit.
func (q *hitQueue) next() api.Hit {
	hit := (*q)[0][0]
	if (*q)[0] = (*q)[0][1:]; len((*q)[0]) == 0 {
		heap.Pop(q)
	} else {
		heap.Fix(q, 0)
	}
	return hit
}
