package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// attemptMode says how an attempt runs. lease is set for an attempt that runs in isolation.
type attemptMode struct {
	lease      *quarantine.Lease
	lastResort bool // no other target is left to try
}

// pick chooses a target that holds the pinned version, is not reserved and has not been tried.
func (p *part) pick(tried []string) (balance.Choice, bool) {
	now := time.Now()
	if p.leg.relay.cfg.Baseline {
		return p.pickUniform(tried, now)
	}
	var choice balance.Choice
	var ok bool
	p.leg.relay.withRandom(func(rnd *rand.Rand) {
		choice, ok = p.service.picker.Pick(balance.Request{Tried: tried, Eligible: p.eligible(now)}, now, rnd)
	})
	return choice, ok
}

// pickUniform chooses a target uniformly at random, for the baseline.
func (p *part) pickUniform(tried []string, now time.Time) (balance.Choice, bool) {
	eligible := p.eligible(now)
	var ids []string
	for id := range p.service.targets {
		if eligible(id) && !slices.Contains(tried, id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return balance.Choice{}, false
	}
	slices.Sort(ids)
	var id string
	p.leg.relay.withRandom(func(rnd *rand.Rand) { id = ids[rnd.IntN(len(ids))] })
	return balance.Choice{Target: balance.Target{ID: id, Domain: p.service.targets[id].Domain}}, true
}

// countOtherTargets counts the targets that a second attempt could use.
func (p *part) countOtherTargets(tried []string) int {
	now := time.Now()
	return p.service.picker.CountAlternatives(balance.Request{Tried: tried, Eligible: p.eligible(now)}, now)
}

func (p *part) eligible(now time.Time) func(string) bool {
	return func(id string) bool {
		return p.holdsVersion(id) && !p.leg.relay.deps.Guard.ExpireAndCheckReserved(id, now)
	}
}

// attempt runs one attempt on the chosen target and passes its result to the estimator, the picker and the
// snapshot chooser.
func (r *Relay) attempt(ctx context.Context, p *part, choice balance.Choice, n int, mode attemptMode) (out attemptResult) {
	ctx, span := r.deps.Tracing.Start(ctx, "relay.attempt", attribute.String("service", p.assigned.Service),
		attribute.String("target", choice.Target.ID), attribute.Int("attempt", n))
	defer span.End()
	started := time.Now()
	observed := false
	defer r.deps.Panics.Contain("attempt", p.logFields(), func() {
		out = attemptResult{failure: peer.FailurePanic}
		r.metrics.countFailure(string(out.failure))
		if !observed { // the picker counts the call as in flight until then; the answer of this target may be at fault
			p.service.picker.Done(choice, balance.Observation{Result: balance.Failure}, time.Now())
		}
	})
	req := peer.AttemptRequest{
		Search: p.leg.req.Search, Snapshot: p.leg.req.Snapshot, Service: p.assigned.Service, Target: choice.Target.ID,
		Ranges: p.assigned.Ranges, AttemptID: fmt.Sprintf("%s/%d", p.assigned.Service, n), Isolated: mode.lease != nil, LastResort: mode.lastResort,
	}
	var res peer.AttemptResult
	var sent time.Time
	if choice.Target.Domain == r.cfg.Domain {
		res, sent = r.callLocal(ctx, req, p.leg.fp, mode, false)
	} else {
		res, sent = r.callRemote(ctx, choice.Target.Domain, req, p.leg.fp, mode)
		p.recordHop(choice.Target.ID, sent, res)
	}
	observed = true
	r.recordResult(ctx, p, choice, res, started, sent)
	out = attemptResult{failure: res.Failure, load: res.Load}
	if res.Failure != "" {
		r.metrics.countFailure(string(res.Failure))
		return out
	}
	out.part = coverage.CheckPart(p.assigned, p.leg.req.Snapshot, api.Part{
		Service: p.assigned.Service, Snapshot: res.Snapshot, Ranges: res.Ranges, Hits: res.Hits, Truncated: res.Truncated,
	})
	if !out.part.Answered() {
		out.failure = peer.Failure(target.FailureMismatch)
		r.metrics.countFailure(string(out.failure))
	}
	return out
}

// recordHop derives the round-trip time to another failure domain: the measured time less the time that the relay there
// took.
func (p *part) recordHop(targetID string, sent time.Time, res peer.AttemptResult) {
	if res.Failure != "" || res.ElapsedUS <= 0 {
		return
	}
	if rtt := time.Since(sent) - time.Duration(res.ElapsedUS)*time.Microsecond; rtt > 0 {
		p.service.picker.SetRTT(targetID, rtt)
	}
}

// recordResult passes the result to the latency estimator, the picker and the snapshot chooser.
func (r *Relay) recordResult(ctx context.Context, p *part, choice balance.Choice, res peer.AttemptResult, started, sent time.Time) {
	now := time.Now()
	o := balance.Observation{Result: resultFor(res.Failure), Latency: now.Sub(sent)}
	if sent.IsZero() {
		o.Latency = 0
	}
	if res.Load != nil {
		o.Incarnation = res.Load.Incarnation
		r.recordLoad(p.leg.group, p.assigned.Service, choice.Target.ID, *res.Load)
	}
	p.service.picker.Done(choice, o, now)
	switch o.Result {
	case balance.Success:
		p.service.estimator.Observe(now.Sub(started), now)
	case balance.Cancelled:
		p.service.estimator.ObserveCensored(now.Sub(started), now)
	}
	if res.Failure == peer.Failure(target.FailureVersionGone) && p.leg.group.chooser != nil {
		p.leg.group.chooser.ObserveRefusal(choice.Target.ID, p.assigned.Service, p.leg.req.Snapshot.IndexVersion, now)
	}
}

// resultFor returns what a failure says about the target. An expired deadline is a lower bound of the latency, not a
// failure: otherwise a caller with very short time budgets could have every target ejected.
func resultFor(f peer.Failure) balance.Result {
	switch f {
	case "":
		return balance.Success
	case peer.Failure(target.FailureTimeout):
		return balance.Cancelled
	case peer.Failure(target.FailureShed), peer.FailureRelayBusy:
		return balance.Shed
	case peer.Failure(target.FailureConnectionLost), peer.Failure(target.FailureMalformed), peer.Failure(target.FailureInternal),
		peer.Failure(target.FailureMismatch), peer.Failure(target.FailureNotSent), peer.FailureRelayLost:
		return balance.Failure
	default:
		return balance.Neutral
	}
}

// callLocal makes one attempt on a target of this failure domain. sent is zero when nothing was written.
func (r *Relay) callLocal(ctx context.Context, req peer.AttemptRequest, fp quarantine.Fingerprint, mode attemptMode, lowPriority bool) (res peer.AttemptResult, sent time.Time) {
	t := r.localTarget(req.Target)
	if t == nil {
		return notRun(peer.FailureNotServed, "this relay has no connection to the target"), sent
	}
	c, refused := r.openCall(ctx, t, fp, mode, lowPriority)
	if refused != nil {
		return *refused, sent
	}
	defer c.close()
	sent = time.Now()
	reply, err := t.client.Search(ctx, target.SearchCall{
		RequestID: req.Search.RequestID, AttemptID: req.AttemptID, Service: req.Service, Snapshot: req.Snapshot,
		Ranges: req.Ranges, Limit: req.Search.Limit, Query: req.Search.Query, Timeout: time.Until(c.deadline),
	})
	if err != nil {
		res = c.failed(ctx, err)
		if res.Outcome == api.OutcomeNotRun && res.Failure == peer.Failure(target.FailureNotSent) {
			sent = time.Time{}
		}
		return res, sent
	}
	c.answered()
	return peer.AttemptResult{
		Outcome: api.OutcomeRan, Snapshot: reply.Snapshot, Ranges: reply.Ranges, Hits: reply.Hits, Truncated: reply.Truncated,
		Load: &reply.Load,
	}, sent
}

func notRun(f peer.Failure, message string) peer.AttemptResult {
	return peer.AttemptResult{Failure: f, Outcome: api.OutcomeNotRun, Message: message}
}

// callRemote asks a relay of another failure domain for one attempt. The call is also registered with the quarantine
// guard of this node, so that a crash in the other failure domain makes the request suspect in its home relay at once.
func (r *Relay) callRemote(ctx context.Context, domain string, req peer.AttemptRequest, fp quarantine.Fingerprint, mode attemptMode) (peer.AttemptResult, time.Time) {
	deadline, _ := ctx.Deadline()
	req.TimeoutMS = time.Until(deadline).Milliseconds()
	req.Traceparent = r.deps.Tracing.Inject(ctx)
	call, failure := r.registerCall(quarantine.TargetRef{Group: req.Search.Group, Service: req.Service, Target: req.Target}, fp, mode)
	if failure != "" {
		return notRun(failure, "the target or the request is in quarantine"), time.Time{}
	}
	sent := time.Now()
	res, err := r.deps.Remotes.Attempt(ctx, domain, req)
	if err != nil {
		res = remoteErrorResult(ctx, err)
	}
	now := time.Now()
	r.reportQuarantineChanges(r.deps.Guard.End(call, remoteCallResult(res), now))
	if res.Died {
		r.reportQuarantineChanges(r.deps.Guard.TargetDied(req.Target, req.Search.Group, now))
	}
	return res, sent
}

func remoteErrorResult(ctx context.Context, err error) peer.AttemptResult {
	var failed *peer.Error
	outcome := api.OutcomeUnknown
	if errors.As(err, &failed) && failed.Kind == peer.FailureNotSent {
		outcome = api.OutcomeNotRun
	}
	f := peer.FailureRelayLost
	if ctx.Err() != nil {
		f = peer.Failure(target.FailureTimeout)
	}
	return peer.AttemptResult{Failure: f, Outcome: outcome, Message: err.Error()}
}

func remoteCallResult(res peer.AttemptResult) quarantine.Result {
	switch {
	case res.Failure == "":
		return quarantine.Answered
	case res.Outcome == api.OutcomeNotRun:
		return quarantine.NotSent
	case res.Failure == peer.Failure(target.FailureConnectionLost) && res.Died:
		return quarantine.Lost
	case res.Failure == peer.FailureRelayLost || res.Failure == peer.Failure(target.FailureTimeout):
		return quarantine.Unanswered
	default:
		return quarantine.Failed
	}
}

// RunAttempt makes one attempt for the home relay of another failure domain: no retry, no hedge, no re-routing.
func (r *Relay) RunAttempt(ctx context.Context, req peer.AttemptRequest) peer.AttemptResult {
	ctx, span := r.deps.Tracing.Start(r.deps.Tracing.Extract(ctx, req.Traceparent), "relay.remote_attempt",
		attribute.String("service", req.Service), attribute.String("target", req.Target))
	defer span.End()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	fp := quarantine.FingerprintOf(req.Search.Group, req.Search.Kind, req.Search.Query)
	res := r.runForRemote(ctx, req, fp)
	if g := r.group(req.Search.Group); g != nil && res.Load != nil {
		r.recordLoad(g, req.Service, req.Target, *res.Load)
	}
	res.ElapsedUS = time.Since(started).Microseconds()
	return res
}

func (r *Relay) runForRemote(ctx context.Context, req peer.AttemptRequest, fp quarantine.Fingerprint) peer.AttemptResult {
	mode := attemptMode{}
	if req.Isolated {
		lease, failure := r.reserve(ctx, fp, quarantine.TargetRef{Group: req.Search.Group, Service: req.Service, Target: req.Target})
		if failure != "" {
			return notRun(failure, "the request cannot run alone now")
		}
		defer r.deps.Guard.Release(lease)
		mode.lease = lease
	}
	res, _ := r.callLocal(ctx, req, fp, mode, !req.LastResort)
	return res
}
