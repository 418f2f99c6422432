package target

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// clientMetrics are the metrics of the clients of one group's targets. They are labelled with the group only: the
// metrics of a node are served without authentication, and target names are data of the owning team. The counters are
// shared by all targets of the group and stay registered, because a decrease of the sum would look like a counter reset.
type clientMetrics struct {
	opened       *metrics.Counter
	openFailures *metrics.Counter
	unresponsive *metrics.Counter
	ok           *metrics.Counter
	failures     map[FailureKind]*metrics.Counter
}

var allFailureKinds = []FailureKind{FailureNotSent, FailureShed, FailureDraining, FailureVersionGone, FailureRefused,
	FailureConnectionLost, FailureTimeout, FailureMalformed, FailureMismatch, FailureInternal}

func newClientMetrics(set *metrics.Set, group string) *clientMetrics {
	counter := func(name string) *metrics.Counter { return set.GetOrCreateCounter(name) }
	m := &clientMetrics{
		opened:       counter(fmt.Sprintf(`medlarshunt_target_connections_opened_total{group=%q}`, group)),
		openFailures: counter(fmt.Sprintf(`medlarshunt_target_connection_failures_total{group=%q}`, group)),
		unresponsive: counter(fmt.Sprintf(`medlarshunt_target_unresponsive_total{group=%q}`, group)),
		ok:           counter(fmt.Sprintf(`medlarshunt_target_calls_total{group=%q,result="ok"}`, group)),
		failures:     map[FailureKind]*metrics.Counter{},
	}
	for _, kind := range allFailureKinds {
		m.failures[kind] = counter(fmt.Sprintf(`medlarshunt_target_calls_total{group=%q,result=%q}`, group, kind))
	}
	return m
}

func (m *clientMetrics) countResult(err *Error) {
	if err == nil {
		m.ok.Inc()
		return
	}
	m.failures[err.Kind].Inc()
}
