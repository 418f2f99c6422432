package balance

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func BenchmarkPickDone(b *testing.B) {
	r := newPickerHarness(replicas()...)
	for b.Loop() {
		c, _ := r.pick(Request{})
		r.now = r.now.Add(time.Millisecond)
		r.Done(c, Observation{Latency: healthyLatency, Incarnation: "1"}, r.now)
	}
}

// Measures the cost of exchanging evidence between peers: one failing target is reported and learned.
func BenchmarkEvidence(b *testing.B) {
	RegisterTestingT(b)
	from, to := newPickerHarness(replicas()...).warmUp(), newPickerHarness(replicas()...).warmUp()
	bytes := 0
	for b.Loop() {
		from.call("a", Observation{Result: Failure, Incarnation: "1"})
		sent := from.TakeEvidence(from.now)
		message, _ := json.Marshal(sent)
		bytes = len(message)
		var received []Evidence
		_ = json.Unmarshal(message, &received)
		for _, e := range received {
			to.MergeEvidence(e, to.now)
		}
		from.ownCallRate, to.ownCallRate = callRate{}, callRate{}
	}
	b.ReportMetric(float64(bytes), "B/target")
}
