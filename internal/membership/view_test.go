package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// at returns a reading at which both clocks have advanced by d.
func at(d time.Duration) Reading { return Reading{Monotonic: d, Wall: time.Unix(1e6, 0).Add(d)} }

// node returns a record for tests.
func node(id, incarnation string) Record {
	return Record{ID: id, Incarnation: incarnation, Domain: "a", Address: id}
}

// exchange sends a message from a to b and its reply back, both cut to the bounds.
func exchange(a, b *View, bounds Bounds) (sent Message) {
	sent = a.Digest(b.self, bounds)
	b.Apply(sent)
	a.Apply(b.Digest(a.self, bounds))
	return sent
}

var wide = Bounds{ChangeBytes: 1 << 20, BeatBytes: 1 << 10}

// Guards against wrong thresholds, a verdict that a later heartbeat does not refute, and a node that wakes from a
// pause and takes all others for dead.
func TestStatusFollowsHeartbeats(t *testing.T) {
	g := NewWithT(t)
	a, b := NewView(node("a", "1"), at(0)), NewView(node("b", "1"), at(0))
	exchange(a, b, wide)
	exchange(a, b, wide)
	status := func() Status { m, _ := a.Member("b"); return m.Status }
	step := func(to time.Duration) Status {
		for now := a.now.Monotonic; now < to; {
			now = min(now+DefaultHeartbeat, to)
			g.Expect(a.Observe(at(now))).To(BeZero())
			a.Tick()
		}
		return status()
	}
	g.Expect(step(SuspectAfter)).To(Equal(Alive))
	g.Expect(step(SuspectAfter + time.Millisecond)).To(Equal(Suspect))
	g.Expect(a.Observe(at(time.Minute))).To(BeNumerically(">", 50*time.Second))
	a.Tick()
	g.Expect(status()).To(Equal(Suspect), "its own pause must not age the others")
	g.Expect(step(time.Minute + 4*time.Second)).To(Equal(Dead))
	b.Tick()
	exchange(b, a, wide)
	g.Expect(status()).To(Equal(Alive))
	suspended := a.now
	suspended.Wall = suspended.Wall.Add(time.Minute) // the monotonic clock stands still while the machine is suspended
	g.Expect(a.Observe(suspended)).To(Equal(time.Minute))
	g.Expect(status()).To(Equal(Alive))
}

// Guards against a dead node that another failure domain counts as alive for good: that one heard a later heartbeat than
// the verdict names, and views with equal verdicts did not compare how far they had heard the node.
func TestVerdictOnEarlierHeartbeatIsRenewed(t *testing.T) {
	g := NewWithT(t)
	far := node("far", "1")
	far.Domain = "b"
	a, b, dying := NewView(far, at(0)), NewView(node("near", "1"), at(0)), NewView(node("dying", "1"), at(0))
	views := []*View{a, b}
	for range 3 {
		exchange(dying, a, wide)
		exchange(dying, b, wide)
		exchange(a, b, wide)
	}
	dying.Tick()
	exchange(dying, a, wide)   // the last heartbeat reaches the other failure domain only
	_ = a.Digest("near", wide) // and the message that passes it on is lost
	for now := time.Duration(0); now < 4*DeadAfter; now += DefaultHeartbeat {
		for _, v := range views {
			v.Observe(at(now))
			v.Tick()
		}
		exchange(a, b, wide)
	}
	for _, v := range views {
		m, _ := v.Member("dying")
		g.Expect(m.Status).To(Equal(Dead), "as %s sees it", v.self)
	}
}

// Guards against an old incarnation that returns after a restart, also when the wall clock went back in between.
func TestRestartReplacesIncarnation(t *testing.T) {
	g := NewWithT(t)
	peer := NewView(node("p", "1"), at(time.Hour))
	old := NewView(node("a", "old"), at(time.Hour))
	exchange(old, peer, wide)
	next := NewView(node("a", "new"), at(time.Minute))
	exchange(next, peer, wide)
	exchange(next, peer, wide)
	m, _ := peer.Member("a")
	g.Expect(m.Incarnation).To(Equal("new"))
	old.Observe(at(time.Hour + raiseWindow + time.Second))
	exchange(old, peer, wide)
	exchange(old, peer, wide)
	m, _ = peer.Member("a")
	g.Expect(m.Incarnation).To(Equal("new"))
	g.Expect(old.Superseded()).To(BeTrue())
	g.Expect(next.Superseded()).To(BeFalse())
}

// Guards against digests that exceed the bound, lose a change at the cut, or repeat what was acknowledged.
func TestDigestsAreBoundedDeltas(t *testing.T) {
	g := NewWithT(t)
	a, b := NewView(node("a", "1"), at(0)), NewView(node("b", "1"), at(0))
	exchange(a, b, wide)
	for i := range 200 {
		a.Apply(Message{From: "x", Records: []Record{node(fmt.Sprint("n", i), "1")}})
		a.MarkLeaving(fmt.Sprint("t", i), "1", LeavingByList)
		a.SetQuarantine(QuarantineEntry{Key: fmt.Sprint("q", i), ExpiresMS: 2e9, Payload: json.RawMessage(`"x"`)})
	}
	tight := Bounds{ChangeBytes: 4 << 10, BeatBytes: 160}
	for rounds := 0; len(b.Members("a")) < 202 || len(b.Marks()) < 200 || len(b.Quarantine()) < 200; rounds++ {
		g.Expect(rounds).To(BeNumerically("<", 60), "the digests make no progress")
		encoded, err := json.Marshal(exchange(a, b, tight))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(encoded)).To(BeNumerically("<", 4<<10+1<<10))
	}
	exchange(a, b, tight)
	last := exchange(a, b, tight)
	g.Expect(len(last.Records) + len(last.Marks) + len(last.Quarantine)).To(BeZero())
	restarted := NewView(node("b", "2"), at(time.Second))
	exchange(restarted, a, wide)
	g.Expect(restarted.Marks()).To(HaveLen(200), "a new incarnation of a peer needs everything again")
}

// Guards against a leaving mark that ends early or never, and against quarantine entries that outlive their expiry.
func TestMarksAreStickyAndEntriesExpire(t *testing.T) {
	g := NewWithT(t)
	v := NewView(node("a", "1"), at(0))
	g.Expect(v.MarkLeaving("t", "1", LeavingBySignal)).To(BeTrue())
	g.Expect(v.MarkLeaving("t", "1", LeavingByList)).To(BeFalse())
	v.SetQuarantine(QuarantineEntry{Key: "q", ExpiresMS: at(time.Minute).Wall.UnixMilli()})
	v.Observe(at(leavingMarkLife - time.Minute))
	v.Tick()
	g.Expect(v.IsLeaving("t", "1")).To(BeTrue())
	g.Expect(v.IsLeaving("t", "2")).To(BeFalse())
	g.Expect(v.Quarantine()).To(BeEmpty())
	g.Expect(v.MarkLeaving("t", "1", LeavingByList)).To(BeFalse())
	v.Observe(at(leavingMarkLife + time.Minute))
	v.Tick()
	g.Expect(v.IsLeaving("t", "1")).To(BeTrue(), "a repeated report renews the mark")
}

// Guards against two relays with one ordinal that nobody notices; together they would exceed a target's limit.
func TestOrdinalRivals(t *testing.T) {
	g := NewWithT(t)
	relay := func(id string, ordinal int) Record {
		r := node(id, "1")
		r.Ordinal, r.Roles = ordinal, []Role{RoleRelay}
		return r
	}
	v := NewView(relay("a", 1), at(0))
	v.Apply(Message{From: "x", Records: []Record{relay("b", 1), relay("c", 2), node("d", "1")}})
	g.Expect(v.OrdinalRivals()).To(Equal([]string{"b"}))
}
