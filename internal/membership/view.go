package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Reading is one reading of the monotonic and the wall clock.
type Reading struct {
	Monotonic time.Duration
	Wall      time.Time
}

// Status is what the view concludes about a node.
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

// nodeState is what the view keeps beside a record. unproven is set until a heartbeat of the incarnation was seen:
// a record that was only passed on may belong to a node that has been dead for long.
type nodeState struct {
	record   Record
	advanced time.Duration
	unproven bool
}

// peerState is the progress of the exchange with one peer incarnation. seen is the highest change of the peer that
// was merged here, acked the highest change of this node that the peer merged, lastBeats when beats were last sent.
type peerState struct {
	key       uint64
	seen      uint64
	acked     uint64
	lastBeats time.Duration
}

// View is one node's knowledge. All methods use the time of the latest Observe. It is not safe for concurrent use.
//
// Nodes of the own failure domain are judged by their heartbeats. Nodes of other failure domains are judged by the
// verdicts of their own failure domain and by the contact with it, because relaying the heartbeats of all nodes of the
// planned size would exceed the byte budget.
type View struct {
	self       string
	domain     string
	nodes      map[string]*nodeState
	byKey      map[uint64]string
	domains    map[string]map[string]bool
	recent     map[string][]string
	contact    map[string]time.Duration
	peers      map[string]*peerState
	marks      map[markKey]LeavingMark
	entries    map[string]QuarantineEntry
	known      Versions
	log        changeLog
	now        Reading
	observed   bool
	started    time.Duration
	pruned     time.Duration
	superseded bool
	rejected   uint64
}

// NewView returns the view of a node that starts now. Generation, Rev and Counter of self are set from the clock.
func NewView(self Record, now Reading) *View {
	self.Generation, self.Rev, self.Counter = uint64(now.Wall.UnixMilli()), 1, 1
	v := &View{
		self: self.ID, domain: self.Domain, nodes: map[string]*nodeState{}, byKey: map[uint64]string{},
		domains: map[string]map[string]bool{}, recent: map[string][]string{}, contact: map[string]time.Duration{},
		peers: map[string]*peerState{}, marks: map[markKey]LeavingMark{}, entries: map[string]QuarantineEntry{},
		known: self.Held, started: now.Monotonic, pruned: now.Monotonic, log: newChangeLog(),
	}
	v.Observe(now)
	v.insert(self, false)
	return v
}

// Observe sets the current time and returns the gap since the previous observation if it shows that the process
// paused, else 0. The node heard nobody during its own pause, so the ages of all other nodes exclude it.
func (v *View) Observe(now Reading) time.Duration {
	previous := v.now
	v.now = now
	if !v.observed {
		v.observed = true
		return 0
	}
	monotonic := now.Monotonic - previous.Monotonic
	gap := max(monotonic, now.Wall.Sub(previous.Wall))
	if gap <= PauseThreshold {
		return 0
	}
	for _, n := range v.nodes {
		n.advanced += monotonic
	}
	for domain := range v.contact {
		v.contact[domain] += monotonic
	}
	return gap
}

// Tick counts one heartbeat of this node, gives verdicts on silent nodes of the own failure domain and removes what
// has expired.
func (v *View) Tick() {
	self := v.nodes[v.self]
	self.record.Counter++
	self.advanced = v.now.Monotonic
	for id := range v.domains[v.domain] {
		n := v.nodes[id]
		if id == v.self || n.record.IsDown() || v.now.Monotonic-n.advanced <= DeadAfter {
			continue
		}
		n.record.Down = Down{At: n.record.Counter, SinceMS: v.now.Wall.UnixMilli()}
		v.changed(n)
	}
	if v.now.Monotonic-v.pruned >= pruneEvery {
		v.pruned = v.now.Monotonic
		v.prune()
	}
}

// Self returns the own record.
func (v *View) Self() Record { return v.nodes[v.self].record }

// Superseded reports whether a later incarnation of this node id was seen. Such a node must drain and stop.
func (v *View) Superseded() bool { return v.superseded }

// Rejected is the number of items of peers that were not stored because they are malformed or exceed a bound.
func (v *View) Rejected() uint64 { return v.rejected }

// SetLife publishes the state of the own life. A stopped node declares itself down, so that peers need not wait.
func (v *View) SetLife(life statechart.NodeState) {
	self := v.nodes[v.self]
	if self.record.Life == life {
		return
	}
	self.record.Life = life
	self.record.Rev++
	if life == statechart.NodeStopped {
		self.record.Counter++
		self.record.Down = Down{At: self.record.Counter, SinceMS: v.now.Wall.UnixMilli()}
	}
	v.changed(self)
}

// SetHeld publishes the versions that this node holds and can pass on.
func (v *View) SetHeld(held Versions) {
	self := v.nodes[v.self]
	self.record.Held = self.record.Held.Max(held)
	v.known = v.known.Max(held)
}

// Known returns the highest versions that any node was heard to hold.
func (v *View) Known() Versions { return v.known }

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
	out := make([]Member, 0, len(v.domains[domain]))
	for id := range v.domains[domain] {
		n := v.nodes[id]
		out = append(out, Member{Record: n.record, Status: v.status(n)})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// OrdinalRivals returns the other live relays of the own failure domain with the ordinal of this node, ordered by id.
// Connection caps hold only when there are none: they count one node for each ordinal.
func (v *View) OrdinalRivals() []string {
	var rivals []string
	self := v.Self()
	for _, m := range v.Members(v.domain) {
		if m.ID != v.self && m.Status != Dead && m.Ordinal == self.Ordinal && m.HasRole(RoleRelay) && self.HasRole(RoleRelay) {
			rivals = append(rivals, m.ID)
		}
	}
	return rivals
}

// Domains returns the names of all known failure domains, sorted.
func (v *View) Domains() []string { return slices.Sorted(maps.Keys(v.domains)) }

// status judges one node.
func (v *View) status(n *nodeState) Status {
	if n.record.ID == v.self {
		return Alive
	}
	if n.record.IsDown() {
		return Dead
	}
	heard := n.advanced
	if n.record.Domain != v.domain {
		contact, ok := v.contact[n.record.Domain]
		if !ok {
			return Dead
		}
		heard = contact
	}
	switch age := v.now.Monotonic - heard; {
	case age > DeadAfter:
		return Dead
	case age > SuspectAfter || n.unproven && n.record.Domain == v.domain:
		return Suspect
	}
	return Alive
}

// changed gives a node's record a new place in the order of changes. Whether the node is down is part of the content
// that views compare: a view that heard a later heartbeat than the one a verdict names holds the same verdict and does
// not believe it.
func (v *View) changed(n *nodeState) {
	r := n.record
	v.log.append(item{node: r.ID}, fmt.Sprint("node ", r.ID, r.Incarnation, r.Generation, r.Rev, r.Down, r.IsDown()))
}

// prune removes expired marks and entries and nodes that have been dead for long.
func (v *View) prune() {
	wall := v.now.Wall.UnixMilli()
	maps.DeleteFunc(v.marks, func(_ markKey, m LeavingMark) bool { return m.ExpiresMS <= wall })
	maps.DeleteFunc(v.entries, func(_ string, e QuarantineEntry) bool { return e.ExpiresMS <= wall })
	for id, n := range v.nodes {
		if id != v.self && v.forgotten(n) {
			v.remove(id, n)
		}
	}
	v.log.compact(v.holds)
}

// holds reports whether the view still has the item.
func (v *View) holds(it item) bool {
	if it.node != "" {
		return v.nodes[it.node] != nil
	}
	if it.entry != "" {
		_, ok := v.entries[it.entry]
		return ok
	}
	_, ok := v.marks[it.mark]
	return ok
}

// forgotten reports whether a node has been dead for so long that its record is removed.
func (v *View) forgotten(n *nodeState) bool {
	if n.record.IsDown() {
		return v.downFor(n.record) > forgetAfter
	}
	return n.record.Domain != v.domain &&
		v.now.Monotonic-max(v.contact[n.record.Domain], n.advanced) > forgetDomainAfter
}

// downFor is the age of the verdict on a node.
func (v *View) downFor(r Record) time.Duration {
	return time.Duration(v.now.Wall.UnixMilli()-r.Down.SinceMS) * time.Millisecond
}

// remove deletes a node from all indexes.
func (v *View) remove(id string, n *nodeState) {
	delete(v.nodes, id)
	delete(v.byKey, n.record.key())
	delete(v.peers, id)
	domain := n.record.Domain
	delete(v.domains[domain], id)
	v.recent[domain] = slices.DeleteFunc(v.recent[domain], func(other string) bool { return other == id })
	if len(v.domains[domain]) == 0 {
		delete(v.domains, domain)
		delete(v.recent, domain)
		delete(v.contact, domain)
	}
}
