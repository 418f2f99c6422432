package query

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against answers that are sent too early because one caller stated a long time, or none: others then seem to have
// waited beyond the goal.
func TestWaitedIsTheTimeOfEarlierAttempts(t *testing.T) {
	g := NewWithT(t)
	const limit = 2500 * time.Millisecond
	s := &routeState{}
	g.Expect(s.waited(0, limit)).To(BeZero())
	g.Expect(s.waited(limit, limit)).To(BeZero())
	g.Expect(s.waited(limit-300*time.Millisecond, limit)).To(Equal(300 * time.Millisecond))
	g.Expect(s.waited(time.Minute, limit)).To(BeZero())
	g.Expect(s.waited(limit, limit)).To(BeZero())
	g.Expect(s.waited(limit, 400*time.Millisecond)).To(BeZero())
}
