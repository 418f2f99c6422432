package query

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
)

// engineMetrics holds the metrics of an Engine.
type engineMetrics struct {
	set                 *metrics.Set
	attemptsByKind      map[attempts.Kind]*metrics.Counter
	limitedAttempts     map[attempts.Kind]*metrics.Counter // those written to targets that name a limit
	requestSeconds      *metrics.Histogram
	attemptSeconds      *metrics.Histogram
	missingParts        *metrics.Counter
	limitWaits          *metrics.Counter // attempts that waited for the limit of a target
	limitRefusals       *metrics.Counter // attempts and requests without a target, because of limits
	hedgesWithoutBudget *metrics.Counter // hedges and retries that found no budget
}

func newEngineMetrics(set *metrics.Set) *engineMetrics {
	m := &engineMetrics{
		set: set, attemptsByKind: map[attempts.Kind]*metrics.Counter{}, limitedAttempts: map[attempts.Kind]*metrics.Counter{},
		requestSeconds:      set.GetOrCreateHistogram("medlarshunt_request_seconds"),
		attemptSeconds:      set.GetOrCreateHistogram("medlarshunt_attempt_seconds"),
		missingParts:        set.GetOrCreateCounter("medlarshunt_missing_parts_total"),
		limitWaits:          set.GetOrCreateCounter("medlarshunt_limit_waits_total"),
		limitRefusals:       set.GetOrCreateCounter("medlarshunt_limit_refusals_total"),
		hedgesWithoutBudget: set.GetOrCreateCounter("medlarshunt_hedges_without_budget_total"),
	}
	for _, k := range []attempts.Kind{attempts.First, attempts.Hedge, attempts.Retry} {
		m.attemptsByKind[k] = set.GetOrCreateCounter(`medlarshunt_attempts_total{kind="` + string(k) + `"}`)
		m.limitedAttempts[k] = set.GetOrCreateCounter(`medlarshunt_limited_attempts_total{kind="` + string(k) + `"}`)
	}
	return m
}

func (m *engineMetrics) observeRequest(a Answer, elapsed time.Duration) {
	m.set.GetOrCreateCounter(`medlarshunt_requests_total{status="` + a.Status.String() + `"}`).Inc()
	m.requestSeconds.Update(elapsed.Seconds())
}

func (m *engineMetrics) observeAttempt(res attemptResult) {
	m.set.GetOrCreateCounter(`medlarshunt_attempts_ended_total{result="` + string(res.failure) + `"}`).Inc()
	m.attemptSeconds.Update(res.elapsed.Seconds())
}
