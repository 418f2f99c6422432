// Package targetqueue limits the calls in flight on one target to its slots. Waiting calls are ordered: LowPriority calls last,
// then by Priority and deadline. An isolated call runs without any other on the target. Queue has no clocks or goroutines; Gate
// wraps it for blocking use.
package targetqueue

import (
	"container/heap"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// Handle identifies a call that holds or waits for a slot. Handles are never reused.
type Handle uint64

// Request is a call that asks for a slot.
type Request struct {
	Deadline    time.Time     // the call must have its response by then
	Expected    time.Duration // expected duration of the call; it is dropped when less time remains
	LowPriority bool          // an attempt from another failure domain, with other targets left; starts last, whatever its Priority
	Priority    int           // of the request; smaller numbers are more urgent and go first
	Isolated    bool          // runs with no other call in flight on the target
}

// OfferResult is the result of an Offer.
type OfferResult int

// Results of an Offer.
const (
	Started OfferResult = iota
	Queued
	Shed   // a LowPriority call while others wait
	NoTime // the call could not complete before its deadline
	Full   // the queue is full
)

// Transitions lists the waiting calls that now hold a slot, and those that were dropped and count as not sent.
type Transitions struct {
	Start []Handle
	Drop  []Handle
}

// QueuePerSlot bounds the waiting calls per slot.
const QueuePerSlot = 16

// Queue holds the slots of one target. It is safe for concurrent use.
type Queue struct {
	mu         panics.Mutex // guards all fields below
	slots      int
	inFlight   map[Handle]struct{}
	isolated   bool // the one call in flight is isolated
	waiting    waitHeap
	byHandle   map[Handle]*call
	lastHandle Handle
}

type call struct {
	handle    Handle
	req       Request
	heapIndex int
}

// latestStart is the time after which the call can no longer complete before its deadline.
func (c *call) latestStart() time.Time { return c.req.Deadline.Add(-c.req.Expected) }

// New returns a queue for a target with the given number of slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), inFlight: map[Handle]struct{}{}, byHandle: map[Handle]*call{}}
}

// Offer requests a slot. The handle is valid when the result is Started or Queued.
func (q *Queue) Offer(r Request, now time.Time) (OfferResult, Handle, Transitions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	transitions := q.advance(now)
	c := &call{req: r}
	if c.latestStart().Before(now) {
		return NoTime, 0, transitions
	}
	empty := len(q.waiting) == 0
	switch {
	case empty && q.canStart(c):
		return Started, q.start(q.newHandle(), r.Isolated), transitions
	case r.LowPriority && !empty:
		return Shed, 0, transitions
	case len(q.waiting) >= QueuePerSlot*q.slots:
		return Full, 0, transitions
	}
	c.handle = q.newHandle()
	q.byHandle[c.handle] = c
	heap.Push(&q.waiting, c)
	return Queued, c.handle, transitions
}

func (q *Queue) newHandle() Handle { q.lastHandle++; return q.lastHandle }

// canStart reports whether a slot is free for the call. An isolated call needs a target without other calls.
func (q *Queue) canStart(c *call) bool {
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
func (q *Queue) Release(h Handle, now time.Time) Transitions {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.inFlight[h]; ok {
		delete(q.inFlight, h)
		q.isolated = false // an isolated call is the only one in flight
	}
	return q.advance(now)
}

// Cancel removes a waiting call. It reports false when the call is no longer waiting. Removing an isolated call can
// let others start.
func (q *Queue) Cancel(h Handle, now time.Time) (bool, Transitions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok := q.byHandle[h]
	if ok {
		heap.Remove(&q.waiting, c.heapIndex)
		delete(q.byHandle, h)
	}
	return ok, q.advance(now)
}

// Expire drops the waiting calls that can no longer complete before their deadlines.
func (q *Queue) Expire(now time.Time) Transitions {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.advance(now)
}

// advance drops expired calls and starts waiting calls in order while slots are free. An isolated call at the head of the
// queue blocks the others until the target is empty.
func (q *Queue) advance(now time.Time) Transitions {
	transitions := Transitions{Drop: q.expire(now)}
	for len(q.waiting) > 0 && q.canStart(q.waiting[0]) {
		c := heap.Pop(&q.waiting).(*call)
		delete(q.byHandle, c.handle)
		transitions.Start = append(transitions.Start, q.start(c.handle, c.req.Isolated))
	}
	return transitions
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
func (q *Queue) SetSlots(slots int, now time.Time) Transitions {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 1)
	return q.advance(now)
}

// Counts returns the calls in flight and waiting.
func (q *Queue) Counts() (inFlight, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.inFlight), len(q.waiting)
}

// waitHeap orders the waiting calls: LowPriority ones last, then by Priority, deadline and arrival.
type waitHeap []*call

// Len implements heap.Interface.
func (w waitHeap) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waitHeap) Less(i, j int) bool {
	a, b := w[i], w[j]
	if a.req.LowPriority != b.req.LowPriority {
		return b.req.LowPriority
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
func (w waitHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (w *waitHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*w)
	*w = append(*w, c)
}

// Pop implements heap.Interface.
func (w *waitHeap) Pop() any {
	old := *w
	last := len(old) - 1
	c := old[last]
	old[last] = nil
	*w = old[:last]
	return c
}
