// Package targetqueue limits the calls in flight on one target to its slots. Waiting calls are ordered: local searches
// before attempts for other failure domains, then by priority and deadline. A call may reserve the whole target. Queue has no clocks
// or goroutines; Gate wraps it for blocking use.
package targetqueue

import (
	"container/heap"
	"sync"
	"time"
)

// Handle identifies a call that holds or waits for a slot. Handles are never reused.
type Handle uint64

// Request is a call that asks for a slot.
type Request struct {
	Deadline time.Time     // the call must have its response by then
	Expected time.Duration // expected time of the call; with less time left it is dropped
	Foreign  bool          // an attempt for another failure domain
	Priority int           // of the request; a smaller number is more urgent and goes first
	Isolated bool          // runs with no other call in flight on the target
}

// Verdict is the result of an Offer.
type Verdict int

// Verdicts.
const (
	Started Verdict = iota
	Queued
	Shed   // a foreign attempt while others wait
	NoTime // too little time remains
	Full   // the queue is full
)

// Next lists waiting calls that now hold a slot, and calls to drop as not sent.
type Next struct {
	Start []Handle
	Drop  []Handle
}

// QueuePerSlot bounds the waiting calls per slot.
const QueuePerSlot = 16

// Queue holds the slots of one target. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex // guards all fields below
	slots    int
	inFlight map[Handle]struct{}
	isolated bool // the one call in flight is isolated
	waiting  waitList
	byHandle map[Handle]*call
	last     Handle
}

type call struct {
	handle Handle
	req    Request
	index  int
}

// latestStart is the time after which the call can no longer complete.
func (c *call) latestStart() time.Time { return c.req.Deadline.Add(-c.req.Expected) }

// New returns a queue for a target with the given number of slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), inFlight: map[Handle]struct{}{}, byHandle: map[Handle]*call{}}
}

// Offer asks for a slot. The handle is valid when the verdict is Started or Queued.
func (q *Queue) Offer(r Request, now time.Time) (Verdict, Handle, Next) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.next(now)
	c := &call{req: r}
	if c.latestStart().Before(now) {
		return NoTime, 0, n
	}
	empty := len(q.waiting) == 0
	switch {
	case empty && q.fits(c):
		return Started, q.start(q.newHandle(), r.Isolated), n
	case r.Foreign && !empty:
		return Shed, 0, n
	case len(q.waiting) >= QueuePerSlot*q.slots:
		return Full, 0, n
	}
	c.handle = q.newHandle()
	q.byHandle[c.handle] = c
	heap.Push(&q.waiting, c)
	return Queued, c.handle, n
}

func (q *Queue) newHandle() Handle { q.last++; return q.last }

func (q *Queue) fits(c *call) bool {
	if q.isolated {
		return false
	}
	if c.req.Isolated {
		return len(q.inFlight) == 0
	}
	return len(q.inFlight) < q.slots
}

func (q *Queue) start(h Handle, isolated bool) Handle {
	q.inFlight[h] = struct{}{}
	q.isolated = isolated
	return h
}

// Release frees the slot of a call that ended or was cancelled. A handle that holds no slot is ignored.
func (q *Queue) Release(h Handle, now time.Time) Next {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.inFlight[h]; ok {
		delete(q.inFlight, h)
		q.isolated = false // nothing else is in flight beside an isolated call
	}
	return q.next(now)
}

// Cancel removes a waiting call. It reports false when the call is not waiting any more. Removing a call that reserves
// the target can make room for others.
func (q *Queue) Cancel(h Handle, now time.Time) (bool, Next) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok := q.byHandle[h]
	if ok {
		heap.Remove(&q.waiting, c.index)
		delete(q.byHandle, h)
	}
	return ok, q.next(now)
}

// Expire drops the waiting calls that can no longer complete in time.
func (q *Queue) Expire(now time.Time) Next {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.next(now)
}

// next starts the first waiting calls while they fit. A waiting isolated call that is first holds back the others
// until the target is empty.
func (q *Queue) next(now time.Time) Next {
	n := Next{Drop: q.expire(now)}
	for len(q.waiting) > 0 && q.fits(q.waiting[0]) {
		c := heap.Pop(&q.waiting).(*call)
		delete(q.byHandle, c.handle)
		n.Start = append(n.Start, q.start(c.handle, c.req.Isolated))
	}
	return n
}

func (q *Queue) expire(now time.Time) []Handle {
	var dropped []Handle
	for i := 0; i < len(q.waiting); {
		c := q.waiting[i]
		if !c.latestStart().Before(now) {
			i++
			continue
		}
		heap.Remove(&q.waiting, i)
		delete(q.byHandle, c.handle)
		dropped = append(dropped, c.handle)
		i = 0 // removal reorders the heap; the queue is short
	}
	return dropped
}

// SetSlots changes the number of slots. Calls in flight above it keep theirs.
func (q *Queue) SetSlots(slots int, now time.Time) Next {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 1)
	return q.next(now)
}

// Counts returns the calls in flight and waiting.
func (q *Queue) Counts() (inFlight, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.inFlight), len(q.waiting)
}

// waitList is a heap: local calls first, then by priority, deadline and arrival.
type waitList []*call

// Len implements heap.Interface.
func (w waitList) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waitList) Less(i, j int) bool {
	a, b := w[i], w[j]
	if a.req.Foreign != b.req.Foreign {
		return b.req.Foreign
	}
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	if !a.req.Deadline.Equal(b.req.Deadline) {
		return a.req.Deadline.Before(b.req.Deadline)
	}
	return a.handle < b.handle
}

// Swap implements heap.Interface.
func (w waitList) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waitList) Push(x any) {
	c := x.(*call)
	c.index = len(*w)
	*w = append(*w, c)
}

// Pop implements heap.Interface.
func (w *waitList) Pop() any {
	old := *w
	last := len(old) - 1
	c := old[last]
	old[last] = nil
	*w = old[:last]
	return c
}
