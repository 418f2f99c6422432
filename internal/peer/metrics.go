package peer

import "github.com/VictoriaMetrics/metrics"

// poolMetrics holds the metrics of a pool.
type poolMetrics struct{ opened, unanswered, replaced *metrics.Counter }

func newPoolMetrics(set *metrics.Set, p *Pool) *poolMetrics {
	set.GetOrCreateGauge("medlarshunt_peer_connections", func() float64 { return float64(p.openConnections()) })
	return &poolMetrics{
		opened:     set.GetOrCreateCounter("medlarshunt_peer_connections_opened_total"),
		unanswered: set.GetOrCreateCounter("medlarshunt_peer_calls_unanswered_total"),
		replaced:   set.GetOrCreateCounter("medlarshunt_peer_connections_silent_total"),
	}
}
