// Package published follows what the platform's store publishes: the configuration and the list of targets. It reads and
// watches the store, exchanges its state with peers, and never goes back to an older version.
package published

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/routing"
)

// Target is the registration that a target wrote about itself.
type Target struct {
	ID          string        `json:"id"`
	Service     string        `json:"service"`
	Address     string        `json:"address"`
	Domain      string        `json:"domain"` // failure domain
	Version     string        `json:"version,omitempty"`
	Slots       int           `json:"slots"`
	Draining    bool          `json:"draining,omitempty"`
	WarmupLeft  time.Duration `json:"cold_left,omitempty"` // how much longer it is slow after its start
	StartedAtMS int64         `json:"born,omitempty"`      // Unix time of its start in ms; tells two runs under one id apart
	Seq         uint64        `json:"seq,omitempty"`       // counts what this run wrote about itself
}

// differsFrom reports whether the other registration changes more than its sequence number, which only shows that the target
// is still there.
func (t Target) differsFrom(o Target) bool {
	t.Seq, o.Seq = 0, 0
	return t != o
}

// supersededBy reports whether the other registration is not older than this one. Writes of a target can reach the store
// late and out of order, also those of an earlier run.
func (t Target) supersededBy(o Target) bool {
	switch {
	case t.StartedAtMS == 0 || o.StartedAtMS == 0:
		return true
	case t.StartedAtMS != o.StartedAtMS:
		return o.StartedAtMS > t.StartedAtMS
	default:
		return o.Seq >= t.Seq
	}
}

// Update is one change that the store reports. Exactly one of Configuration, Target, Removed and Refused is set.
type Update struct {
	Revision      uint64                 `json:"revision"`
	Configuration *routing.Configuration `json:"configuration,omitempty"`
	Target        *Target                `json:"target,omitempty"`
	Removed       string                 `json:"removed,omitempty"` // id of a target whose entry is gone
	// Refused says why a value was not understood. RefusedTarget is the id of the target if the value was a target's entry.
	Refused       string `json:"refused,omitempty"`
	RefusedTarget string `json:"refused_target,omitempty"`
}

// Listing is the whole published state. Changes after AsOf may or may not be in it.
type Listing struct {
	Updates []Update
	AsOf    uint64
}

// View is an immutable view of the published state.
type View struct {
	Table    *routing.Table      // nil until a configuration is known
	Targets  map[string][]Target // by service, ordered by id
	Revision uint64              // all changes up to it are in the view
}

// Version returns the configuration version in force, 0 if there is none.
func (v *View) Version() uint64 {
	if v == nil || v.Table == nil {
		return 0
	}
	return v.Table.Configuration.Version
}

// Snapshot is the state that nodes send to each other.
type Snapshot struct {
	Revision       uint64                 `json:"revision"`
	Configuration  *routing.Configuration `json:"configuration,omitempty"`
	ConfigRevision uint64                 `json:"config_at,omitempty"` // revision of the configuration's value
	Targets        []SnapshotTarget       `json:"targets,omitempty"`
}

// SnapshotTarget is one target of a Snapshot.
type SnapshotTarget struct {
	Target
	Revision uint64 `json:"revision"`
	// Missing is set for a target whose entry is gone, but which the sender still uses for a while.
	Missing bool `json:"missing,omitempty"`
}

// Delta is the answer to a follower: the changes after the revision that it asked for, or the whole state when those are no
// longer available.
type Delta struct {
	Revision uint64    `json:"revision"`
	Updates  []Update  `json:"updates,omitempty"`
	Full     *Snapshot `json:"full,omitempty"`
	// AgeMS is the time since the store last confirmed the state.
	AgeMS int64 `json:"age_ms"`
	// Starting is set by a node that has not read the store yet.
	Starting bool `json:"starting,omitempty"`
}
