package query

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/notice"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/routing"
)

// Guards against a request that picks the same target without end: the target became restricted after the service had been found to
// have no restricted one.
func TestPickEndsWhenATargetBecomesRestrictedMeanwhile(t *testing.T) {
	g := NewWithT(t)
	e := New(Config{}, Deps{Metrics: metrics.NewSet()})
	e.Update(&published.View{Targets: map[string][]published.Target{"s": {{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1}}}})
	report := e.targets["a"].report
	report.record.Hear(notice.Notice{Pause: time.Minute}, time.Now())
	report.restricted.Store(true) // the service does not know it yet
	c := &serviceCall{engine: e, service: e.services["s"], route: &routing.Route{MaxTargets: 1}}
	ended := make(chan bool, 1)
	go func() {
		_, ok := c.pickWilling(balance.Request{})
		ended <- ok
	}()
	g.Eventually(ended, 10*time.Second).Should(Receive(BeFalse()))
}
