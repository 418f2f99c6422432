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
	restrictedAttempts  map[attempts.Kind]*metrics.Counter // those written to targets that said what restricts them
	requestSeconds      *metrics.Histogram
	attemptSeconds      *metrics.Histogram
	missingParts        *metrics.Counter
	noticeWaits         *metrics.Counter // attempts that waited until a target wanted them
	noticeRefusals      *metrics.Counter // attempts and requests without a target that wants them
	departuresTold      *metrics.Counter // targets of which another node told first that they leave
	hedgesWithoutBudget *metrics.Counter // hedges and retries that found no budget
}

func newEngineMetrics(set *metrics.Set) *engineMetrics {
	m := &engineMetrics{
		set: set, attemptsByKind: map[attempts.Kind]*metrics.Counter{}, restrictedAttempts: map[attempts.Kind]*metrics.Counter{},
		requestSeconds:      set.GetOrCreateHistogram("medlarshunt_request_seconds"),
		attemptSeconds:      set.GetOrCreateHistogram("medlarshunt_attempt_seconds"),
		missingParts:        set.GetOrCreateCounter("medlarshunt_missing_parts_total"),
		noticeWaits:         set.GetOrCreateCounter("medlarshunt_notice_waits_total"),
		noticeRefusals:      set.GetOrCreateCounter("medlarshunt_notice_refusals_total"),
		departuresTold:      set.GetOrCreateCounter("medlarshunt_leaving_told_total"),
		hedgesWithoutBudget: set.GetOrCreateCounter("medlarshunt_hedges_without_budget_total"),
	}
	for _, k := range []attempts.Kind{attempts.First, attempts.Hedge, attempts.Retry} {
		m.attemptsByKind[k] = set.GetOrCreateCounter(`medlarshunt_attempts_total{kind="` + string(k) + `"}`)
		m.restrictedAttempts[k] = set.GetOrCreateCounter(`medlarshunt_restricted_attempts_total{kind="` + string(k) + `"}`)
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
