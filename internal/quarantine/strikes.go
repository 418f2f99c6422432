package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// StrikesToRefuse is the number of callers' attempts that must have crashed a target before a request is refused. One
	// attempt may be in flight on several targets that crash for another reason, so attempts count and not targets.
	StrikesToRefuse = 3
	// StrikeTTL is how long the latest strike counts. A request that was refused wrongly may run again after it.
	StrikeTTL = 2 * time.Minute
	// maxStruck bounds the fingerprints that are remembered.
	maxStruck = 2048
)

// Strikes counts, per fingerprint, the callers' attempts that crashed the target that ran them. It serves nodes that share
// their targets with others and cannot run a suspect alone: there, Guard's reservations would hold for one of many nodes.
// A success clears the strikes before it. It is safe for concurrent use.
type Strikes struct {
	mu      sync.Mutex // guards byPrint and the content of its values
	byPrint map[Fingerprint]*struck
}

// struck is what is known of one fingerprint.
type struck struct {
	attempts map[string]bool // ids of callers' attempts; true when a later success cleared them
	until    time.Time
}

// StrikeRecord is what nodes tell each other about one fingerprint.
type StrikeRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Attempts    []string    `json:"attempts,omitempty"`
	Cleared     []string    `json:"cleared,omitempty"`
	LeftMS      int64       `json:"left_ms"`
}

// NewStrikes returns an empty account.
func NewStrikes() *Strikes { return &Strikes{byPrint: map[Fingerprint]*struck{}} }

func (s *struck) count() int {
	n := 0
	for _, cleared := range s.attempts {
		if !cleared {
			n++
		}
	}
	return n
}

func (s *struck) record(fp Fingerprint, now time.Time) StrikeRecord {
	r := StrikeRecord{Fingerprint: fp, LeftMS: s.until.Sub(now).Milliseconds()}
	for id, cleared := range s.attempts {
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

// live returns what is known of a fingerprint. The caller holds mu.
func (s *Strikes) live(fp Fingerprint, now time.Time) *struck {
	have := s.byPrint[fp]
	if have != nil && !now.Before(have.until) {
		delete(s.byPrint, fp)
		return nil
	}
	return have
}

// Crash notes that a caller's attempt crashed a target. It returns the record to tell peers, and whether the request is
// refused from now on.
func (s *Strikes) Crash(fp Fingerprint, attempt string, now time.Time) (StrikeRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.live(fp, now)
	if have == nil {
		s.makeRoom(now)
		have = &struck{attempts: map[string]bool{}}
		s.byPrint[fp] = have
	}
	if _, known := have.attempts[attempt]; !known {
		have.attempts[attempt] = false
	}
	have.until = now.Add(StrikeTTL)
	return have.record(fp, now), have.count() >= StrikesToRefuse
}

// Success notes that a target answered the request. It returns the record to tell peers when that cleared strikes.
func (s *Strikes) Success(fp Fingerprint, now time.Time) (StrikeRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.live(fp, now)
	if have == nil || have.count() == 0 {
		return StrikeRecord{}, false
	}
	for id := range have.attempts {
		have.attempts[id] = true
	}
	return have.record(fp, now), true
}

// Refused returns how long the request stays refused.
func (s *Strikes) Refused(fp Fingerprint, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.live(fp, now)
	if have == nil || have.count() < StrikesToRefuse {
		return 0, false
	}
	return have.until.Sub(now), true
}

// Merge takes the record of a peer. Order and repetition make no difference: a cleared strike stays cleared.
func (s *Strikes) Merge(r StrikeRecord, now time.Time) {
	if r.LeftMS <= 0 || len(r.Attempts)+len(r.Cleared) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.live(r.Fingerprint, now)
	if have == nil {
		s.makeRoom(now)
		have = &struck{attempts: map[string]bool{}}
		s.byPrint[r.Fingerprint] = have
	}
	for _, id := range r.Attempts {
		have.attempts[id] = have.attempts[id] || false
	}
	for _, id := range r.Cleared {
		have.attempts[id] = true
	}
	until := now.Add(min(StrikeTTL, time.Duration(r.LeftMS)*time.Millisecond))
	if until.After(have.until) {
		have.until = until
	}
}

// makeRoom removes what has expired and, when that is not enough, the entry that expires first. The caller holds mu.
func (s *Strikes) makeRoom(now time.Time) {
	if len(s.byPrint) < maxStruck {
		return
	}
	var first Fingerprint
	var earliest time.Time
	for fp, have := range s.byPrint {
		if !now.Before(have.until) {
			delete(s.byPrint, fp)
			continue
		}
		if earliest.IsZero() || have.until.Before(earliest) {
			first, earliest = fp, have.until
		}
	}
	if len(s.byPrint) >= maxStruck {
		delete(s.byPrint, first)
	}
}
