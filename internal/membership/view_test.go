package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// clockAt returns a reading at which both clocks have advanced by d.
func clockAt(d time.Duration) ClockReading {
	return ClockReading{Monotonic: d, Wall: time.Unix(1e6, 0).Add(d)}
}

// testRecord returns a record for tests.
func testRecord(id, incarnation string) Record {
	return Record{ID: id, Incarnation: incarnation, Domain: "a", Address: id}
}

// exchange sends a message from a to b and its reply back, both within the limits.
func exchange(a, b *View, limits MessageLimits) (sent Message) {
	sent = a.Digest(b.selfID, limits)
	b.Apply(sent)
	a.Apply(b.Digest(a.selfID, limits))
	return sent
}

var largeLimits = MessageLimits{MaxChangeBytes: 1 << 20, MaxHeartbeatBytes: 1 << 10}

// Guards against wrong thresholds, a down declaration that a later heartbeat does not refute, and a node that declares all
// others dead after its own pause.
func TestStatusFollowsHeartbeats(t *testing.T) {
	g := NewWithT(t)
	a, b := NewView(testRecord("a", "1"), clockAt(0)), NewView(testRecord("b", "1"), clockAt(0))
	exchange(a, b, largeLimits)
	exchange(a, b, largeLimits)
	status := func() Status { m, _ := a.Member("b"); return m.Status }
	advanceTo := func(to time.Duration) Status {
		for now := a.now.Monotonic; now < to; {
			now = min(now+DefaultHeartbeat, to)
			g.Expect(a.Observe(clockAt(now))).To(BeZero())
			a.Tick()
		}
		return status()
	}
	g.Expect(advanceTo(SuspectAfter)).To(Equal(Alive))
	g.Expect(advanceTo(SuspectAfter + time.Millisecond)).To(Equal(Suspect))
	g.Expect(a.Observe(clockAt(time.Minute))).To(BeNumerically(">", 50*time.Second))
	a.Tick()
	g.Expect(status()).To(Equal(Suspect), "its own pause must not age the others")
	g.Expect(advanceTo(time.Minute + 4*time.Second)).To(Equal(Dead))
	b.Tick()
	exchange(b, a, largeLimits)
	g.Expect(status()).To(Equal(Alive))
	suspended := a.now
	suspended.Wall = suspended.Wall.Add(time.Minute) // the monotonic clock stops while the machine is suspended
	g.Expect(a.Observe(suspended)).To(Equal(time.Minute))
	g.Expect(status()).To(Equal(Alive))
}

// Guards against a dead node that another failure domain counts as alive forever: that domain heard a later heartbeat than
// the down declaration names, and views with equal declarations did not compare the counters they had heard.
func TestDownDeclarationAtEarlierHeartbeatIsRenewed(t *testing.T) {
	g := NewWithT(t)
	remote := testRecord("far", "1")
	remote.Domain = "b"
	a, b, dying := NewView(remote, clockAt(0)), NewView(testRecord("near", "1"), clockAt(0)), NewView(testRecord("dying", "1"), clockAt(0))
	views := []*View{a, b}
	for range 3 {
		exchange(dying, a, largeLimits)
		exchange(dying, b, largeLimits)
		exchange(a, b, largeLimits)
	}
	dying.Tick()
	exchange(dying, a, largeLimits)   // the last heartbeat reaches the other failure domain only
	_ = a.Digest("near", largeLimits) // and the message that passes it on is lost
	for now := time.Duration(0); now < 4*DeadAfter; now += DefaultHeartbeat {
		for _, v := range views {
			v.Observe(clockAt(now))
			v.Tick()
		}
		exchange(a, b, largeLimits)
	}
	for _, v := range views {
		m, _ := v.Member("dying")
		g.Expect(m.Status).To(Equal(Dead), "as %s sees it", v.selfID)
	}
}

// Guards against an old incarnation that returns after a restart, also when the wall clock went back in between.
func TestRestartReplacesIncarnation(t *testing.T) {
	g := NewWithT(t)
	peer := NewView(testRecord("p", "1"), clockAt(time.Hour))
	old := NewView(testRecord("a", "old"), clockAt(time.Hour))
	exchange(old, peer, largeLimits)
	next := NewView(testRecord("a", "new"), clockAt(time.Minute))
	exchange(next, peer, largeLimits)
	exchange(next, peer, largeLimits)
	m, _ := peer.Member("a")
	g.Expect(m.Incarnation).To(Equal("new"))
	old.Observe(clockAt(time.Hour + clockRegressionWindow + time.Second))
	exchange(old, peer, largeLimits)
	exchange(old, peer, largeLimits)
	m, _ = peer.Member("a")
	g.Expect(m.Incarnation).To(Equal("new"))
	g.Expect(old.Superseded()).To(BeTrue())
	g.Expect(next.Superseded()).To(BeFalse())
}

// Guards against digests that exceed the limit, lose a change where they are truncated, or repeat acknowledged changes.
func TestDigestsAreBoundedDeltas(t *testing.T) {
	g := NewWithT(t)
	a, b := NewView(testRecord("a", "1"), clockAt(0)), NewView(testRecord("b", "1"), clockAt(0))
	exchange(a, b, largeLimits)
	for i := range 200 {
		a.Apply(Message{From: "x", Records: []Record{testRecord(fmt.Sprint("n", i), "1")}})
		a.MarkLeaving(fmt.Sprint("t", i), "1", LeavingByList)
		a.SetQuarantine(QuarantineEntry{Key: fmt.Sprint("q", i), ExpiresMS: 2e9, Payload: json.RawMessage(`"x"`)})
	}
	smallLimits := MessageLimits{MaxChangeBytes: 4 << 10, MaxHeartbeatBytes: 160}
	for rounds := 0; len(b.Members("a")) < 202 || len(b.Marks()) < 200 || len(b.Quarantine()) < 200; rounds++ {
		g.Expect(rounds).To(BeNumerically("<", 60), "the digests make no progress")
		encoded, err := json.Marshal(exchange(a, b, smallLimits))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(encoded)).To(BeNumerically("<", 4<<10+1<<10))
	}
	exchange(a, b, smallLimits)
	last := exchange(a, b, smallLimits)
	g.Expect(len(last.Records) + len(last.Marks) + len(last.Quarantine)).To(BeZero())
	restarted := NewView(testRecord("b", "2"), clockAt(time.Second))
	exchange(restarted, a, largeLimits)
	g.Expect(restarted.Marks()).To(HaveLen(200), "a new incarnation of a peer needs everything again")
}

// Guards against a leaving mark that ends early or never, and against quarantine entries that outlive their expiry.
func TestMarksPersistAndEntriesExpire(t *testing.T) {
	g := NewWithT(t)
	v := NewView(testRecord("a", "1"), clockAt(0))
	g.Expect(v.MarkLeaving("t", "1", LeavingBySignal)).To(BeTrue())
	g.Expect(v.MarkLeaving("t", "1", LeavingByList)).To(BeFalse())
	v.SetQuarantine(QuarantineEntry{Key: "q", ExpiresMS: clockAt(time.Minute).Wall.UnixMilli()})
	v.Observe(clockAt(leavingMarkTTL - time.Minute))
	v.Tick()
	g.Expect(v.IsLeaving("t", "1")).To(BeTrue())
	g.Expect(v.IsLeaving("t", "2")).To(BeFalse())
	g.Expect(v.Quarantine()).To(BeEmpty())
	g.Expect(v.MarkLeaving("t", "1", LeavingByList)).To(BeFalse())
	v.Observe(clockAt(leavingMarkTTL + time.Minute))
	v.Tick()
	g.Expect(v.IsLeaving("t", "1")).To(BeTrue(), "a repeated report renews the mark")
}

// Guards against an undetected pair of relays with the same ordinal; together they would exceed a target's limit.
func TestOrdinalConflicts(t *testing.T) {
	g := NewWithT(t)
	relay := func(id string, ordinal int) Record {
		r := testRecord(id, "1")
		r.Ordinal, r.Roles = ordinal, []Role{RoleRelay}
		return r
	}
	v := NewView(relay("a", 1), clockAt(0))
	v.Apply(Message{From: "x", Records: []Record{relay("b", 1), relay("c", 2), testRecord("d", "1")}})
	g.Expect(v.OrdinalConflicts()).To(Equal([]string{"b"}))
}
