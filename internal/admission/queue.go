// Package admission decides which searches of a group a relay runs, queues or refuses. Callers and kinds share the
// capacity by weighted fair queueing in virtual time. The package reads no clock and starts no goroutines.
package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// Request is a search that asks for admission.
type Request struct {
	Caller       string
	CallerWeight float64 // zero and negative values count as 1
	CallerLimit  int     // concurrent searches of the caller; 0 for no limit
	Kind         string
	KindWeight   float64 // zero and negative values count as 1
	Deadline     time.Time
}

// OfferResult is the result of an Offer.
type OfferResult int

// Results of an Offer.
const (
	Admitted OfferResult = iota
	Queued
	Refused
)

// Reason says why a search was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonNoTime Reason = "no_time" // too little time remains for the expected service time and wait
	ReasonFull   Reason = "full"    // the queue is full
)

// Decision is the result of Offer. Handle is set unless the search was refused, Reason and RetryAfter only when it was.
// Drop lists queued searches that were evicted or ran out of time; the relay refuses them too.
type Decision struct {
	Result     OfferResult
	Handle     Handle
	Reason     Reason
	RetryAfter time.Duration
	Drop       []Handle
}

// Transitions lists the queued searches to start, which are admitted now, and to drop, which were not run.
type Transitions struct {
	Start []Handle
	Drop  []Handle
}

// Config holds the limits of a Queue.
type Config struct {
	Limit       int           // concurrent searches, from ConcurrencyLimit
	MaxQueue    int           // queued searches; 0 selects DefaultQueueRatio × Limit
	ServiceTime time.Duration // expected time of a search until the first completed ones are measured
}

const (
	// DefaultQueueRatio is the default maximum of queued searches per concurrent search; a longer queue only holds
	// searches that will miss their deadlines.
	DefaultQueueRatio = 16
	// defaultServiceTime applies when no expected time is configured.
	defaultServiceTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal suggests.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Queue admits the searches of one group in its home relay. It is safe for concurrent use.
type Queue struct {
	mu             panics.Mutex // guards all fields below
	limit          limiter
	maxQueue       int
	serviceTime    serviceTimeEstimator
	virtualTime    float64 // shared by the callers
	lastHandle     Handle
	queued         int // number of queued searches of all callers
	callers        map[string]*caller
	running        map[Handle]runningSearch
	queuedByHandle map[Handle]*queuedSearch
}

// runningSearch is an admitted search that has not been released.
type runningSearch struct {
	caller *caller
	start  time.Time
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{
		callers:        map[string]*caller{},
		running:        map[Handle]runningSearch{},
		queuedByHandle: map[Handle]*queuedSearch{},
	}
	q.limit.setMax(max(c.Limit, 1))
	q.maxQueue = c.MaxQueue
	if q.maxQueue <= 0 {
		q.maxQueue = DefaultQueueRatio * max(c.Limit, 1)
	}
	if c.ServiceTime <= 0 {
		c.ServiceTime = defaultServiceTime
	}
	q.serviceTime.setInitial(c.ServiceTime)
	return q
}

// Offer admits, queues or refuses a search.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Decision{Drop: q.dropExpired(now)}
	c := q.callerFor(r)
	remaining := r.Deadline.Sub(now)
	if remaining < q.serviceTime.minRemaining(now) {
		return q.refuse(c, d, ReasonNoTime)
	}
	f := c.flow(r.Kind, weightOrDefault(r.KindWeight))
	if q.queued == 0 && q.hasRoom() && !c.atLimit() {
		q.lastHandle++
		d.Handle = q.lastHandle
		q.admit(d.Handle, c, f, now)
		return d
	}
	if q.expectedWait(c) > remaining-q.serviceTime.minRemainingQueued(now) {
		return q.refuse(c, d, ReasonNoTime)
	}
	if q.queued >= q.maxQueue {
		evicted := q.evictionCandidate(c)
		if evicted == nil {
			return q.refuse(c, d, ReasonFull)
		}
		q.drop(evicted)
		d.Drop = append(d.Drop, evicted.handle)
	}
	d.Result, d.Handle = Queued, q.enqueue(c, f, r.Deadline)
	return d
}

func weightOrDefault(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}

func (q *Queue) callerFor(r Request) *caller {
	c := q.callers[r.Caller]
	if c == nil {
		c = &caller{name: r.Caller}
		q.callers[r.Caller] = c
	}
	c.weight, c.limit = weightOrDefault(r.CallerWeight), r.CallerLimit
	return c
}

func (q *Queue) hasRoom() bool { return len(q.running) < q.limit.current() }

func (q *Queue) refuse(c *caller, d Decision, reason Reason) Decision {
	d.Result, d.Reason = Refused, reason
	d.RetryAfter = min(max(q.expectedWait(c), minRetryAfter), maxRetryAfter)
	q.removeIfIdle(c)
	return d
}

// removeIfIdle removes a caller without searches unless its virtual time is ahead of the shared one, which it is by at
// most the one search that it was last charged for.
func (q *Queue) removeIfIdle(c *caller) {
	if c.idle() && c.virtualStart <= q.virtualTime {
		delete(q.callers, c.name)
	}
}

// enqueue adds a search to its flow. A caller without queued searches joins at the current virtual time.
func (q *Queue) enqueue(c *caller, f *flow, deadline time.Time) Handle {
	q.lastHandle++
	e := &queuedSearch{handle: q.lastHandle, flow: f, caller: c, deadline: deadline}
	if c.queued == 0 {
		c.virtualStart = max(c.virtualStart, q.virtualTime)
	}
	c.push(e)
	q.queuedByHandle[e.handle] = e
	q.queued++
	return e.handle
}

func (q *Queue) admit(h Handle, c *caller, f *flow, now time.Time) {
	q.virtualTime = max(q.virtualTime, c.virtualStart)
	c.charge(f, q.virtualTime)
	c.running++
	q.running[h] = runningSearch{caller: c, start: now}
}

func (q *Queue) drop(e *queuedSearch) {
	e.caller.remove(e)
	delete(q.queuedByHandle, e.handle)
	q.queued--
	q.removeIfIdle(e.caller)
}

// Release ends an admitted search and returns what to start and to drop. complete says that all its parts were
// answered; only such searches show how much time a search needs.
func (q *Queue) Release(h Handle, complete bool, now time.Time) Transitions {
	q.mu.Lock()
	defer q.mu.Unlock()
	if search, ok := q.running[h]; ok {
		delete(q.running, h)
		search.caller.running--
		q.serviceTime.observe(now.Sub(search.start), complete, now)
		q.removeIfIdle(search.caller)
	}
	return q.startNext(now)
}

// Cancel removes a queued search whose caller has gone. It reports false when the search is no longer queued.
func (q *Queue) Cancel(h Handle) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.queuedByHandle[h]
	if ok {
		q.drop(e)
	}
	return ok
}

// Expire drops the queued searches that can no longer complete in time, and starts others where there is room. Call it
// periodically: the period bounds how late a search is dropped.
func (q *Queue) Expire(now time.Time) Transitions {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startNext(now)
}

// startNext drops expired searches and admits queued ones while there is room.
func (q *Queue) startNext(now time.Time) Transitions {
	t := Transitions{Drop: q.dropExpired(now)}
	for q.hasRoom() {
		c := q.nextCaller()
		if c == nil {
			break
		}
		f := c.nextFlow()
		e := heap.Pop(f).(*queuedSearch)
		c.queued--
		q.queued--
		delete(q.queuedByHandle, e.handle)
		q.admit(e.handle, c, f, now)
		t.Start = append(t.Start, e.handle)
	}
	return t
}

// nextCaller returns the caller to serve: the one with the least virtual start among those with queued searches and
// room under their own limits.
func (q *Queue) nextCaller() *caller {
	var best *caller
	for _, c := range q.callers {
		if c.queued == 0 || c.atLimit() {
			continue
		}
		if best == nil || c.virtualStart < best.virtualStart || c.virtualStart == best.virtualStart && c.name < best.name {
			best = c
		}
	}
	return best
}

// dropExpired drops the queued searches whose remaining time is below minRemainingQueued, and returns their handles in
// ascending order.
func (q *Queue) dropExpired(now time.Time) []Handle {
	latestStart := now.Add(q.serviceTime.minRemainingQueued(now))
	var dropped []Handle
	for _, c := range q.callers {
		for _, f := range c.flows {
			for len(f.entries) > 0 && f.entries[0].deadline.Before(latestStart) {
				e := f.entries[0]
				q.drop(e)
				dropped = append(dropped, e.handle)
			}
		}
	}
	slices.Sort(dropped)
	return dropped
}
