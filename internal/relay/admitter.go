package relay

import (
	"context"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/admission"
	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// admitter blocks searches until the queue admits or drops them. A queue decision and the registration of the waiting
// search are one step under mu, so that no wake-up is lost.
type admitter struct {
	mu      panics.Mutex
	queue   *admission.Queue
	waiting map[admission.Handle]chan bool
}

func newAdmitter(q *admission.Queue) *admitter {
	return &admitter{queue: q, waiting: map[admission.Handle]chan bool{}}
}

// admit waits until the search may run. A refusal proves that nothing was run.
func (a *admitter) admit(ctx context.Context, r admission.Request) (admission.Handle, *api.Error) {
	d, admitted := a.offer(r, time.Now())
	switch d.Result {
	case admission.Queued:
	case admission.Refused:
		return 0, newRefusal(d.Reason, d.RetryAfter)
	default:
		return d.Handle, nil
	}
	select {
	case ok := <-admitted:
		return a.waitResult(d.Handle, ok)
	case <-ctx.Done():
		if !a.cancel(d.Handle) && <-admitted {
			// Admitted while the context ended: release it, so that the next search can start.
			a.release(d.Handle, false)
		}
		return 0, newRefusal(admission.ReasonNoTime, 0)
	}
}

// offer passes a search to the queue. A queued search is told over the channel whether it was admitted.
func (a *admitter) offer(r admission.Request, now time.Time) (admission.Decision, <-chan bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.queue.Offer(r, now)
	a.wakeAll(admission.Transitions{Drop: d.Drop})
	if d.Result != admission.Queued {
		return d, nil
	}
	admitted := make(chan bool, 1)
	a.waiting[d.Handle] = admitted
	return d, admitted
}

// cancel takes a search out of the queue, and returns false if it was admitted or dropped before.
func (a *admitter) cancel(h admission.Handle) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, h)
	return a.queue.Cancel(h)
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
