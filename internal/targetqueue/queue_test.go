package targetqueue_test

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

func TestTargetQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target queue")
}

var start = time.Unix(1_000_000, 0)

func requestWithin(d time.Duration) targetqueue.Request {
	return targetqueue.Request{Deadline: start.Add(d), Expected: time.Millisecond}
}

func isolated(r targetqueue.Request) targetqueue.Request    { r.Isolated = true; return r }
func lowPriority(r targetqueue.Request) targetqueue.Request { r.LowPriority = true; return r }

var _ = Describe("Queue", func() {
	offer := func(q *targetqueue.Queue, r targetqueue.Request, want targetqueue.OfferResult) targetqueue.Handle {
		result, h, _ := q.Offer(r, start)
		Expect(result).To(Equal(want))
		return h
	}

	// Guards against attempts of low priority that delay the relay's own searches.
	It("serves calls of low priority after the others, each by deadline, and sheds them while others wait", func() {
		q := targetqueue.New(1)
		running := offer(q, requestWithin(time.Second), targetqueue.Started)
		low := offer(q, lowPriority(requestWithin(50*time.Millisecond)), targetqueue.Queued)
		offer(q, lowPriority(requestWithin(40*time.Millisecond)), targetqueue.Shed)
		late := offer(q, requestWithin(80*time.Millisecond), targetqueue.Queued)
		early := offer(q, requestWithin(70*time.Millisecond), targetqueue.Queued)
		offer(q, requestWithin(time.Microsecond), targetqueue.NoTime)
		for _, want := range []targetqueue.Handle{early, late, low} {
			Expect(q.Release(running, start).Start).To(Equal([]targetqueue.Handle{want}))
			running = want
		}
	})

	// Guards against a call that is lost because a suspected request crashes the same target.
	It("runs an isolated call alone", func() {
		q := targetqueue.New(2)
		first := offer(q, requestWithin(time.Second), targetqueue.Started)
		isolatedCall := offer(q, isolated(requestWithin(50*time.Millisecond)), targetqueue.Queued)
		after := offer(q, requestWithin(60*time.Millisecond), targetqueue.Queued)
		Expect(q.Release(first, start).Start).To(Equal([]targetqueue.Handle{isolatedCall}))
		Expect(q.Expire(start).Start).To(BeEmpty())
		Expect(q.Release(isolatedCall, start).Start).To(Equal([]targetqueue.Handle{after}))
	})

	It("drops calls that cannot complete and starts the others when an isolated call is cancelled", func() {
		q := targetqueue.New(2)
		offer(q, requestWithin(time.Second), targetqueue.Started)
		isolatedCall := offer(q, isolated(requestWithin(50*time.Millisecond)), targetqueue.Queued)
		short := offer(q, requestWithin(60*time.Millisecond), targetqueue.Queued)
		long := offer(q, requestWithin(time.Second), targetqueue.Queued)
		_, transitions := q.Cancel(isolatedCall, start.Add(59*time.Millisecond+1))
		Expect(transitions.Drop).To(Equal([]targetqueue.Handle{short}))
		Expect(transitions.Start).To(Equal([]targetqueue.Handle{long}))
	})

	// Guards against more calls in flight than slots, and against calls beside an isolated one, in any order of events.
	It("never exceeds its slots", func() {
		rnd := rand.New(rand.NewPCG(31, 32))
		q, at := targetqueue.New(3), start
		isolatedCalls, running := map[targetqueue.Handle]bool{}, map[targetqueue.Handle]bool{}
		apply := func(transitions targetqueue.Transitions) {
			for _, h := range transitions.Start {
				running[h] = true
			}
		}
		for range 20_000 {
			at = at.Add(time.Duration(rnd.IntN(2000)) * time.Microsecond)
			if rnd.IntN(2) == 0 {
				r := targetqueue.Request{
					Deadline: at.Add(time.Duration(rnd.IntN(60)) * time.Millisecond), LowPriority: rnd.IntN(3) == 0, Isolated: rnd.IntN(8) == 0,
				}
				result, h, transitions := q.Offer(r, at)
				apply(transitions)
				isolatedCalls[h] = r.Isolated
				if result == targetqueue.Started {
					running[h] = true
				}
			} else {
				h := slices.Min(append(slices.Collect(maps.Keys(running)), 1<<62))
				delete(running, h)
				apply(q.Release(h, at)) // of an unknown handle when nothing runs
			}
			inFlight, _ := q.Counts()
			Expect(inFlight).To(Equal(len(running)))
			Expect(inFlight).To(BeNumerically("<=", 3))
			for h := range running {
				Expect(isolatedCalls[h] && len(running) > 1).To(BeFalse())
			}
		}
	})
})

// Guards against a waiter that is never woken, and against a slot lost to a waiter that timed out or was cancelled.
func TestGate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := targetqueue.NewGate(1, time.Now)
		request := func(d time.Duration) targetqueue.Request {
			return targetqueue.Request{Deadline: time.Now().Add(d), Expected: 10 * time.Millisecond}
		}
		release, err := gate.Acquire(t.Context(), request(time.Second))
		g.Expect(err).NotTo(HaveOccurred())

		results := make(chan error, 3)
		acquire := func(ctx context.Context, r targetqueue.Request) {
			done, err := gate.Acquire(ctx, r)
			results <- err
			if err == nil {
				time.Sleep(5 * time.Millisecond)
				done()
			}
		}
		cause := errors.New("caller went away")
		ctx, cancel := context.WithCancelCause(t.Context())
		go acquire(ctx, request(300*time.Millisecond))
		go acquire(t.Context(), request(100*time.Millisecond))
		go acquire(t.Context(), request(500*time.Millisecond))
		synctest.Wait()

		began := time.Now()
		g.Expect(<-results).To(Equal(targetqueue.ErrNoTime))
		g.Expect(time.Since(began)).To(Equal(90 * time.Millisecond))
		cancel(cause)
		g.Expect(<-results).To(Equal(cause))
		release()
		release() // a second release must not free a slot that another call holds
		g.Expect(<-results).NotTo(HaveOccurred())
		synctest.Wait()
		inFlight, waiting := gate.Counts()
		g.Expect([]int{inFlight, waiting}).To(Equal([]int{1, 0}))
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		inFlight, _ = gate.Counts()
		g.Expect(inFlight).To(BeZero())
	})
}

// Guards against a slot that leaks when a grant races with a cancellation, in any interleaving.
func TestGateCancelRacesWithGrant(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := targetqueue.NewGate(2, time.Now)
		for i := range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7)*time.Millisecond)
			go func() {
				defer cancel()
				release, err := gate.Acquire(ctx, targetqueue.Request{Deadline: time.Now().Add(time.Duration(i%11) * time.Millisecond)})
				if err == nil {
					time.Sleep(time.Duration(i%5) * time.Millisecond)
					release()
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		inFlight, waiting := gate.Counts()
		g.Expect([]int{inFlight, waiting}).To(Equal([]int{0, 0}))
	})
}

// Guards against calls that stay blocked behind a cancelled isolated call.
func TestGateCancelledIsolatedCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := targetqueue.NewGate(2, time.Now)
		request := targetqueue.Request{Deadline: time.Now().Add(time.Hour)}
		_, err := gate.Acquire(t.Context(), request)
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { _, _ = gate.Acquire(ctx, isolated(request)) }()
		synctest.Wait()
		request.Deadline = request.Deadline.Add(time.Minute)
		_, err = gate.Acquire(t.Context(), request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Until(request.Deadline)).To(Equal(time.Hour + time.Minute - time.Second))
	})
}

// Guards against a less urgent call that starts before a more urgent one.
func TestMoreUrgentCallsGoFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := targetqueue.New(1)
	_, running, _ := q.Offer(targetqueue.Request{Deadline: now.Add(time.Second)}, now)
	_, later, _ := q.Offer(targetqueue.Request{Deadline: now.Add(time.Second), Priority: 2}, now)
	_, urgent, _ := q.Offer(targetqueue.Request{Deadline: now.Add(2 * time.Second), Priority: 1}, now)
	g.Expect(q.Release(running, now).Start).To(Equal([]targetqueue.Handle{urgent}))
	g.Expect(q.Release(urgent, now).Start).To(Equal([]targetqueue.Handle{later}))
}
