package relay

import (
	"context"
	"errors"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

// targetCall is a call that holds a slot of its target and is registered with the quarantine guard. It is written at
// most once, and ends with answered, failed or notSent.
type targetCall struct {
	relay     *Relay
	target    *localTarget
	deadline  time.Time
	machine   *attemptMachine
	guardCall *quarantine.Call
	release   func()
	ended     bool
}

// openCall waits for a slot of the target and checks, immediately before the write, what may have changed in the
// meantime. The second result is set when the call must not be written.
func (r *Relay) openCall(ctx context.Context, t *localTarget, fp quarantine.Fingerprint, mode attemptMode, lowPriority bool) (*targetCall, *peer.AttemptResult) {
	c := &targetCall{relay: r, target: t, machine: r.deps.Charts.Attempt.NewMachine()}
	c.deadline, _ = ctx.Deadline()
	r.fireAttempt(c.machine, statechart.AttemptEnqueue)
	var err error
	c.release, err = t.gate.Acquire(ctx, targetqueue.Request{Deadline: c.deadline, LowPriority: lowPriority, Isolated: mode.lease != nil})
	if err != nil {
		return nil, c.refuse(gateFailure(err), err.Error())
	}
	if r.isLeaving(t) {
		c.release()
		return nil, c.refuse(peer.Failure(target.FailureDraining), "the target leaves")
	}
	call, failure := r.registerCall(t.ref(), fp, mode)
	if failure != "" {
		c.release()
		return nil, c.refuse(failure, "the target or the request is in quarantine")
	}
	c.guardCall = call
	r.fireAttempt(c.machine, statechart.AttemptSend)
	return c, nil
}

func (c *targetCall) refuse(f peer.Failure, message string) *peer.AttemptResult {
	res := notRun(f, message)
	c.relay.fireAttempt(c.machine, attemptEndEvent(res))
	return &res
}

// close releases the slot. A call that has not ended, because of a panic, may still run.
func (c *targetCall) close() {
	defer c.release()
	if !c.ended {
		c.end(quarantine.Unanswered, statechart.AttemptCancel)
	}
}

func (c *targetCall) answered() { c.end(quarantine.Answered, statechart.AttemptAnswer) }

// notSent ends a call that was not written.
func (c *targetCall) notSent() { c.end(quarantine.NotSent, statechart.AttemptRefuse) }

func (c *targetCall) end(result quarantine.Result, event statechart.AttemptEvent) {
	c.ended = true
	c.relay.fireAttempt(c.machine, event)
	c.relay.reportQuarantineChanges(c.relay.deps.Guard.End(c.guardCall, result, time.Now()))
}

// failed classifies a failed call and, after a lost connection, checks whether the target died.
func (c *targetCall) failed(ctx context.Context, err error) peer.AttemptResult {
	var failed *target.Error
	if !errors.As(err, &failed) {
		failed = &target.Error{Kind: target.FailureInternal, Outcome: api.OutcomeUnknown, Err: err}
	}
	res := peer.AttemptResult{Failure: peer.Failure(failed.Kind), Outcome: failed.Outcome, Message: failed.Error(), Load: failed.Load}
	c.end(callResultFor(failed.Kind), attemptEndEvent(res))
	switch failed.Kind {
	case target.FailureConnectionLost:
		res.Died = c.relay.checkTargetDied(ctx, c.target)
	case target.FailureDraining:
		c.relay.reportLeaving(c.target.id, incarnationOf(failed.Load))
	}
	return res
}

// reportLeaving records that a target itself reported that it is leaving, and tells the peers.
func (r *Relay) reportLeaving(targetID, incarnation string) {
	r.MarkLeaving(targetID, incarnation)
	if r.deps.OnTargetLeaving != nil {
		r.deps.OnTargetLeaving(targetID, incarnation)
	}
}

func gateFailure(err error) peer.Failure {
	switch {
	case errors.Is(err, targetqueue.ErrShed):
		return peer.FailureRelayBusy
	case errors.Is(err, targetqueue.ErrNoTime):
		return peer.FailureNoTime
	default:
		return peer.Failure(target.FailureTimeout)
	}
}

// isLeaving reports whether the target is known to be leaving. It is checked before each write: a call may have waited
// in the queue since its target was chosen, and the home relay of another failure domain may not have the mark yet.
func (r *Relay) isLeaving(t *localTarget) bool {
	g := r.group(t.group)
	return g != nil && g.services[t.service] != nil && g.services[t.service].picker.IsLeaving(t.id)
}

// registerCall registers the call with the quarantine guard immediately before it is written.
func (r *Relay) registerCall(ref quarantine.TargetRef, fp quarantine.Fingerprint, mode attemptMode) (*quarantine.Call, peer.Failure) {
	var call *quarantine.Call
	var err error
	if mode.lease != nil {
		call, err = r.deps.Guard.StartIsolated(mode.lease, time.Now())
	} else {
		call, err = r.deps.Guard.Start(fp, ref, time.Now())
	}
	if err == nil {
		return call, ""
	}
	var refused *quarantine.Error
	if !errors.As(err, &refused) {
		return nil, peer.FailureReserved
	}
	switch refused.Kind {
	case quarantine.KindSuspect:
		return nil, peer.FailureSuspect
	case quarantine.KindRefused:
		return nil, peer.FailureQuarantined
	default:
		return nil, peer.FailureReserved
	}
}

func incarnationOf(l *target.Load) string {
	if l == nil {
		return ""
	}
	return l.Incarnation
}

func callResultFor(k target.FailureKind) quarantine.Result {
	switch k {
	case target.FailureNotSent:
		return quarantine.NotSent
	case target.FailureTimeout:
		return quarantine.Unanswered
	case target.FailureConnectionLost:
		return quarantine.Lost
	default:
		return quarantine.Failed
	}
}
