package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var strikeTime = time.Unix(5000, 0)

// Guards against a request that continues to crash targets on this node, or on a peer that merged this node's records.
func TestStrikesRefuseAfterThreeCrashes(t *testing.T) {
	g := NewWithT(t)
	local, peer := NewStrikes(), NewStrikes()
	fp := FingerprintOf("r", "GET /p", nil)
	for i := range StrikesToRefuse {
		_, refused := local.Refused(fp, strikeTime)
		g.Expect(refused).To(BeFalse())
		record, isRefused := local.Crash(fp, fmt.Sprint(i), strikeTime)
		g.Expect(isRefused).To(Equal(i == StrikesToRefuse-1))
		peer.Merge(record, strikeTime)
		peer.Merge(record, strikeTime)
	}
	for _, s := range []*Strikes{local, peer} {
		left, refused := s.Refused(fp, strikeTime)
		g.Expect(refused).To(BeTrue())
		g.Expect(left).To(Equal(StrikeTTL))
		_, refused = s.Refused(fp, strikeTime.Add(StrikeTTL))
		g.Expect(refused).To(BeFalse(), "a refusal must expire, since it may be wrong")
	}
}

// Guards against refusing a request that does not cause the crashes: several targets that crash during one attempt are
// one strike, and a success clears all strikes before it, even if an older record of a peer arrives later.
func TestStrikesCountAttemptsAndAreClearedBySuccess(t *testing.T) {
	g := NewWithT(t)
	s := NewStrikes()
	fp := FingerprintOf("r", "GET /p", nil)
	for range 10 {
		_, refused := s.Crash(fp, "one attempt", strikeTime)
		g.Expect(refused).To(BeFalse())
	}
	old, _ := s.Crash(fp, "two", strikeTime)
	_, cleared := s.Success(fp, strikeTime)
	g.Expect(cleared).To(BeTrue())
	s.Merge(old, strikeTime)
	_, refused := s.Crash(fp, "three", strikeTime)
	g.Expect(refused).To(BeFalse())
	_, cleared = NewStrikes().Success(fp, strikeTime)
	g.Expect(cleared).To(BeFalse())
}

// Guards against unbounded memory, for example during a flood of crashing requests reported by peers.
func TestStrikesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewStrikes()
	for i := range maxStrikeEntries + 50 {
		s.Crash(FingerprintOf("r", fmt.Sprint(i), nil), "a", strikeTime.Add(time.Duration(i)))
	}
	g.Expect(s.entries).To(HaveLen(maxStrikeEntries))
	g.Expect(s.entries).To(HaveKey(FingerprintOf("r", fmt.Sprint(maxStrikeEntries+49), nil)), "the newest entries are kept")
}
