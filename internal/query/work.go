package query

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/memlimit"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/routing"
)

const (
	// hedgeQuantile is the latency quantile after which an attempt is hedged. Targets pause for about 4% of the time, so a
	// higher quantile would lie inside the pauses and follow their length.
	hedgeQuantile = 0.9
	// minHedgeDelay is the shortest hedge delay. An earlier second attempt costs more than it saves.
	minHedgeDelay = 8 * time.Millisecond
	// initialDelayDivisor is what the time left to the goal is divided by for the hedge delay while no latencies are known.
	initialDelayDivisor = 5
	// hedgeRetryDelay is the time until a hedge without budget is considered again. Other requests add tokens every few tens
	// of milliseconds.
	hedgeRetryDelay = 10 * time.Millisecond
	// maxUnsentAttempts is the number of attempts that may replace ones that wrote nothing: two for each of three replicas.
	maxUnsentAttempts = 6
	// maxRefusedAttempts is the number of attempts that targets may refuse to run: one on each of three replicas, and a second
	// one on one of them.
	maxRefusedAttempts = 4
)

// attemptLimits bounds the attempts of one request on one service. The platform counts refused attempts as load, so there
// are no rounds of attempts outside the budget.
var attemptLimits = attempts.Limits{MaxReplacements: maxUnsentAttempts, MaxRefusals: maxRefusedAttempts, HedgeRetryDelay: hedgeRetryDelay}

// serviceCall runs one request on one service, with as many attempts as it takes until one has answered.
type serviceCall struct {
	engine     *Engine
	req        *Request
	route      *routing.Route
	routeState *routeState
	service    *service
	fp         quarantine.Fingerprint
	memory     *memlimit.Account // of the request
	start      time.Time
	goal       time.Time // an answer by then has its full value
	deadline   time.Time

	// The fields below belong to the goroutine of run.
	sentTargets     []string // targets that the request was or may have been written to
	excludedTargets []string // targets that are not tried again
	unwanted        bool     // no target wants a request soon enough, by what they said
	summary         attemptSummary
}

// attemptSummary collects what the log line of the request says about the attempts on one service.
type attemptSummary struct {
	attempts     int
	hedges       int
	retries      int
	triedTargets []string // targets in the order of the attempts
	stopped      string   // why no attempt followed the last one that failed
}

func (s *attemptSummary) add(l attempts.Launch, target string) {
	s.attempts++
	s.triedTargets = append(s.triedTargets, target)
	switch {
	case l.Replaces:
	case l.Kind == attempts.Hedge:
		s.hedges++
	case l.Kind == attempts.Retry:
		s.retries++
	}
}

// stoppedNote tells in a log line why no attempt followed the last one that failed.
func (s *attemptSummary) stoppedNote() string {
	if s.stopped == "" {
		return ""
	}
	return " (" + s.stopped + ")"
}

// run runs the request on the service and returns the result with the summary for the log.
func (c *serviceCall) run(ctx context.Context) serviceResult {
	res := c.runAttemptsContained(ctx)
	return serviceResult{attemptResult: res, service: c.service.name, summary: c.summary, duration: time.Since(c.start)}
}

// runAttemptsContained runs the request on the service. After a panic it may have run there.
func (c *serviceCall) runAttemptsContained(ctx context.Context) (res attemptResult) {
	defer c.engine.deps.Panics.Contain("part", c.logFields(), func() { res = attemptResult{failure: failureInternal} })
	return c.runAttempts(ctx)
}

func (c *serviceCall) logFields() logrus.Fields {
	return logrus.Fields{"request_id": c.req.ID, "service": c.service.name}
}

// serviceResult is the outcome of a serviceCall.
type serviceResult struct {
	attemptResult
	service  string
	summary  attemptSummary
	duration time.Duration
}

// runAttempts runs the request on the service. It returns the result of the attempt that succeeded, or else of the last one;
// if ctx ended first, the failure is failureCancelled.
func (c *serviceCall) runAttempts(ctx context.Context) attemptResult {
	outcome := attempts.Run[attemptResult](ctx, c, c.service.budget, attemptLimits)
	switch {
	case outcome.NoTarget && c.unwanted:
		return attemptResult{failure: failureUnwanted, notRun: true}
	case outcome.NoTarget:
		return attemptResult{failure: failureUnreachable, notRun: true}
	case outcome.Cancelled:
		return attemptResult{failure: failureCancelled, notRun: outcome.NotRun, err: context.Cause(ctx)}
	}
	outcome.Result.notRun = outcome.NotRun
	c.summary.stopped = string(outcome.Stopped)
	return outcome.Result
}

// Ended implements attempts.Launcher.
func (c *serviceCall) Ended(res attemptResult) attempts.FollowUp {
	c.observeLatency(res)
	if !res.written || res.failure == failureMisplaced {
		c.excludeTarget(res.target)
	}
	return attempts.FollowUp{
		Final: res.succeeded() || !c.isRetryable(res), Unsent: !res.written, Refused: res.failure == failureShed, NotRun: res.notRun,
	}
}

// observeLatency adds the latency of an attempt, less the round-trip time to the target, to the route's estimate.
func (c *serviceCall) observeLatency(res attemptResult) {
	latency := max(0, res.elapsed-c.engine.targetRTT(res.target))
	switch {
	case res.succeeded():
		c.routeState.latency.Observe(latency, time.Now())
	case res.failure == failureCancelled && res.written:
		c.routeState.latency.ObserveCensored(latency, time.Now())
	}
}

// isRetryable reports whether another attempt may follow the failed one.
func (c *serviceCall) isRetryable(res attemptResult) bool {
	if c.route.Kind == routing.NonIdempotent && !res.notRun {
		return false
	}
	if res.failure == failureNoMemory {
		return false // another target would send as much
	}
	// With a status below 500, the target works and the request is at fault: another target would answer the same.
	return res.failure != failureError || res.reply.Status >= 500
}

// Launch implements attempts.Launcher.
func (c *serviceCall) Launch(ctx context.Context, l attempts.Launch, ended func(attemptResult)) bool {
	choice, newConnection, ok := c.pickTarget(l.AllowRefused)
	if !ok {
		return c.launchWhenWanted(ctx, l, ended)
	}
	id := choice.Target.ID
	if !slices.Contains(c.sentTargets, id) {
		c.sentTargets = append(c.sentTargets, id)
	}
	c.summary.add(l, id)
	c.engine.metrics.attemptsByKind[l.Kind].Inc()
	go func() { ended(c.attempt(ctx, choice, l.Kind, newConnection)) }()
	return true
}

// pickTarget chooses a target that was not tried yet. If the request may go to no other one and allowRefused is set, it chooses
// a target that refused the request. The second result asks for a new connection: on a used one, a late answer to the first
// attempt could be taken for the answer to this one, since both have the same id.
func (c *serviceCall) pickTarget(allowRefused bool) (balance.Choice, bool, bool) {
	if len(c.sentTargets) < c.route.MaxTargets {
		request := balance.Request{Tried: append(slices.Clone(c.sentTargets), c.excludedTargets...), NoProbe: c.route.Kind == routing.NonIdempotent}
		if choice, ok := c.pickWilling(request); ok {
			return choice, false, true
		}
	}
	if !allowRefused {
		return balance.Choice{}, false, false
	}
	request := balance.Request{
		Tried: c.excludedTargets, NoProbe: true,
		Eligible: func(id string) bool { return slices.Contains(c.sentTargets, id) },
	}
	choice, ok := c.pickWilling(request)
	return choice, true, ok
}

// pickWilling picks a target that wants a request of this node now and reserves the request.
func (c *serviceCall) pickWilling(request balance.Request) (balance.Choice, bool) {
	now := time.Now()
	unwilling := c.engine.unwilling(c.service, now)
	eligible := request.Eligible
	request.Eligible = func(id string) bool { return !slices.Contains(unwilling, id) && (eligible == nil || eligible(id)) }
	for {
		choice, ok := c.service.picker.Pick(request, now, newRand())
		if !ok {
			return balance.Choice{}, false
		}
		client := c.engine.client(choice.Target.ID)
		if client == nil {
			return choice, true // the attempt ends without being written
		}
		if _, ok := client.reserve(now, 0); ok {
			return choice, true
		}
		c.service.picker.Done(choice, balance.Observation{Result: balance.Neutral}, now)
		unwilling = append(unwilling, choice.Target.ID) // another request has just taken the room
	}
}

// HedgeDelay implements attempts.Launcher.
func (c *serviceCall) HedgeDelay() (time.Duration, bool) {
	if c.route.Kind != routing.Idempotent || len(c.sentTargets) >= c.route.MaxTargets {
		return 0, false
	}
	return c.hedgeDelay(), true
}

// hedgeDelay returns the time after which the latest attempt is hedged: the quantile of the route's latencies plus the
// round-trip time to the target, but early enough for a typical second attempt to meet the goal.
func (c *serviceCall) hedgeDelay() time.Duration {
	left := time.Until(c.goal)
	if left <= 0 {
		left = time.Until(c.deadline)
	}
	delay, ready := c.routeState.latency.Quantile(hedgeQuantile)
	if !ready {
		return max(minHedgeDelay, left/initialDelayDivisor)
	}
	if n := len(c.sentTargets); n > 0 {
		delay += c.engine.targetRTT(c.sentTargets[n-1])
	}
	second := delay // a second attempt takes about as long as a slow first one
	return max(minHedgeDelay, min(delay, left-second))
}

// State implements attempts.Launcher.
func (c *serviceCall) State(kind attempts.Kind) hedge.State {
	state := hedge.State{Elapsed: time.Since(c.start), Remaining: time.Until(c.deadline)}
	if kind == attempts.Retry {
		state.UntriedTargets = 1 // any target is better than none; Launch reports whether there is one
	} else {
		state.UntriedTargets = c.countUntriedTargets()
	}
	return state
}

// BudgetExhausted implements attempts.Launcher.
func (c *serviceCall) BudgetExhausted() { c.engine.metrics.hedgesWithoutBudget.Inc() }

// countUntriedTargets returns the number of targets that another attempt could use.
func (c *serviceCall) countUntriedTargets() int {
	if len(c.sentTargets) >= c.route.MaxTargets {
		return 0
	}
	now := time.Now()
	tried := append(slices.Clone(c.sentTargets), c.excludedTargets...)
	return c.service.picker.CountAlternatives(balance.Request{Tried: append(tried, c.engine.unwilling(c.service, now)...)}, now)
}

// excludeTarget removes a target from sentTargets and excludes it from further attempts.
func (c *serviceCall) excludeTarget(id string) {
	c.sentTargets = slices.DeleteFunc(c.sentTargets, func(sent string) bool { return sent == id })
	c.excludedTargets = append(c.excludedTargets, id)
}
