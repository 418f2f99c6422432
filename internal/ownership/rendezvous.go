// Package ownership determines which relays of a failure domain own a group and how many connections each may open,
// by rendezvous hashing. All functions are pure: their results depend only on their arguments.
package ownership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// rendezvousScore returns the rendezvous score of id for key. The zero byte between them makes ("ab", "c") and
// ("a", "bc") hash differently.
func rendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// ordinalRendezvousScore returns the rendezvous score of an ordinal for key.
func ordinalRendezvousScore(key string, ordinal int) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	var b [9]byte
	binary.LittleEndian.PutUint64(b[1:], uint64(ordinal))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Rank returns the ids ordered by rendezvous score for key, highest first. Equal scores are ordered by id.
func Rank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, rendezvousScore(key, id)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return compareScores(a.score, b.score, a.id, b.id)
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.id
	}
	return ranked
}

// compareScores orders higher scores first and equal scores by id.
func compareScores(a, b uint64, aID, bID string) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return strings.Compare(aID, bID)
}

// IsInTopN reports whether id is one of the first n of ids by rendezvous score for key.
func IsInTopN(key, id string, ids []string, n int) bool {
	ownScore, precedingCount, present := rendezvousScore(key, id), 0, false
	for _, other := range ids {
		if other == id {
			present = true
			continue
		}
		if compareScores(rendezvousScore(key, other), ownScore, other, id) < 0 {
			precedingCount++
		}
	}
	return present && precedingCount < n
}
