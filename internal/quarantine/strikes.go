package quarantine

import (
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

const (
	// CrashesToRefuse is the number of callers' attempts that must have crashed a target before a request is refused. One
	// attempt may be in flight on several targets that crash for another reason, so attempts are counted and not targets.
	CrashesToRefuse = 3
	// CrashTTL is how long crashes count after the latest one. A request that was refused wrongly may run again after it.
	CrashTTL = 2 * time.Minute
	// maxCrashEntries bounds the fingerprints with crashes.
	maxCrashEntries = 2048
)

// CrashCounter counts crashes per fingerprint: attempts by callers that crashed the target they ran on. It is for nodes that
// share their targets with other nodes and so cannot run a suspect in isolation: a reservation of Guard applies to one
// node only. A success clears the crashes before it. It is safe for concurrent use.
type CrashCounter struct {
	mu      panics.Mutex // guards entries and the content of its values
	entries map[Fingerprint]*crashEntry
}

// crashEntry holds the crashes of one fingerprint.
type crashEntry struct {
	attempts map[string]bool // by id of the caller's attempt; true when a later success cleared the crash
	until    time.Time       // expiry of the entry
}

// CrashRecord holds the crashes of one fingerprint as nodes exchange them.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Attempts    []string    `json:"attempts,omitempty"`
	Cleared     []string    `json:"cleared,omitempty"`
	LeftMS      int64       `json:"left_ms"`
}

// NewCrashCounter returns a CrashCounter without entries.
func NewCrashCounter() *CrashCounter { return &CrashCounter{entries: map[Fingerprint]*crashEntry{}} }

func (e *crashEntry) crashCount() int {
	n := 0
	for _, cleared := range e.attempts {
		if !cleared {
			n++
		}
	}
	return n
}

func (e *crashEntry) toRecord(fp Fingerprint, now time.Time) CrashRecord {
	r := CrashRecord{Fingerprint: fp, LeftMS: e.until.Sub(now).Milliseconds()}
	for id, cleared := range e.attempts {
		if cleared {
			r.Cleared = append(r.Cleared, id)
		} else {
			r.Attempts = append(r.Attempts, id)
		}
	}
	slices.Sort(r.Attempts)
	slices.Sort(r.Cleared)
	return r
}

// liveEntry returns the entry of a fingerprint, or nil when there is none or it has expired. The caller holds mu.
func (c *CrashCounter) liveEntry(fp Fingerprint, now time.Time) *crashEntry {
	entry := c.entries[fp]
	if entry != nil && !now.Before(entry.until) {
		delete(c.entries, fp)
		return nil
	}
	return entry
}

// Crash records that a caller's attempt crashed a target. It returns the record to send to peers, and whether the request
// is refused from now on.
func (c *CrashCounter) Crash(fp Fingerprint, attemptID string, now time.Time) (CrashRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.liveEntry(fp, now)
	if entry == nil {
		c.evict(now)
		entry = &crashEntry{attempts: map[string]bool{}}
		c.entries[fp] = entry
	}
	if _, known := entry.attempts[attemptID]; !known {
		entry.attempts[attemptID] = false
	}
	entry.until = now.Add(CrashTTL)
	return entry.toRecord(fp, now), entry.crashCount() >= CrashesToRefuse
}

// Success records that a target answered the request. If that cleared crashes, it returns the record to send to peers
// and true.
func (c *CrashCounter) Success(fp Fingerprint, now time.Time) (CrashRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.liveEntry(fp, now)
	if entry == nil || entry.crashCount() == 0 {
		return CrashRecord{}, false
	}
	for id := range entry.attempts {
		entry.attempts[id] = true
	}
	return entry.toRecord(fp, now), true
}

// Refused reports whether the request is refused, and for how much longer.
func (c *CrashCounter) Refused(fp Fingerprint, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.liveEntry(fp, now)
	if entry == nil || entry.crashCount() < CrashesToRefuse {
		return 0, false
	}
	return entry.until.Sub(now), true
}

// Merge merges the record of a peer. It is commutative and idempotent: a cleared crash stays cleared.
func (c *CrashCounter) Merge(r CrashRecord, now time.Time) {
	if r.LeftMS <= 0 || len(r.Attempts)+len(r.Cleared) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.liveEntry(r.Fingerprint, now)
	if entry == nil {
		c.evict(now)
		entry = &crashEntry{attempts: map[string]bool{}}
		c.entries[r.Fingerprint] = entry
	}
	for _, id := range r.Attempts {
		entry.attempts[id] = entry.attempts[id] || false
	}
	for _, id := range r.Cleared {
		entry.attempts[id] = true
	}
	until := now.Add(min(CrashTTL, time.Duration(r.LeftMS)*time.Millisecond))
	if until.After(entry.until) {
		entry.until = until
	}
}

// evict makes room for a new entry. It removes expired entries and, when that is not enough, the entry that expires
// first. The caller holds mu.
func (c *CrashCounter) evict(now time.Time) {
	if len(c.entries) < maxCrashEntries {
		return
	}
	var earliestFP Fingerprint
	var earliest time.Time
	for fp, entry := range c.entries {
		if !now.Before(entry.until) {
			delete(c.entries, fp)
			continue
		}
		if earliest.IsZero() || entry.until.Before(earliest) {
			earliestFP, earliest = fp, entry.until
		}
	}
	if len(c.entries) >= maxCrashEntries {
		delete(c.entries, earliestFP)
	}
}
