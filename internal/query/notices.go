package query

import (
	"context"
	"math/rand/v2"
	"slices"

	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/notice"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/published"
)

const (
	// maxNoticeRetryAfter bounds the time after which callers are told to come back when no target wants a request of this node
	// now. Other nodes have parts of the limits of their own.
	maxNoticeRetryAfter = time.Second
	// formerRecordTTL is how long the record of an incarnation that is no longer listed is kept. The list may name it again: after
	// an outage of the store, or because this node reads an older list from a peer.
	formerRecordTTL = time.Minute
	// maxFormerRecords bounds the records of incarnations that are no longer listed.
	maxFormerRecords = 4096
)

// selfReport is what an incarnation of a target says of itself. restricted tells without the lock whether record restricts the
// requests to it.
type selfReport struct {
	restricted atomic.Bool

	mu     panics.Mutex // guards record
	record *notice.Record
}

func newSelfReport() *selfReport { return &selfReport{record: notice.NewRecord(rand.Float64())} }

// use calls fn with the record, unless nothing restricts the requests to the target.
func (s *selfReport) use(fn func(*notice.Record)) {
	if !s.restricted.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.record)
}

// incarnation identifies one process of a target.
type incarnation struct {
	id, address, service string
	startedAtMS          int64 // 0 if it is not published
}

func incarnationOf(t published.Target) incarnation {
	return incarnation{id: t.ID, address: t.Address, service: t.Service, startedAtMS: t.StartedAtMS}
}

// formerReport is the report of an incarnation that is no longer listed.
type formerReport struct {
	report  *selfReport
	dropped time.Time
}

// formerReports keeps the reports of incarnations that are no longer listed. It has no lock.
type formerReports map[incarnation]formerReport

// add keeps a report that restricts requests.
func (f formerReports) add(t published.Target, report *selfReport, now time.Time) {
	for key, former := range f {
		if now.Sub(former.dropped) > formerRecordTTL {
			delete(f, key)
		}
	}
	if report.restricted.Load() && len(f) < maxFormerRecords {
		f[incarnationOf(t)] = formerReport{report, now}
	}
}

// take returns the report of an incarnation that is listed again, or a new one.
func (f formerReports) take(t published.Target, now time.Time) *selfReport {
	former, ok := f[incarnationOf(t)]
	delete(f, incarnationOf(t))
	if ok && now.Sub(former.dropped) <= formerRecordTTL {
		return former.report
	}
	return newSelfReport()
}

// hear takes note of what a target says of itself in an answer.
func (e *Engine) hear(t *targetClient, n notice.Notice) {
	r := t.report
	if n == (notice.Notice{}) && !r.restricted.Load() {
		return // the usual case takes no lock
	}
	var change notice.Change
	now := time.Now()
	e.note(t, now, func(r *notice.Record) { change = r.Hear(n, now) })
	log := e.deps.Log.WithFields(logrus.Fields{"target": t.id, "service": t.service.name, "started_at_ms": t.incarnation.startedAtMS})
	if change.LimitBegan {
		log.WithField("limit_per_s", n.RequestsPerSecond).Info("target names a limit of requests")
	}
	if change.LimitEnded {
		log.Info("target names no limit of requests any more")
	}
	if change.PauseBegan {
		log.WithField("pause_ms", n.Pause.Milliseconds()).Info("target wants no requests of this node for a time")
	}
	if change.LeavingBegan {
		log.Info("target says that it leaves")
		t.pool.Close() // the calls in flight end as usual
		e.departures.add(t.incarnation, now)
	}
}

// note changes what the report of a target says, and counts the target in its service if it became or ceased to be restricted. A list
// of targets that is applied meanwhile counts anew, so it must see both or neither.
func (e *Engine) note(t *targetClient, now time.Time, change func(*notice.Record)) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	r := t.report
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.record)
	restricted := r.record.Restricted(now)
	isListed := slices.ContainsFunc(t.service.clients, func(c *targetClient) bool { return c.report == r })
	if r.restricted.Swap(restricted) != restricted && isListed {
		t.service.countRestricted(restricted)
	}
}

// setSharingNodes sets the number of nodes that share the limit of the target.
func (t *targetClient) setSharingNodes(nodes int, now time.Time) {
	t.report.mu.Lock()
	defer t.report.mu.Unlock()
	t.report.record.SetNodes(nodes, now)
}

// reserve reserves a request to the target. It returns false when the target leaves, or when the request would have to wait
// longer than maxWait.
func (t *targetClient) reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	ok = true
	t.report.use(func(r *notice.Record) {
		if ok = !r.Leaving(); ok {
			wait, ok = r.Reserve(now, maxWait)
		}
	})
	return wait, ok
}

// returnReservation gives back a request that fell due at a moment and was not written.
func (t *targetClient) returnReservation(due time.Time) {
	t.report.use(func(r *notice.Record) { r.Return(due, time.Now()) })
}

// wantsRequests returns the time until the target wants a request of this node, and false if it leaves.
func (t *targetClient) wantsRequests(now time.Time) (wait time.Duration, ok bool) {
	ok = true
	t.report.use(func(r *notice.Record) { wait, ok = r.Wait(now), !r.Leaving() })
	return wait, ok
}

// redeem reports whether a request that fell due at a moment may be written now.
func (t *targetClient) redeem(due, now time.Time) (ok bool) {
	ok = true
	t.report.use(func(r *notice.Record) { ok = r.Redeem(due, now) })
	return ok
}

// countRestricted adds or removes a restricted target.
func (s *service) countRestricted(restricted bool) {
	if restricted {
		s.restrictedTargets.Add(1)
	} else {
		s.restrictedTargets.Add(-1)
	}
}

// isRestricted reports whether any target of the service has said what restricts the requests to it.
func (s *service) isRestricted() bool { return s.restrictedTargets.Load() > 0 }

// unwilling returns the targets of a service that want no request of this node now, because of what they said.
func (e *Engine) unwilling(s *service, now time.Time) (ids []string) {
	if !s.isRestricted() {
		return nil
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, t := range s.clients {
		if wait, ok := t.wantsRequests(now); !ok || wait > 0 {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// soonest returns the target of a service, other than those excluded, that wants a request first, and the time until then. It
// returns nil when no target is left.
func (e *Engine) soonest(s *service, excluded []string, now time.Time) (soonest *targetClient, wait time.Duration) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, t := range s.clients {
		if t.info.Draining || slices.Contains(excluded, t.id) {
			continue
		}
		if w, ok := t.wantsRequests(now); ok && (soonest == nil || w < wait) {
			soonest, wait = t, w
		}
	}
	return soonest, wait
}

// launchWhenWanted starts an attempt as soon as a target wants one, when all targets that could take it want none now. It returns
// false when that is too late for the latency goal; unwanted is set then.
func (c *serviceCall) launchWhenWanted(ctx context.Context, l attempts.Launch, ended func(attemptResult)) bool {
	if !c.service.isRestricted() || l.Kind == attempts.Hedge || len(c.sentTargets) >= c.route.MaxTargets {
		return false
	}
	now := time.Now()
	target, wait := c.engine.soonest(c.service, append(slices.Clone(c.sentTargets), c.excludedTargets...), now)
	if target == nil {
		return false
	}
	wait, ok := target.reserve(now, c.maxNoticeWait())
	if !ok {
		c.unwanted = true
		c.engine.metrics.noticeRefusals.Inc()
		return false
	}
	c.engine.metrics.noticeWaits.Inc()
	c.sentTargets = append(c.sentTargets, target.id)
	c.summary.add(l, target.id)
	c.engine.metrics.attemptsByKind[l.Kind].Inc()
	go func() { ended(c.attemptAfter(ctx, wait, target, l.Kind)) }()
	return true
}

// maxNoticeWait is the longest wait for a target after which an attempt of typical duration still meets the goal.
func (c *serviceCall) maxNoticeWait() time.Duration {
	latency, ready := c.routeState.latency.Quantile(hedgeQuantile)
	if !ready {
		latency = time.Until(c.goal) / 2
	}
	return max(0, time.Until(c.goal)-latency)
}

// attemptAfter waits for a reservation and then makes an attempt on the target.
func (c *serviceCall) attemptAfter(ctx context.Context, wait time.Duration, target *targetClient, kind attempts.Kind) attemptResult {
	due := time.Now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		target.returnReservation(due)
		return attemptResult{target: target.id, failure: failureCancelled, notRun: true, err: context.Cause(ctx)}
	}
	choice, ok := c.service.picker.PickOnly(target.id, time.Now())
	if !ok {
		target.returnReservation(due)
		return attemptResult{target: target.id, failure: failureLeaving, notRun: true, err: errTargetUnavailable}
	}
	return c.attempt(ctx, choice, kind, false)
}

// retryAfter returns when the caller of a refused request should come back: when a target of the service wants requests of this
// node again.
func (e *Engine) retryAfter(s *service) time.Duration {
	if !s.isRestricted() {
		return busyRetryAfter
	}
	_, wait := e.soonest(s, nil, time.Now())
	return boundRetryAfter(wait)
}

func boundRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, busyRetryAfter), maxNoticeRetryAfter)
}

// refuseUnwilling returns a refusal when what targets said leaves too few shards for an answer within the goal. Nothing has been
// sent then.
func (s *activeRequest) refuseUnwilling(template serviceCall) (Answer, bool) {
	now, blocked := time.Now(), 0
	var longest time.Duration
	for _, name := range s.route.Gather {
		service := s.engine.service(name)
		if service == nil || !service.isRestricted() {
			continue
		}
		template.service = service
		if target, wait := s.engine.soonest(service, nil, now); target == nil || wait > template.maxNoticeWait() {
			blocked++
			longest = max(longest, wait)
		}
	}
	total := len(s.route.Gather)
	if blocked == 0 || float64(total-blocked) >= s.route.MinShare*float64(total) {
		return Answer{}, false
	}
	s.engine.metrics.noticeRefusals.Inc()
	return Answer{Status: Refused, Reason: "too few shards have a target that wants requests now", RetryAfter: boundRetryAfter(longest)}, true
}
