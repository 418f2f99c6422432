package query

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
)

// counters are the metrics of an engine.
type counters struct {
	set      *metrics.Set
	attempts map[attempts.Kind]*metrics.Counter
	latency  *metrics.Histogram
	parts    *metrics.Histogram
	missing  *metrics.Counter
	skipped  *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set: set, attempts: map[attempts.Kind]*metrics.Counter{},
		latency: set.GetOrCreateHistogram("medlarshunt_request_seconds"),
		parts:   set.GetOrCreateHistogram("medlarshunt_attempt_seconds"),
		missing: set.GetOrCreateCounter("medlarshunt_missing_parts_total"),
		skipped: set.GetOrCreateCounter("medlarshunt_hedges_without_budget_total"),
	}
	for _, k := range []attempts.Kind{attempts.First, attempts.Hedge, attempts.Retry} {
		c.attempts[k] = set.GetOrCreateCounter(`medlarshunt_attempts_total{kind="` + string(k) + `"}`)
	}
	return c
}

func (c *counters) answered(a Answer, elapsed time.Duration) {
	c.set.GetOrCreateCounter(`medlarshunt_requests_total{status="` + a.Status.String() + `"}`).Inc()
	c.latency.Update(elapsed.Seconds())
}

func (c *counters) ended(res attemptResult) {
	c.set.GetOrCreateCounter(`medlarshunt_attempts_ended_total{result="` + string(res.failure) + `"}`).Inc()
	c.parts.Update(res.elapsed.Seconds())
}
