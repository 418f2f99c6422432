package query

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// failure is the reason why an attempt failed, and the result label of its metric. It is empty for a signed success.
type failure string

const (
	failureUnreachable failure = "unreachable" // no connection could be opened
	failureBusy        failure = "busy"        // no connection to the target became free in time
	failureLeaving     failure = "leaving"     // the target accepted no new requests when the attempt was to be written
	failureShed        failure = "shed"        // the target refused to run the request
	failureMisplaced   failure = "misplaced"   // the address now belongs to another target
	failureError       failure = "error"       // the target answered with an error
	failureLost        failure = "lost"        // the connection ended before the answer was complete
	failureMalformed   failure = "malformed"   // the response is invalid, too large, or does not belong to the request
	failureNoMemory    failure = "no_memory"   // this node has no memory left for the response
	failureInternal    failure = "internal"    // a panic of this node; the request may have run
	failureUnwanted    failure = "unwanted"    // no target wants a request of this node soon enough, by what they said
	failureCancelled   failure = "cancelled"   // no longer needed, or out of time
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	target  string
	reply   *Reply // set when the target answered
	failure failure
	written bool // the request may have reached the target
	notRun  bool // the request is proved not to have run in this attempt
	elapsed time.Duration
	err     error
}

func (r attemptResult) succeeded() bool { return r.failure == "" }

var (
	errTargetUnavailable = eris.New("target is draining or no longer registered")
	errUnwanted          = eris.New("target wants no request now, by what it said")
)

// maxPartBytes bounds the part of one shard. Of a part, only the records that can be in the answer are kept.
const maxPartBytes = 1 << 20

// nonIdempotentMaxIdle is the longest idle time of a connection that is reused for a non-idempotent request. A target may
// have dropped a connection that was idle for longer, and whether the request ran would be unknown.
const nonIdempotentMaxIdle = 500 * time.Millisecond

// attempt calls the chosen target once and reports the result to the picker and the metrics.
func (c *serviceCall) attempt(ctx context.Context, choice balance.Choice, kind attempts.Kind, newConnection bool) (res attemptResult) {
	e := c.engine
	started := time.Now()
	observed := false
	defer e.deps.Panics.Contain("attempt", c.logFields(), func() {
		res = attemptResult{target: choice.Target.ID, failure: failureInternal, written: true, elapsed: time.Since(started)}
		if !observed { // the picker counts the call as in flight until then
			c.service.picker.Done(choice, c.observation(res), time.Now())
		}
	})
	res.target = choice.Target.ID
	lifecycle := e.deps.Charts.Attempt.NewMachine()
	e.fire(lifecycle, statechart.AttemptEnqueue)
	if client := e.client(choice.Target.ID); client == nil {
		res.failure, res.notRun, res.err = failureLeaving, true, errTargetUnavailable
	} else {
		c.call(ctx, client, started, &res, lifecycle, kind, newConnection)
	}
	res.elapsed = time.Since(started)
	e.fire(lifecycle, res.endEvent())
	observed = true
	c.service.picker.Done(choice, c.observation(res), time.Now())
	e.metrics.observeAttempt(res)
	return res
}

// call writes the request, which fell due at a moment, to the target and fills in the result.
func (c *serviceCall) call(ctx context.Context, client *targetClient, due time.Time, res *attemptResult, lifecycle *attemptLifecycle, kind attempts.Kind, newConnection bool) {
	e := c.engine
	call := &httpcall.Call{
		Body: c.req.Body, NoResponseBody: c.req.Method == http.MethodHead, Priority: c.route.Priority,
		MatchResponse: func(h http.Header) httpcall.Match { return e.deps.Codec.MatchResponse(c.req, h) },
		Reserve:       c.memory.Reserve,
	}
	if c.route.Gathers() {
		call.MaxResponseBytes = maxPartBytes
	}
	switch {
	case newConnection:
		call.MaxIdle = -1
	case c.route.Kind == routing.NonIdempotent:
		call.MaxIdle = nonIdempotentMaxIdle
	}
	id := client.id
	resp, err := client.pool.Do(ctx, call, func() error {
		if !e.acceptsRequests(client) {
			return errTargetUnavailable
		}
		if !client.redeem(due, time.Now()) {
			return errUnwanted
		}
		call.RequestHead = e.deps.Codec.EncodeHead(c.req, id, time.Until(c.deadline))
		e.fire(lifecycle, statechart.AttemptSend)
		if client.report.restricted.Load() {
			e.metrics.restrictedAttempts[kind].Inc()
		}
		return nil
	})
	if err != nil {
		res.setError(err)
		if !res.written {
			client.returnReservation(due)
		}
		if res.failure == failureLost && res.written {
			e.checkCrash(client, crashSuspect{fp: c.fp, requestID: c.req.ID})
		}
		return
	}
	res.written = true
	reply := e.deps.Codec.DecodeReply(resp.Status, resp.Header, resp.Body)
	reply.ConnectionClosing = reply.ConnectionClosing || resp.Closing
	res.setReply(&reply)
	if !reply.WrongTarget {
		e.hear(client, reply.Notice)
	}
}

// setError classifies a call that ended without an answer.
func (r *attemptResult) setError(err error) {
	r.err = err
	var callErr *httpcall.Error
	if !errors.As(err, &callErr) {
		r.failure = failureLost
		return
	}
	r.written, r.notRun = callErr.Written, !callErr.Written
	switch {
	case errors.Is(err, errTargetUnavailable):
		r.failure = failureLeaving
	case errors.Is(err, errUnwanted):
		r.failure = failureUnwanted
	case callErr.Kind == httpcall.KindUnreachable:
		r.failure = failureUnreachable
	case callErr.Kind == httpcall.KindBusy:
		r.failure = failureBusy
	case callErr.Kind == httpcall.KindCancelled:
		r.failure = failureCancelled
	case callErr.Kind == httpcall.KindMalformed, callErr.Kind == httpcall.KindTooLarge:
		r.failure = failureMalformed
	case callErr.Kind == httpcall.KindNoMemory:
		r.failure = failureNoMemory
	default:
		r.failure = failureLost
	}
}

// setReply classifies a complete answer.
func (r *attemptResult) setReply(reply *Reply) {
	r.reply = reply
	switch {
	case reply.WrongTarget:
		r.failure, r.notRun = failureMisplaced, true
	case reply.NotRun:
		r.failure, r.notRun = failureShed, true
	case !reply.success():
		r.failure = failureError
	}
}

// endEvent returns the state chart event that ends the attempt.
func (r *attemptResult) endEvent() statechart.AttemptEvent {
	switch {
	case r.succeeded():
		return statechart.AttemptAnswer
	case r.failure == failureCancelled:
		return statechart.AttemptCancel
	case r.notRun:
		return statechart.AttemptRefuse
	default:
		return statechart.AttemptFail
	}
}

// observation converts the result of an attempt to what it says about the health of its target.
func (c *serviceCall) observation(r attemptResult) balance.Observation {
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
		o.Result = balance.Success // the target works; the fault is in the request
	}
	return o
}
