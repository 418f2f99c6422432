package relay_test

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// toleratedFailures are failures that a part must survive while another target of its service works.
var toleratedFailures = []struct {
	name    string
	failure target.Error
}{
	{"target gone, connection refused", target.Error{Kind: target.FailureNotSent, Outcome: api.OutcomeNotRun}},
	{"connection lost", target.Error{Kind: target.FailureConnectionLost, Outcome: api.OutcomeUnknown}},
	{"shed", target.Error{Kind: target.FailureShed, Outcome: api.OutcomeNotRun}},
	{"draining", target.Error{Kind: target.FailureDraining, Outcome: api.OutcomeNotRun}},
	{"version gone", target.Error{Kind: target.FailureVersionGone, Outcome: api.OutcomeNotRun}},
	{"truncated body", target.Error{Kind: target.FailureMalformed, Outcome: api.OutcomeUnknown}},
	{"response of another call", target.Error{Kind: target.FailureMismatch, Outcome: api.OutcomeUnknown}},
	{"internal error", target.Error{Kind: target.FailureInternal, Outcome: api.OutcomeUnknown}},
}

// Guards against lost coverage although each service has a working target in reach.
func TestFailingTargetLosesNoCoverage(t *testing.T) {
	for _, tc := range toleratedFailures {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				h := newHarness(t, 4, nil)
				defer h.close()
				h.targets["records-01-north"].update(func(f *fakeTarget) { f.failure = &tc.failure })
				for range 20 {
					res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
					h.g.Expect(res.Refusal).To(BeNil())
					h.g.Expect(missing(res)).To(BeEmpty())
					h.g.Expect(res.Hits).To(HaveLen(4))
				}
			})
		})
	}
}

// Guards against hits of two index versions in one answer.
func TestReplyOfAnotherVersionIsNeverMerged(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 4, nil)
		defer h.close()
		for _, domain := range []string{"north", "east", "south"} {
			h.targets["records-02-"+domain].update(func(f *fakeTarget) { f.indexVersion = 2 })
		}
		res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
		h.g.Expect(missing(res)).To(Equal(map[string]api.MissingReason{"records-02": api.MissingSnapshotMismatch}))
		h.g.Expect(res.Hits).To(HaveLen(3))
	})
}

// Guards against a slow target that determines when the answer arrives, and against attempts that keep their slots after
// another one has answered.
func TestStragglerIsHedgedAndCancelled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		// Consecutive searches hedge about as often as the default budget allows, so the budget could be empty here.
		h := newHarness(t, 4, func(g *config.Group) { g.RetryBudget = 0.2 })
		defer h.close()
		h.warmUp()
		slow := h.targets["records-01-north"]
		synctest.Wait()
		before := slow.counts()
		slow.update(func(f *fakeTarget) { f.latency = time.Minute })
		for slow.counts().searches == before.searches {
			start := time.Now()
			res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
			h.g.Expect(missing(res)).To(BeEmpty())
			h.g.Expect(time.Since(start)).To(BeNumerically("<", 60*time.Millisecond))
		}
		synctest.Wait()
		after := slow.counts()
		h.g.Expect(after.cancelled - before.cancelled).To(Equal(after.searches - before.searches))
		h.g.Expect(after.inFlight).To(BeZero())
	})
}

// Guards against waiting for the deadline when no target of a service can be reached.
func TestUnreachableServiceIsReportedAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 4, func(g *config.Group) { g.Policy = config.LatencyFirst })
		defer h.close()
		for _, domain := range []string{"north", "east", "south"} {
			h.targets["records-03-"+domain].update(func(f *fakeTarget) {
				f.failure = &target.Error{Kind: target.FailureNotSent, Outcome: api.OutcomeNotRun}
			})
		}
		start := time.Now()
		res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
		h.g.Expect(missing(res)).To(Equal(map[string]api.MissingReason{"records-03": api.MissingUnreachable}))
		h.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against new work on a target that is leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, nil)
		defer h.close()
		h.warmUp()
		leaving := h.targets["records-00-north"]
		h.relay.MarkLeaving("records-00-north", "records-00-north-1")
		synctest.Wait()
		before := leaving.counts()
		for range 20 {
			res := h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
			h.g.Expect(missing(res)).To(BeEmpty())
			h.g.Expect(h.command(time.Second).Outcome).To(Equal(api.OutcomeRan))
		}
		h.g.Expect(leaving.counts().searches).To(Equal(before.searches))
		h.g.Expect(leaving.counts().commands).To(BeZero())
	})
}

// Guards against a second run of a command, and against reporting a command as not run although it was run.
func TestCommandOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		failure *target.Error
		outcome api.Outcome
		runs    int
	}{
		{"answered", nil, api.OutcomeRan, 1},
		{"not sent: goes on to another target", &target.Error{Kind: target.FailureNotSent, Outcome: api.OutcomeNotRun}, api.OutcomeRan, 1},
		{"connection lost after the write", &target.Error{Kind: target.FailureConnectionLost, Outcome: api.OutcomeUnknown}, api.OutcomeUnknown, 1},
		{"truncated response", &target.Error{Kind: target.FailureMalformed, Outcome: api.OutcomeUnknown}, api.OutcomeUnknown, 1},
		{"response of another call", &target.Error{Kind: target.FailureMismatch, Outcome: api.OutcomeUnknown}, api.OutcomeUnknown, 1},
		{"internal error", &target.Error{Kind: target.FailureInternal, Outcome: api.OutcomeUnknown}, api.OutcomeUnknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				h := newHarness(t, 1, nil)
				defer h.close()
				if tc.failure != nil {
					h.targets["records-00-north"].update(func(f *fakeTarget) { f.failure = tc.failure })
				}
				h.g.Expect(h.command(time.Second).Outcome).To(Equal(tc.outcome))
				h.g.Expect(h.commandRuns()).To(Equal(tc.runs))
			})
		})
	}
}

// Guards against refusing a command although there is time left and its targets were overloaded only for a moment.
func TestCommandRetriesOverloadedTargets(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, nil)
		defer h.close()
		for _, f := range h.targets {
			f.update(func(f *fakeTarget) { f.failure = &target.Error{Kind: target.FailureShed, Outcome: api.OutcomeNotRun} })
		}
		go func() {
			time.Sleep(20 * time.Millisecond)
			for _, f := range h.targets {
				f.update(func(f *fakeTarget) { f.failure = nil })
			}
		}()
		h.g.Expect(h.command(time.Second).Outcome).To(Equal(api.OutcomeRan))
	})
}

// Guards against writing a command after its caller has been told that its time is over, because the command waited in
// the socket of a paused process.
func TestCommandThatWaitedTooLongIsNotWritten(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, nil)
		defer h.close()
		req := peer.CommandRequest{Command: api.Command{RequestID: "c", Group: "records", Body: []byte(`"book"`)}, Service: "records-00"}
		req.TimeoutMS = 1000
		req.DeadlineUnixMS = time.Now().Add(-time.Minute).UnixMilli()
		res := h.relay.RunCommand(context.Background(), req, false)
		h.g.Expect(res.Outcome).To(Equal(api.OutcomeNotRun))
		h.g.Expect(res.Code).To(Equal(api.CodeNoTimeLeft))
		h.g.Expect(h.commandRuns()).To(BeZero())
	})
}

// Guards against a repeated request that crashes one target per service: the canary runs it first, then it runs in
// isolation, then it is refused. Recently cancelled calls of other requests do not run beside it.
func TestPoisonRequestCostsAtMostTwoTargets(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 6, nil)
		defer h.close()
		h.warmUp()
		for _, f := range h.targets {
			f.update(func(f *fakeTarget) { f.crashes, f.latency = true, time.Millisecond })
		}
		refusals := 0
		for range 5 {
			if res := h.relay.RunLeg(t.Context(), h.leg(`"poison"`, time.Second)); res.Refusal != nil {
				h.g.Expect(res.Refusal.Code).To(Equal(api.CodeQuarantined))
				refusals++
			}
		}
		h.g.Expect(refusals).To(BeNumerically(">=", 3))
		h.g.Expect(h.crashed()).To(BeNumerically("<=", 2))
	})
}

// Guards against a canary in another failure domain whose crash is reported after the wait for it has ended: the wait must
// include the round trip, or the other parts crash one target of each service.
func TestPoisonCanaryInOtherDomainCostsAtMostTwoTargets(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 6, nil)
		defer h.close()
		isRemote := func(t config.Target) bool { return t.Domain != "north" }
		local := h.document
		local.Groups = slices.Clone(local.Groups)
		local.Groups[0].Services = slices.Clone(local.Groups[0].Services)
		for i := range local.Groups[0].Services {
			s := &local.Groups[0].Services[i]
			s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), isRemote)
		}
		h.g.Expect(h.holder.SetDocument(local)).To(Succeed())
		h.warmUp() // calls of the own failure domain alone determine the hedge delay
		h.g.Expect(h.holder.SetDocument(h.document)).To(Succeed())
		for id, f := range h.targets {
			f.update(func(f *fakeTarget) { f.crashes, f.latency = true, time.Millisecond })
			if strings.HasSuffix(id, "-north") {
				h.relay.MarkLeaving(id, id+"-1")
			}
		}
		for range 5 {
			h.relay.RunLeg(t.Context(), h.leg(`"poison"`, time.Second))
		}
		h.g.Expect(h.crashed()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)))
	})
}

// Guards against losing a known leaving mark when the target is removed from the configuration and added again.
func TestLeavingMarkSurvivesConfigurationChange(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, nil)
		defer h.close()
		const marked = "records-01-north"
		with, without := h.document, h.document
		without.Groups = slices.Clone(with.Groups)
		without.Groups[0].Services = slices.Clone(with.Groups[0].Services)
		s := &without.Groups[0].Services[1]
		s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), func(t config.Target) bool { return t.ID == marked })
		h.relay.MarkLeaving(marked, marked+"-1")
		for _, d := range []config.Document{without, with} {
			h.g.Expect(h.holder.SetDocument(d)).To(Succeed())
			h.relay.MarkLeaving(marked, marked+"-1")
		}
		h.warmUp()
		h.g.Expect(h.targets[marked].counts().searches).To(BeZero())
		h.g.Expect(h.targets["records-01-east"].counts().searches).NotTo(BeZero())
	})
}

// Guards against charts that the code does not follow: an attempt follows its chart without a rejected event, and a
// target's chart state agrees with the view of the picker.
func TestStateChartsMatchBehaviour(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, nil)
		defer h.close()
		h.warmUp()
		h.targets["records-01-north"].update(func(f *fakeTarget) { f.latency = 200 * time.Millisecond })
		for range 60 {
			h.relay.RunLeg(t.Context(), h.leg(`"q"`, time.Second))
			time.Sleep(100 * time.Millisecond)
		}
		h.relay.MarkLeaving("records-00-north", "records-00-north-1")
		time.Sleep(2 * time.Second)
		h.g.Expect(h.relay.TargetStates()).To(HaveKeyWithValue("records-00-north", statechart.TargetLeaving))
		h.g.Expect(h.relay.TargetStates()["records-01-north"]).To(BeElementOf(statechart.TargetEjected, statechart.TargetProbation))
		var out bytes.Buffer
		h.chartMetrics.WritePrometheus(&out)
		h.g.Expect(out.String()).NotTo(ContainSubstring(statechart.RejectedEventsMetric))
	})
}
