package published

import "github.com/VictoriaMetrics/metrics"

// followerMetrics holds the counters of a follower.
type followerMetrics struct {
	lists, watches, follows, fetches, failures, refused, readersLost, fetchFailures *metrics.Counter
}

func newFollowerMetrics(set *metrics.Set, f *Follower) *followerMetrics {
	set.GetOrCreateGauge("medlarshunt_published_revision", func() float64 { return float64(f.View().Revision) })
	set.GetOrCreateGauge("medlarshunt_published_config_version", func() float64 { return float64(f.View().Version()) })
	return &followerMetrics{
		lists:         set.GetOrCreateCounter(`medlarshunt_store_reads_total{kind="list"}`),
		watches:       set.GetOrCreateCounter(`medlarshunt_store_reads_total{kind="watch"}`),
		follows:       set.GetOrCreateCounter("medlarshunt_reader_follows_total"),
		readersLost:   set.GetOrCreateCounter("medlarshunt_readers_lost_total"),
		fetchFailures: set.GetOrCreateCounter("medlarshunt_peer_fetch_failures_total"),
		fetches:       set.GetOrCreateCounter("medlarshunt_peer_fetches_total"),
		failures:      set.GetOrCreateCounter("medlarshunt_store_failures_total"),
		refused:       set.GetOrCreateCounter("medlarshunt_published_refused_total"),
	}
}
