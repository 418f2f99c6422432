package relay

import (
	"context"
	"sync"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/admission"
	"github.com/medlarshunt/medlarshunt/internal/api"
)

// admitter blocks searches until the queue admits or drops them. A queue decision and the registration of the waiting
// search are one step under mu, so that no wake-up is lost.
type admitter struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[admission.Handle]chan bool
}

func newAdmitter(q *admission.Queue) *admitter {
	return &admitter{queue: q, waiting: map[admission.Handle]chan bool{}}
}

// admit waits until the search may run. A refusal proves that nothing was run.
func (a *admitter) admit(ctx context.Context, r admission.Request) (admission.Handle, *api.Error) {
	now := time.Now()
	a.mu.Lock()
	d := a.queue.Offer(r, now)
	a.wakeAll(admission.Transitions{Drop: d.Drop})
	if d.Result != admission.Queued {
		a.mu.Unlock()
		if d.Result == admission.Refused {
			return 0, newRefusal(d.Reason, d.RetryAfter)
		}
		return d.Handle, nil
	}
	admitted := make(chan bool, 1)
	a.waiting[d.Handle] = admitted
	a.mu.Unlock()
	select {
	case ok := <-admitted:
		return a.waitResult(d.Handle, ok)
	case <-ctx.Done():
		a.mu.Lock()
		delete(a.waiting, d.Handle)
		cancelled := a.queue.Cancel(d.Handle)
		a.mu.Unlock()
		if !cancelled && <-admitted {
			// Admitted while the context ended: release it, so that the next search can start.
			a.release(d.Handle, false)
		}
		return 0, newRefusal(admission.ReasonNoTime, 0)
	}
}

func (a *admitter) waitResult(h admission.Handle, ok bool) (admission.Handle, *api.Error) {
	if !ok {
		return 0, newRefusal(admission.ReasonNoTime, a.queue.Status().ServiceTime)
	}
	return h, nil
}

func newRefusal(reason admission.Reason, retryAfter time.Duration) *api.Error {
	message := "the group is at its limit and the search could not start in time"
	if reason == admission.ReasonFull {
		message = "the group is at its limit and its queue is full"
	}
	return api.NewRefusal(api.CodeOverloaded, "", message).WithRetryAfter(retryAfter)
}

// release ends an admitted search and admits the next ones.
func (a *admitter) release(h admission.Handle, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeAll(a.queue.Release(h, complete, time.Now()))
}

func (a *admitter) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) > 0 {
		a.wakeAll(a.queue.Expire(now))
	}
}

func (a *admitter) setLimit(n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeAll(a.queue.SetLimit(n, now))
}

// wakeAll wakes the searches that were admitted or dropped. The caller holds mu.
func (a *admitter) wakeAll(t admission.Transitions) {
	for _, h := range t.Start {
		a.wake(h, true)
	}
	for _, h := range t.Drop {
		a.wake(h, false)
	}
}

func (a *admitter) wake(h admission.Handle, admitted bool) {
	if ch := a.waiting[h]; ch != nil {
		delete(a.waiting, h)
		ch <- admitted
	}
}

func (a *admitter) overloaded() bool { return a.queue.Status().Overloaded }
