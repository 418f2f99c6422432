package query

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against answers that are sent too early because one caller stated a long time left, or none: other callers then
// seem to have waited beyond the goal already.
func TestTimeWaitedCoversEarlierAttempts(t *testing.T) {
	g := NewWithT(t)
	const limit = 2500 * time.Millisecond
	s := &routeState{}
	g.Expect(s.timeWaited(0, limit)).To(BeZero())
	g.Expect(s.timeWaited(limit, limit)).To(BeZero())
	g.Expect(s.timeWaited(limit-300*time.Millisecond, limit)).To(Equal(300 * time.Millisecond))
	g.Expect(s.timeWaited(time.Minute, limit)).To(BeZero())
	g.Expect(s.timeWaited(limit, limit)).To(BeZero())
	g.Expect(s.timeWaited(limit, 400*time.Millisecond)).To(BeZero())
}
