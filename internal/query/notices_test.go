package query_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/notice"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"

	. "github.com/onsi/gomega"
)

// arrivalsFrom returns the arrivals at a target from each node between two moments.
func (f *fleet) arrivalsFrom(target string, from, to time.Time) map[string]int {
	n := map[string]int{}
	for _, a := range f.targets[target].Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			node, _, _ := strings.Cut(a.ID, "-")
			n[node]++
		}
	}
	return n
}

// relist publishes the list of targets without a service's targets and then with them again, as after an outage of the store.
func (f *fleet) relist(service string) {
	without := map[string][]published.Target{}
	for name, list := range f.view.Targets {
		if name != service {
			without[name] = list
		}
	}
	for _, e := range f.engines {
		e.Update(&published.View{Table: f.view.Table, Targets: without})
		e.Update(f.view)
	}
}

// restartTarget lists the first target of a service as a new incarnation at the same address, after it was not listed for a while.
func (f *fleet) restartTarget(service string) {
	list := f.view.Targets[service]
	f.view.Targets[service] = list[1:]
	f.update()
	time.Sleep(time.Second)
	list[0].StartedAtMS++
	f.view.Targets[service] = list
	f.update()
}

func (f *fleet) update() {
	for _, e := range f.engines {
		e.Update(f.view)
	}
}

const (
	// crossingTime is the time in which requests that were sent before a node heard a statement reach the target.
	crossingTime = 50 * time.Millisecond
	// learnTime is the time after which every node of the test has had an answer of every target.
	learnTime = 3 * time.Second
)

// Guards against requests that reach a target after it said that it leaves: by hedges, retries, probes, or because an older list
// of targets names it again. A new incarnation at the same address is used.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(t, 9, 1, 3, kind)
				f.load(100, 3*time.Second, 1)
				f.targets["shard-0-0"].SetFaults(shardsim.Faults{Leaving: true})
				f.load(100, learnTime, 2)
				heard := time.Now()
				for i := range 5 {
					f.targets["shard-0-1"].SetFaults(shardsim.Faults{Shed: i%2 == 0, Paused: i%2 == 1}) // causes retries and hedges
					f.load(100, 2*time.Second, uint64(3+i))
					f.relist("shard-0")
				}
				f.g.Expect(f.arrivalsFrom("shard-0-0", heard, time.Now())).To(BeEmpty())
				f.targets["shard-0-0"].SetFaults(shardsim.Faults{})
				f.targets["shard-0-1"].SetFaults(shardsim.Faults{})
				f.restartTarget("shard-0")
				restarted := time.Now()
				f.load(100, learnTime, 9)
				f.g.Expect(f.arrivalsFrom("shard-0-0", restarted, time.Now())).To(HaveLen(9), "the new incarnation gets requests of every node")
			})
		})
	}
}

// Guards against requests to a target that wants none from a node for a time: by retries of refused requests, hedges or probes.
// Afterwards it is used again.
func TestPausedTargetGetsNoRequestsUntilItWantsThem(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
		for _, copies := range []int{1, 3} {
			t.Run(fmt.Sprint(kind, " ", copies), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					f := newFleet(t, 1, 1, copies, kind)
					f.load(50, 3*time.Second, 1)
					f.targets["shard-0-0"].SetFaults(shardsim.Faults{Shed: true, RetryAfter: "2.5"})
					var refused time.Time
					f.load(50, 300*time.Millisecond, 2)
					for _, a := range f.targets["shard-0-0"].Arrivals() {
						refused = a.At
					}
					f.targets["shard-0-0"].SetFaults(shardsim.Faults{})
					f.load(50, 2*time.Second, 3)
					f.relist("shard-0")
					f.load(50, time.Second, 4)
					f.g.Expect(f.arrivalsFrom("shard-0-0", refused.Add(crossingTime), refused.Add(2500*time.Millisecond))).To(BeEmpty())
					f.g.Expect(f.arrivalsFrom("shard-0-0", refused.Add(2500*time.Millisecond), time.Now())).NotTo(BeEmpty())
					f.expectRefusedNeverRan()
					if copies > 1 {
						f.g.Expect(f.answers).To(HaveLen(1), "%v", f.answers)
					} else {
						f.g.Expect(f.answers[query.Refused]).To(BeNumerically(">", 50))
						f.g.Expect(f.slowest).To(BeNumerically("<", 200*time.Millisecond))
						f.g.Expect(f.longest).To(Equal(time.Second), "the pause is longer")
					}
				})
			})
		}
	}
}

// mergeEvidence passes what one node tells others to other nodes, as a message.
func (f *fleet) mergeEvidence(told []query.ServiceEvidence, to []*query.Engine) {
	text, err := json.Marshal(told)
	f.g.Expect(err).NotTo(HaveOccurred())
	for _, e := range to {
		var received []query.ServiceEvidence
		f.g.Expect(json.Unmarshal(text, &received)).To(Succeed())
		e.MergeEvidence(received, time.Now())
	}
}

// Guards against requests to a target that is gone by then, from a node that calls it rarely and did not hear that it leaves while others
// did. A new incarnation at the same address is used, also when a message about the old one comes late.
func TestNodesTellEachOtherThatATargetLeaves(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 1, 3, routing.NonIdempotent)
		nodes := f.engines
		f.targets["shard-0-0"].SetFaults(shardsim.Faults{Leaving: true})
		f.engines = nodes[:1]
		f.load(100, time.Second, 1)
		evidence, told := nodes[0].TakeEvidence(time.Now()), time.Now()
		f.mergeEvidence(evidence, nodes[1:])
		f.targets["shard-0-0"].SetFaults(shardsim.Faults{LoseAnswer: true})
		f.engines = nodes[1:]
		f.load(100, 3*time.Second, 2)
		f.g.Expect(f.arrivalsFrom("shard-0-0", told, time.Now())).To(BeEmpty())
		f.g.Expect(f.answers).To(HaveLen(1), "all are served: %v", f.answers)

		f.targets["shard-0-0"].SetFaults(shardsim.Faults{})
		f.restartTarget("shard-0")
		f.mergeEvidence(evidence, nodes[1:])
		restarted := time.Now()
		f.load(100, learnTime, 3)
		f.g.Expect(f.arrivalsFrom("shard-0-0", restarted, time.Now())).To(HaveLen(8), "the new incarnation gets requests of every node")
	})
}

// Guards against a service whose limits are ignored, since an answer that changed one of them came while the list of targets was
// updated and was counted twice or not at all.
func TestLimitsAreCountedRightlyWhileTheListOfTargetsChanges(t *testing.T) {
	f := newFleet(t, 1, 1, 2, routing.Idempotent)
	e := f.engines[0]
	for round := range 20000 {
		var changes sync.WaitGroup
		for _, id := range []string{"shard-0-0", "shard-0-1"} {
			changes.Go(func() { e.HearFrom(id, notice.Notice{Limited: round%2 == 0, RequestsPerSecond: 10}) })
		}
		changes.Go(f.update)
		changes.Wait()
		counted, actual := e.RestrictedTargets("shard-0")
		f.g.Expect(counted).To(Equal(actual), "round %d", round)
	}
}

// Guards against requests to a target that has refused one with a pause, when the refusal was the answer to a hedge that was cancelled
// while it was on its way: the node has closed the connection and never hears it.
func TestRefusalOfACancelledHedgeIsHeard(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const pause = 2500 * time.Millisecond
		f := newFleetWithDelay(t, 1, 1, 2, routing.Idempotent, 20*time.Millisecond)
		near, far := f.targets["shard-0-0"], f.targets["shard-0-1"]
		f.network.SetLocation(f.view.Targets["shard-0"][0].Address, "nodes")
		f.load(50, 3*time.Second, 1)

		near.SetFaults(shardsim.Faults{Paused: true})
		far.SetFaults(shardsim.Faults{Shed: true, RetryAfter: fmt.Sprint(pause.Seconds())})
		before := len(far.Arrivals())
		var hedged sync.WaitGroup
		hedged.Go(func() { f.load(50, 20*time.Millisecond, 2) })
		for len(far.Arrivals()) == before {
			time.Sleep(time.Millisecond)
		}
		refused := far.Arrivals()[before].At
		near.SetFaults(shardsim.Faults{}) // its answer arrives before the refusal
		hedged.Wait()
		far.SetFaults(shardsim.Faults{})
		time.Sleep(time.Until(refused.Add(500 * time.Millisecond)))

		near.SetFaults(shardsim.Faults{Paused: true}) // every request is hedged
		f.load(50, time.Second, 3)
		near.SetFaults(shardsim.Faults{})
		late := 0
		for _, n := range f.arrivalsFrom("shard-0-1", refused.Add(500*time.Millisecond), refused.Add(pause)) {
			late += n
		}
		f.g.Expect(late).To(BeNumerically("<=", 2))
	})
}
