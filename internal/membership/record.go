// Package membership keeps a node's view of the other nodes, of leaving targets and of quarantined requests.
// View is the state and its merge rules, without clock, socket or goroutine. Loop exchanges heartbeats and digests for it.
package membership

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Role of a node.
type Role string

// Roles of nodes. A node has either or both.
const (
	RoleEntry Role = "entry"
	RoleRelay Role = "relay"
)

// Versions are a configuration version and a catalogue version.
type Versions struct {
	Config    config.Version `json:"config"`
	Catalogue config.Version `json:"catalogue"`
}

// Max returns the higher version of each kind.
func (v Versions) Max(o Versions) Versions {
	if v.Config.Less(o.Config) {
		v.Config = o.Config
	}
	if v.Catalogue.Less(o.Catalogue) {
		v.Catalogue = o.Catalogue
	}
	return v
}

// Down declares a node dead: Counter is the heartbeat counter at which the node was last heard, SinceMS the wall time of
// the declaration. Nodes of its own failure domain declare it, or the node itself when it stops. A higher counter refutes
// it.
type Down struct {
	Counter uint64 `json:"at"`
	SinceMS int64  `json:"since_ms"`
}

// Record describes one node. Only the node itself writes its record, except Down.
//
// Incarnations are random and have no order, so Generation orders them: it is the wall time of the start in
// milliseconds, raised above that of the previous incarnation if the clock went back. Rev counts changes of the other
// fields. Counter counts heartbeats and changes independently of Rev.
type Record struct {
	ID          string               `json:"id"`
	Incarnation string               `json:"incarnation"`
	Generation  uint64               `json:"generation"`
	Rev         uint64               `json:"rev"`
	Ordinal     int                  `json:"ordinal"`
	Region      string               `json:"region"`
	Domain      string               `json:"domain"`
	Roles       []Role               `json:"roles"`
	Address     string               `json:"address"`
	State       statechart.NodeState `json:"life"`
	Counter     uint64               `json:"counter"`
	Held        Versions             `json:"held"`
	Down        Down                 `json:"down,omitzero"`
}

// incarnationKeyMask truncates keys to 40 bits: with 1,800 nodes two share a key with a probability below 2 in 1,000,000.
const incarnationKeyMask = 1<<40 - 1

// incarnationKey identifies an incarnation in heartbeats, where full identifiers would exceed the byte budget.
func (r Record) incarnationKey() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.ID)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.Incarnation)
	return d.Sum64() & incarnationKeyMask
}

// IsDown reports whether the node was declared down and no later heartbeat has refuted it.
func (r Record) IsDown() bool { return r.Down.SinceMS != 0 && r.Down.Counter >= r.Counter }

// HasRole reports whether the node has the role.
func (r Record) HasRole(role Role) bool {
	for _, have := range r.Roles {
		if have == role {
			return true
		}
	}
	return false
}

// valid reports whether the record can be stored; it bounds what a faulty peer can make this node hold.
func (r Record) valid() bool {
	return r.ID != "" && r.Incarnation != "" && r.Domain != "" && len(r.Roles) <= maxRoles &&
		len(r.ID)+len(r.Incarnation)+len(r.Domain)+len(r.Region)+len(r.Address) <= maxTextBytes
}

// supersedes reports whether r belongs to a later incarnation or generation than o.
func (r Record) supersedes(o Record) bool {
	if r.Generation != o.Generation {
		return r.Generation > o.Generation
	}
	return r.Incarnation > o.Incarnation
}

// joinRecords merges two records of one node id. It is commutative, associative and idempotent.
func joinRecords(a, b Record) Record {
	switch {
	case a.supersedes(b):
		return a
	case b.supersedes(a):
		return b
	}
	out := a
	if b.Rev > a.Rev {
		out = b
	}
	out.Counter = max(a.Counter, b.Counter)
	out.Held = a.Held.Max(b.Held)
	out.Down = a.Down
	if b.Down.Counter > a.Down.Counter || b.Down.Counter == a.Down.Counter && b.Down.SinceMS > a.Down.SinceMS {
		out.Down = b.Down
	}
	return out
}

// LeavingSource identifies who reported that a target is leaving.
type LeavingSource string

// Sources of leaving marks.
const (
	LeavingByList   LeavingSource = "list"
	LeavingBySignal LeavingSource = "signal"
	LeavingByPeer   LeavingSource = "peer"
)

// LeavingMark says that one incarnation of a target is leaving. It is never withdrawn; it expires long after the
// incarnation must have ended.
type LeavingMark struct {
	Target      string        `json:"target"`
	Incarnation string        `json:"incarnation"`
	Source      LeavingSource `json:"source"`
	ExpiresMS   int64         `json:"expires_ms"`
}

// markKey identifies a leaving mark.
type markKey struct{ target, incarnation string }

func (m LeavingMark) key() markKey { return markKey{m.Target, m.Incarnation} }

// joinMarks merges two leaving marks of one incarnation: the later expiry wins.
func joinMarks(a, b LeavingMark) LeavingMark {
	if b.ExpiresMS > a.ExpiresMS || b.ExpiresMS == a.ExpiresMS && b.Source > a.Source {
		return b
	}
	return a
}

// QuarantineEntry is a quarantine record with an opaque payload. The package that owns it raises Revision with each change.
type QuarantineEntry struct {
	Key       string          `json:"key"`
	Revision  uint64          `json:"revision"`
	ExpiresMS int64           `json:"expires_ms"`
	Payload   json.RawMessage `json:"payload,omitempty"`
}

// joinEntries merges two quarantine entries of one key: the higher revision wins, then the later expiry.
func joinEntries(a, b QuarantineEntry) QuarantineEntry {
	switch {
	case a.Revision != b.Revision:
		if b.Revision > a.Revision {
			return b
		}
	case a.ExpiresMS != b.ExpiresMS:
		if b.ExpiresMS > a.ExpiresMS {
			return b
		}
	case string(b.Payload) > string(a.Payload):
		return b
	}
	return a
}
