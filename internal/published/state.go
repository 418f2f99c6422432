package published

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/routing"
)

const (
	// lapseHold is the time for which a target is still used after its entry disappeared around an outage of the store:
	// the platform brings the entries of live targets back within about 2 s of its return.
	lapseHold = 2 * time.Second
	// massRemoval is the share of the targets whose removal in one answer is taken for an outage of the store in which
	// entries lapsed. A single node cannot tell an outage of the store from one of its own connection, and in the second
	// case a missing target is gone.
	massRemoval = 0.25
	// massRemovalLeast is the number of targets below which removals in one answer are taken as they are.
	massRemovalLeast = 4
)

// entry is a target with the revision of its entry. lapses is set while the entry is missing and held.
type entry struct {
	target   Target
	revision uint64
	lapses   time.Time
}

// state is the pure core of the follower: it merges updates in any order. It has no clock and no lock.
type state struct {
	table    *routing.Table
	configAt uint64
	targets  map[string]entry
	revision uint64    // all changes up to it are merged
	settled  time.Time // until then, removals are held
	log      changeLog
}

// outcome says what a merge changed, for the log.
type outcome struct {
	changed       bool
	configuration bool
	refused       []Update
	stale         []uint64 // versions that were not newer than the one in force
	added         []string
	removed       []string
	held          []string
	late          []string // targets of which an older entry arrived after a newer one
}

func newState() *state { return &state{targets: map[string]entry{}} }

// merge applies changes of a watch. asOf is the revision up to which the answer is complete.
func (s *state) merge(updates []Update, asOf uint64, now time.Time) outcome {
	var out outcome
	s.holdMassRemoval(updates, now)
	for _, u := range updates {
		if u.Revision <= s.revision {
			continue
		}
		s.apply(u, now, &out)
		s.log.add(u)
	}
	s.revision = max(s.revision, asOf)
	return out
}

// holdMassRemoval starts to hold removals when one answer takes away a large share of the targets without a word of
// theirs.
func (s *state) holdMassRemoval(updates []Update, now time.Time) {
	n := 0
	for _, u := range updates {
		if e, known := s.targets[u.Removed]; known && !e.target.Draining && e.lapses.IsZero() {
			n++
		}
	}
	if n >= massRemovalLeast && float64(n) > massRemoval*float64(len(s.targets)) {
		s.settled = now.Add(lapseHold)
	}
}

func (s *state) apply(u Update, now time.Time, out *outcome) {
	switch {
	case u.Refused != "":
		out.refused = append(out.refused, u)
		if e, known := s.targets[u.RefusedTarget]; known && u.Revision > e.revision {
			s.remove(u.RefusedTarget, now, out)
		}
	case u.Configuration != nil:
		s.applyConfiguration(u.Configuration, u.Revision, out)
	case u.Target != nil:
		s.applyTarget(entry{target: *u.Target, revision: u.Revision}, out)
	case u.Removed != "":
		if e, known := s.targets[u.Removed]; known && u.Revision > e.revision {
			s.remove(u.Removed, now, out)
		}
	}
}

func (s *state) applyConfiguration(c *routing.Configuration, revision uint64, out *outcome) {
	if s.table != nil && c.Version <= s.table.Configuration.Version {
		if c.Version < s.table.Configuration.Version {
			out.stale = append(out.stale, c.Version)
		}
		return
	}
	s.table, s.configAt = routing.NewTable(c), revision
	out.changed, out.configuration = true, true
}

func (s *state) applyTarget(e entry, out *outcome) {
	have, known := s.targets[e.target.ID]
	if known && e.revision <= have.revision && have.lapses.IsZero() {
		return
	}
	if known && !have.target.supersededBy(e.target) {
		out.late = append(out.late, e.target.ID)
		have.revision, have.lapses = e.revision, time.Time{}
		s.targets[e.target.ID] = have
		return
	}
	s.targets[e.target.ID] = e
	if !known || have.target.changes(e.target) || !have.lapses.IsZero() {
		out.changed = true
		out.added = append(out.added, e.target.ID)
	}
}

// remove takes a target out, or holds it for a while around an outage of the store. A draining target is not held.
func (s *state) remove(id string, now time.Time, out *outcome) {
	e := s.targets[id]
	if now.Before(s.settled) && !e.target.Draining {
		if e.lapses.IsZero() {
			e.lapses = s.settled
			s.targets[id] = e
			out.held = append(out.held, id)
		}
		return
	}
	delete(s.targets, id)
	out.changed = true
	out.removed = append(out.removed, id)
}

// expire removes held targets whose entries did not come back.
func (s *state) expire(now time.Time) outcome {
	var out outcome
	for id, e := range s.targets {
		if !e.lapses.IsZero() && !now.Before(e.lapses) {
			delete(s.targets, id)
			out.changed = true
			out.removed = append(out.removed, id)
		}
	}
	slices.Sort(out.removed)
	return out
}

// nextExpiry is the earliest end of a hold, zero when there is none.
func (s *state) nextExpiry() time.Time {
	var next time.Time
	for _, e := range s.targets {
		if !e.lapses.IsZero() && (next.IsZero() || e.lapses.Before(next)) {
			next = e.lapses
		}
	}
	return next
}

// list replaces the state by a listing: targets that it does not name are gone.
func (s *state) list(l Listing, now time.Time) outcome {
	var out outcome
	if l.AsOf < s.revision {
		// A listing that is older than what is known, for example from a peer, may lack newer entries.
		return s.merge(l.Updates, l.AsOf, now)
	}
	named := make(map[string]bool, len(l.Updates))
	for _, u := range l.Updates {
		if u.Target != nil {
			named[u.Target.ID] = true
		}
	}
	missing := s.unnamed(named, l.AsOf)
	s.holdMassRemoval(missing, now)
	for _, u := range l.Updates {
		s.apply(u, now, &out)
	}
	for _, u := range missing {
		if _, known := s.targets[u.Removed]; known {
			s.remove(u.Removed, now, &out)
		}
	}
	s.revision = max(s.revision, l.AsOf)
	s.log.restart(s.revision)
	return out
}

// unnamed lists the targets that a whole state as of a revision does not name, as removals.
func (s *state) unnamed(named map[string]bool, asOf uint64) []Update {
	var missing []Update
	for id, e := range s.targets {
		if !named[id] && e.lapses.IsZero() && e.revision <= asOf {
			missing = append(missing, Update{Revision: asOf, Removed: id})
		}
	}
	return missing
}

// snapshot is the state for a peer.
func (s *state) snapshot() Snapshot {
	out := Snapshot{Revision: s.revision, ConfigAt: s.configAt}
	if s.table != nil {
		out.Configuration = s.table.Configuration
	}
	for _, e := range s.targets {
		t := SnapshotTarget{Target: e.target, Revision: e.revision}
		t.Missing = !e.lapses.IsZero()
		out.Targets = append(out.Targets, t)
	}
	return out
}

// adopt takes the state of a peer when it is newer. The configuration counts by its version, the targets by revision.
func (s *state) adopt(p Snapshot, now time.Time) outcome {
	var out outcome
	if p.Configuration != nil && p.Configuration.Validate() == nil {
		s.applyConfiguration(p.Configuration, p.ConfigAt, &out)
	}
	if p.Revision <= s.revision {
		return out
	}
	named := make(map[string]bool, len(p.Targets))
	for _, t := range p.Targets {
		if !t.Missing {
			named[t.ID] = true
			s.applyTarget(entry{target: t.Target, revision: t.Revision}, &out)
		}
	}
	missing := s.unnamed(named, p.Revision)
	s.holdMassRemoval(missing, now)
	for _, u := range missing {
		s.remove(u.Removed, now, &out)
	}
	s.revision = p.Revision
	s.log.restart(s.revision)
	return out
}

// delta is what a follower that knows all changes up to the revision lacks.
func (s *state) delta(revision uint64) Delta {
	d := Delta{Revision: s.revision}
	if updates, ok := s.log.since(revision); ok {
		d.Updates = updates
		return d
	}
	full := s.snapshot()
	d.Full = &full
	return d
}

// follow merges what another node told.
func (s *state) follow(d Delta, now time.Time) outcome {
	if d.Full != nil {
		return s.adopt(*d.Full, now)
	}
	return s.merge(d.Updates, d.Revision, now)
}

// view makes the immutable view of the state.
func (s *state) view() *View {
	v := &View{Table: s.table, Targets: map[string][]Target{}, Revision: s.revision}
	for _, e := range s.targets {
		v.Targets[e.target.Service] = append(v.Targets[e.target.Service], e.target)
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
