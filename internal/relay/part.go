package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

const (
	// maxRounds is how many times a part or a command goes through all targets when each refuses it without running it.
	maxRounds = 3
	// roundPause is the pause before the second round; it grows by this much with each further round.
	roundPause = 10 * time.Millisecond
)

// part is one service's part of a search. It makes attempts until one has answered.
type part struct {
	leg      *leg
	service  *service // nil when the configuration does not list the service
	assigned coverage.Assigned
	isCanary bool // the other parts of the search wait for this one

	mu               sync.Mutex // guards the fields below
	done             bool
	result           api.Part
	trace            api.PartTrace
	lastAttemptStart time.Time     // start of the most recent attempt
	lastAttemptRTT   time.Duration // round trip to the target of that attempt
}

func newPart(l *leg, a coverage.Assigned) *part {
	return &part{leg: l, service: l.group.services[a.Service], assigned: a, trace: api.PartTrace{Service: a.Service}}
}

func (p *part) finished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// describeMissing describes an unfinished part for hedge.PartWait, which decides when a search stops waiting.
func (p *part) describeMissing() hedge.MissingPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := hedge.MissingPart{}
	if p.service != nil {
		m.Estimator = p.service.estimator
	}
	if !p.lastAttemptStart.IsZero() {
		m.Elapsed = time.Since(p.lastAttemptStart)
	}
	return m
}

// finalResult returns the checked result. A part without one is finished as missing because of a timeout.
func (p *part) finalResult() api.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return p.result
	}
	p.done = true
	p.result = p.missingResult(api.MissingTimeout)
	return p.result
}

// missingResult returns the result of a part that was not answered. The caller holds mu.
func (p *part) missingResult(reason api.MissingReason) api.Part {
	p.trace.Millis = time.Since(p.leg.start).Milliseconds()
	return api.Part{Service: p.assigned.Service, Reason: reason, Trace: p.trace}
}

// finish records the result unless the search has already been answered without the part.
func (p *part) finish(result api.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.trace.Millis = time.Since(p.leg.start).Milliseconds()
	result.Trace = p.trace
	result.Service = p.assigned.Service
	p.result = result
}

// logFields identify the part in log lines.
func (p *part) logFields() logrus.Fields {
	fields := p.leg.logFields()
	fields["service"] = p.assigned.Service
	return fields
}

// run makes attempts until one has answered, none can help any more, or ctx ends.
func (p *part) run(ctx context.Context, done chan<- *part) {
	defer func() { done <- p }()
	defer p.leg.relay.deps.Panics.Contain("part", p.logFields(), func() { p.finish(api.Part{Reason: api.MissingInternal}) })
	if p.service == nil {
		p.finish(api.Part{Reason: api.MissingUnreachable})
		return
	}
	for {
		decision := p.leg.relay.deps.Guard.Decide(p.leg.fp, time.Now())
		switch {
		case decision.Action == quarantine.Refuse:
			p.finish(api.Part{Reason: api.MissingQuarantined})
			return
		case decision.Action == quarantine.Allow:
			if !p.runAttempts(ctx) {
				return
			}
		case !slices.Contains(decision.Services, p.assigned.Service):
			// The services on which the request is suspect run first; otherwise it could crash one target of each service.
			if !sleepContext(ctx, decisionPollInterval) {
				p.finish(api.Part{Reason: api.MissingQuarantined})
				return
			}
		case !p.leg.relay.awaitIsolationTurn(ctx, p.leg.fp, p.service):
			p.finish(api.Part{Reason: api.MissingQuarantined})
			return
		case p.leg.relay.deps.Guard.Decide(p.leg.fp, time.Now()).Action == quarantine.Isolate:
			p.runIsolated(ctx)
			return
		}
	}
}

// decisionPollInterval is the time between two checks of the decision on a suspect request.
const decisionPollInterval = 5 * time.Millisecond

// runAttempts runs the part without isolation. It reports true when the request became suspect in the meantime and no
// attempt of the part is in flight any more.
func (p *part) runAttempts(ctx context.Context) (suspect bool) {
	targets := len(p.service.targets)
	end := attempts.Run[attemptResult](ctx, &partRun{part: p}, p.leg.group.budget, attempts.Limits{
		MaxReplacements: maxRounds * targets, MaxRounds: maxRounds - 1, RoundPause: roundPause,
	})
	switch res := end.Result; {
	case end.Cancelled:
		return false
	case end.NoTarget:
		p.finish(api.Part{Reason: p.unreachableReason()})
		return false
	case res.answered():
		p.finish(res.part)
		return false
	case res.failure == peer.FailureSuspect:
		return true
	default:
		p.finish(api.Part{Reason: missingReasonFor(res.failure), Held: res.heldVersions()})
		return false
	}
}

// unreachableReason distinguishes an index version that no target holds from targets that cannot be called.
func (p *part) unreachableReason() api.MissingReason {
	for id := range p.service.targets {
		if p.holdsVersion(id) {
			return api.MissingUnreachable
		}
	}
	return api.MissingVersionGone
}

func (p *part) holdsVersion(targetID string) bool {
	c := p.leg.group.chooser
	return c == nil || c.Holds(targetID, p.assigned.Service, p.leg.req.Snapshot.IndexVersion, time.Now())
}

// partRun is one run of a part's attempts. It implements attempts.Launcher.
type partRun struct {
	*part
	tried    []string // targets of this round
	launched int
}

// Launch implements attempts.Launcher.
func (p *partRun) Launch(ctx context.Context, l attempts.Launch, ended func(attemptResult)) bool {
	if l.AllowRefused {
		p.tried = nil
	}
	choice, ok := p.pick(p.tried)
	if !ok {
		return false
	}
	p.tried = append(p.tried, choice.Target.ID)
	p.launched++
	p.recordAttempt(choice.Target)
	p.countAttempt(l)
	n, mode := p.launched, attemptMode{lastResort: p.countOtherTargets(p.tried) == 0}
	go func() {
		if choice.Probe {
			probe, cancel := p.probeContext(ctx)
			defer cancel()
			ctx = probe
		}
		ended(p.leg.relay.attempt(ctx, p.part, choice, n, mode))
	}()
	return true
}

// probeContext returns a context that lets a probe of an ejected target continue after a hedge has answered the part. A
// probe that is cancelled early yields no result, and the next search would have to probe again.
func (p *part) probeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), p.leg.start.Add(p.leg.budget))
}

// recordAttempt records the start of an attempt in the trace of the part.
func (p *part) recordAttempt(chosen balance.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace.Attempts++
	p.trace.Target = chosen.ID
	p.lastAttemptStart, p.lastAttemptRTT = time.Now(), chosen.RTT
}

// sinceLastAttempt returns the time since the start of the latest attempt, 0 before the first one.
func (p *part) sinceLastAttempt() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastAttemptStart.IsZero() {
		return 0
	}
	return time.Since(p.lastAttemptStart)
}

// overdueAfter returns how long the latest attempt may take before it is hedged. The second result is false if the remaining
// time allows no second attempt. A canary that crashes its target must be reported before it is hedged and before the other
// parts start, so it is given the round trip to its target in addition: the estimates come mostly from calls in the own failure
// domain.
func (p *part) overdueAfter() (time.Duration, bool) {
	remaining := p.leg.budget - time.Since(p.leg.start)
	var rtt time.Duration
	if p.isCanary {
		p.mu.Lock()
		rtt = p.lastAttemptRTT
		p.mu.Unlock()
	}
	delay, ok := p.service.estimator.Delay(p.leg.hedgeQuantile(), hedge.DefaultFloor, remaining-rtt)
	return delay + rtt, ok
}

// countAttempt counts an attempt by its kind; one that replaces another counts as a retry.
func (p *part) countAttempt(l attempts.Launch) {
	m := p.leg.relay.metrics
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case l.Replaces || l.Kind == attempts.Retry:
		p.trace.Retries++
		m.retries.Inc()
	case l.Kind == attempts.Hedge:
		p.trace.Hedges++
		m.hedges.Inc()
	default:
		m.primaries.Inc()
	}
}

// Ended implements attempts.Launcher.
func (p *partRun) Ended(res attemptResult) attempts.FollowUp {
	return attempts.FollowUp{
		Final: res.answered(), NotRetriable: !res.retriable(), Unsent: res.leftNoWork(), Refused: res.refusedTemporarily(),
	}
}

// HedgeDelay implements attempts.Launcher.
func (p *partRun) HedgeDelay() (time.Duration, bool) {
	if p.leg.relay.cfg.Baseline {
		return 0, false
	}
	return p.overdueAfter()
}

// State implements attempts.Launcher. Ejected targets are not counted as other targets.
func (p *partRun) State(attempts.Kind) hedge.State {
	elapsed := time.Since(p.leg.start)
	return hedge.State{
		Elapsed: elapsed, Remaining: p.leg.budget - elapsed, UntriedTargets: p.countOtherTargets(p.tried), Overload: p.leg.group.admission.overloaded(),
	}
}

// BudgetExhausted implements attempts.Launcher.
func (p *partRun) BudgetExhausted() {}

// attemptResult is the result of one attempt.
type attemptResult struct {
	part    api.Part
	failure peer.Failure
	load    *target.Load
}

func (r attemptResult) answered() bool { return r.failure == "" && r.part.Answered() }

// heldVersions returns the index versions that the target reported to hold.
func (r attemptResult) heldVersions() []uint64 {
	if r.load == nil {
		return nil
	}
	return r.load.IndexVersions
}

// leftNoWork reports whether the failed attempt is known to leave no work behind: it was not run, or its target is
// gone. Another attempt then replaces it and adds no load.
func (r attemptResult) leftNoWork() bool {
	switch r.failure {
	case peer.Failure(target.FailureNotSent), peer.Failure(target.FailureDraining), peer.Failure(target.FailureVersionGone),
		peer.Failure(target.FailureConnectionLost), peer.FailureReserved, peer.FailureRelayBusy, peer.FailureRelayLost,
		peer.FailureNotServed:
		return true
	}
	return false
}

// refusedTemporarily reports whether the same target may accept the part a little later.
func (r attemptResult) refusedTemporarily() bool {
	switch r.failure {
	case peer.Failure(target.FailureShed), peer.FailureReserved, peer.FailureRelayBusy, peer.Failure(target.FailureNotSent):
		return true
	}
	return false
}

// retriable reports whether another target may answer.
func (r attemptResult) retriable() bool {
	switch r.failure {
	case peer.FailureQuarantined, peer.FailureSuspect, peer.FailureNoTime, peer.Failure(target.FailureTimeout):
		return false
	}
	return true
}

// missingReasonFor translates the failure of the last attempt into the reason that the caller sees.
func missingReasonFor(f peer.Failure) api.MissingReason {
	switch f {
	case peer.Failure(target.FailureShed), peer.FailureRelayBusy, peer.FailureReserved:
		return api.MissingShed
	case peer.Failure(target.FailureVersionGone):
		return api.MissingVersionGone
	case peer.Failure(target.FailureMalformed):
		return api.MissingTruncatedBody
	case peer.Failure(target.FailureTimeout), peer.FailureNoTime:
		return api.MissingTimeout
	case peer.Failure(target.FailureMismatch):
		return api.MissingSnapshotMismatch
	case peer.FailureQuarantined, peer.FailureSuspect:
		return api.MissingQuarantined
	case peer.Failure(target.FailureInternal), peer.Failure(target.FailureRefused):
		return api.MissingTargetError
	case peer.FailurePanic:
		return api.MissingInternal
	default:
		return api.MissingUnreachable
	}
}
