package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

const (
	// maxRounds is how often a part or a command goes through all targets when each refused it without running it.
	maxRounds = 3
	// roundPause is the pause before another round; it grows with each round.
	roundPause = 10 * time.Millisecond
)

// part is one service's part of a search: its attempts until one has answered.
type part struct {
	leg      *leg
	service  *service // nil when the configuration does not list the service
	assigned coverage.Assigned

	mu       sync.Mutex // guards the fields below
	done     bool
	result   api.Part
	trace    api.PartTrace
	youngest time.Time // start of the youngest attempt
}

func newPart(l *leg, a coverage.Assigned) *part {
	return &part{leg: l, service: l.group.services[a.Service], assigned: a, trace: api.PartTrace{Service: a.Service}}
}

func (p *part) finished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// missing describes the part to the rule by which a search stops waiting.
func (p *part) missing() hedge.MissingPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := hedge.MissingPart{}
	if p.service != nil {
		m.Estimator = p.service.estimator
	}
	if !p.youngest.IsZero() {
		m.Elapsed = time.Since(p.youngest)
	}
	return m
}

// outcome is the checked result, or a missing part when there is none yet.
func (p *part) outcome() api.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return p.result
	}
	p.done = true
	p.result = p.missingPart(api.MissingTimeout)
	return p.result
}

// missingPart is the result of a part that was not answered. The caller holds mu.
func (p *part) missingPart(reason api.MissingReason) api.Part {
	p.trace.Millis = time.Since(p.leg.start).Milliseconds()
	return api.Part{Service: p.assigned.Service, Reason: reason, Trace: p.trace}
}

// finish records the result unless the search has already answered without the part.
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

// run makes attempts until one has answered, none can help any more, or ctx ends.
func (p *part) run(ctx context.Context, done chan<- *part) {
	defer func() { done <- p }()
	if p.service == nil {
		p.finish(api.Part{Reason: api.MissingUnreachable})
		return
	}
	for {
		verdict := p.leg.relay.deps.Guard.Decide(p.leg.fp, time.Now())
		switch {
		case verdict.Action == quarantine.Refuse:
			p.finish(api.Part{Reason: api.MissingQuarantined})
			return
		case verdict.Action == quarantine.Allow:
			if !p.runAttempts(ctx) {
				return
			}
		case !slices.Contains(verdict.Services, p.assigned.Service):
			// The services on which the request is suspect run first, so that it does not crash one target of each.
			if !pauseFor(ctx, verdictPoll) {
				p.finish(api.Part{Reason: api.MissingQuarantined})
				return
			}
		case !p.leg.relay.awaitTurn(ctx, p.leg.fp, p.service):
			p.finish(api.Part{Reason: api.MissingQuarantined})
			return
		case p.leg.relay.deps.Guard.Decide(p.leg.fp, time.Now()).Action == quarantine.Isolate:
			p.runIsolated(ctx)
			return
		}
	}
}

// verdictPoll is the time between two looks at the verdict on a suspect request.
const verdictPoll = 5 * time.Millisecond

// attempts is the state of the loop that runs a part.
type attempts struct {
	tried   []string
	hedges  int
	open    int
	round   int
	probe   bool // the youngest attempt probes a target that was ejected
	results chan attemptResult
	last    attemptResult
}

// runAttempts runs the part as usual. It reports true when the request became suspect meanwhile and nothing of the part
// is in flight any more.
func (p *part) runAttempts(ctx context.Context) (suspect bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the losers' streams are reset and their slots freed
	a := &attempts{results: make(chan attemptResult, maxRounds*len(p.service.targets))}
	p.leg.group.budget.Primary()
	p.leg.relay.m.primaries.Inc()
	if !p.launch(ctx, a) {
		p.finish(api.Part{Reason: p.unreachableReason()})
		return false
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	p.armHedge(timer, a)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			p.hedge(ctx, timer, a)
		case res := <-a.results:
			a.open--
			if res.answered() {
				p.finish(res.part)
				return false
			}
			a.last = res
			if res.failure == peer.FailureSuspect && a.open == 0 {
				return true
			}
			if !p.retry(ctx, a, res) && a.open == 0 {
				p.finish(api.Part{Reason: reasonOf(res.failure), Held: res.held()})
				return false
			}
		}
	}
}

// unreachableReason tells a version that no target holds from targets that cannot be called.
func (p *part) unreachableReason() api.MissingReason {
	for id := range p.service.targets {
		if p.holds(id) {
			return api.MissingUnreachable
		}
	}
	return api.MissingVersionGone
}

func (p *part) holds(targetID string) bool {
	c := p.leg.group.chooser
	return c == nil || c.Holds(targetID, p.assigned.Service, p.leg.req.Snapshot.IndexVersion, time.Now())
}

// launch starts an attempt on a target that was not tried yet and reports whether there is one.
func (p *part) launch(ctx context.Context, a *attempts) bool {
	choice, ok := p.pick(a.tried)
	if !ok {
		return false
	}
	a.tried = append(a.tried, choice.Target.ID)
	a.open++
	p.noteAttempt(choice.Target.ID)
	n := len(a.tried) + a.round*16
	a.probe = choice.Probe
	mode := attemptMode{lastResort: p.others(a.tried) == 0}
	if choice.Probe {
		go p.probe(ctx, a, choice, n, mode)
		return true
	}
	go func() { a.results <- p.leg.relay.attempt(ctx, p, choice, n, mode) }()
	return true
}

// probe runs an attempt on a target that was ejected. It goes on when a hedge has answered the part: cancelled early it
// would bring no verdict, and the next search would have to probe again.
func (p *part) probe(ctx context.Context, a *attempts, choice balance.Choice, n int, mode attemptMode) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.leg.start.Add(p.leg.budget))
	defer cancel()
	a.results <- p.leg.relay.attempt(ctx, p, choice, n, mode)
}

func (p *part) noteAttempt(targetID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace.Attempts++
	p.trace.Target = targetID
	p.youngest = time.Now()
}

func (p *part) armHedge(timer *time.Timer, a *attempts) {
	remaining := p.leg.budget - time.Since(p.leg.start)
	if p.leg.relay.cfg.Baseline {
		return
	}
	if d, ok := p.service.estimator.Delay(p.leg.hedgeQuantile(), hedge.DefaultFloor, remaining); ok {
		timer.Reset(d)
	}
}

func (p *part) hedge(ctx context.Context, timer *time.Timer, a *attempts) {
	state := p.state(a)
	state.Delay = 0 // the timer has measured it
	switch hedge.ShouldHedge(state, p.leg.group.budget) {
	case hedge.ReasonGo:
	case hedge.ReasonBudget:
		p.armHedge(timer, a)
		return
	default:
		return
	}
	if !p.launch(ctx, a) {
		p.leg.group.budget.Refund()
		return
	}
	a.hedges++
	p.leg.relay.m.hedges.Inc()
	p.mu.Lock()
	p.trace.Hedges++
	p.mu.Unlock()
}

func (p *part) state(a *attempts) hedge.State {
	return hedge.State{
		Elapsed:   time.Since(p.leg.start),
		Remaining: p.leg.budget - time.Since(p.leg.start),
		Hedges:    a.hedges,
		Others:    p.others(a.tried),
		Overload:  p.leg.group.admission.overloaded(),
	}
}

// retry starts another attempt after a failure and reports whether it did.
func (p *part) retry(ctx context.Context, a *attempts, res attemptResult) bool {
	if p.leg.budget-time.Since(p.leg.start) < api.MinAttemptBudget {
		return false
	}
	state := p.state(a)
	state.Unsent = res.consumedNothing()
	reason := hedge.ShouldRetry(state, res.retriable(), p.leg.group.budget)
	// An ejected target does not count as another one, but for a part that nothing has run yet it is better than none.
	may := reason == hedge.ReasonGo || reason == hedge.ReasonNoTarget && state.Unsent
	if !may || !p.launch(ctx, a) {
		if reason == hedge.ReasonGo && !state.Unsent {
			p.leg.group.budget.Refund()
		}
		if a.open > 0 || !res.refusedForNow() || !p.nextRound(ctx, a) {
			return false
		}
	}
	p.leg.relay.m.retries.Inc()
	p.mu.Lock()
	p.trace.Retries++
	p.mu.Unlock()
	return true
}

// nextRound goes through the targets again after each refused for now.
func (p *part) nextRound(ctx context.Context, a *attempts) bool {
	if a.round+1 >= maxRounds {
		return false
	}
	a.round++
	a.tried = nil
	return pauseFor(ctx, time.Duration(a.round)*roundPause) && p.launch(ctx, a)
}

// attemptResult is what one attempt brought.
type attemptResult struct {
	part    api.Part
	failure peer.Failure
	load    *target.Load
}

func (r attemptResult) answered() bool { return r.failure == "" && r.part.Answered() }

func (r attemptResult) held() []uint64 {
	if r.load == nil {
		return nil
	}
	return r.load.IndexVersions
}

// consumedNothing reports whether the failed attempt is known to leave no work behind: it was not run, or its target is
// gone. Another attempt then replaces it and adds no load.
func (r attemptResult) consumedNothing() bool {
	switch r.failure {
	case peer.Failure(target.FailureNotSent), peer.Failure(target.FailureDraining), peer.Failure(target.FailureVersionGone),
		peer.Failure(target.FailureConnectionLost), peer.FailureReserved, peer.FailureRelayBusy, peer.FailureRelayLost,
		peer.FailureNotServed:
		return true
	}
	return false
}

// refusedForNow reports whether the same target may take the part a little later.
func (r attemptResult) refusedForNow() bool {
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

// reasonOf translates a failure of the last attempt into the reason that the caller sees.
func reasonOf(f peer.Failure) api.MissingReason {
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
	default:
		return api.MissingUnreachable
	}
}
