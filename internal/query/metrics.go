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
	requestSeconds      *metrics.Histogram
	attemptSeconds      *metrics.Histogram
	missingParts        *metrics.Counter
	hedgesWithoutBudget *metrics.Counter
}

func newEngineMetrics(set *metrics.Set) *engineMetrics {
	c := &engineMetrics{
		set: set, attemptsByKind: map[attempts.Kind]*metrics.Counter{},
		requestSeconds:      set.GetOrCreateHistogram("medlarshunt_request_seconds"),
		attemptSeconds:      set.GetOrCreateHistogram("medlarshunt_attempt_seconds"),
		missingParts:        set.GetOrCreateCounter("medlarshunt_missing_parts_total"),
		hedgesWithoutBudget: set.GetOrCreateCounter("medlarshunt_hedges_without_budget_total"),
	}
	for _, k := range []attempts.Kind{attempts.First, attempts.Hedge, attempts.Retry} {
		c.attemptsByKind[k] = set.GetOrCreateCounter(`medlarshunt_attempts_total{kind="` + string(k) + `"}`)
	}
	return c
}

func (c *engineMetrics) observeRequest(a Answer, elapsed time.Duration) {
	c.set.GetOrCreateCounter(`medlarshunt_requests_total{status="` + a.Status.String() + `"}`).Inc()
	c.requestSeconds.Update(elapsed.Seconds())
}

func (c *engineMetrics) observeAttempt(res attemptResult) {
	c.set.GetOrCreateCounter(`medlarshunt_attempts_ended_total{result="` + string(res.failure) + `"}`).Inc()
	c.attemptSeconds.Update(res.elapsed.Seconds())
}
