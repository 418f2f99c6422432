package balance

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func BenchmarkPickDone(b *testing.B) {
	r := newRig(replicas()...)
	for b.Loop() {
		c, _ := r.pick(Request{})
		r.at = r.at.Add(time.Millisecond)
		r.Done(c, Observation{Latency: healthy, Incarnation: "1"}, r.at)
	}
}

// Measures what peers cost each other: one target that fails is told and learned.
func BenchmarkEvidence(b *testing.B) {
	RegisterTestingT(b)
	from, to := newRig(replicas()...).warm(), newRig(replicas()...).warm()
	bytes := 0
	for b.Loop() {
		from.only("a", Observation{Result: Failure, Incarnation: "1"})
		told := from.Evidence(from.at)
		message, _ := json.Marshal(told)
		bytes = len(message)
		var got []Evidence
		_ = json.Unmarshal(message, &got)
		for _, e := range got {
			to.Learn(e, to.at)
		}
		from.own, to.own = callRate{}, callRate{}
	}
	b.ReportMetric(float64(bytes), "B/target")
}
