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

// answerReserve is the part of the time budget that is reserved for merging the results and writing the answer.
const answerReserve = time.Millisecond

// Search answers one search within its time budget.
func (e *Entry) Search(ctx context.Context, s api.Search, g *config.Group, budget time.Duration) (api.Answer, *api.Error) {
	ctx, span := e.deps.Tracing.Start(ctx, "entry.search", attribute.String("request_id", s.RequestID), attribute.String("group", s.Group))
	defer span.End()
	deadline := time.Now().Add(budget - answerReserve)
	chooser, ok := e.deps.Topology.View().Chooser(g.Name)
	if !ok {
		return api.Answer{}, api.NewRefusal(api.CodeUnknownGroup, "group", "the group is not configured")
	}
	query := snapshot.Query{Range: s.Range}
	choice, ok := chooser.Choose(query, time.Now())
	if !ok {
		return api.Answer{}, api.NewRefusal(api.CodeNoSnapshot, "", "no index version of the group is published for this key range")
	}
	answer, refusal := e.searchSnapshot(ctx, s, choice, deadline)
	if refusal != nil {
		return api.Answer{}, refusal
	}
	if restart, ok := e.chooseRestart(chooser, query, choice, answer, deadline); ok {
		e.metrics.restarts.Inc()
		restarted, refusal := e.searchSnapshot(ctx, s, restart, deadline)
		if refusal == nil && restarted.Coverage.Fraction > answer.Coverage.Fraction {
			restarted.Restarted = true
			return restarted, nil
		}
	}
	return answer, nil
}

// chooseRestart returns another snapshot when no target of a service held the pinned one: a newer snapshot, or, if the
// pinned one was published before its targets held it, the newest one that all of them hold. The whole search runs again
// on it; parts of two versions are never merged.
func (e *Entry) chooseRestart(chooser *snapshot.Chooser, q snapshot.Query, pinned snapshot.Choice, a api.Answer, deadline time.Time) (snapshot.Choice, bool) {
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

// searchSnapshot runs the search on one snapshot.
func (e *Entry) searchSnapshot(ctx context.Context, s api.Search, choice snapshot.Choice, deadline time.Time) (api.Answer, *api.Error) {
	req := peer.LegRequest{Search: s, Snapshot: choice.Snapshot}
	for _, a := range choice.Assigned {
		req.Assignments = append(req.Assignments, peer.Assignment{Service: a.Service, Ranges: a.Ranges})
	}
	result, refusal := e.runLeg(ctx, req, deadline)
	if refusal != nil {
		return api.Answer{}, refusal
	}
	e.recordMissingVersions(s.Group, choice, result.Parts)
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

// recordMissingVersions reports to the snapshot chooser which targets do not hold the pinned version.
func (e *Entry) recordMissingVersions(group string, choice snapshot.Choice, parts []api.Part) {
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
		chooser.ObserveRefusal(p.Trace.Target, p.Service, choice.Snapshot.IndexVersion, now)
	}
}

// runLeg sends the leg to the home relay and, if the call to that relay fails or it cannot take the leg, to the next one.
// A search is idempotent, so it may run again; commands never use this path.
func (e *Entry) runLeg(ctx context.Context, req peer.LegRequest, deadline time.Time) (peer.LegResult, *api.Error) {
	refusal := api.NewRefusal(api.CodeUnreachable, "", "no relay can be reached")
	mayHaveRun := false // a relay to which the call failed may have run parts
	for _, relay := range e.deps.Directory.Relays(req.Search.Group) {
		remaining := time.Until(deadline)
		if remaining < api.MinAttemptBudget {
			break
		}
		req.TimeoutMS = remaining.Milliseconds()
		result, err := e.sendLeg(ctx, relay, req, deadline)
		if err == nil && result.Refusal != nil && otherRelayMayAccept(result.Refusal.Code) {
			refusal = result.Refusal
			continue
		}
		if err == nil && result.Refusal != nil && mayHaveRun {
			// The refusal holds for this relay only: an earlier one may have run parts, so "not run" may be false.
			// An empty answer without coverage is correct.
			return missingLeg(req, api.MissingUnreachable), nil
		}
		if err == nil {
			return result, result.Refusal
		}
		e.metrics.reroutes.Inc()
		e.deps.Log.WithField("request_id", req.Search.RequestID).WithField("relay", relay.NodeID).WithError(err).
			Warn("relay is lost; the leg goes to the next one")
		var failed *peer.Error
		isPeerError := errors.As(err, &failed)
		mayHaveRun = mayHaveRun || !isPeerError || failed.Kind != peer.FailureNotSent
		if isPeerError && failed.Kind == peer.FailureTimeout {
			break
		}
	}
	if time.Until(deadline) < api.MinAttemptBudget {
		// Relays may have run parts of the search. It has no side effects, so an empty answer without coverage is correct.
		return missingLeg(req, api.MissingTimeout), nil
	}
	if refusal.Code != api.CodeUnreachable && !mayHaveRun {
		return peer.LegResult{}, refusal
	}
	return missingLeg(req, api.MissingUnreachable), nil
}

// otherRelayMayAccept reports whether another relay may accept a leg that this one refused with the code.
func otherRelayMayAccept(code api.Code) bool {
	return code == api.CodeUnknownGroup || code == api.CodeNotReady
}

// missingLeg returns the result of a leg whose parts are all missing for the same reason.
func missingLeg(req peer.LegRequest, reason api.MissingReason) peer.LegResult {
	var r peer.LegResult
	for _, a := range req.Assignments {
		r.Parts = append(r.Parts, api.Part{Service: a.Service, Reason: reason, Trace: api.PartTrace{Service: a.Service}})
	}
	return r
}

func (e *Entry) sendLeg(ctx context.Context, relay Relay, req peer.LegRequest, deadline time.Time) (peer.LegResult, error) {
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
