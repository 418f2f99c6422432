package load_test

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/examples"
	"github.com/medlarshunt/medlarshunt/internal/load"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// Guards against a load command that breaks unnoticed: runs each case on a small deployment and checks that no command runs
// twice.
func TestCasesRun(t *testing.T) {
	for _, c := range load.Cases {
		t.Run(string(c), func(t *testing.T) {
			t.Parallel()
			virtualtime.Test(t, func(t *testing.T) { runCase(t, c) })
		})
	}
}

// The first summary of a process starts a goroutine in the metrics library that never ends, which virtual time does not
// allow. It is therefore created outside virtual time.
var _ = metrics.NewSet().NewSummary("outside_of_virtual_time")

func runCase(t *testing.T, c load.Case) {
	t.Cleanup(func() { time.Sleep(time.Minute) }) // lets dials and sleeps end that nothing else waits for
	g := NewWithT(t)
	p, err := examples.Load("dental")
	g.Expect(err).NotTo(HaveOccurred())
	r, err := load.RunCase(t.Context(), load.Setup{
		Document: p.Document, Catalogue: p.Catalogue, Key: examples.Key("dental", "clinic-desk"), Nodes: 3,
		ServiceTime: targetsim.ServiceTime{Median: 20 * time.Millisecond, Seed: 1}, LoadShare: 0.02, Timeout: 5 * time.Second,
		Warmup: 100 * time.Millisecond, Duration: 200 * time.Millisecond, CommandShare: 0.2, Seed: 1,
		Network: netsim.NewInMemory(0, 0, 1),
	}, c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.MaxRunsPerCommand).To(BeNumerically("<=", 1))
	offered := 0
	for _, group := range r.Groups {
		offered += group.Offered + group.Commands
	}
	g.Expect(offered).To(BeNumerically(">", 0))
	g.Expect(r.Direct.P50).To(BeNumerically(">=", 20*time.Millisecond))
}
