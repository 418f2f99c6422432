package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// counters holds the metrics of a relay.
type counters struct {
	set       *metrics.Set
	primaries *metrics.Counter
	hedges    *metrics.Counter
	retries   *metrics.Counter
	canaries  *metrics.Counter
	isolated  *metrics.Counter
	refused   *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	attempts := func(kind string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_relay_attempts_total{kind=%q}`, kind))
	}
	return &counters{
		set:       set,
		primaries: attempts("primary"),
		hedges:    attempts("hedge"),
		retries:   attempts("retry"),
		canaries:  set.GetOrCreateCounter("medlarshunt_relay_canaries_total"),
		isolated:  set.GetOrCreateCounter("medlarshunt_relay_isolated_runs_total"),
		refused:   set.GetOrCreateCounter("medlarshunt_relay_legs_refused_total"),
	}
}

func (c *counters) countPart(reason string) {
	if reason == "" {
		reason = "answered"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_relay_parts_total{result=%q}`, reason)).Inc()
}

func (c *counters) countFailure(kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_relay_attempt_failures_total{kind=%q}`, kind)).Inc()
}

func (c *counters) countQuarantineChange(state quarantine.State) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_quarantine_changes_total{state=%q}`, string(state))).Inc()
}

func (c *counters) countCommand(outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`medlarshunt_relay_commands_total{outcome=%q}`, outcome)).Inc()
}
