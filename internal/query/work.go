package query

import (
	"context"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/routing"
)

const (
	// hedgeQuantile is the share of attempts that are back when an attempt is hedged. Targets pause for about 4% of the
	// time, so a higher quantile lies inside the pauses and follows their length.
	hedgeQuantile = 0.9
	// minHedgeDelay is the shortest hedge delay: a second attempt sooner costs more than it saves.
	minHedgeDelay = 8 * time.Millisecond
	// firstHedgeShare is the share of the goal after which an attempt is hedged before latencies are known.
	firstHedgeShare = 5
	// budgetPause is the pause before a hedge without budget is tried again.
	budgetPause = 10 * time.Millisecond
	// maxFreeAttempts bounds attempts that end before anything is written.
	maxFreeAttempts = 6
	// maxRefusals bounds the attempts of one request that targets refuse to run.
	maxRefusals = 4
	// minAttempt is the least time in which an attempt can bring an answer.
	minAttempt = 3 * time.Millisecond
)

// work is one request on one service: its attempts until one has answered.
type work struct {
	engine   *Engine
	req      *Request
	route    *routing.Route
	state    *routeState
	service  *service
	fp       quarantine.Fingerprint
	start    time.Time
	goal     time.Time // an answer by then has its full worth
	deadline time.Time

	// The fields below belong to the goroutine of run.
	results  chan attemptResult
	open     int
	sent     []string // targets that the request was or may have been written to
	avoid    []string // targets that are not tried again
	hedges   int
	unsent   int
	refusals int
	notes    workNotes
}

// workNotes is what the log line of the request says about a part.
type workNotes struct {
	attempts int
	hedges   int
	retries  int
	tried    []string // targets in the order of the attempts
}

// run runs the request on the service and returns the result with what the log says about it.
func (w *work) run(ctx context.Context) workResult {
	res := w.attempts(ctx)
	return workResult{attemptResult: res, service: w.service.name, notes: w.notes, took: time.Since(w.start)}
}

// workResult is the end of a work.
type workResult struct {
	attemptResult
	service string
	notes   workNotes
	took    time.Duration
}

// attempts makes attempts until one is served, none can help any more, or ctx ends. The result is that of the served
// attempt, or the last one. It returns a failureCancelled result when ctx ended.
func (w *work) attempts(ctx context.Context) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the losers' work at their targets
	w.results = make(chan attemptResult, maxFreeAttempts+maxRefusals+w.route.Attempts+2)
	if !w.launch(ctx, attemptFirst, false) {
		return attemptResult{failure: failureUnreachable, notRun: true}
	}
	w.service.budget.Primary()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	w.armHedge(timer)
	proved := true // every ended attempt is proved not to have run
	for {
		select {
		case <-ctx.Done():
			return attemptResult{failure: failureCancelled, notRun: proved && w.open == 0, err: context.Cause(ctx)}
		case <-timer.C:
			w.hedge(ctx, timer)
		case res := <-w.results:
			w.open--
			proved = proved && res.notRun
			w.learn(res)
			if res.served() || !w.mayRepeat(res) {
				return res
			}
			if !w.retry(ctx, res) && w.open == 0 {
				res.notRun = proved
				return res
			}
		}
	}
}

// learn adds the latency of an attempt to the route's estimate, without the hop.
func (w *work) learn(res attemptResult) {
	latency := max(0, res.elapsed-w.engine.hopTo(res.target))
	switch {
	case res.served():
		w.state.latency.Observe(latency, time.Now())
	case res.failure == failureCancelled && res.written:
		w.state.latency.ObserveCensored(latency, time.Now())
	}
}

// mayRepeat reports whether another attempt may follow the failed one at all.
func (w *work) mayRepeat(res attemptResult) bool {
	if w.route.Kind == routing.NonIdempotent && !res.notRun {
		return false
	}
	// The target works and does not like the request: another one would answer the same.
	return res.failure != failureError || res.reply.Status >= 500
}

// launch starts an attempt and reports whether there is a target for it.
func (w *work) launch(ctx context.Context, kind attemptKind, again bool) bool {
	choice, fresh, ok := w.pick(again)
	if !ok {
		return false
	}
	id := choice.Target.ID
	if !slices.Contains(w.sent, id) {
		w.sent = append(w.sent, id)
	}
	w.open++
	w.notes.attempts++
	w.notes.tried = append(w.notes.tried, id)
	w.engine.m.attempts[kind].Inc()
	go func() { w.results <- w.attempt(ctx, choice, kind, fresh) }()
	return true
}

// pick chooses a target that was not tried yet; when the request may not go to another one, a target that refused it.
// The second result asks for a new connection: on a used one, a late answer to the first attempt would have the same id.
func (w *work) pick(again bool) (balance.Choice, bool, bool) {
	now := time.Now()
	if len(w.sent) < w.route.Attempts {
		request := balance.Request{Tried: append(slices.Clone(w.sent), w.avoid...), NoProbe: w.route.Kind == routing.NonIdempotent}
		if choice, ok := w.service.picker.Pick(request, now, random()); ok {
			return choice, false, true
		}
	}
	if !again {
		return balance.Choice{}, false, false
	}
	request := balance.Request{
		Tried: w.avoid, NoProbe: true,
		Eligible: func(id string) bool { return slices.Contains(w.sent, id) },
	}
	choice, ok := w.service.picker.Pick(request, now, random())
	return choice, true, ok
}

// armHedge sets the timer to the next hedge, if one could still help.
func (w *work) armHedge(timer *time.Timer) {
	if w.route.Kind != routing.Idempotent || w.hedges >= hedge.MaxHedges || len(w.sent) >= w.route.Attempts {
		return
	}
	timer.Reset(w.hedgeDelay())
}

// hedgeDelay is the time after which the youngest attempt is hedged: the quantile of the route's latencies and the hop to
// the target, but early enough for a typical second attempt to make the goal.
func (w *work) hedgeDelay() time.Duration {
	left := time.Until(w.goal)
	if left <= 0 {
		left = time.Until(w.deadline)
	}
	delay, ready := w.state.latency.Quantile(hedgeQuantile)
	if !ready {
		return max(minHedgeDelay, left/firstHedgeShare)
	}
	if n := len(w.sent); n > 0 {
		delay += w.engine.hopTo(w.sent[n-1])
	}
	second := delay // a second attempt takes about as long as a slow first one
	return max(minHedgeDelay, min(delay, left-second))
}

// hedge starts a second attempt while the first is under way.
func (w *work) hedge(ctx context.Context, timer *time.Timer) {
	state := hedge.State{
		Elapsed: time.Since(w.start), Remaining: time.Until(w.deadline), Hedges: w.hedges, Others: w.others(),
		Overload: w.service.budget.Starved(time.Now()),
	}
	switch hedge.ShouldHedge(state, w.service.budget) {
	case hedge.ReasonGo:
		if w.launch(ctx, attemptHedge, false) {
			w.hedges++
			w.notes.hedges++
			return
		}
		w.service.budget.Refund()
	case hedge.ReasonBudget, hedge.ReasonOverload:
		w.engine.m.skipped.Inc()
		timer.Reset(budgetPause)
	}
}

// others counts the targets that another attempt could use.
func (w *work) others() int {
	if len(w.sent) >= w.route.Attempts {
		return 0
	}
	return w.service.picker.Others(balance.Request{Tried: append(slices.Clone(w.sent), w.avoid...)}, time.Now())
}

// retry starts another attempt after a failed one, and reports whether it did.
func (w *work) retry(ctx context.Context, res attemptResult) bool {
	if ctx.Err() != nil || time.Until(w.deadline) < minAttempt {
		return false
	}
	free := !res.written
	if free {
		return w.retryUnsent(ctx, res)
	}
	again := false
	if res.failure == failureShed {
		if w.refusals++; w.refusals > maxRefusals {
			return false
		}
		again = true
	}
	if res.failure == failureMisplaced {
		w.forget(res.target)
	}
	if w.open > 0 && !again {
		return false // a hedge is under way already
	}
	if !w.service.budget.WithdrawRetry(time.Now()) {
		w.engine.m.skipped.Inc()
		return false
	}
	if !w.launch(ctx, attemptRetry, again) {
		w.service.budget.Refund()
		return false
	}
	w.notes.retries++
	return true
}

// retryUnsent tries another target after an attempt that wrote nothing. It adds no load, so it needs no budget: the next
// attempt is the first that a target sees in its place. A hedge that was never written gives its token back.
func (w *work) retryUnsent(ctx context.Context, res attemptResult) bool {
	if res.kind != attemptFirst {
		w.service.budget.Refund()
	}
	if w.unsent++; w.unsent > maxFreeAttempts {
		return false
	}
	w.forget(res.target)
	if res.kind != attemptFirst && !w.service.budget.Withdraw() {
		return false
	}
	if w.launch(ctx, res.kind, false) {
		return true
	}
	if res.kind != attemptFirst {
		w.service.budget.Refund()
	}
	return false
}

// forget takes a target off the list of those that the request was sent to, and avoids it.
func (w *work) forget(id string) {
	w.sent = slices.DeleteFunc(w.sent, func(have string) bool { return have == id })
	w.avoid = append(w.avoid, id)
}
