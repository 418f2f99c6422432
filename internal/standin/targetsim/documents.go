package targetsim

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// absentOneIn is the inverse of the share of documents that an index version lacks. Each version lacks different documents,
// so an answer that mixes versions differs from the answer of either version.
const absentOneIn = 8

// Find returns the hits of one search in the given key ranges, best score first, and whether the limit dropped any. The
// hits depend only on the arguments, so a test uses Find to compute the expected hits of an answer. documentCount is the
// number of documents in the whole key space; limit 0 means no limit.
func Find(documentCount int, index uint64, ranges []api.KeyRange, query []byte, limit int) (hits []api.Hit, truncated bool) {
	spacing := api.KeySpaceEnd / uint64(documentCount)
	for _, r := range ranges {
		for i := (r.From + spacing - 1) / spacing; i < uint64(documentCount) && i*spacing < r.To; i++ {
			key := i * spacing
			if hashOf(index, key, nil)%absentOneIn == 0 {
				continue
			}
			// A float64 holds 53 bits exactly, so scores pass through JSON unchanged.
			score := float64(hashOf(index, key, query)>>11) / (1 << 53)
			hits = append(hits, api.Hit{Key: key, Score: score})
		}
	}
	SortHits(hits)
	if limit > 0 && len(hits) > limit {
		hits, truncated = hits[:limit], true
	}
	// Only returned hits get a document: formatting the documents of all hits took most of the time of a search.
	for i, h := range hits {
		hits[i].ID = fmt.Sprintf("doc-%08x", h.Key)
		hits[i].Doc = json.RawMessage(fmt.Sprintf(`{"key":%d,"index":%d}`, h.Key, index))
	}
	return hits, truncated
}

// SortHits orders hits by score, best first, and by key where scores are equal.
func SortHits(hits []api.Hit) {
	slices.SortFunc(hits, func(a, b api.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
}

func hashOf(index, key uint64, query []byte) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], index)
	binary.LittleEndian.PutUint64(b[8:], key)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.Write(query)
	return d.Sum64()
}

// intersect returns the parts of held that lie in wanted. Without wanted ranges it returns all of held.
func intersect(held, wanted []api.KeyRange) []api.KeyRange {
	if len(wanted) == 0 {
		return held
	}
	var out []api.KeyRange
	for _, h := range held {
		for _, w := range wanted {
			if r := (api.KeyRange{From: max(h.From, w.From), To: min(h.To, w.To)}); !r.Empty() {
				out = append(out, r)
			}
		}
	}
	return out
}
