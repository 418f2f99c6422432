package panics_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

type fixture struct {
	handler *panics.Handler
	log     bytes.Buffer
	set     *metrics.Set
	stops   chan struct{}
}

func newFixture() *fixture {
	f := &fixture{set: metrics.NewSet(), stops: make(chan struct{}, 10)}
	log := logrus.New()
	log.SetOutput(&f.log)
	f.handler = panics.New(logrus.NewEntry(log), f.set, func() { f.stops <- struct{}{} })
	return f
}

// state is shared state behind a Mutex.
type state struct {
	mu    panics.Mutex
	value int
}

func (s *state) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.value++
}

// Guards against a panic in one piece of work that ends the process, and against one without a trace in logs and metrics.
func TestPanicIsContained(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	result := "unset"
	func() {
		defer f.handler.Contain("request", logrus.Fields{"request_id": "r1"}, func() { result = "failed" })
		var none []int
		none[len(none)] = 1
	}()
	g.Expect(result).To(Equal("failed"))
	g.Expect(f.log.String()).To(And(ContainSubstring("index out of range"), ContainSubstring("r1"), ContainSubstring("panics_test.go")))
	var out bytes.Buffer
	f.set.WritePrometheus(&out)
	g.Expect(out.String()).To(ContainSubstring(panics.Metric + `{place="request"} 1`))
	g.Expect(f.stops).To(BeEmpty())
}

// Guards against half-changed shared state that lives on: the panic stops the process once, and the lock is free meanwhile.
func TestPanicWithSharedStateLockedStopsTheProcess(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	s := &state{}
	for range 3 {
		func() {
			defer f.handler.Contain("request", nil)
			s.change(func() { panic("half-changed") })
		}()
	}
	g.Eventually(f.stops).Should(Receive())
	g.Consistently(f.stops).ShouldNot(Receive())
	s.change(func() {})
	g.Expect(s.value).To(Equal(1))
	g.Expect(f.log.String()).To(ContainSubstring("half-changed"))
}

// Guards against a background loop that stays dead after a panic, and against one that panics without a pause.
func TestLoopStartsAgainWithBackoff(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runs := 0
		f.handler.Loop(ctx, "loop", func(context.Context) {
			if runs++; runs < 4 {
				panic("round")
			}
		})
		g.Expect(runs).To(Equal(4))
		runs = 0
		cancel()
		f.handler.Loop(ctx, "loop", func(context.Context) { runs++; panic("round") })
		g.Expect(runs).To(Equal(1), "a loop whose context has ended is not started again")
		synctest.Wait()
	})
}
