package targetqueue

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// Errors of Acquire. In either case the call was not sent.
var (
	ErrShed   = eris.New("target queue: shed")    // a LowPriority call while others wait, or the queue is full
	ErrNoTime = eris.New("target queue: no time") // the call could not complete before its deadline
)

// Gate wraps a Queue for goroutines that block until they hold a slot. It is safe for concurrent use.
type Gate struct {
	queue *Queue
	now   func() time.Time

	mu      panics.Mutex         // guards waiting; also held during changes of queue so that no wakeup is lost
	waiting map[Handle]chan bool // each receives true when the call gets a slot, false when it is dropped
}

// NewGate returns a gate for a target with the given number of slots.
func NewGate(slots int, now func() time.Time) *Gate {
	return &Gate{queue: New(slots), now: now, waiting: map[Handle]chan bool{}}
}

// Acquire waits for a slot until ctx ends. On success the caller must call release; further calls of it have no effect. Errors
// are ErrShed, ErrNoTime, or the cause of ctx.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(), err error) {
	g.mu.Lock()
	result, h, transitions := g.queue.Offer(r, g.now())
	g.notify(transitions)
	var granted chan bool
	if result == Queued {
		granted = make(chan bool, 1)
		g.waiting[h] = granted
	}
	g.mu.Unlock()
	switch result {
	case Started:
		return g.releaseFunc(h), nil
	case NoTime:
		return nil, ErrNoTime
	case Shed, Full:
		return nil, ErrShed
	}
	return g.wait(ctx, h, r, granted)
}

func (g *Gate) wait(ctx context.Context, h Handle, r Request, granted chan bool) (func(), error) {
	expiry := time.NewTimer(r.Deadline.Add(-r.Expected).Sub(g.now()))
	defer expiry.Stop()
	select {
	case started := <-granted:
		return g.finishWait(h, started)
	case <-expiry.C:
		return g.cancelWait(h, granted, ErrNoTime)
	case <-ctx.Done():
		return g.cancelWait(h, granted, context.Cause(ctx))
	}
}

func (g *Gate) finishWait(h Handle, started bool) (func(), error) {
	if !started {
		return nil, ErrNoTime
	}
	return g.releaseFunc(h), nil
}

// cancelWait removes the call from the queue. A slot that was granted at the same moment is released.
func (g *Gate) cancelWait(h Handle, granted chan bool, cause error) (func(), error) {
	g.mu.Lock()
	waiting, transitions := g.queue.Cancel(h, g.now())
	g.notify(transitions)
	delete(g.waiting, h)
	g.mu.Unlock()
	if !waiting {
		if started := <-granted; started {
			g.releaseFunc(h)()
		}
	}
	return nil, cause
}

func (g *Gate) releaseFunc(h Handle) func() {
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.notify(g.queue.Release(h, g.now()))
	}
}

// notify wakes the waiting calls that got a slot or were dropped. It does not block: each channel has room for the one value
// that it receives.
func (g *Gate) notify(transitions Transitions) {
	for _, h := range transitions.Start {
		g.wake(h, true)
	}
	for _, h := range transitions.Drop {
		g.wake(h, false)
	}
}

func (g *Gate) wake(h Handle, started bool) {
	if granted, ok := g.waiting[h]; ok {
		granted <- started
		delete(g.waiting, h)
	}
}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.queue.SetSlots(slots, g.now()))
}

// Counts returns the calls in flight and waiting.
func (g *Gate) Counts() (inFlight, waiting int) { return g.queue.Counts() }
