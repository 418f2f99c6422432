package intake_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

// clock is a time that the test moves.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time          { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

const kb = 1 << 10

// budgetTest opens accounts that close themselves when they have to give way, as readers do.
type budgetTest struct {
	*clock
	*intake.Budget
	evicted []string
}

func newBudgetTest(capacity int64) *budgetTest {
	b := &budgetTest{clock: &clock{now: time.Unix(1000, 0)}}
	b.Budget = intake.NewBudget(capacity, b.Now)
	return b
}

func (b *budgetTest) open(name string) *intake.Account {
	var a *intake.Account
	a = b.Open(func() { b.evicted = append(b.evicted, name); a.Close() })
	return a
}

// Guards against a process whose memory is taken by requests that are never finished: the one that has wasted the most memory
// and time gives way, and those that still receive bytes are kept.
func TestStalledRequestsGiveWay(t *testing.T) {
	g := NewWithT(t)
	b := newBudgetTest(1000 * kb)
	large, old, active := b.open("large"), b.open("old"), b.open("active")
	g.Expect(old.Reserve(100 * kb)).To(Succeed())
	g.Expect(large.Reserve(400 * kb)).To(Succeed())
	b.advance(time.Second)
	g.Expect(active.Reserve(300 * kb)).To(Succeed())
	next := b.open("next")
	g.Expect(next.Reserve(200 * kb)).To(Succeed())
	g.Expect(b.evicted).To(Equal([]string{"large"}))
	g.Expect(next.Reserve(300 * kb)).To(Succeed())
	g.Expect(b.evicted).To(Equal([]string{"large", "old"}))
	g.Expect(next.Reserve(300*kb)).To(MatchError(intake.ErrExhausted), "the others receive bytes")
	g.Expect(large.Reserve(1)).To(MatchError(intake.ErrEvicted))
	g.Expect(large.Complete()).To(MatchError(intake.ErrEvicted))
	g.Expect(b.Used()).To(BeEquivalentTo(800 * kb))
}

// Guards against complete requests that give way, and against small requests that find no memory because large ones are served.
func TestCompleteRequestsAreKept(t *testing.T) {
	g := NewWithT(t)
	b := newBudgetTest(800 * kb)
	served, second := b.open("served"), b.open("second")
	g.Expect(second.Reserve(1 * kb)).To(Succeed())
	g.Expect(served.Reserve(699 * kb)).To(Succeed())
	g.Expect(served.Complete()).To(Succeed())
	g.Expect(second.Complete()).To(Succeed())
	b.advance(time.Hour)
	large, small := b.open("large"), b.open("small")
	g.Expect(large.Reserve(50 * kb)).To(MatchError(intake.ErrExhausted))
	g.Expect(small.Reserve(30 * kb)).To(Succeed())
	served.Close()
	served.Close()
	g.Expect(large.Reserve(50 * kb)).To(Succeed())
	g.Expect(b.evicted).To(BeEmpty())
	g.Expect(b.Used()).To(BeEquivalentTo(81 * kb))
}

// Guards against a small request that is refused while large ones arrive: it displaces one of them at once.
func TestSmallRequestsDisplaceLargeOnes(t *testing.T) {
	g := NewWithT(t)
	b := newBudgetTest(800 * kb)
	for i := range 7 {
		g.Expect(b.open(fmt.Sprint(i)).Reserve(100 * kb)).To(Succeed())
	}
	for range 4 {
		g.Expect(b.open("small").Reserve(25 * kb)).To(Succeed())
	}
	g.Expect(b.evicted).To(BeEmpty())
	g.Expect(b.open("small").Reserve(25 * kb)).To(Succeed())
	g.Expect(b.evicted).To(HaveLen(1))
	g.Expect(b.evicted[0]).NotTo(Equal("small"))
}

// Guards against a request that is refused in calm although it fits.
func TestRequestThatIsAloneMayUseTheCapacity(t *testing.T) {
	g := NewWithT(t)
	b := newBudgetTest(100 * kb)
	g.Expect(b.open("alone").Reserve(100 * kb)).To(Succeed())
}

// Guards against bodies that exceed the limit or the memory, and against memory that is not given back.
func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name     string
		body     io.Reader
		capacity int64
		want     error
	}{
		{"at the limit", strings.NewReader(strings.Repeat("b", 100*kb)), 0, nil},
		{"unknown length at the limit", io.MultiReader(strings.NewReader(strings.Repeat("b", 100*kb))), 0, nil},
		{"empty", strings.NewReader(""), 0, nil},
		{"too large", strings.NewReader(strings.Repeat("b", 100*kb+1)), 0, intake.ErrBodyTooLarge},
		{"unknown length, too large", io.MultiReader(strings.NewReader(strings.Repeat("b", 100*kb+1))), 0, intake.ErrBodyTooLarge},
		{"no memory", io.MultiReader(strings.NewReader(strings.Repeat("b", 90*kb))), 80 * kb, intake.ErrExhausted},
		{"broken off", io.MultiReader(strings.NewReader("b"), errorReader{}), 0, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := intake.NewBudget(c.capacity, time.Now)
			w := httptest.NewRecorder()
			account := b.Open(func() {})
			body, err := intake.ReadBody(w, httptest.NewRequest(http.MethodPost, "/", c.body), 100*kb, time.Time{}, account)
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(b.Used()).To(BeNumerically(">=", len(body)))
				g.Expect(b.Used()).To(BeNumerically("<=", 2*len(body)+kb))
				g.Expect(w.Header()).NotTo(HaveKey("Connection"))
			} else {
				g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
				g.Expect(w.Header().Get("Connection")).To(Equal("close"))
			}
			account.Close()
			g.Expect(b.Used()).To(BeZero())
		})
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
