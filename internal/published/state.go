package published

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/routing"
)

const (
	// removalHold is the time for which a target is still used after its entry disappeared around an outage of the store: the
	// platform restores the entries of live targets within about 2 s after the store recovers.
	removalHold = 2 * time.Second
	// massRemovalShare is the share of the targets above which their removal in one answer is attributed to an outage of the
	// store in which entries expired. A single node cannot tell an outage of the store from one of its own connection, and in
	// the second case a missing target is gone.
	massRemovalShare = 0.25
	// minMassRemovals is the number of removals in one answer below which they take effect at once.
	minMassRemovals = 4
)

// entry is a target with the revision of its entry. heldUntil is set while the entry is missing but the target is still used.
type entry struct {
	target    Target
	revision  uint64
	heldUntil time.Time
}

// state holds the data and the merge rules of a Follower. It merges updates in any order and has no clock and no lock.
type state struct {
	table             *routing.Table
	configRevision    uint64
	targets           map[string]entry
	revision          uint64    // all changes up to it are merged
	holdRemovalsUntil time.Time // until then, removals are held
	log               changeLog
}

// outcome lists what a merge changed, for the log.
type outcome struct {
	changed       bool
	configuration bool
	refused       []Update
	staleVersions []uint64 // configuration versions older than the one in force
	updated       []string
	removed       []string
	held          []string
	outdated      []string // targets of which an older entry arrived after a newer one
}

func newState() *state { return &state{targets: map[string]entry{}} }

// merge applies the changes of a watch. asOf is the revision up to which the answer is complete.
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

// holdMassRemoval starts to hold removals when one answer removes a large share of the targets without their having
// announced that they drain.
func (s *state) holdMassRemoval(updates []Update, now time.Time) {
	removals := 0
	for _, u := range updates {
		if e, known := s.targets[u.Removed]; known && !e.target.Draining && e.heldUntil.IsZero() {
			removals++
		}
	}
	if removals >= minMassRemovals && float64(removals) > massRemovalShare*float64(len(s.targets)) {
		s.holdRemovalsUntil = now.Add(removalHold)
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
			out.staleVersions = append(out.staleVersions, c.Version)
		}
		return
	}
	s.table, s.configRevision = routing.NewTable(c), revision
	out.changed, out.configuration = true, true
}

func (s *state) applyTarget(e entry, out *outcome) {
	current, known := s.targets[e.target.ID]
	if known && e.revision <= current.revision && current.heldUntil.IsZero() {
		return
	}
	if known && !current.target.supersededBy(e.target) {
		out.outdated = append(out.outdated, e.target.ID)
		current.revision, current.heldUntil = e.revision, time.Time{}
		s.targets[e.target.ID] = current
		return
	}
	s.targets[e.target.ID] = e
	if !known || current.target.differsFrom(e.target) || !current.heldUntil.IsZero() {
		out.changed = true
		out.updated = append(out.updated, e.target.ID)
	}
}

// remove removes a target, or holds it for a while around an outage of the store. A draining target is not held.
func (s *state) remove(id string, now time.Time, out *outcome) {
	e := s.targets[id]
	if now.Before(s.holdRemovalsUntil) && !e.target.Draining {
		if e.heldUntil.IsZero() {
			e.heldUntil = s.holdRemovalsUntil
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
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			delete(s.targets, id)
			out.changed = true
			out.removed = append(out.removed, id)
		}
	}
	slices.Sort(out.removed)
	return out
}

// nextExpiry returns the earliest end of a hold, zero when there is none.
func (s *state) nextExpiry() time.Time {
	var next time.Time
	for _, e := range s.targets {
		if !e.heldUntil.IsZero() && (next.IsZero() || e.heldUntil.Before(next)) {
			next = e.heldUntil
		}
	}
	return next
}

// applyListing replaces the state by a listing: targets that it does not contain are removed.
func (s *state) applyListing(l Listing, now time.Time) outcome {
	var out outcome
	if l.AsOf < s.revision {
		// A listing that is older than what is known, for example from a peer, may lack newer entries.
		return s.merge(l.Updates, l.AsOf, now)
	}
	listed := make(map[string]bool, len(l.Updates))
	for _, u := range l.Updates {
		if u.Target != nil {
			listed[u.Target.ID] = true
		}
	}
	missing := s.unlistedTargets(listed, l.AsOf)
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
	s.log.reset(s.revision)
	return out
}

// unlistedTargets returns removals for the targets that a whole state as of a revision does not contain.
func (s *state) unlistedTargets(listed map[string]bool, asOf uint64) []Update {
	var missing []Update
	for id, e := range s.targets {
		if !listed[id] && e.heldUntil.IsZero() && e.revision <= asOf {
			missing = append(missing, Update{Revision: asOf, Removed: id})
		}
	}
	return missing
}

// snapshot returns the state for a peer.
func (s *state) snapshot() Snapshot {
	out := Snapshot{Revision: s.revision, ConfigRevision: s.configRevision}
	if s.table != nil {
		out.Configuration = s.table.Configuration
	}
	for _, e := range s.targets {
		t := SnapshotTarget{Target: e.target, Revision: e.revision}
		t.Missing = !e.heldUntil.IsZero()
		out.Targets = append(out.Targets, t)
	}
	return out
}

// adoptSnapshot merges the state of a peer when it is newer. The configuration is compared by version, the targets by
// revision.
func (s *state) adoptSnapshot(snapshot Snapshot, now time.Time) outcome {
	var out outcome
	if snapshot.Configuration != nil && snapshot.Configuration.Validate() == nil {
		s.applyConfiguration(snapshot.Configuration, snapshot.ConfigRevision, &out)
	}
	if snapshot.Revision <= s.revision {
		return out
	}
	listed := make(map[string]bool, len(snapshot.Targets))
	for _, t := range snapshot.Targets {
		if !t.Missing {
			listed[t.ID] = true
			s.applyTarget(entry{target: t.Target, revision: t.Revision}, &out)
		}
	}
	missing := s.unlistedTargets(listed, snapshot.Revision)
	s.holdMassRemoval(missing, now)
	for _, u := range missing {
		s.remove(u.Removed, now, &out)
	}
	s.revision = snapshot.Revision
	s.log.reset(s.revision)
	return out
}

// delta returns what a follower that knows all changes up to the revision lacks.
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

// mergeDelta merges the answer of a reader.
func (s *state) mergeDelta(d Delta, now time.Time) outcome {
	if d.Full != nil {
		return s.adoptSnapshot(*d.Full, now)
	}
	return s.merge(d.Updates, d.Revision, now)
}

// view returns an immutable view of the state.
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
