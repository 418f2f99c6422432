package membership

import (
	"maps"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// itemID identifies a node record, a leaving mark or a quarantine entry; the fields of the other kinds are zero.
type itemID struct {
	nodeID        string
	markKey       markKey
	quarantineKey string
}

// itemState holds the sequence number of an item's latest change and the hash of its content.
type itemState struct {
	seq         uint64
	contentHash uint64
}

// change is the latest or an outdated change of an item.
type change struct {
	seq  uint64
	item itemID
}

// changeLog orders the changes of a view, so that a digest holds only what its recipient has not merged yet. checksum is
// the XOR of the content hashes of all items: two views with the same checksum hold the same content.
type changeLog struct {
	seq      uint64
	checksum uint64
	latest   map[itemID]itemState
	changes  []change
}

// compactThreshold is the number of outdated changes, beyond one per item, that the log keeps. Without it, small logs would
// be compacted all the time.
const compactThreshold = 64

func newChangeLog() changeLog { return changeLog{latest: map[itemID]itemState{}} }

// append records a change of an item. content describes the item's new state, so that its hash changes with it.
func (l *changeLog) append(id itemID, content string) {
	hash := xxhash.Sum64String(content)
	l.seq++
	l.checksum ^= l.latest[id].contentHash ^ hash
	l.latest[id] = itemState{l.seq, hash}
	l.changes = append(l.changes, change{l.seq, id})
	if len(l.changes) > 2*len(l.latest)+compactThreshold {
		l.compact(func(itemID) bool { return true })
	}
}

// since returns the latest changes of items after seq, oldest first.
func (l *changeLog) since(seq uint64) []change {
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].seq > seq })
	var out []change
	for _, c := range l.changes[first:] {
		if l.latest[c.item].seq == c.seq {
			out = append(out, c)
		}
	}
	return out
}

// compact removes outdated changes, and the changes and hashes of items that no longer exist.
func (l *changeLog) compact(exists func(itemID) bool) {
	maps.DeleteFunc(l.latest, func(id itemID, last itemState) bool {
		removed := !exists(id)
		if removed {
			l.checksum ^= last.contentHash
		}
		return removed
	})
	l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return l.latest[c.item].seq != c.seq })
}
