package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Unix(1_000_000, 0)

const serviceTime = 10 * time.Millisecond

func newQueue(limit, maxQueue int) *Queue {
	return New(Config{Limit: limit, MaxQueue: maxQueue, ServiceTime: serviceTime})
}

func after(d time.Duration) time.Time { return start.Add(d) }

// backlog is a flow that always has searches queued, from startRound on.
type backlog struct {
	Request
	startRound int
}

// saturate keeps 5 searches of each flow queued for the given rounds and returns how many of each were started.
func saturate(q *Queue, rounds int, requests ...backlog) []int {
	owner, started, queued := map[Handle]int{}, make([]int, len(requests)), make([]int, len(requests))
	var running []Handle
	at := start
	for round := range rounds {
		for i, r := range requests {
			for round >= r.startRound && queued[i] < 5 {
				r.Deadline = at.Add(time.Hour)
				d := q.Offer(r.Request, at)
				Expect(d.Result).NotTo(Equal(Refused))
				owner[d.Handle] = i
				if d.Result == Admitted {
					running = append(running, d.Handle)
					continue
				}
				queued[i]++
			}
		}
		at = at.Add(serviceTime)
		next := q.Release(running[0], true, at)
		running = append(running[1:], next.Start...)
		for _, h := range next.Start {
			started[owner[h]]++
			queued[owner[h]]--
		}
	}
	return started
}

var _ = Describe("weights", func() {
	// Guards against starvation and against a caller that takes more than its share. In virtual time, the services
	// of two backlogged flows divided by their weights differ by at most 1/w1 + 1/w2; the first search of each caller
	// was admitted directly, hence one more.
	DescribeTable("share the capacity", func(a, b Request, weightA, weightB float64) {
		n := saturate(newQueue(1, 1000), 800, backlog{Request: a}, backlog{Request: b})
		Expect(n[0] + n[1]).To(Equal(800))
		Expect(float64(n[0])/weightA - float64(n[1])/weightB).To(BeNumerically("~", 0, 2/weightA+2/weightB))
	},
		Entry("callers", Request{Caller: "a", CallerWeight: 3}, Request{Caller: "b", CallerWeight: 1}, 3.0, 1.0),
		Entry("low weight is not starved", Request{Caller: "a", CallerWeight: 100}, Request{Caller: "b"}, 100.0, 1.0),
		Entry("kinds of a caller", Request{Caller: "a", Kind: "urgent", KindWeight: 4}, Request{Caller: "a", Kind: "batch"}, 4.0, 1.0),
		Entry("kinds over callers", Request{Caller: "a", Kind: "urgent", KindWeight: 4}, Request{Caller: "b", Kind: "batch"}, 4.0, 1.0),
	)

	// Guards against credit accumulated while idle, which would let a caller displace all others for a while.
	It("give no credit for idle time", func() {
		n := saturate(newQueue(1, 1000), 600, backlog{Request: Request{Caller: "a"}}, backlog{Request{Caller: "b"}, 500})
		Expect(n[1]).To(BeNumerically("~", 50, 2))
	})

	It("respect a caller's own limit", func() {
		q := newQueue(4, 100)
		for range 3 {
			q.Offer(Request{Caller: "a", CallerLimit: 2, Deadline: after(time.Second)}, start)
		}
		Expect(q.Status()).To(HaveField("Running", 2))
		Expect(q.Offer(Request{Caller: "b", Deadline: after(time.Second)}, start).Result).To(Equal(Queued))
		Expect(q.Expire(start).Start).To(HaveLen(1), "b starts while a is at its limit")
	})
})

var _ = Describe("deadlines", func() {
	It("order the queue of a caller and kind", func() {
		q := newQueue(1, 100)
		first := q.Offer(Request{Caller: "a", Deadline: after(time.Second)}, start).Handle
		late := q.Offer(Request{Caller: "a", Deadline: after(900 * time.Millisecond)}, start).Handle
		early := q.Offer(Request{Caller: "a", Deadline: after(500 * time.Millisecond)}, start).Handle
		Expect(q.Release(first, true, after(serviceTime)).Start).To(Equal([]Handle{early}))
		Expect(q.Release(early, true, after(2*serviceTime)).Start).To(Equal([]Handle{late}))
	})

	// Guards against work for a search that can only miss its deadline.
	It("drop a queued search when less than the service time remains", func() {
		q := newQueue(1, 100)
		q.Offer(Request{Caller: "a", Deadline: after(time.Second)}, start)
		h := q.Offer(Request{Caller: "b", Deadline: after(40 * time.Millisecond)}, start).Handle
		Expect(q.Expire(after(30 * time.Millisecond)).Drop).To(BeEmpty())
		Expect(q.Expire(after(31 * time.Millisecond)).Drop).To(Equal([]Handle{h}))
		Expect(q.Cancel(h)).To(BeFalse())
	})

	DescribeTable("refuse at once", func(queued int, remaining time.Duration, reason Reason) {
		q := newQueue(1, 3)
		for range queued + 1 {
			q.Offer(Request{Caller: "a", Deadline: after(time.Hour)}, start)
		}
		d := q.Offer(Request{Caller: "a", Deadline: after(remaining)}, start)
		Expect(d.Result).To(Equal(Refused))
		Expect(d.Reason).To(Equal(reason))
		Expect(d.RetryAfter).To(Equal(time.Duration(queued+1) * serviceTime))
	},
		Entry("when the time is too short", 0, serviceTime-1, ReasonNoTime),
		Entry("when the wait is too long", 2, 3*serviceTime, ReasonNoTime),
		Entry("when the queue is full", 3, time.Hour, ReasonFull),
	)

	// Guards against a lock-out: with a service lost, each search takes its whole budget. If that counted as the
	// expected time, or an expected time never aged, searches would be refused for ever, and the estimate could not
	// recover. A straggler that delays a third of the searches must not cause the others to be refused.
	DescribeTable("keep admitting", func(complete bool, pause, remaining time.Duration) {
		q, at := newQueue(2, 10), start
		for i := range 300 {
			d := q.Offer(Request{Caller: "a", Deadline: at.Add(70 * time.Millisecond)}, at)
			Expect(d.Result).To(Equal(Admitted), "search %d", i)
			at = at.Add(66 * time.Millisecond)
			q.Release(d.Handle, complete, at)
		}
		at = at.Add(pause)
		d := q.Offer(Request{Caller: "a", Deadline: at.Add(remaining)}, at)
		Expect(d.Result).To(Equal(Admitted))
	},
		Entry("while searches end incomplete", false, time.Duration(0), 12*time.Millisecond),
		Entry("after searches were slow", true, 4*estimateHalfLife, 20*time.Millisecond),
	)
	It("keep admitting beside a straggler", func() {
		q, at := newQueue(2, 10), start
		for i := range 300 {
			d := q.Offer(Request{Caller: "a", Deadline: at.Add(time.Second)}, at)
			at = at.Add([]time.Duration{6, 6, 60}[i%3] * time.Millisecond)
			q.Release(d.Handle, true, at)
		}
		Expect(q.Offer(Request{Caller: "a", Deadline: at.Add(15 * time.Millisecond)}, at).Result).To(Equal(Admitted))
	})
})

func oldest(running map[Handle]string) Handle {
	return slices.Min(append(slices.Collect(maps.Keys(running)), 1<<62))
}

var _ = Describe("a full queue", func() {
	// Guards against one caller that fills the queue and locks out the others.
	It("makes room for a caller below its share", func() {
		q := newQueue(1, 4)
		var last Handle
		for range 5 {
			last = q.Offer(Request{Caller: "flood", Deadline: after(time.Hour)}, start).Handle
		}
		d := q.Offer(Request{Caller: "b", Deadline: after(time.Hour)}, start)
		Expect(d.Result).To(Equal(Queued))
		Expect(d.Drop).To(Equal([]Handle{last}))
		Expect(q.Status().Queued).To(Equal(4))
	})

	// Guards against leaks and overruns: limits hold at every step and each search ends exactly once.
	It("never admits beyond its limits", func() {
		rnd := rand.New(rand.NewPCG(21, 22))
		q, at := newQueue(5, 12), start
		running, waiting := map[Handle]string{}, map[Handle]string{}
		count := func(caller string) (n int) {
			for _, c := range running {
				if c == caller {
					n++
				}
			}
			return n
		}
		apply := func(start, drop []Handle) {
			for _, h := range drop {
				Expect(waiting).To(HaveKey(h))
				delete(waiting, h)
			}
			for _, h := range start {
				Expect(waiting).To(HaveKey(h))
				running[h] = waiting[h]
				delete(waiting, h)
			}
		}
		for range 20_000 {
			at = at.Add(time.Duration(rnd.IntN(4)) * time.Millisecond)
			if rnd.IntN(2) == 0 {
				caller := fmt.Sprint(rnd.IntN(4))
				d := q.Offer(Request{
					Caller: caller, CallerLimit: 3, CallerWeight: float64(1 + rnd.IntN(3)), Kind: fmt.Sprint(rnd.IntN(2)),
					Deadline: at.Add(time.Duration(rnd.IntN(200)) * time.Millisecond),
				}, at)
				apply(nil, d.Drop)
				switch d.Result {
				case Admitted:
					running[d.Handle] = caller
				case Queued:
					waiting[d.Handle] = caller
				}
			} else {
				h := oldest(running)
				delete(running, h)
				next := q.Release(h, rnd.IntN(3) > 0, at) // of an unknown handle when nothing runs
				apply(next.Start, next.Drop)
			}
			Expect(q.Status().Running).To(Equal(len(running)))
			Expect(q.Status().Queued).To(Equal(len(waiting)))
			Expect(len(running)).To(BeNumerically("<=", 5))
			Expect(len(waiting)).To(BeNumerically("<=", 12))
			for i := range 4 {
				Expect(count(fmt.Sprint(i))).To(BeNumerically("<=", 3))
			}
		}
		for len(running) > 0 {
			h := oldest(running)
			delete(running, h)
			next := q.Release(h, true, at)
			apply(next.Start, next.Drop)
		}
		for range 3 {
			d := q.Offer(Request{Caller: "0", CallerLimit: 3, Deadline: at.Add(time.Hour)}, at)
			Expect(d.Result).To(Equal(Admitted), "a place of the caller leaked")
		}
	})
})

// Guards against a limit that stays high while targets queue, or low after they recover.
var _ = It("the limit follows the queue time at targets", func() {
	q, at := newQueue(20, 10), start
	feed := func(queue time.Duration, n int) int {
		for range n {
			at = at.Add(adjustInterval)
			q.ObserveQueueTime(queue, at)
		}
		return q.Status().Limit
	}
	Expect(feed(time.Millisecond, 50)).To(Equal(20))
	Expect(feed(20*time.Millisecond, 100)).To(Equal(2))
	Expect(feed(0, 100)).To(Equal(20))
	Expect(ConcurrencyLimit([]int{9, 4, 6})).To(Equal(4*searchesPerSlot), "the scarcest service counts")
})
