package relay_test

import (
	"bytes"
	"context"
	"slices"
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

// failures that a part must survive while another target of its service works.
var survivable = []struct {
	name string
	fail target.Error
}{
	{"target gone, connection refused", target.Error{Kind: target.FailureNotSent, Outcome: api.NotRun}},
	{"connection lost", target.Error{Kind: target.FailureConnectionLost, Outcome: api.Unknown}},
	{"shed", target.Error{Kind: target.FailureShed, Outcome: api.NotRun}},
	{"draining", target.Error{Kind: target.FailureDraining, Outcome: api.NotRun}},
	{"version gone", target.Error{Kind: target.FailureVersionGone, Outcome: api.NotRun}},
	{"truncated body", target.Error{Kind: target.FailureMalformed, Outcome: api.Unknown}},
	{"response of another call", target.Error{Kind: target.FailureMismatch, Outcome: api.Unknown}},
	{"internal error", target.Error{Kind: target.FailureInternal, Outcome: api.Unknown}},
}

// Guards against coverage that is lost although each service has a working target in reach.
func TestOneBadTargetCostsNoCoverage(t *testing.T) {
	for _, tc := range survivable {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				r := newRig(t, 4, nil)
				defer r.close()
				r.targets["records-01-north"].set(func(f *fakeTarget) { f.fail = &tc.fail })
				for range 20 {
					res := r.relay.RunLeg(t.Context(), r.leg(`"q"`, time.Second))
					r.g.Expect(res.Refusal).To(BeNil())
					r.g.Expect(missing(res)).To(BeEmpty())
					r.g.Expect(res.Hits).To(HaveLen(4))
				}
			})
		})
	}
}

// Guards against hits of two index versions in one answer.
func TestReplyOfAnotherVersionIsNeverMerged(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 4, nil)
		defer r.close()
		for _, domain := range []string{"north", "east", "south"} {
			r.targets["records-02-"+domain].set(func(f *fakeTarget) { f.index = 2 })
		}
		res := r.relay.RunLeg(t.Context(), r.leg(`"q"`, time.Second))
		r.g.Expect(missing(res)).To(Equal(map[string]api.MissingReason{"records-02": api.MissingSnapshotMismatch}))
		r.g.Expect(res.Hits).To(HaveLen(3))
	})
}

// Guards against a straggler that decides when the answer arrives, and against losers that keep their slots.
func TestStragglerIsHedgedAndCancelled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		// Searches that come one after another hedge about as often as the default budget allows, which may be empty then.
		r := newRig(t, 4, func(g *config.Group) { g.RetryBudget = 0.2 })
		defer r.close()
		r.warm()
		slow := r.targets["records-01-north"]
		synctest.Wait()
		before := slow.counts()
		slow.set(func(f *fakeTarget) { f.latency = time.Minute })
		for slow.counts().searches == before.searches {
			start := time.Now()
			res := r.relay.RunLeg(t.Context(), r.leg(`"q"`, time.Second))
			r.g.Expect(missing(res)).To(BeEmpty())
			r.g.Expect(time.Since(start)).To(BeNumerically("<", 60*time.Millisecond))
		}
		synctest.Wait()
		after := slow.counts()
		r.g.Expect(after.cancelled - before.cancelled).To(Equal(after.searches - before.searches))
		r.g.Expect(after.inFlight).To(BeZero())
	})
}

// Guards against waiting for the deadline when no target of a service can be reached.
func TestLostServiceIsStatedAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 4, func(g *config.Group) { g.Policy = config.LatencyFirst })
		defer r.close()
		for _, domain := range []string{"north", "east", "south"} {
			r.targets["records-03-"+domain].set(func(f *fakeTarget) {
				f.fail = &target.Error{Kind: target.FailureNotSent, Outcome: api.NotRun}
			})
		}
		start := time.Now()
		res := r.relay.RunLeg(t.Context(), r.leg(`"q"`, time.Second))
		r.g.Expect(missing(res)).To(Equal(map[string]api.MissingReason{"records-03": api.MissingUnreachable}))
		r.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against new work on a target that leaves.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 2, nil)
		defer r.close()
		r.warm()
		leaving := r.targets["records-00-north"]
		r.relay.MarkLeaving("records-00-north", "records-00-north-1")
		synctest.Wait()
		before := leaving.counts()
		for range 20 {
			res := r.relay.RunLeg(t.Context(), r.leg(`"q"`, time.Second))
			r.g.Expect(missing(res)).To(BeEmpty())
			r.g.Expect(r.command(time.Second).Outcome).To(Equal(api.Ran))
		}
		r.g.Expect(leaving.counts().searches).To(Equal(before.searches))
		r.g.Expect(leaving.counts().commands).To(BeZero())
	})
}

// Guards against a second run of a command, and against a refusal that is not true.
func TestCommandOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		fail    *target.Error
		outcome api.Outcome
		runs    int
	}{
		{"answered", nil, api.Ran, 1},
		{"not sent: goes on to another target", &target.Error{Kind: target.FailureNotSent, Outcome: api.NotRun}, api.Ran, 1},
		{"connection lost after the write", &target.Error{Kind: target.FailureConnectionLost, Outcome: api.Unknown}, api.Unknown, 1},
		{"truncated response", &target.Error{Kind: target.FailureMalformed, Outcome: api.Unknown}, api.Unknown, 1},
		{"response of another call", &target.Error{Kind: target.FailureMismatch, Outcome: api.Unknown}, api.Unknown, 1},
		{"internal error", &target.Error{Kind: target.FailureInternal, Outcome: api.Unknown}, api.Unknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				r := newRig(t, 1, nil)
				defer r.close()
				if tc.fail != nil {
					r.targets["records-00-north"].set(func(f *fakeTarget) { f.fail = tc.fail })
				}
				r.g.Expect(r.command(time.Second).Outcome).To(Equal(tc.outcome))
				r.g.Expect(r.commandRuns()).To(Equal(tc.runs))
			})
		})
	}
}

// Guards against a command that is refused although there is time left and its targets were only busy for a moment.
func TestCommandGoesRoundBusyTargetsAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 1, nil)
		defer r.close()
		for _, f := range r.targets {
			f.set(func(f *fakeTarget) { f.fail = &target.Error{Kind: target.FailureShed, Outcome: api.NotRun} })
		}
		go func() {
			time.Sleep(20 * time.Millisecond)
			for _, f := range r.targets {
				f.set(func(f *fakeTarget) { f.fail = nil })
			}
		}()
		r.g.Expect(r.command(time.Second).Outcome).To(Equal(api.Ran))
	})
}

// Guards against a command that is written after its caller has been told that its time is over: it waited in the
// socket of a paused process.
func TestCommandThatWaitedTooLongIsNotWritten(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 1, nil)
		defer r.close()
		req := peer.CommandRequest{Command: api.Command{RequestID: "c", Group: "records", Body: []byte(`"book"`)}, Service: "records-00"}
		req.TimeoutMS = 1000
		req.DeadlineUnixMS = time.Now().Add(-time.Minute).UnixMilli()
		res := r.relay.RunCommand(context.Background(), req, false)
		r.g.Expect(res.Outcome).To(Equal(api.NotRun))
		r.g.Expect(res.Code).To(Equal(api.CodeNoTimeLeft))
		r.g.Expect(r.commandRuns()).To(BeZero())
	})
}

// Guards against a request that crashes one target per service and comes again: the canary meets it first, then it
// runs alone, then it is refused. Calls of other requests that were cancelled a moment before do not run beside it.
func TestPoisonRequestCostsAtMostTwoTargets(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 6, nil)
		defer r.close()
		r.warm()
		for _, f := range r.targets {
			f.set(func(f *fakeTarget) { f.crashes, f.latency = true, time.Millisecond })
		}
		refusals := 0
		for range 5 {
			if res := r.relay.RunLeg(t.Context(), r.leg(`"poison"`, time.Second)); res.Refusal != nil {
				r.g.Expect(res.Refusal.Code).To(Equal(api.CodeQuarantined))
				refusals++
			}
		}
		r.g.Expect(refusals).To(BeNumerically(">=", 3))
		crashed := 0
		for _, f := range r.targets {
			crashed += f.counts().died
		}
		r.g.Expect(crashed).To(BeNumerically("<=", 2))
	})
}

// Guards against a known mark that is lost when the target leaves the configuration and comes back in it.
func TestMarkOutlivesTheConfiguration(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 2, nil)
		defer r.close()
		const marked = "records-01-north"
		with, without := r.document, r.document
		without.Groups = slices.Clone(with.Groups)
		without.Groups[0].Services = slices.Clone(with.Groups[0].Services)
		s := &without.Groups[0].Services[1]
		s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), func(t config.Target) bool { return t.ID == marked })
		r.relay.MarkLeaving(marked, marked+"-1")
		for _, d := range []config.Document{without, with} {
			r.g.Expect(r.holder.SetDocument(d)).To(Succeed())
			r.relay.MarkLeaving(marked, marked+"-1")
		}
		r.warm()
		r.g.Expect(r.targets[marked].counts().searches).To(BeZero())
		r.g.Expect(r.targets["records-01-east"].counts().searches).NotTo(BeZero())
	})
}

// Guards against charts that only decorate the code: an attempt follows its chart without a rejected event, and a
// target's chart agrees with what the target choice has concluded.
func TestChartsAreFollowed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 2, nil)
		defer r.close()
		r.warm()
		r.targets["records-01-north"].set(func(f *fakeTarget) { f.latency = 200 * time.Millisecond })
		for range 60 {
			r.relay.RunLeg(t.Context(), r.leg(`"q"`, time.Second))
			time.Sleep(100 * time.Millisecond)
		}
		r.relay.MarkLeaving("records-00-north", "records-00-north-1")
		time.Sleep(2 * time.Second)
		r.g.Expect(r.relay.TargetStates()).To(HaveKeyWithValue("records-00-north", statechart.TargetLeaving))
		r.g.Expect(r.relay.TargetStates()["records-01-north"]).To(BeElementOf(statechart.TargetEjected, statechart.TargetProbation))
		var out bytes.Buffer
		r.charts.WritePrometheus(&out)
		r.g.Expect(out.String()).NotTo(ContainSubstring(statechart.RejectedEventsMetric))
	})
}
