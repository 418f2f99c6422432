package configsync

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// syncMetrics holds the counters of a Syncer.
type syncMetrics struct {
	set           *metrics.Set
	fetchesOK     *metrics.Counter
	fetchesFailed *metrics.Counter
	readErrors    *metrics.Counter
	reads         map[string]*metrics.Counter
}

// newSyncMetrics registers the counters and gauges of s.
func newSyncMetrics(set *metrics.Set, s *Syncer) *syncMetrics {
	registerVersion := func(kind string, current func() config.Version) {
		for part, value := range map[string]func(config.Version) uint64{
			"epoch":  func(v config.Version) uint64 { return v.Epoch },
			"number": func(v config.Version) uint64 { return v.Number },
		} {
			set.NewGauge(fmt.Sprintf("medlarshunt_config_version{kind=%q,part=%q}", kind, part),
				func() float64 { return float64(value(current())) })
		}
	}
	registerVersion("configuration", func() config.Version { held, _, _ := s.store.status(); return held.Config })
	registerVersion("catalogue", func() config.Version { held, _, _ := s.store.status(); return held.Catalogue })
	set.NewGauge("medlarshunt_config_behind_seconds", func() float64 {
		if _, behind, since := s.store.status(); behind {
			return time.Since(since).Seconds()
		}
		return 0
	})
	set.NewGauge("medlarshunt_config_reader", func() float64 {
		if s.IsReader() {
			return 1
		}
		return 0
	})
	return &syncMetrics{
		set:           set,
		fetchesOK:     set.NewCounter(`medlarshunt_config_peer_fetches_total{result="ok"}`),
		fetchesFailed: set.NewCounter(`medlarshunt_config_peer_fetches_total{result="failed"}`),
		readErrors:    set.NewCounter("medlarshunt_config_platform_read_errors_total"),
		reads: map[string]*metrics.Counter{
			"get":   set.NewCounter(`medlarshunt_config_platform_reads_total{op="get"}`),
			"watch": set.NewCounter(`medlarshunt_config_platform_reads_total{op="watch"}`),
		},
	}
}

// countRead counts one platform read.
func (m *syncMetrics) countRead(op string) { m.reads[op].Inc() }

// countDecision counts the decision on an offered version.
func (m *syncMetrics) countDecision(kind string, d Decision) {
	m.set.GetOrCreateCounter(fmt.Sprintf("medlarshunt_config_offers_total{kind=%q,decision=%q}", kind, d)).Inc()
}
