package membership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// MarkLeaving records that one incarnation of a target is leaving. It reports whether the mark is new.
func (v *View) MarkLeaving(target, incarnation string, source LeavingSource) bool {
	now := v.now.Wall
	old, known := v.marks[markKey{target, incarnation}]
	if known && old.ExpiresMS-now.UnixMilli() > leavingMarkTTL.Milliseconds()/2 {
		return false
	}
	v.mergeMark(LeavingMark{
		Target: target, Incarnation: incarnation, Source: source, ExpiresMS: now.Add(leavingMarkTTL).UnixMilli(),
	})
	return !known
}

// IsLeaving reports whether the incarnation of the target was marked as leaving.
func (v *View) IsLeaving(target, incarnation string) bool {
	_, ok := v.marks[markKey{target, incarnation}]
	return ok
}

// Marks returns all leaving marks, ordered by target and incarnation.
func (v *View) Marks() []LeavingMark {
	return slices.SortedFunc(maps.Values(v.marks), func(a, b LeavingMark) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// mergeMark merges one leaving mark.
func (v *View) mergeMark(m LeavingMark) {
	old, known := v.marks[m.key()]
	if m.Target == "" || len(m.Target)+len(m.Incarnation) > maxTextBytes || !known && len(v.marks) >= maxMarks {
		v.rejected++
		return
	}
	merged := joinMarks(old, m)
	if known && merged == old || merged.ExpiresMS <= v.now.Wall.UnixMilli() {
		return
	}
	v.marks[m.key()] = merged
	v.changes.append(itemID{markKey: m.key()}, fmt.Sprint("mark ", merged))
}

// SetQuarantine records a quarantine entry. An entry with a lower revision than the known one has no effect.
func (v *View) SetQuarantine(e QuarantineEntry) { v.mergeEntry(e) }

// Quarantine returns all quarantine entries that have not expired, ordered by key.
func (v *View) Quarantine() []QuarantineEntry {
	out := make([]QuarantineEntry, 0, len(v.quarantine))
	for _, e := range v.quarantine {
		if e.ExpiresMS > v.now.Wall.UnixMilli() {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b QuarantineEntry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// mergeEntry merges one quarantine entry.
func (v *View) mergeEntry(e QuarantineEntry) {
	old, known := v.quarantine[e.Key]
	malformed := e.Key == "" || len(e.Key)+len(e.Payload) > maxQuarantineEntryBytes || len(e.Payload) > 0 && !json.Valid(e.Payload)
	if malformed || !known && len(v.quarantine) >= maxQuarantineEntries {
		v.rejected++
		return
	}
	merged := e
	if known {
		merged = joinEntries(old, e)
	}
	unchanged := known && merged.Revision == old.Revision && merged.ExpiresMS == old.ExpiresMS &&
		string(merged.Payload) == string(old.Payload)
	if unchanged || merged.ExpiresMS <= v.now.Wall.UnixMilli() {
		return
	}
	v.quarantine[e.Key] = merged
	v.changes.append(itemID{quarantineKey: e.Key}, fmt.Sprint("entry ", merged.Key, merged.Revision, merged.ExpiresMS, string(merged.Payload)))
}
