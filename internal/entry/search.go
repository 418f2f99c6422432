package entry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/snapshot"
)

// answerReserve is kept from the time budget for the merge and the write of the answer.
const answerReserve = time.Millisecond

// Search answers one search within its time budget.
func (e *Entry) Search(ctx context.Context, s api.Search, g *config.Group, budget time.Duration) (api.Answer, *api.Error) {
	ctx, span := e.deps.Tracing.Start(ctx, "entry.search", attribute.String("request_id", s.RequestID), attribute.String("group", s.Group))
	defer span.End()
	deadline := time.Now().Add(budget - answerReserve)
	chooser, ok := e.deps.Topology.View().Chooser(g.Name)
	if !ok {
		return api.Answer{}, api.Refuse(api.CodeUnknownGroup, "group", "the group is not configured")
	}
	query := snapshot.Query{Range: s.Range}
	choice, ok := chooser.Choose(query, time.Now())
	if !ok {
		return api.Answer{}, api.Refuse(api.CodeNoSnapshot, "", "no index version of the group is published for this key range")
	}
	answer, refusal := e.runOn(ctx, s, choice, deadline)
	if refusal != nil {
		return api.Answer{}, refusal
	}
	if again, ok := e.restartOn(chooser, query, choice, answer, deadline); ok {
		e.m.restarts.Inc()
		restarted, refusal := e.runOn(ctx, s, again, deadline)
		if refusal == nil && restarted.Coverage.Fraction > answer.Coverage.Fraction {
			restarted.Restarted = true
			return restarted, nil
		}
	}
	return answer, nil
}

// restartOn returns another snapshot when the pinned one was not held by a service: a newer one, or, when the pinned
// one was published before its targets hold it, the newest that all of them hold. The whole search runs again on it;
// parts of two versions are never put together.
func (e *Entry) restartOn(chooser *snapshot.Chooser, q snapshot.Query, pinned snapshot.Choice, a api.Answer, deadline time.Time) (snapshot.Choice, bool) {
	if a.Coverage.Complete || !hasReason(a.Coverage, api.MissingVersionGone) || time.Until(deadline) < api.MinAttemptBudget {
		return snapshot.Choice{}, false
	}
	now := time.Now()
	if next, ok := chooser.Newer(pinned.Snapshot, q, now); ok {
		return next, true
	}
	next, ok := chooser.Choose(q, now)
	return next, ok && next.Snapshot != pinned.Snapshot && len(next.Lacking) == 0
}

func hasReason(c api.Coverage, reason api.MissingReason) bool {
	for _, m := range c.Missing {
		if m.Reason == reason {
			return true
		}
	}
	return false
}

// runOn runs the search on one snapshot.
func (e *Entry) runOn(ctx context.Context, s api.Search, choice snapshot.Choice, deadline time.Time) (api.Answer, *api.Error) {
	req := peer.LegRequest{Search: s, Snapshot: choice.Snapshot}
	for _, a := range choice.Assigned {
		req.Assignments = append(req.Assignments, peer.Assignment{Service: a.Service, Ranges: a.Ranges})
	}
	result, refusal := e.runLeg(ctx, req, deadline)
	if refusal != nil {
		return api.Answer{}, refusal
	}
	e.learn(s.Group, choice, result.Parts)
	answer := api.Answer{
		RequestID: s.RequestID, Group: s.Group, Snapshot: choice.Snapshot, Hits: result.Hits, Truncated: result.Truncated,
		Coverage: choice.Index.Compute(s.Range, choice.Snapshot, result.Parts),
	}
	if answer.Hits == nil {
		answer.Hits = []api.Hit{}
	}
	if answer.Coverage.Answered == nil {
		answer.Coverage.Answered = []api.KeyRange{}
	}
	for _, p := range result.Parts {
		answer.Parts = append(answer.Parts, p.Trace)
	}
	return answer, nil
}

// learn tells the snapshot choice which targets do not hold the pinned version.
func (e *Entry) learn(group string, choice snapshot.Choice, parts []api.Part) {
	chooser, ok := e.deps.Topology.View().Chooser(group)
	if !ok {
		return
	}
	now := time.Now()
	for _, p := range parts {
		if p.Reason != api.MissingVersionGone || p.Trace.Target == "" {
			continue
		}
		chooser.Observe(p.Trace.Target, p.Service, p.Held, now)
		chooser.Gone(p.Trace.Target, p.Service, choice.Snapshot.IndexVersion, now)
	}
}

// runLeg sends the leg to the home relay and, when that relay is lost, to the next one. A search is idempotent, so it
// may run again; a command never goes this way.
func (e *Entry) runLeg(ctx context.Context, req peer.LegRequest, deadline time.Time) (peer.LegResult, *api.Error) {
	refusal := api.Refuse(api.CodeUnreachable, "", "no relay can be reached")
	handed := false // a relay that was lost may have run parts
	for _, relay := range e.deps.Directory.Relays(req.Search.Group) {
		left := time.Until(deadline)
		if left < api.MinAttemptBudget {
			break
		}
		req.TimeoutMS = left.Milliseconds()
		result, err := e.legOn(ctx, relay, req, deadline)
		if err == nil && result.Refusal != nil && movesOn(result.Refusal.Code) {
			refusal = result.Refusal
			continue
		}
		if err == nil && result.Refusal != nil && handed {
			// The refusal is true for this relay only, so the answer is empty but true.
			return missingLeg(req, api.MissingUnreachable), nil
		}
		if err == nil {
			return result, result.Refusal
		}
		e.m.reroutes.Inc()
		e.deps.Log.WithField("request_id", req.Search.RequestID).WithField("relay", relay.NodeID).WithError(err).
			Warn("relay is lost; the leg goes to the next one")
		var failed *peer.Error
		known := errors.As(err, &failed)
		handed = handed || !known || failed.Kind != peer.FailureNotSent
		if known && failed.Kind == peer.FailureTimeout {
			break
		}
	}
	if time.Until(deadline) < api.MinAttemptBudget {
		// Relays may have run parts of it; a search has no effect, so the answer is empty but true.
		return missingLeg(req, api.MissingTimeout), nil
	}
	if refusal.Code != api.CodeUnreachable && !handed {
		return peer.LegResult{}, refusal
	}
	return missingLeg(req, api.MissingUnreachable), nil
}

// movesOn reports whether another relay may accept what this one refused.
func movesOn(code api.Code) bool { return code == api.CodeUnknownGroup || code == api.CodeNotReady }

func missingLeg(req peer.LegRequest, reason api.MissingReason) peer.LegResult {
	var r peer.LegResult
	for _, a := range req.Assignments {
		r.Parts = append(r.Parts, api.Part{Service: a.Service, Reason: reason, Trace: api.PartTrace{Service: a.Service}})
	}
	return r
}

func (e *Entry) legOn(ctx context.Context, relay Relay, req peer.LegRequest, deadline time.Time) (peer.LegResult, error) {
	if relay.Self && e.deps.Local != nil {
		return e.deps.Local.RunLeg(ctx, req), nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	req.Traceparent = e.deps.Tracing.Inject(ctx)
	var result peer.LegResult
	err := e.deps.Peers.Call(ctx, relay.Address, peer.MethodSearch, req, &result, peer.FailWhenSilent)
	return result, err
}
