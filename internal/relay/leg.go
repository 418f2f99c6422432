package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"go.opentelemetry.io/otel/attribute"

	"github.com/medlarshunt/medlarshunt/internal/admission"
	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// mergeReserve is the part of the time budget that is kept for the merge and the return to the entry.
const mergeReserve = 2 * time.Millisecond

// leg is the execution of one search in its home relay.
type leg struct {
	relay  *Relay
	group  *group
	req    peer.LegRequest
	fp     quarantine.Fingerprint
	start  time.Time
	budget time.Duration
	parts  []*part
}

// RunLeg runs the assigned parts of a search and returns their merged result.
func (r *Relay) RunLeg(ctx context.Context, req peer.LegRequest) peer.LegResult {
	ctx, span := r.deps.Tracing.Start(r.deps.Tracing.Extract(ctx, req.Traceparent), "relay.leg",
		attribute.String("request_id", req.Search.RequestID), attribute.String("group", req.Search.Group))
	defer span.End()
	g := r.group(req.Search.Group)
	if g == nil {
		return refusedLeg(api.NewRefusal(api.CodeUnknownGroup, "group", "this relay does not know the group yet"))
	}
	budget := time.Duration(req.TimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	l := &leg{
		relay: r, group: g, req: req, start: time.Now(), budget: budget,
		fp: quarantine.FingerprintOf(req.Search.Group, req.Search.Kind, req.Search.Query),
	}
	if decision := r.deps.Guard.Decide(l.fp, l.start); decision.Action == quarantine.Refuse {
		return refusedLeg(api.NewRefusal(api.CodeQuarantined, "query", "this request crashed targets").WithRetryAfter(decision.RetryAfter))
	}
	if r.cfg.Baseline {
		result, _ := l.run(ctx)
		return result
	}
	handle, refusal := l.admit(ctx)
	if refusal != nil {
		r.metrics.refused.Inc()
		return refusedLeg(refusal)
	}
	complete := false
	defer func() { g.admission.release(handle, complete) }()
	var result peer.LegResult
	result, complete = l.run(ctx)
	return result
}

// logFields identify the search in log lines.
func (l *leg) logFields() logrus.Fields {
	return logrus.Fields{"request_id": l.req.Search.RequestID, "group": l.req.Search.Group}
}

func refusedLeg(e *api.Error) peer.LegResult { return peer.LegResult{Refusal: e} }

// admit waits for the admission of the whole search, because a search that will miss one service wastes the slots of
// all others.
func (l *leg) admit(ctx context.Context) (admission.Handle, *api.Error) {
	r := admission.Request{
		Caller: l.req.Search.Caller, Kind: l.req.Search.Kind, KindWeight: kindWeight(l.group.cfg, l.req.Search.Kind),
		Deadline: l.start.Add(l.budget),
	}
	if c, ok := l.relay.callerPolicy(l.req.Search.Caller); ok {
		r.CallerWeight, r.CallerLimit = float64(c.Weight), c.MaxConcurrent
	}
	h, refusal := l.group.admission.admit(ctx, r)
	l.group.budget.SetOverloaded(l.group.admission.overloaded())
	return h, refusal
}

// callerPolicy returns the settings of the caller in the current configuration.
func (r *Relay) callerPolicy(name string) (*config.Caller, bool) {
	v := r.deps.Topology.View()
	if v == nil {
		return nil, false
	}
	return v.CallerByName(name)
}

func kindWeight(g config.Group, kind string) float64 {
	for _, k := range g.Kinds {
		if k.Name == kind {
			return k.Weight
		}
	}
	return 1
}

// run runs all parts and reports whether all were answered.
func (l *leg) run(ctx context.Context) (peer.LegResult, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.parts = make([]*part, len(l.req.Assignments))
	for i, a := range l.req.Assignments {
		l.parts[i] = newPart(l, coverage.Assigned{Service: a.Service, Ranges: a.Ranges})
	}
	done := make(chan *part, len(l.parts))
	go func() {
		defer l.relay.deps.Panics.Contain("search", l.logFields(), cancel) // answers with the parts that are there
		l.startParts(ctx, done)
	}()
	l.awaitParts(ctx, done)
	cancel()
	return l.result()
}

// startParts runs the suspect parts in isolation, one after another, then the canary, and then starts the others.
func (l *leg) startParts(ctx context.Context, done chan<- *part) {
	rest := l.runSuspectParts(ctx, done)
	if len(rest) > 1 && !l.relay.cfg.Baseline && l.relay.deps.Guard.NeedCanary(l.group.cfg.Name, l.group.cfg.Canary, time.Now()) {
		l.relay.metrics.canaries.Inc()
		rest = l.runCanary(ctx, rest, done)
	}
	if ctx.Err() != nil {
		return
	}
	for _, p := range rest {
		go p.run(ctx, done)
	}
}

// runSuspectParts runs the parts on whose services the request is suspect, one after another, and returns the others.
func (l *leg) runSuspectParts(ctx context.Context, done chan<- *part) []*part {
	decision := l.relay.deps.Guard.Decide(l.fp, time.Now())
	if decision.Action != quarantine.Isolate {
		return l.parts
	}
	suspect := map[string]bool{}
	for _, s := range decision.Services {
		suspect[s] = true
	}
	var rest []*part
	for _, p := range l.parts {
		if suspect[p.assigned.Service] {
			p.run(ctx, done)
		} else {
			rest = append(rest, p)
		}
	}
	return rest
}

// runCanary runs one part until it has answered or exceeded its hedge delay, and returns the others. The fingerprint
// selects the part, so that canaries do not load one service more than the others.
func (l *leg) runCanary(ctx context.Context, parts []*part, done chan<- *part) []*part {
	i := int(l.fp[0]) % len(parts)
	p := parts[i]
	p.isCanary = true
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		p.run(ctx, done)
	}()
	if !l.awaitCanary(ctx, p, answered) && l.relay.deps.Guard.Decide(l.fp, time.Now()).Action != quarantine.Allow {
		select { // the canary crashed its target: the others wait for the decision
		case <-answered:
		case <-ctx.Done():
		}
	}
	rest := make([]*part, 0, len(parts)-1)
	rest = append(rest, parts[:i]...)
	return append(rest, parts[i+1:]...)
}

// canaryShareWithoutSamples divides the remaining time for the wait for the canary while no latencies are known.
const canaryShareWithoutSamples = 4

// awaitCanary waits until the canary has answered or its latest attempt is overdue, and reports whether it answered. The
// canary may choose a target of another failure domain, also for a later attempt, so the delay is computed again when it ends.
func (l *leg) awaitCanary(ctx context.Context, p *part, answered <-chan struct{}) bool {
	for left := l.canaryTimeLeft(p); left > 0; left = l.canaryTimeLeft(p) {
		timer := time.NewTimer(left)
		select {
		case <-answered:
			timer.Stop()
			return true
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return false
}

// canaryTimeLeft returns how much longer the other parts wait for the canary: until its latest attempt is overdue, or a quarter
// of the remaining time without enough samples.
func (l *leg) canaryTimeLeft(p *part) time.Duration {
	remaining := l.budget - time.Since(l.start)
	if p.service != nil {
		if d, ok := p.overdueAfter(); ok {
			return d - p.sinceLastAttempt()
		}
	}
	return remaining/canaryShareWithoutSamples - p.sinceLastAttempt()
}

func (l *leg) hedgeQuantile() float64 {
	if q := l.group.cfg.HedgeQuantile; q > 0 {
		return q
	}
	return hedge.DefaultQuantile
}

// awaitParts returns when all parts have ended or the policy of the group says that the remaining ones are not worth
// waiting for.
func (l *leg) awaitParts(ctx context.Context, done <-chan *part) {
	policy := hedge.PartWait{
		Policy: l.group.cfg.Policy, Goal: time.Duration(l.group.cfg.LatencyGoalMS) * time.Millisecond,
		Budget: l.budget, Reserve: mergeReserve,
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	running := slices.Clone(l.parts)
	for outstanding := len(l.parts); outstanding > 0; {
		elapsed := time.Since(l.start)
		var missing []hedge.MissingPart
		running, missing = describeUnfinished(running, policy.UsesArrivalChances(elapsed))
		answerNow, recheckAfter := policy.Decide(elapsed, missing)
		if answerNow {
			return
		}
		timer.Reset(recheckAfter)
		select {
		case <-done:
			outstanding--
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// describeUnfinished drops finished parts and describes the others. While the policy does not use their chances of
// arrival, one empty entry represents all of them: describing all parts after each result took a quarter of the CPU time
// of a leg with 500 parts.
func describeUnfinished(running []*part, useChances bool) ([]*part, []hedge.MissingPart) {
	if !useChances {
		for len(running) > 0 && running[0].finished() {
			running = running[1:]
		}
		return running, make([]hedge.MissingPart, min(len(running), 1))
	}
	running = slices.DeleteFunc(running, (*part).finished)
	missing := make([]hedge.MissingPart, len(running))
	for i, p := range running {
		missing[i] = p.describeMissing()
	}
	return running, missing
}

// result merges the results available now. A part that is still running counts as missing.
func (l *leg) result() (peer.LegResult, bool) {
	parts := make([]api.Part, len(l.parts))
	complete := true
	for i, p := range l.parts {
		parts[i] = p.finalResult()
		complete = complete && parts[i].Answered()
		l.relay.metrics.countPart(string(parts[i].Reason))
	}
	hits, truncated := coverage.MergeParts(l.req.Search.Limit, l.req.Snapshot, parts)
	for i := range parts {
		parts[i].Hits = nil
	}
	return peer.LegResult{Parts: parts, Hits: hits, Truncated: truncated}, complete
}
