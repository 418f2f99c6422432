package query

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/notice"
)

// maxLimitRetryAfter bounds the time after which callers are told to come back when targets take no more requests from this
// node now. Other nodes have parts of the limits of their own.
const maxLimitRetryAfter = time.Second

// hear takes note of what a target says of itself in an answer.
func (e *Engine) hear(t *targetClient, n notice.Notice) {
	if !n.Limited && !t.limited.Load() {
		return // the usual case takes no lock
	}
	t.paceMu.Lock()
	changed := t.pace.Hear(n, time.Now())
	t.limited.Store(n.Limited)
	t.paceMu.Unlock()
	if !changed {
		return
	}
	fields := logrus.Fields{"target": t.id, "service": t.service.name, "started_at_ms": t.startedAtMS}
	if !n.Limited {
		t.service.limitedTargets.Add(-1)
		e.deps.Log.WithFields(fields).Info("target names no limit of requests any more")
		return
	}
	t.service.limitedTargets.Add(1)
	fields["limit_per_s"] = n.RequestsPerSecond
	e.deps.Log.WithFields(fields).Info("target names a limit of requests")
}

// setSharingNodes sets the number of nodes that share the limit of the target.
func (t *targetClient) setSharingNodes(nodes int, now time.Time) {
	t.paceMu.Lock()
	defer t.paceMu.Unlock()
	t.pace.SetNodes(nodes, now)
}

// reserve reserves a request within the limit that the target names. It returns false when the request would have to wait longer
// than maxWait.
func (t *targetClient) reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	if !t.limited.Load() {
		return 0, true
	}
	t.paceMu.Lock()
	defer t.paceMu.Unlock()
	return t.pace.Reserve(now, maxWait)
}

// returnReservation gives back a reservation whose request was not written.
func (t *targetClient) returnReservation() {
	if !t.limited.Load() {
		return
	}
	t.paceMu.Lock()
	defer t.paceMu.Unlock()
	t.pace.Return()
}

// wait returns the time until the limit that the target names leaves room for a request of this node.
func (t *targetClient) wait(now time.Time) time.Duration {
	if !t.limited.Load() {
		return 0
	}
	t.paceMu.Lock()
	defer t.paceMu.Unlock()
	return t.pace.Wait(now)
}

// targetsOverLimit returns the targets of a service that take no request of this node now, because of the limits that they name.
func (e *Engine) targetsOverLimit(s *service, now time.Time) (ids []string) {
	if s.limitedTargets.Load() <= 0 {
		return nil
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, t := range s.clients {
		if t.wait(now) > 0 {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// soonest returns the target of a service, other than those excluded, whose limit leaves room first, and the time until then. It
// returns nil when no target is left.
func (e *Engine) soonest(s *service, excluded []string, now time.Time) (soonest *targetClient, wait time.Duration) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, t := range s.clients {
		if t.info.Draining || slices.Contains(excluded, t.id) {
			continue
		}
		if w := t.wait(now); soonest == nil || w < wait {
			soonest, wait = t, w
		}
	}
	return soonest, wait
}

// launchWithinLimit starts an attempt as soon as a target's limit leaves room, when all targets that could take it now are over
// their limits. It returns false when that is too late for the latency goal; waitForLimit then holds the time.
func (c *serviceCall) launchWithinLimit(ctx context.Context, l attempts.Launch, ended func(attemptResult)) bool {
	if c.service.limitedTargets.Load() <= 0 || l.Kind == attempts.Hedge || len(c.sentTargets) >= c.route.MaxTargets {
		return false
	}
	now := time.Now()
	target, wait := c.engine.soonest(c.service, append(slices.Clone(c.sentTargets), c.excludedTargets...), now)
	if target == nil {
		return false
	}
	wait, ok := target.reserve(now, c.maxLimitWait())
	if !ok {
		c.waitForLimit = wait
		c.engine.metrics.limitRefusals.Inc()
		return false
	}
	c.engine.metrics.limitWaits.Inc()
	c.sentTargets = append(c.sentTargets, target.id)
	c.summary.add(l, target.id)
	c.engine.metrics.attemptsByKind[l.Kind].Inc()
	go func() { ended(c.attemptAfter(ctx, wait, target, l.Kind)) }()
	return true
}

// maxLimitWait is the longest wait for the limit of a target after which an attempt of typical duration still meets the goal.
func (c *serviceCall) maxLimitWait() time.Duration {
	latency, ready := c.routeState.latency.Quantile(hedgeQuantile)
	if !ready {
		latency = time.Until(c.goal) / 2
	}
	return max(0, time.Until(c.goal)-latency)
}

// attemptAfter waits for a reservation and then makes an attempt on the target.
func (c *serviceCall) attemptAfter(ctx context.Context, wait time.Duration, target *targetClient, kind attempts.Kind) attemptResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		target.returnReservation()
		return attemptResult{target: target.id, failure: failureCancelled, notRun: true, err: context.Cause(ctx)}
	}
	choice, ok := c.service.picker.PickOnly(target.id, time.Now())
	if !ok {
		target.returnReservation()
		return attemptResult{target: target.id, failure: failureLeaving, notRun: true, err: errTargetUnavailable}
	}
	return c.attempt(ctx, choice, kind, false)
}

// limitRetryAfter returns when callers should come back after a refusal because of the limits of targets.
func limitRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, busyRetryAfter), maxLimitRetryAfter)
}

// refuseOverLimit returns a refusal when the limits that targets name leave too few shards for an answer within the goal. Nothing
// has been sent then.
func (s *activeRequest) refuseOverLimit(template serviceCall) (Answer, bool) {
	now, blocked := time.Now(), 0
	var longest time.Duration
	for _, name := range s.route.Gather {
		service := s.engine.service(name)
		if service == nil || service.limitedTargets.Load() <= 0 {
			continue
		}
		template.service = service
		if target, wait := s.engine.soonest(service, nil, now); target != nil && wait > template.maxLimitWait() {
			blocked++
			longest = max(longest, wait)
		}
	}
	total := len(s.route.Gather)
	if blocked == 0 || float64(total-blocked) >= s.route.MinShare*float64(total) {
		return Answer{}, false
	}
	s.engine.metrics.limitRefusals.Inc()
	return Answer{Status: Refused, Reason: "the limits that targets name leave too few shards", RetryAfter: limitRetryAfter(longest)}, true
}
