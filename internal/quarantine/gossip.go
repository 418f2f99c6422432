package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// minGossipTTL is the shortest remaining lifetime with which a record is sent to peers. Without it, a record that
// expires a few milliseconds apart on two nodes could be sent back and forth beyond its expiry.
const minGossipTTL = 2 * time.Second

// maxStamp is the largest stamp that Merge accepts, so that stamps.next cannot overflow. In milliseconds of the Unix
// clock it is about 140,000 years ahead.
const maxStamp = 1 << 52

// Record is the state of a fingerprint on a service as nodes exchange it. Lifetimes are remaining durations, so that
// the clocks of the nodes need not agree.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Group       string      `json:"group"`
	Service     string      `json:"service"`
	stamps
	ConfirmLeftMS int64 `json:"confirm_left_ms,omitempty"`
	LeftMS        int64 `json:"left_ms"`
}

// Export returns up to limit records whose change has a sequence number above after, oldest change first, and the
// sequence number to pass to the next call. A node keeps this number per peer and starts again with 0 for a new
// incarnation of the peer.
func (g *Guard) Export(after uint64, limit int, now time.Time) ([]Record, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if after >= g.lastChangeSeq {
		return nil, g.lastChangeSeq
	}
	var keys []recordKey
	for key, r := range g.records {
		if r.changeSeq > after && r.expires.Sub(now) >= minGossipTTL {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b recordKey) int { return cmp.Compare(g.records[a].changeSeq, g.records[b].changeSeq) })
	next := g.lastChangeSeq
	if len(keys) > limit {
		keys = keys[:limit]
		next = after
		if limit > 0 {
			next = g.records[keys[limit-1]].changeSeq
		}
	}
	records := make([]Record, 0, len(keys))
	for _, key := range keys {
		r := g.records[key]
		records = append(records, Record{
			Fingerprint:   key.fp,
			Group:         r.group,
			Service:       key.service,
			stamps:        r.stamps,
			ConfirmLeftMS: max(0, r.confirmUntil.Sub(now).Milliseconds()),
			LeftMS:        r.expires.Sub(now).Milliseconds(),
		})
	}
	return records, next
}

// Merge merges the records of a peer and returns the states that changed. It is commutative and idempotent: each
// stamp keeps its largest value, a lifetime is taken from the record with the larger stamp, and for equal stamps the
// shorter lifetime is taken.
func (g *Guard) Merge(records []Record, now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changes []Change
	for _, in := range records {
		if in.LeftMS <= 0 || in.latest() <= 0 || in.latest() > maxStamp {
			continue
		}
		if change, ok := g.mergeRecord(in, now); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

func (g *Guard) mergeRecord(in Record, now time.Time) (Change, bool) {
	key := recordKey{fp: in.Fingerprint, service: in.Service}
	confirmUntil := now.Add(min(time.Duration(in.ConfirmLeftMS)*time.Millisecond, ConfirmTTL))
	expires := now.Add(min(time.Duration(in.LeftMS)*time.Millisecond, ConfirmTTL+SuspectTTL))
	r := g.ensureRecord(key, in.Group, now)
	before, stateBefore := r.stamps, r.state(now)
	r.confirmUntil = deadlineOfLargerStamp(before.Confirmed, r.confirmUntil, in.Confirmed, confirmUntil)
	r.expires = deadlineOfLargerStamp(before.latest(), r.expires, in.latest(), expires)
	r.Suspected = max(r.Suspected, in.Suspected)
	r.Confirmed = max(r.Confirmed, in.Confirmed)
	r.Cleared = max(r.Cleared, in.Cleared)
	if r.stamps == before {
		return Change{}, false
	}
	g.markChanged(r)
	if max(in.Suspected, in.Confirmed) > max(before.Suspected, before.Confirmed) {
		g.extendCanaryWindow(in.Group, now.Add(min(CanaryTTL, time.Duration(in.LeftMS)*time.Millisecond)), now)
	}
	state := r.state(now)
	return Change{Fingerprint: key.fp, Group: r.group, Service: key.service, State: state}, state != stateBefore
}

// deadlineOfLargerStamp returns the deadline that belongs to the larger stamp, or the earlier one for equal stamps.
func deadlineOfLargerStamp(stampA int64, a time.Time, stampB int64, b time.Time) time.Time {
	switch {
	case stampA > stampB:
		return a
	case stampB > stampA:
		return b
	case b.Before(a):
		return b
	default:
		return a
	}
}
