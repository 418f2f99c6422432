package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

const (
	simRelays   = 3
	simServices = 5
	simTargets  = 3 // per service
	simSearches = 120
)

// simulation simulates one group with its relays. A search with fingerprint fp crashes every target that runs it on a
// service for which crashes returns true.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	canary       config.Canary
	crashes      func(service string) bool
	guards       []*quarantine.Guard
	cursors      map[[2]int]uint64     // next sequence number to export by sending and receiving relay
	openCalls    map[string][]openCall // calls in flight by target
	lostCalls    []openCall            // calls of other fingerprints that were in flight on a target when it died
	incarnations int                   // incarnations started so far, from which the next one is named
	crashCount   int
	hedgeCount   int // hedges that were sent to a crashing service before its first part crashed
}

type openCall struct {
	relay int
	fp    quarantine.Fingerprint
	ref   quarantine.TargetRef
	call  *quarantine.Call
}

func newSimulation(seed uint64, canary config.Canary, crashes func(string) bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: start, canary: canary, crashes: crashes,
		cursors: map[[2]int]uint64{}, openCalls: map[string][]openCall{}}
	for range simRelays {
		sim.guards = append(sim.guards, quarantine.NewGuard(0))
	}
	return sim
}

func (sim *simulation) randomTarget(service int) quarantine.TargetRef {
	s := fmt.Sprintf("s%d", service)
	return quarantine.TargetRef{Group: "g", Service: s, Target: fmt.Sprintf("%s-%d", s, sim.rng.IntN(simTargets))}
}

// startCall begins a call unless the guard stops it.
func (sim *simulation) startCall(relay int, f quarantine.Fingerprint, p quarantine.TargetRef) (openCall, bool) {
	c, err := sim.guards[relay].Start(f, p, sim.now)
	if err != nil {
		return openCall{}, false
	}
	return sim.addCall(openCall{relay: relay, fp: f, ref: p, call: c}), true
}

func (sim *simulation) addCall(o openCall) openCall {
	sim.openCalls[o.ref.Target] = append(sim.openCalls[o.ref.Target], o)
	return o
}

// executeCrashingCall executes a call with fingerprint fp and reports whether it was answered.
func (sim *simulation) executeCrashingCall(o openCall) bool {
	if sim.crashes(o.ref.Service) {
		sim.crashTarget(o.ref.Target)
		return false
	}
	sim.guards[o.relay].End(o.call, quarantine.Answered, sim.now)
	return true
}

// crashTarget ends the process of a target: calls in flight are lost, and each relay sees a lost connection and a
// refused re-dial. Then the target restarts as a new incarnation.
func (sim *simulation) crashTarget(target string) {
	sim.crashCount++
	for _, o := range sim.openCalls[target] {
		sim.guards[o.relay].End(o.call, quarantine.Lost, sim.now)
		if o.fp != fp {
			sim.lostCalls = append(sim.lostCalls, o)
		}
	}
	delete(sim.openCalls, target)
	sim.incarnations++
	for _, g := range sim.guards {
		for _, kind := range []quarantine.EvidenceKind{quarantine.ConnectionLost, quarantine.RedialRefused, quarantine.Reconnected} {
			g.Observe(target, quarantine.Evidence{Kind: kind, Group: "g", Incarnation: fmt.Sprint(sim.incarnations)}, sim.now)
		}
	}
}

// finishCalls answers all calls in flight on a target.
func (sim *simulation) finishCalls(target string) {
	for _, o := range sim.openCalls[target] {
		sim.guards[o.relay].End(o.call, quarantine.Answered, sim.now)
	}
	delete(sim.openCalls, target)
}

// runAlone runs f alone on a target of the service and reports whether it was answered. It returns false when the
// guard does not reserve the target.
func (sim *simulation) runAlone(relay int, f quarantine.Fingerprint, service int) bool {
	p := sim.randomTarget(service)
	l, err := sim.guards[relay].Reserve(f, p, sim.now)
	if err != nil {
		return false
	}
	sim.finishCalls(p.Target)
	Expect(l.Ready()).To(BeClosed())
	c, err := sim.guards[relay].StartIsolated(l, sim.now)
	Expect(err).NotTo(HaveOccurred())
	o := sim.addCall(openCall{relay: relay, fp: f, ref: p, call: c})
	if f == fp {
		return sim.executeCrashingCall(o)
	}
	sim.finishCalls(p.Target)
	return true
}

// runSearch runs one search with fingerprint fp at a relay: alone on the suspect services, then the canary, then all
// other parts at once.
func (sim *simulation) runSearch(relay int) {
	v := sim.guards[relay].Decide(fp, sim.now)
	if v.Action == quarantine.Refuse {
		return
	}
	for _, s := range v.Services {
		if !sim.runAlone(relay, fp, int(s[1]-'0')) {
			return
		}
	}
	firstService := 0
	if sim.guards[relay].NeedCanary("g", sim.canary, sim.now) {
		if o, ok := sim.startCall(relay, fp, sim.randomTarget(0)); !ok || !sim.executeCrashingCall(o) {
			return
		}
		firstService = 1
	}
	var parts []openCall
	for s := firstService; s < simServices; s++ {
		p, hedge := sim.randomTarget(s), sim.randomTarget(s)
		if o, ok := sim.startCall(relay, fp, p); ok {
			parts = append(parts, o)
		}
		if sim.rng.IntN(10) > 0 || hedge == p {
			continue
		}
		if o, ok := sim.startCall(relay, fp, hedge); ok {
			parts = append(parts, o)
			if sim.crashes(p.Service) {
				sim.hedgeCount++
			}
		}
	}
	for _, o := range parts {
		sim.executeCrashingCall(o)
	}
}

// gossip exchanges all changed records once between each pair of relays.
func (sim *simulation) gossip() {
	for from, g := range sim.guards {
		for to := range sim.guards {
			records, next := g.Export(sim.cursors[[2]int{from, to}], 100, sim.now)
			sim.cursors[[2]int{from, to}] = next
			sim.guards[to].Merge(records, sim.now)
		}
	}
}

// run sends searches with fingerprint fp to random relays while calls of other fingerprints are in flight, with a gossip
// round every gossipInterval searches. It returns the other fingerprints.
func (sim *simulation) run(gossipInterval int) []quarantine.Fingerprint {
	var unrelated []quarantine.Fingerprint
	for n := range simSearches {
		for i := range 6 {
			f := quarantine.FingerprintOf("g", "k", fmt.Append(nil, n, i))
			unrelated = append(unrelated, f)
			sim.startCall(sim.rng.IntN(simRelays), f, sim.randomTarget(sim.rng.IntN(simServices)))
		}
		sim.runSearch(sim.rng.IntN(simRelays))
		for target := range sim.openCalls {
			sim.finishCalls(target)
		}
		for _, o := range sim.lostCalls {
			Expect(sim.guards[o.relay].Decide(o.fp, sim.now).Action).NotTo(Equal(quarantine.Refuse), "a request that does not crash targets")
			Expect(sim.runAlone(o.relay, o.fp, int(o.ref.Service[1]-'0'))).To(BeTrue())
		}
		sim.lostCalls = nil
		sim.now = sim.now.Add(100 * time.Millisecond)
		if n%gossipInterval == gossipInterval-1 {
			sim.gossip()
		}
	}
	sim.gossip()
	return unrelated
}

// Guards against more crashed targets per fingerprint than section 8 of the design allows, which are those of the first
// search with its hedges and one of an isolated run, and against other requests that stay suspect. When gossip is slow,
// each relay may add as many.
var _ = DescribeTable("crashes by a request that is sent repeatedly",
	func(canary config.Canary, crashes func(string) bool, gossipInterval, firstSearchCrashes int) {
		mostCrashes := 0
		for seed := range uint64(20) {
			sim := newSimulation(seed, canary, crashes)
			unrelated := sim.run(gossipInterval)
			bound := firstSearchCrashes + 1
			if gossipInterval > 1 {
				bound *= simRelays
			}
			bound += sim.hedgeCount
			Expect(sim.crashCount).To(BeNumerically("<=", bound), "seed %d", seed)
			Expect(sim.crashCount).To(BeNumerically(">=", 2), "seed %d", seed)
			mostCrashes = max(mostCrashes, sim.crashCount)
			for _, g := range sim.guards {
				Expect(g.Decide(fp, sim.now).Action).To(Equal(quarantine.Refuse))
				for _, f := range unrelated {
					Expect(g.Decide(f, sim.now).Action).To(Equal(quarantine.Allow))
				}
			}
		}
		AddReportEntry("most crashes", mostCrashes)
	},
	Entry("canary, every service crashes", config.CanaryAlways, everyServiceCrashes, 1, 1),
	Entry("canary, every service crashes, slow gossip", config.CanaryAlways, everyServiceCrashes, 20, 1),
	Entry("canary, the last service crashes", config.CanaryAlways, lastServiceCrashes, 1, 1),
	Entry("canary, the last service crashes, slow gossip", config.CanaryAlways, lastServiceCrashes, 20, 1),
	Entry("no canary", config.CanaryOff, everyServiceCrashes, 1, simServices),
	Entry("no canary, slow gossip", config.CanaryOff, everyServiceCrashes, 20, simServices),
	Entry("canary after a crash", config.CanaryAfterCrash, everyServiceCrashes, 1, simServices),
)

func everyServiceCrashes(string) bool     { return true }
func lastServiceCrashes(name string) bool { return name == fmt.Sprintf("s%d", simServices-1) }
