package memlimit_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/memlimit"
)

// Guards against bodies that together occupy more than the limit, and against memory that is never given back: requests are
// admitted again when the accounts of others have been closed.
func TestLimitHoldsOverAllAccounts(t *testing.T) {
	g := NewWithT(t)
	l := memlimit.New(100)
	first, second := l.Open(), l.Open()
	g.Expect(l.HasRoom()).To(BeTrue())
	g.Expect(first.Reserve(60)).To(Succeed())
	g.Expect(l.HasRoom()).To(BeFalse(), "half of the capacity is reserved")
	g.Expect(second.Reserve(41)).To(MatchError(memlimit.ErrExhausted))
	g.Expect(second.Reserve(40)).To(Succeed())
	first.Return(20)
	g.Expect(l.Used()).To(BeEquivalentTo(80))
	first.Close()
	first.Close()
	g.Expect(l.Used()).To(BeEquivalentTo(40))
	g.Expect(l.HasRoom()).To(BeTrue())
	g.Expect(first.Reserve(1)).To(MatchError(memlimit.ErrExhausted), "an attempt that outlives its request reserves nothing")
	second.Return(1000)
	g.Expect(l.Used()).To(BeZero())
}
