package notice

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a leaving target that is used again because of an answer that was sent before it said so, and against a pause that
// such an answer ends.
func TestOlderAnswerEndsNeitherLeavingNorPause(t *testing.T) {
	g := NewWithT(t)
	r := NewRecord(0)
	g.Expect(r.Hear(Notice{Leaving: true, Pause: 5 * time.Second}, t0)).To(Equal(Change{LeavingBegan: true, PauseBegan: true}))
	g.Expect(r.Hear(Notice{}, t0.Add(time.Second))).To(Equal(Change{}))
	g.Expect(r.Hear(Notice{Pause: time.Second}, t0.Add(time.Second))).To(Equal(Change{}), "it wanted nothing for longer")
	g.Expect(r.Leaving()).To(BeTrue())
	g.Expect(r.Wait(t0.Add(time.Second))).To(Equal(4 * time.Second))
	g.Expect(r.Redeem(t0, t0.Add(4*time.Second))).To(BeFalse())
	g.Expect(r.Redeem(t0, t0.Add(5*time.Second))).To(BeTrue())
	g.Expect(r.Restricted(t0.Add(time.Hour))).To(BeTrue(), "it leaves")
}

// Guards against a pause without end.
func TestPauseIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := NewRecord(0)
	r.Hear(Notice{Pause: 1000 * time.Hour}, t0)
	g.Expect(r.Wait(t0)).To(Equal(maxPause))
	g.Expect(r.Restricted(t0.Add(maxPause))).To(BeFalse())
}

// Guards against a pause that ends a moment late because of a limit, and a reservation that ignores one of the two.
func TestReservationWaitsForLimitAndPause(t *testing.T) {
	g := NewWithT(t)
	r := NewRecord(0)
	r.SetNodes(10, t0)
	r.Hear(Notice{Limited: true, RequestsPerSecond: 10, Pause: 300 * time.Millisecond}, t0)
	_, ok := r.Reserve(t0, 200*time.Millisecond)
	g.Expect(ok).To(BeFalse())
	wait, ok := r.Reserve(t0, time.Second)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(Equal(300 * time.Millisecond))
	g.Expect(r.Wait(t0)).To(Equal(time.Second))
}

// Guards against a limit that ends because another node tells that the target leaves.
func TestLeavingToldByAnotherNodeKeepsTheLimit(t *testing.T) {
	g := NewWithT(t)
	r := NewRecord(0)
	r.Hear(Notice{Limited: true, RequestsPerSecond: 10}, t0)
	g.Expect(r.Leave()).To(BeTrue())
	g.Expect(r.Leave()).To(BeFalse(), "no news")
	g.Expect(r.Hear(Notice{Leaving: true}, t0)).To(Equal(Change{LimitEnded: true}))
	g.Expect(r.Leaving()).To(BeTrue())
}
