package query

import (
	"context"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
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
	// hedgePause is the time until a hedge without budget is considered again: tokens come in with other requests, a few
	// tens of milliseconds apart.
	hedgePause = 10 * time.Millisecond
	// maxUnsent is the number of attempts that may stand in for ones that wrote nothing: two for each of three replicas.
	maxUnsent = 6
	// maxRefused is the number of attempts that targets may refuse to run: each replica once, and one of them again.
	maxRefused = 4
)

// attemptLimits bound the attempts of one request on one service. The platform counts refused attempts as load, so there are
// no rounds without budget.
var attemptLimits = attempts.Limits{Unsent: maxUnsent, Refused: maxRefused, HedgePause: hedgePause}

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
	sent  []string // targets that the request was or may have been written to
	avoid []string // targets that are not tried again
	notes workNotes
}

// workNotes is what the log line of the request says about a part.
type workNotes struct {
	attempts int
	hedges   int
	retries  int
	tried    []string // targets in the order of the attempts
}

func (n *workNotes) add(l attempts.Launch, target string) {
	n.attempts++
	n.tried = append(n.tried, target)
	switch {
	case l.Replaces:
	case l.Kind == attempts.Hedge:
		n.hedges++
	case l.Kind == attempts.Retry:
		n.retries++
	}
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

// attempts runs the request on the service. The result is that of the served attempt, or the last one; a
// failureCancelled result when ctx ended.
func (w *work) attempts(ctx context.Context) attemptResult {
	end := attempts.Run[attemptResult](ctx, w, w.service.budget, attemptLimits)
	switch {
	case end.NoTarget:
		return attemptResult{failure: failureUnreachable, notRun: true}
	case end.Cancelled:
		return attemptResult{failure: failureCancelled, notRun: end.NotRun, err: context.Cause(ctx)}
	}
	end.Result.notRun = end.NotRun
	return end.Result
}

// Ended implements attempts.Caller.
func (w *work) Ended(res attemptResult) attempts.Next {
	w.learn(res)
	if !res.written || res.failure == failureMisplaced {
		w.forget(res.target)
	}
	return attempts.Next{
		Final: res.served() || !w.mayRepeat(res), Unsent: !res.written, Again: res.failure == failureShed, NotRun: res.notRun,
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

// Launch implements attempts.Caller.
func (w *work) Launch(ctx context.Context, l attempts.Launch, ended func(attemptResult)) bool {
	choice, fresh, ok := w.pick(l.Again)
	if !ok {
		return false
	}
	id := choice.Target.ID
	if !slices.Contains(w.sent, id) {
		w.sent = append(w.sent, id)
	}
	w.notes.add(l, id)
	w.engine.m.attempts[l.Kind].Inc()
	go func() { ended(w.attempt(ctx, choice, fresh)) }()
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

// HedgeDelay implements attempts.Caller.
func (w *work) HedgeDelay() (time.Duration, bool) {
	if w.route.Kind != routing.Idempotent || len(w.sent) >= w.route.Attempts {
		return 0, false
	}
	return w.hedgeDelay(), true
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

// State implements attempts.Caller.
func (w *work) State(kind attempts.Kind) hedge.State {
	state := hedge.State{Elapsed: time.Since(w.start), Remaining: time.Until(w.deadline)}
	if kind == attempts.Retry {
		state.Others = 1 // any target is better than none: Launch finds out whether there is one
	} else {
		state.Others = w.others()
	}
	return state
}

// NoBudget implements attempts.Caller.
func (w *work) NoBudget() { w.engine.m.skipped.Inc() }

// others counts the targets that another attempt could use.
func (w *work) others() int {
	if len(w.sent) >= w.route.Attempts {
		return 0
	}
	return w.service.picker.Others(balance.Request{Tried: append(slices.Clone(w.sent), w.avoid...)}, time.Now())
}

// forget takes a target off the list of those that the request was sent to, and avoids it.
func (w *work) forget(id string) {
	w.sent = slices.DeleteFunc(w.sent, func(have string) bool { return have == id })
	w.avoid = append(w.avoid, id)
}
