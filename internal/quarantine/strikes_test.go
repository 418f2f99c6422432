package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var crashTime = time.Unix(5000, 0)

// Guards against a request that continues to crash targets on this node, or on a peer that merged this node's records.
func TestCrashCounterRefusesAfterThreeCrashes(t *testing.T) {
	g := NewWithT(t)
	local, peer := NewCrashCounter(), NewCrashCounter()
	fp := FingerprintOf("r", "GET /p", nil)
	for i := range CrashesToRefuse {
		_, refused := local.Refused(fp, crashTime)
		g.Expect(refused).To(BeFalse())
		record, isRefused := local.Crash(fp, fmt.Sprint(i), crashTime)
		g.Expect(isRefused).To(Equal(i == CrashesToRefuse-1))
		peer.Merge(record, crashTime)
		peer.Merge(record, crashTime)
	}
	for _, c := range []*CrashCounter{local, peer} {
		left, refused := c.Refused(fp, crashTime)
		g.Expect(refused).To(BeTrue())
		g.Expect(left).To(Equal(CrashTTL))
		_, refused = c.Refused(fp, crashTime.Add(CrashTTL))
		g.Expect(refused).To(BeFalse(), "a refusal must expire, since it may be wrong")
	}
}

// Guards against refusing a request that does not cause the crashes: several targets that crash during one attempt are
// counted once, and a success clears all crashes before it, even if an older record of a peer arrives later.
func TestCrashCounterCountsAttemptsAndIsClearedBySuccess(t *testing.T) {
	g := NewWithT(t)
	c := NewCrashCounter()
	fp := FingerprintOf("r", "GET /p", nil)
	for range 10 {
		_, refused := c.Crash(fp, "one attempt", crashTime)
		g.Expect(refused).To(BeFalse())
	}
	old, _ := c.Crash(fp, "two", crashTime)
	_, cleared := c.Success(fp, crashTime)
	g.Expect(cleared).To(BeTrue())
	c.Merge(old, crashTime)
	_, refused := c.Crash(fp, "three", crashTime)
	g.Expect(refused).To(BeFalse())
	_, cleared = NewCrashCounter().Success(fp, crashTime)
	g.Expect(cleared).To(BeFalse())
}

// Guards against unbounded memory, for example during a flood of crashing requests reported by peers.
func TestCrashCounterIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := NewCrashCounter()
	for i := range maxCrashEntries + 50 {
		c.Crash(FingerprintOf("r", fmt.Sprint(i), nil), "a", crashTime.Add(time.Duration(i)))
	}
	g.Expect(c.entries).To(HaveLen(maxCrashEntries))
	g.Expect(c.entries).To(HaveKey(FingerprintOf("r", fmt.Sprint(maxCrashEntries+49), nil)), "the newest entries are kept")
}
