package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var strikeTime = time.Unix(5000, 0)

// Guards against a request that goes on crashing targets, on this node or after it crashed those of others.
func TestRequestIsRefusedAfterThreeStrikes(t *testing.T) {
	g := NewWithT(t)
	here, there := NewStrikes(), NewStrikes()
	fp := FingerprintOf("r", "GET /p", nil)
	for i := range StrikesToRefuse {
		_, refused := here.Refused(fp, strikeTime)
		g.Expect(refused).To(BeFalse())
		record, now := here.Crash(fp, fmt.Sprint(i), strikeTime)
		g.Expect(now).To(Equal(i == StrikesToRefuse-1))
		there.Merge(record, strikeTime)
		there.Merge(record, strikeTime)
	}
	for _, s := range []*Strikes{here, there} {
		left, refused := s.Refused(fp, strikeTime)
		g.Expect(refused).To(BeTrue())
		g.Expect(left).To(Equal(StrikeTTL))
		_, refused = s.Refused(fp, strikeTime.Add(StrikeTTL))
		g.Expect(refused).To(BeFalse(), "a wrong refusal must end")
	}
}

// Guards against the refusal of an innocent request: several targets that crash under one attempt are one strike, and a
// success clears what was before it, also when an older record of a peer comes later.
func TestInnocentRequestIsNotRefused(t *testing.T) {
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

// Guards against unbounded memory, for example under a flood of crashing requests that peers tell of.
func TestStrikesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewStrikes()
	for i := range maxStruck + 50 {
		s.Crash(FingerprintOf("r", fmt.Sprint(i), nil), "a", strikeTime.Add(time.Duration(i)))
	}
	g.Expect(s.byPrint).To(HaveLen(maxStruck))
	g.Expect(s.byPrint).To(HaveKey(FingerprintOf("r", fmt.Sprint(maxStruck+49), nil)), "the newest are kept")
}
