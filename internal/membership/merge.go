package membership

import (
	"encoding/binary"
	"slices"
)

// Apply merges a peer's message. Repeated, reordered and lost messages are harmless.
func (v *View) Apply(m Message) {
	if m.FromKey == v.Self().incarnationKey() {
		return
	}
	for _, r := range m.Records {
		v.mergeRecord(r)
	}
	for _, mark := range m.Marks {
		v.mergeMark(mark)
	}
	for _, e := range m.Quarantine {
		v.mergeEntry(e)
	}
	v.knownVersions = v.knownVersions.Max(m.Held).Max(m.Known)
	v.mergeSender(m)
	v.mergeHeartbeats(m.Heartbeats)
	v.updatePeerProgress(m)
}

// updatePeerProgress records which changes the sender and this node have merged from each other.
func (v *View) updatePeerProgress(m Message) {
	p := v.peers[m.From]
	if p == nil || p.incarnationKey != m.FromKey {
		if v.nodes[m.From] == nil {
			return
		}
		p = &peerState{incarnationKey: m.FromKey}
		v.peers[m.From] = p
	}
	switch m.ToKey {
	case v.Self().incarnationKey():
		p.mergedSeq = max(p.mergedSeq, m.Seq)
		p.ackedSeq = max(p.ackedSeq, m.AckedSeq)
	case 0:
		p.ackedSeq = 0 // the peer does not know this node
	}
	if m.Checksum == v.changes.checksum {
		p.mergedSeq, p.ackedSeq = max(p.mergedSeq, m.LatestSeq), v.changes.seq
	}
}

// mergeRecord merges one record, which may be about any node.
func (v *View) mergeRecord(r Record) {
	if !r.valid() || r.IsDown() && v.downAge(r) > downRetention {
		v.rejected++
		return
	}
	v.knownVersions = v.knownVersions.Max(r.Held)
	if r.ID == v.selfID {
		v.mergeSelf(r)
		return
	}
	n := v.nodes[r.ID]
	if n == nil {
		if len(v.nodes) >= maxNodes {
			v.rejected++
			return
		}
		v.insertNode(r, true)
		return
	}
	merged := joinRecords(n.record, r)
	if merged.supersedes(n.record) {
		v.removeNode(r.ID, n)
		v.insertNode(merged, true)
		return
	}
	old := n.record
	n.record.Rev, n.record.Held = merged.Rev, merged.Held
	if merged.Rev != old.Rev {
		v.applyRevision(n, merged)
	}
	if merged.Counter > old.Counter {
		v.recordHeartbeat(n, merged.Counter)
	}
	if merged.Down != old.Down {
		n.record.Down = merged.Down
		v.recordChange(n)
	}
}

// applyRevision stores a new revision of a known incarnation. Counter and Down are merged separately.
func (v *View) applyRevision(n *nodeState, merged Record) {
	if merged.Domain != n.record.Domain {
		delete(v.idsByDomain[n.record.Domain], merged.ID)
		v.indexByDomain(merged)
	}
	counter, down := n.record.Counter, n.record.Down
	n.record = merged
	n.record.Counter, n.record.Down = counter, down
	v.recordChange(n)
}

// mergeSelf merges a record that a peer holds for this node id.
func (v *View) mergeSelf(r Record) {
	self := v.nodes[v.selfID]
	if r.Incarnation != self.record.Incarnation {
		switch {
		case !r.supersedes(self.record):
		case v.now.Monotonic-v.startedAt <= clockRegressionWindow:
			self.record.Generation = r.Generation + 1
			self.record.Rev++
			v.recordChange(self)
		default:
			v.superseded = true
		}
		return
	}
	// A down declaration on this node is refuted by a higher heartbeat counter, which is sent as a change.
	if r.Generation == self.record.Generation && r.Down.Counter > self.record.Down.Counter {
		self.record.Down = r.Down
		self.record.Counter = max(self.record.Counter, r.Down.Counter+1)
		v.recordChange(self)
	}
}

// insertNode adds the record of an unknown incarnation.
func (v *View) insertNode(r Record, unconfirmed bool) {
	n := &nodeState{record: r, unconfirmed: unconfirmed, lastHeartbeat: v.now.Monotonic}
	if unconfirmed {
		n.lastHeartbeat -= SuspectAfter
	}
	v.nodes[r.ID] = n
	v.idByKey[r.incarnationKey()] = r.ID
	v.indexByDomain(r)
	v.recordChange(n)
}

// indexByDomain adds a node to the index of its failure domain.
func (v *View) indexByDomain(r Record) {
	if v.idsByDomain[r.Domain] == nil {
		v.idsByDomain[r.Domain] = map[string]bool{}
	}
	v.idsByDomain[r.Domain][r.ID] = true
}

// mergeSender counts a message as a heartbeat of its sender.
func (v *View) mergeSender(m Message) {
	n := v.nodes[v.idByKey[m.FromKey]]
	if n == nil || n.record.ID == v.selfID || n.record.ID != m.From {
		return
	}
	n.record.Held = n.record.Held.Max(m.Held)
	if m.Counter > n.record.Counter || n.unconfirmed && m.Counter == n.record.Counter && !n.record.IsDown() {
		v.recordHeartbeat(n, m.Counter)
	}
}

// mergeHeartbeats merges the packed heartbeats of other nodes that the sender relays.
func (v *View) mergeHeartbeats(packed []byte) {
	for len(packed) > incarnationKeyBytes {
		var key [8]byte
		copy(key[:], packed[:incarnationKeyBytes])
		counter, size := binary.Uvarint(packed[incarnationKeyBytes:])
		if size <= 0 {
			v.rejected++
			return
		}
		packed = packed[incarnationKeyBytes+size:]
		n := v.nodes[v.idByKey[binary.LittleEndian.Uint64(key[:])]]
		if n != nil && n.record.ID != v.selfID && counter > n.record.Counter {
			v.recordHeartbeat(n, counter)
		}
	}
}

// recordHeartbeat records a heartbeat of a known incarnation with the given counter.
func (v *View) recordHeartbeat(n *nodeState, counter uint64) {
	wasDown := n.record.IsDown()
	n.record.Counter = counter
	n.lastHeartbeat, n.unconfirmed = v.now.Monotonic, false
	if wasDown && !n.record.IsDown() {
		v.recordChange(n)
	}
	v.recordContact(n.record)
}

// recordContact notes that a failure domain was heard from. If another failure domain was silent before, its records count
// as changed: its nodes then learn which records are still held here and declare those down that no longer exist.
func (v *View) recordContact(r Record) {
	previous, ok := v.lastContact[r.Domain]
	if r.Domain != v.localDomain && ok && v.now.Monotonic-previous > DeadAfter {
		for id := range v.idsByDomain[r.Domain] {
			v.recordChange(v.nodes[id])
		}
	}
	v.lastContact[r.Domain] = v.now.Monotonic
	recent := slices.DeleteFunc(v.recentByDomain[r.Domain], func(id string) bool { return id == r.ID })
	recent = slices.Insert(recent, 0, r.ID)
	v.recentByDomain[r.Domain] = recent[:min(len(recent), heartbeatsPerRemoteDomain)]
}
