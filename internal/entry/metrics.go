package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// entryMetrics holds the metrics of the caller API, which its users asked for.
type entryMetrics struct {
	set      *metrics.Set
	restarts *metrics.Counter
	reroutes *metrics.Counter
	// lateAnswers counts the searches that were answered after their time budget.
	lateAnswers *metrics.Counter
}

func newEntryMetrics(set *metrics.Set) *entryMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &entryMetrics{
		set:         set,
		restarts:    set.GetOrCreateCounter("medlarshunt_entry_search_restarts_total"),
		reroutes:    set.GetOrCreateCounter("medlarshunt_entry_leg_reroutes_total"),
		lateAnswers: set.GetOrCreateCounter("medlarshunt_entry_answers_late_total"),
	}
}

func (m *entryMetrics) observeSearch(group string, took, budget time.Duration, coverage api.Coverage) {
	m.set.GetOrCreateSummary(fmt.Sprintf(`medlarshunt_entry_search_seconds{group=%q}`, group)).Update(took.Seconds())
	m.set.GetOrCreateSummary(fmt.Sprintf(`medlarshunt_entry_coverage_fraction{group=%q}`, group)).Update(coverage.Fraction)
	if !coverage.Complete {
		m.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_entry_searches_incomplete_total{group=%q}`, group)).Inc()
	}
	if took > budget {
		m.lateAnswers.Inc()
	}
}

func (m *entryMetrics) countRefusal(code api.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_entry_refusals_total{code=%q}`, string(code))).Inc()
}

func (m *entryMetrics) countCommand(outcome api.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_entry_commands_total{outcome=%q}`, string(outcome))).Inc()
}
