package membership

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"
)

// Message is one direction of an exchange: a heartbeat of its sender and a digest of the changes that the recipient has
// not merged yet. FromKey and ToKey identify the incarnations of sender and recipient. The message holds all changes of
// the sender up to Seq that ToKey is not known to have merged. AckedSeq is the highest change of ToKey that the sender
// has merged.
//
// LatestSeq and Checksum describe the sender's whole state. Views with equal checksums skip the transfer: otherwise
// each pair of nodes would exchange its full state once although both had already received it from others.
type Message struct {
	From       string            `json:"from"`
	FromKey    uint64            `json:"key"`
	Counter    uint64            `json:"counter"`
	ToKey      uint64            `json:"to,omitempty"`
	Seq        uint64            `json:"seq,omitempty"`
	AckedSeq   uint64            `json:"seen,omitempty"`
	LatestSeq  uint64            `json:"latest"`
	Checksum   uint64            `json:"sum"`
	Held       Versions          `json:"held,omitzero"`
	Known      Versions          `json:"known,omitzero"`
	Heartbeats []byte            `json:"beats,omitempty"`
	Records    []Record          `json:"records,omitempty"`
	Marks      []LeavingMark     `json:"marks,omitempty"`
	Quarantine []QuarantineEntry `json:"quarantine,omitempty"`
}

// incarnationKeyBytes is the size of an incarnation key in packed heartbeats.
const incarnationKeyBytes = 5

// MessageLimits bounds the size of a message: its changes and its relayed heartbeats.
type MessageLimits struct {
	MaxChangeBytes    int
	MaxHeartbeatBytes int
}

// Digest returns the message for a peer. A peer whose incarnation is not known yet gets only the record of this node;
// its reply tells which changes of this node it has merged.
func (v *View) Digest(peer string, limits MessageLimits) Message {
	self := v.Self()
	m := Message{From: self.ID, FromKey: self.incarnationKey(), Counter: self.Counter, Held: self.Held}
	m.LatestSeq, m.Checksum = v.changes.seq, v.changes.checksum
	if v.knownVersions != self.Held {
		m.Known = v.knownVersions
	}
	p := v.peers[peer]
	if p == nil {
		m.Records = []Record{self}
		return m
	}
	m.ToKey, m.AckedSeq = p.incarnationKey, p.mergedSeq
	v.addChanges(&m, p.ackedSeq, limits.MaxChangeBytes)
	m.Heartbeats = v.packHeartbeats(peer, p.heartbeatsSentAt, limits.MaxHeartbeatBytes)
	p.heartbeatsSentAt = v.now.Monotonic
	return m
}

// addChanges adds the changes after acked, oldest first, up to limit bytes. Leaving marks and quarantine entries go
// first and may take half of the space; those beyond Seq are sent again later, which is harmless.
func (v *View) addChanges(m *Message, acked uint64, limit int) {
	pending := v.changes.since(acked)
	m.Seq = v.changes.seq
	space := limit / 2
	for _, c := range pending {
		if c.item.nodeID == "" && !v.addMarkOrEntry(m, c, &space) {
			break
		}
	}
	space += limit - limit/2
	for _, c := range pending {
		if n := v.nodes[c.item.nodeID]; n != nil && !v.addRecord(m, n.record, &space) {
			m.Seq = min(m.Seq, c.seq-1)
			break
		}
	}
}

// addMarkOrEntry adds a leaving mark or quarantine entry. Without space for it, Seq ends before this change and the
// result is false.
func (v *View) addMarkOrEntry(m *Message, c change, space *int) bool {
	if mark, ok := v.marks[c.item.markKey]; ok {
		if !reserve(space, mark, len(m.Marks) == 0) {
			m.Seq = min(m.Seq, c.seq-1)
			return false
		}
		m.Marks = append(m.Marks, mark)
	}
	if e, ok := v.quarantine[c.item.quarantineKey]; ok {
		if !reserve(space, e, len(m.Quarantine) == 0) {
			m.Seq = min(m.Seq, c.seq-1)
			return false
		}
		m.Quarantine = append(m.Quarantine, e)
	}
	return true
}

// addRecord adds a node's record and returns false when it does not fit. Down declarations that are about to expire are
// not passed on.
func (v *View) addRecord(m *Message, r Record, space *int) bool {
	if r.IsDown() && v.downAge(r) > maxDownRelayAge {
		return true
	}
	if !reserve(space, r, len(m.Records) == 0) {
		return false
	}
	m.Records = append(m.Records, r)
	return true
}

// reserve subtracts the encoded size of an item from space and reports whether the item fits. The first item of a kind
// always fits, so that every exchange makes progress.
func reserve(space *int, value any, first bool) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return true // cannot occur: the types hold no value that JSON cannot express, and payloads are checked
	}
	*space -= len(encoded) + 1
	return first || *space >= 0
}

// packHeartbeats encodes the heartbeats that advanced since the previous message to the peer: the latest ones of the
// local failure domain, and a few of each other failure domain to show that it is reachable.
func (v *View) packHeartbeats(peer string, since time.Duration, limit int) []byte {
	maxCount := limit / packedHeartbeatBytes
	var local, remote []*nodeState
	for id := range v.idsByDomain[v.localDomain] {
		if n := v.nodes[id]; id != v.selfID && id != peer && !n.unconfirmed && n.lastHeartbeat > since {
			local = append(local, n)
		}
	}
	for domain, ids := range v.recentByDomain {
		for _, id := range ids {
			if n := v.nodes[id]; domain != v.localDomain && id != peer && n.lastHeartbeat > since {
				remote = append(remote, n)
			}
		}
	}
	sortByLastHeartbeat(remote)
	sortByLastHeartbeat(local)
	remote = remote[:min(len(remote), maxCount/2)]
	local = local[:min(len(local), maxCount-len(remote))]
	return encodeHeartbeats(append(local, remote...))
}

// sortByLastHeartbeat orders nodes by their latest heartbeat, most recent first.
func sortByLastHeartbeat(nodes []*nodeState) {
	slices.SortFunc(nodes, func(a, b *nodeState) int {
		return cmp.Or(cmp.Compare(b.lastHeartbeat, a.lastHeartbeat), cmp.Compare(a.record.ID, b.record.ID))
	})
}

// encodeHeartbeats encodes heartbeats as pairs of incarnation key (little-endian) and counter (uvarint).
func encodeHeartbeats(nodes []*nodeState) []byte {
	var out []byte
	for _, n := range nodes {
		var key [8]byte
		binary.LittleEndian.PutUint64(key[:], n.record.incarnationKey())
		out = append(out, key[:incarnationKeyBytes]...)
		out = binary.AppendUvarint(out, n.record.Counter)
	}
	return out
}
