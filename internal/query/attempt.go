package query

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// failure says how an attempt ended; empty for a signed success.
type failure string

const (
	failureUnreachable failure = "unreachable" // no connection could be opened
	failureBusy        failure = "busy"        // no connection to the target became free in time
	failureLeaving     failure = "leaving"     // the target took no new work any more when its turn came
	failureShed        failure = "shed"        // the target refused to run it
	failureMisplaced   failure = "misplaced"   // another target has the address
	failureError       failure = "error"       // the target answered with an error
	failureLost        failure = "lost"        // the connection ended before the answer was complete
	failureMalformed   failure = "malformed"   // what arrived is not an answer to the request
	failureCancelled   failure = "cancelled"   // not needed any more, or out of time
)

// attemptResult is the end of one attempt.
type attemptResult struct {
	target  string
	reply   *Reply // set when the target answered
	failure failure
	written bool // the request may have reached the target
	notRun  bool // there is proof that it did not run
	elapsed time.Duration
	err     error
}

func (r attemptResult) served() bool { return r.failure == "" }

var errLeaving = eris.New("the target leaves")

// youngIdle is the longest idle time of a connection that a request which must not run twice is written on: a target may
// have forgotten an older one, and the request's fate would be unknown.
const youngIdle = 500 * time.Millisecond

// attempt runs one call on the chosen target.
func (w *work) attempt(ctx context.Context, choice balance.Choice, fresh bool) attemptResult {
	e := w.engine
	started := time.Now()
	res := attemptResult{target: choice.Target.ID}
	life := e.deps.Charts.Attempt.NewMachine()
	e.fire(life, statechart.AttemptEnqueue)
	if client := e.client(choice.Target.ID); client == nil {
		res.failure, res.notRun, res.err = failureLeaving, true, errLeaving
	} else {
		w.call(ctx, client, &res, life, fresh)
	}
	res.elapsed = time.Since(started)
	e.fire(life, res.event())
	w.service.picker.Done(choice, w.observation(res), time.Now())
	e.m.ended(res)
	return res
}

// call writes the request to the target and fills in the result.
func (w *work) call(ctx context.Context, client *targetClient, res *attemptResult, life *attemptLife, fresh bool) {
	e := w.engine
	call := &httpcall.Call{
		Body: w.req.Body, Bodiless: w.req.Method == http.MethodHead, Priority: w.route.Priority,
		Owns: func(h http.Header) bool { return e.deps.Codec.Owns(w.req, h) },
	}
	switch {
	case fresh:
		call.MaxIdle = -1
	case w.route.Kind == routing.NonIdempotent:
		call.MaxIdle = youngIdle
	}
	id := client.info.ID
	resp, err := client.pool.Do(ctx, call, func() error {
		if !e.takesWork(client) {
			return errLeaving
		}
		call.Head = e.deps.Codec.Head(w.req, id, time.Until(w.deadline))
		e.fire(life, statechart.AttemptSend)
		return nil
	})
	if err != nil {
		res.fail(err)
		if res.failure == failureLost && res.written {
			e.checkCrash(client, crashSuspect{fp: w.fp, attempt: w.req.ID})
		}
		return
	}
	res.written = true
	reply := e.deps.Codec.Reply(resp.Status, resp.Header, resp.Body)
	reply.Leaving = reply.Leaving || resp.Closing
	res.answer(&reply)
}

// fail classifies a call without an answer.
func (r *attemptResult) fail(err error) {
	r.err = err
	var failed *httpcall.Error
	if !errors.As(err, &failed) {
		r.failure = failureLost
		return
	}
	r.written, r.notRun = failed.Written, !failed.Written
	switch {
	case errors.Is(err, errLeaving):
		r.failure = failureLeaving
	case failed.Kind == httpcall.KindUnreachable:
		r.failure = failureUnreachable
	case failed.Kind == httpcall.KindBusy:
		r.failure = failureBusy
	case failed.Kind == httpcall.KindCancelled:
		r.failure = failureCancelled
	case failed.Kind == httpcall.KindMalformed:
		r.failure = failureMalformed
	default:
		r.failure = failureLost
	}
}

// answer classifies a complete answer.
func (r *attemptResult) answer(reply *Reply) {
	r.reply = reply
	switch {
	case reply.OtherTarget:
		r.failure, r.notRun = failureMisplaced, true
	case reply.NotRun:
		r.failure, r.notRun = failureShed, true
	case !reply.success():
		r.failure = failureError
	}
}

// event is the event of the attempt chart with which the attempt ends.
func (r *attemptResult) event() statechart.AttemptEvent {
	switch {
	case r.served():
		return statechart.AttemptAnswer
	case r.failure == failureCancelled:
		return statechart.AttemptCancel
	case r.notRun:
		return statechart.AttemptRefuse
	default:
		return statechart.AttemptFail
	}
}

// observation is what the attempt tells about its target.
func (w *work) observation(r attemptResult) balance.Observation {
	o := balance.Observation{Latency: r.elapsed}
	switch r.failure {
	case "":
		o.Result = balance.Success
	case failureUnreachable, failureMisplaced:
		o.Result = balance.Unreachable
	case failureShed:
		o.Result = balance.Shed
	case failureError, failureLost, failureMalformed:
		o.Result = balance.Failure
	case failureCancelled:
		o.Result = balance.Cancelled
	default:
		o.Result = balance.Neutral
	}
	if r.failure == failureError && r.reply.Status < http.StatusInternalServerError {
		o.Result = balance.Success // the target works; it does not like the request
	}
	return o
}
