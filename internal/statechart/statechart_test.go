package statechart_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	sc "github.com/medlarshunt/medlarshunt/internal/statechart"
)

func TestStatechart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "statechart")
}

// expectDeclared requires that a chart declares exactly the names of the Go constants.
func expectDeclared[T ~string](declared []T, constants ...T) {
	GinkgoHelper()
	Expect(declared).To(Equal(slices.Sorted(slices.Values(constants))))
}

// Guards against Go constants and chart names that differ.
var _ = It("declares exactly the typed constants", func() {
	c, err := sc.NewCharts(metrics.NewSet())
	Expect(err).NotTo(HaveOccurred())
	expectDeclared(c.Node.States(), sc.NodeStarting, sc.NodeSyncing, sc.NodeReady, sc.NodePaused, sc.NodeDraining, sc.NodeStopped)
	expectDeclared(c.Node.Events(), sc.NodeStarted, sc.NodeSynced, sc.NodeResync, sc.NodePauseDetected, sc.NodeRefresh,
		sc.NodeDrain, sc.NodeStop)
	expectDeclared(c.Target.States(), sc.TargetUnknown, sc.TargetWarming, sc.TargetHealthy, sc.TargetEjected, sc.TargetProbation,
		sc.TargetLeaving, sc.TargetGone)
	expectDeclared(c.Target.Events(), sc.TargetFirstAnswer, sc.TargetWarmed, sc.TargetEject, sc.TargetProbeDue,
		sc.TargetProbeAnswered, sc.TargetProbeFailed, sc.TargetLeave, sc.TargetRestarted, sc.TargetRemoved)
	expectDeclared(c.Attempt.States(), sc.AttemptPlanned, sc.AttemptQueued, sc.AttemptSent, sc.AttemptAnswered, sc.AttemptRefused,
		sc.AttemptFailed, sc.AttemptCancelled)
	expectDeclared(c.Attempt.Events(), sc.AttemptEnqueue, sc.AttemptSend, sc.AttemptAnswer, sc.AttemptRefuse, sc.AttemptFail,
		sc.AttemptCancel)
	expectDeclared(c.Config.States(), sc.ConfigNone, sc.ConfigLoading, sc.ConfigInForce, sc.ConfigNewerKnown)
	expectDeclared(c.Config.Events(), sc.ConfigAnnounced, sc.ConfigAccepted, sc.ConfigRejected)
})

// Guards against a leaving target that receives requests again without a new incarnation (R6).
var _ = It("leaves the leaving state only by restart or removal", func() {
	c, err := sc.NewCharts(metrics.NewSet())
	Expect(err).NotTo(HaveOccurred())
	for _, e := range c.Target.Events() {
		allowed := c.Target.Allows(sc.TargetLeaving, e)
		Expect(allowed).To(Equal(e == sc.TargetLeave || e == sc.TargetRestarted || e == sc.TargetRemoved), string(e))
	}
})

// Guards against a late response that changes the state of a finished attempt, and against rejected events that are
// neither returned as an error nor counted.
var _ = It("rejects and counts an event that the chart does not allow", func() {
	set := metrics.NewSet()
	c, err := sc.NewCharts(set)
	Expect(err).NotTo(HaveOccurred())
	m := c.Attempt.NewMachine()
	for _, e := range []sc.AttemptEvent{sc.AttemptEnqueue, sc.AttemptSend, sc.AttemptCancel} {
		_, err = m.Fire(e)
		Expect(err).NotTo(HaveOccurred())
	}
	_, err = m.Fire(sc.AttemptAnswer)
	var rejected *sc.EventError
	Expect(errors.As(err, &rejected)).To(BeTrue())
	Expect(*rejected).To(Equal(sc.EventError{Chart: "attempt", State: "cancelled", Event: "answer"}))
	Expect(m.State()).To(Equal(sc.AttemptCancelled))
	Expect(c.Attempt.IsFinal(m.State())).To(BeTrue())
	_, _ = m.Fire("no\"such")
	name := sc.RejectedEventsMetric + `{chart="attempt",state="cancelled",event=`
	Expect(set.GetOrCreateCounter(name + `"answer"}`).Get()).To(Equal(uint64(1)))
	Expect(set.GetOrCreateCounter(name + `"undeclared"}`).Get()).To(Equal(uint64(1)))
})

// Guards against a typing error in a chart file that would go unnoticed until the event occurs.
var _ = DescribeTable("invalid charts",
	func(source, problem string) {
		_, err := sc.Load[string, string]([]byte(source), metrics.NewSet())
		var invalid *sc.LoadError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Problems).To(ContainElement(ContainSubstring(problem)))
	},
	Entry("unreachable", "{chart: c, initial: a, events: [e], states: {a: {on: {e: a}}, b: {on: {e: a}}}}",
		`state "b" is unreachable`),
	Entry("undeclared event", "{chart: c, initial: a, events: [], states: {a: {on: {e: a}}}}",
		`event "e" in state "a" is not declared`),
	Entry("undeclared state", "{chart: c, initial: a, events: [e], states: {a: {on: {e: b}}}}", "undeclared state"),
	Entry("undeclared initial", "{chart: c, initial: z, events: [], states: {a: {final: true}}}", "initial state"),
	Entry("unused event", "{chart: c, initial: a, events: [e], states: {a: {final: true}}}", "never used"),
	Entry("event declared twice", "{chart: c, initial: a, events: [e, e], states: {a: {on: {e: a}}}}", "declared twice"),
	Entry("final with transitions", "{chart: c, initial: a, events: [e], states: {a: {final: true, on: {e: a}}}}",
		"has transitions"),
	Entry("state that is not final but has no transitions", "{chart: c, initial: a, events: [e], states: {a: {}}}", "not final"),
	Entry("unknown field", "{chart: c, initial: a, evnts: []}", "evnts"),
	Entry("no name", "{initial: a, states: {a: {final: true}}}", "no name"),
)
