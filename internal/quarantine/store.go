package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evictDivisor sets how much evictRecords removes at once, one eighth of the records, so that it rarely has to sort.
const evictDivisor = 8

// recordKeys returns the keys of all records of fp, one per service.
func (g *Guard) recordKeys(fp Fingerprint) []recordKey {
	services := g.servicesByFingerprint[fp]
	keys := make([]recordKey, 0, len(services))
	for _, s := range services {
		keys = append(keys, recordKey{fp: fp, service: s})
	}
	return keys
}

func (g *Guard) setRecord(key recordKey, r *record) {
	if _, known := g.records[key]; !known {
		g.servicesByFingerprint[key.fp] = append(g.servicesByFingerprint[key.fp], key.service)
	}
	g.records[key] = r
}

func (g *Guard) removeRecord(key recordKey) {
	delete(g.records, key)
	services := slices.DeleteFunc(g.servicesByFingerprint[key.fp], func(s string) bool { return s == key.service })
	if len(services) == 0 {
		delete(g.servicesByFingerprint, key.fp)
	} else {
		g.servicesByFingerprint[key.fp] = services
	}
}

// evictRecords makes room for a new record. It removes expired records and, when that is not enough, the least
// important ones: cleared before suspect before confirmed, and among equals those that expire first.
func (g *Guard) evictRecords(now time.Time) {
	if len(g.records) < g.maxRecords {
		return
	}
	keys := make([]recordKey, 0, len(g.records))
	for key, r := range g.records {
		if now.Before(r.expires) {
			keys = append(keys, key)
		} else {
			g.removeRecord(key)
		}
	}
	if len(g.records) < g.maxRecords {
		return
	}
	rank := map[State]int{Cleared: 0, Suspect: 1, Confirmed: 2}
	slices.SortFunc(keys, func(a, b recordKey) int {
		ra, rb := g.records[a], g.records[b]
		if c := cmp.Compare(rank[ra.state(now)], rank[rb.state(now)]); c != 0 {
			return c
		}
		return ra.expires.Compare(rb.expires)
	})
	for _, key := range keys[:max(1, len(keys)/evictDivisor)] {
		g.removeRecord(key)
	}
}
