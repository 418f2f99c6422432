package membership

import "github.com/VictoriaMetrics/metrics"

// loopMetrics holds the counters of a loop.
type loopMetrics struct {
	exchanged *metrics.Counter
	failed    *metrics.Counter
	pauses    *metrics.Counter
}

// newLoopMetrics registers the counters and gauges of l.
func newLoopMetrics(set *metrics.Set, l *Loop) *loopMetrics {
	for _, status := range []Status{Alive, Suspect, Dead} {
		set.NewGauge(`medlarshunt_membership_nodes{status="`+string(status)+`"}`, func() float64 {
			return float64(l.countByStatus(status))
		})
	}
	set.NewGauge("medlarshunt_membership_leaving_marks", func() float64 { return float64(len(l.Marks())) })
	set.NewGauge("medlarshunt_membership_ordinal_rivals", func() float64 { return float64(len(l.OrdinalConflicts())) })
	set.NewGauge("medlarshunt_membership_rejected_items", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.view.Rejected())
	})
	return &loopMetrics{
		exchanged: set.NewCounter(`medlarshunt_membership_exchanges_total{result="ok"}`),
		failed:    set.NewCounter(`medlarshunt_membership_exchanges_total{result="failed"}`),
		pauses:    set.NewCounter("medlarshunt_membership_pauses_total"),
	}
}

// countByStatus returns the number of nodes with the status.
func (l *Loop) countByStatus(status Status) (count int) {
	l.withView(func(v *View) {
		for _, n := range v.nodes {
			if v.status(n) == status {
				count++
			}
		}
	})
	return count
}
