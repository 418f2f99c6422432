package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// ClockReading is one reading of the monotonic and the wall clock.
type ClockReading struct {
	Monotonic time.Duration
	Wall      time.Time
}

// Status is the liveness of a node as this view sees it.
type Status string

// Statuses of nodes.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
)

// Member is a node with its status.
type Member struct {
	Record
	Status Status
}

// nodeState is a record with the local state of its node. lastHeartbeat is the time at which its counter last advanced.
// unconfirmed is set until a heartbeat of the incarnation was seen: a record that was only passed on may belong to a node
// that died long ago.
type nodeState struct {
	record        Record
	lastHeartbeat time.Duration
	unconfirmed   bool
}

// peerState is the progress of the exchange with one peer incarnation. mergedSeq is the highest change of the peer that
// was merged here, ackedSeq the highest change of this node that the peer merged, heartbeatsSentAt the time at which
// relayed heartbeats were last sent.
type peerState struct {
	incarnationKey   uint64
	mergedSeq        uint64
	ackedSeq         uint64
	heartbeatsSentAt time.Duration
}

// View is what one node knows about nodes, leaving targets and quarantine entries. All methods use the time of the latest
// Observe. It is not safe for concurrent use.
//
// The status of a node of the local failure domain follows from its heartbeats. That of other nodes follows from the down
// declarations of their failure domain and from the last contact with it, because relaying the heartbeats of all nodes at
// the planned size would exceed the byte budget.
type View struct {
	selfID         string
	localDomain    string
	nodes          map[string]*nodeState
	idByKey        map[uint64]string // node id by incarnation key
	idsByDomain    map[string]map[string]bool
	recentByDomain map[string][]string      // ids of the nodes of a failure domain that were heard last, latest first
	lastContact    map[string]time.Duration // time of the last heartbeat from a failure domain
	peers          map[string]*peerState    // by node id
	marks          map[markKey]LeavingMark
	quarantine     map[string]QuarantineEntry
	knownVersions  Versions
	changes        changeLog
	now            ClockReading
	hasObserved    bool
	startedAt      time.Duration
	prunedAt       time.Duration
	superseded     bool
	rejected       uint64 // number of items of peers that were not stored
}

// NewView returns the view of a node that starts now. Generation, Rev and Counter of self are set from the clock.
func NewView(self Record, now ClockReading) *View {
	self.Generation, self.Rev, self.Counter = uint64(now.Wall.UnixMilli()), 1, 1
	v := &View{
		selfID: self.ID, localDomain: self.Domain, nodes: map[string]*nodeState{}, idByKey: map[uint64]string{},
		idsByDomain: map[string]map[string]bool{}, recentByDomain: map[string][]string{}, lastContact: map[string]time.Duration{},
		peers: map[string]*peerState{}, marks: map[markKey]LeavingMark{}, quarantine: map[string]QuarantineEntry{},
		knownVersions: self.Held, startedAt: now.Monotonic, prunedAt: now.Monotonic, changes: newChangeLog(),
	}
	v.Observe(now)
	v.insertNode(self, false)
	return v
}

// Observe sets the current time and returns the gap since the previous observation if it shows that the process
// paused, else 0. The node heard nobody during its own pause, so the ages of all other nodes exclude it.
func (v *View) Observe(now ClockReading) time.Duration {
	previous := v.now
	v.now = now
	if !v.hasObserved {
		v.hasObserved = true
		return 0
	}
	monotonic := now.Monotonic - previous.Monotonic
	gap := max(monotonic, now.Wall.Sub(previous.Wall))
	if gap <= PauseThreshold {
		return 0
	}
	for _, n := range v.nodes {
		n.lastHeartbeat += monotonic
	}
	for domain := range v.lastContact {
		v.lastContact[domain] += monotonic
	}
	return gap
}

// Tick counts one heartbeat of this node, declares silent nodes of the local failure domain down and removes expired
// items.
func (v *View) Tick() {
	self := v.nodes[v.selfID]
	self.record.Counter++
	self.lastHeartbeat = v.now.Monotonic
	for id := range v.idsByDomain[v.localDomain] {
		n := v.nodes[id]
		if id == v.selfID || n.record.IsDown() || v.now.Monotonic-n.lastHeartbeat <= DeadAfter {
			continue
		}
		n.record.Down = Down{Counter: n.record.Counter, SinceMS: v.now.Wall.UnixMilli()}
		v.recordChange(n)
	}
	if v.now.Monotonic-v.prunedAt >= pruneInterval {
		v.prunedAt = v.now.Monotonic
		v.prune()
	}
}

// Self returns the record of this node.
func (v *View) Self() Record { return v.nodes[v.selfID].record }

// Superseded reports whether a later incarnation of this node id was seen. Such a node must drain and stop.
func (v *View) Superseded() bool { return v.superseded }

// Rejected returns the number of items of peers that were not stored because they are malformed or exceed a limit.
func (v *View) Rejected() uint64 { return v.rejected }

// SetState publishes the lifecycle state of this node. A stopped node declares itself down, so that peers need not wait for
// its silence.
func (v *View) SetState(state statechart.NodeState) {
	self := v.nodes[v.selfID]
	if self.record.State == state {
		return
	}
	self.record.State = state
	self.record.Rev++
	if state == statechart.NodeStopped {
		self.record.Counter++
		self.record.Down = Down{Counter: self.record.Counter, SinceMS: v.now.Wall.UnixMilli()}
	}
	v.recordChange(self)
}

// SetHeld publishes the versions that this node holds and can pass on.
func (v *View) SetHeld(held Versions) {
	self := v.nodes[v.selfID]
	self.record.Held = self.record.Held.Max(held)
	v.knownVersions = v.knownVersions.Max(held)
}

// Known returns the highest versions that any node has reported to hold.
func (v *View) Known() Versions { return v.knownVersions }

// Member returns one node.
func (v *View) Member(id string) (Member, bool) {
	n, ok := v.nodes[id]
	if !ok {
		return Member{}, false
	}
	return Member{Record: n.record, Status: v.status(n)}, true
}

// Members returns the nodes of a failure domain, this node included, ordered by id.
func (v *View) Members(domain string) []Member {
	out := make([]Member, 0, len(v.idsByDomain[domain]))
	for id := range v.idsByDomain[domain] {
		n := v.nodes[id]
		out = append(out, Member{Record: n.record, Status: v.status(n)})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// OrdinalConflicts returns the other live relays of the local failure domain with the ordinal of this node, ordered by id.
// Connection limits hold only when there are none: they count one node for each ordinal.
func (v *View) OrdinalConflicts() []string {
	var ids []string
	self := v.Self()
	for _, m := range v.Members(v.localDomain) {
		if m.ID != v.selfID && m.Status != Dead && m.Ordinal == self.Ordinal && m.HasRole(RoleRelay) && self.HasRole(RoleRelay) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Domains returns the names of all known failure domains, sorted.
func (v *View) Domains() []string { return slices.Sorted(maps.Keys(v.idsByDomain)) }

// status returns the status of one node.
func (v *View) status(n *nodeState) Status {
	if n.record.ID == v.selfID {
		return Alive
	}
	if n.record.IsDown() {
		return Dead
	}
	lastHeard := n.lastHeartbeat
	if n.record.Domain != v.localDomain {
		contact, ok := v.lastContact[n.record.Domain]
		if !ok {
			return Dead
		}
		lastHeard = contact
	}
	switch age := v.now.Monotonic - lastHeard; {
	case age > DeadAfter:
		return Dead
	case age > SuspectAfter || n.unconfirmed && n.record.Domain == v.localDomain:
		return Suspect
	}
	return Alive
}

// recordChange appends a node's record to the change log. Whether the node is down is part of the content that views
// compare: a view that heard a later heartbeat than the one a down declaration names holds the same declaration, but
// counts it as refuted.
func (v *View) recordChange(n *nodeState) {
	r := n.record
	v.changes.append(itemID{nodeID: r.ID}, fmt.Sprint("node ", r.ID, r.Incarnation, r.Generation, r.Rev, r.Down, r.IsDown()))
}

// prune removes expired marks and quarantine entries, and nodes that have been dead or out of contact for too long.
func (v *View) prune() {
	wall := v.now.Wall.UnixMilli()
	maps.DeleteFunc(v.marks, func(_ markKey, m LeavingMark) bool { return m.ExpiresMS <= wall })
	maps.DeleteFunc(v.quarantine, func(_ string, e QuarantineEntry) bool { return e.ExpiresMS <= wall })
	for id, n := range v.nodes {
		if id != v.selfID && v.isExpired(n) {
			v.removeNode(id, n)
		}
	}
	v.changes.compact(v.hasItem)
}

// hasItem reports whether the view still holds the item.
func (v *View) hasItem(id itemID) bool {
	if id.nodeID != "" {
		return v.nodes[id.nodeID] != nil
	}
	if id.quarantineKey != "" {
		_, ok := v.quarantine[id.quarantineKey]
		return ok
	}
	_, ok := v.marks[id.markKey]
	return ok
}

// isExpired reports whether a node has been dead, or its failure domain silent, for so long that its record is removed.
func (v *View) isExpired(n *nodeState) bool {
	if n.record.IsDown() {
		return v.downAge(n.record) > downRetention
	}
	return n.record.Domain != v.localDomain &&
		v.now.Monotonic-max(v.lastContact[n.record.Domain], n.lastHeartbeat) > silentDomainRetention
}

// downAge returns the age of the down declaration on a node.
func (v *View) downAge(r Record) time.Duration {
	return time.Duration(v.now.Wall.UnixMilli()-r.Down.SinceMS) * time.Millisecond
}

// removeNode deletes a node from all indexes.
func (v *View) removeNode(id string, n *nodeState) {
	delete(v.nodes, id)
	delete(v.idByKey, n.record.incarnationKey())
	delete(v.peers, id)
	domain := n.record.Domain
	delete(v.idsByDomain[domain], id)
	v.recentByDomain[domain] = slices.DeleteFunc(v.recentByDomain[domain], func(other string) bool { return other == id })
	if len(v.idsByDomain[domain]) == 0 {
		delete(v.idsByDomain, domain)
		delete(v.recentByDomain, domain)
		delete(v.lastContact, domain)
	}
}
