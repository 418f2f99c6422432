package failure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/standin/configservicesim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// failure is a fault that a test injects into a deployment. inject starts it and returns the function that repairs it.
type failure struct {
	name   string
	inject func(h *harness) (repair func())
}

// failureDuration is how long a failure lasts under traffic.
const failureDuration = 1500 * time.Millisecond

func noRepair() {}

// injectTargetFaults sets the faults on one target of each service.
func injectTargetFaults(f targetsim.Faults) func(h *harness) func() {
	return func(h *harness) func() {
		for i := range serviceCount {
			h.target(i, "north").SetFaults(f)
		}
		return func() {
			for i := range serviceCount {
				h.target(i, "north").SetFaults(targetsim.Faults{})
			}
		}
	}
}

func crashTarget(h *harness) func() {
	t := h.target(0, "north")
	t.Crash()
	return func() { h.g.Expect(t.Restart()).To(Succeed()) }
}

// crashTargetRepeatedly crashes and restarts a target several times, with different calls in flight each time.
func crashTargetRepeatedly(h *harness) func() {
	for range 4 {
		repair := crashTarget(h)
		h.letTrafficRun(200 * time.Millisecond)
		repair()
		h.letTrafficRun(200 * time.Millisecond)
	}
	return noRepair
}

// crashService crashes every replica of a service.
func crashService(h *harness) func() {
	for _, domain := range []string{"north", "east", "south"} {
		h.target(1, domain).Crash()
	}
	return func() {
		for _, domain := range []string{"north", "east", "south"} {
			h.g.Expect(h.target(1, domain).Restart()).To(Succeed())
		}
	}
}

func killNode(h *harness) func() {
	m := h.member("east", 0)
	h.deployment.Kill(m)
	return func() { h.g.Expect(h.deployment.Restart(h.t.Context(), m)).To(Succeed()) }
}

// isolateFromDomains cuts the network between failure domain north and the other domains.
func isolateFromDomains(h *harness) func() {
	h.network.Partition("north", "east")
	h.network.Partition("north", "south")
	return func() {
		h.network.Heal("north", "east")
		h.network.Heal("north", "south")
	}
}

// isolateFromDomainsAndPlatform also cuts north off from the platform.
func isolateFromDomainsAndPlatform(h *harness) func() {
	repair := isolateFromDomains(h)
	h.network.Partition("north", demo.PlatformLocation)
	return func() {
		repair()
		h.network.Heal("north", demo.PlatformLocation)
	}
}

func injectPlatformFaults(f configservicesim.Faults) func(h *harness) func() {
	return func(h *harness) func() {
		h.deployment.Fleet.Platform.SetFaults(f)
		return func() { h.deployment.Fleet.Platform.SetFaults(configservicesim.Faults{}) }
	}
}

// publishIndexBeforeTargetsHoldIt publishes an index version before any target holds it.
func publishIndexBeforeTargetsHoldIt(h *harness) func() {
	next := config.IndexVersion{Index: 2, Map: 1}
	h.publishCatalogue(func(g *config.GroupCatalogue) { g.Versions = append(g.Versions, next) })
	h.letTrafficRun(failureDuration)
	for i := range serviceCount { // one service after another, so that searches see every mix of old and new targets
		for _, domain := range []string{"north", "east", "south"} {
			h.target(i, domain).HoldIndex(targetsim.Index{Version: 2, Map: 1}, h.serviceRanges(i, 1))
			h.letTrafficRun(50 * time.Millisecond)
		}
	}
	return noRepair
}

// retireIndexInUse retires the index version that searches use, target by target, after all targets hold the next one.
func retireIndexInUse(h *harness) func() {
	next := config.IndexVersion{Index: 2, Map: 1}
	h.publishCatalogue(func(g *config.GroupCatalogue) { g.Versions = append(g.Versions, next) })
	h.holdIndex(next)
	h.retireIndex(1)
	return func() {
		h.publishCatalogue(func(g *config.GroupCatalogue) { g.Versions = []config.IndexVersion{next} })
	}
}

// repartition publishes a new partition map with a new index version, then retires the old map and version.
func repartition(h *harness) func() {
	next := config.IndexVersion{Index: 2, Map: 2}
	h.publishCatalogue(func(g *config.GroupCatalogue) {
		m := config.PartitionMap{Version: 2}
		boundaries := []uint64{0, api.KeySpaceEnd / 8, api.KeySpaceEnd / 2, api.KeySpaceEnd}
		for i := range serviceCount {
			m.Assignments = append(m.Assignments, config.Assignment{
				Service: g.Maps[0].Assignments[(i+1)%serviceCount].Service, Range: api.KeyRange{From: boundaries[i], To: boundaries[i+1]},
			})
		}
		g.Maps = append(g.Maps, m)
		g.Versions = append(g.Versions, next)
	})
	h.letTrafficRun(failureDuration / 3)
	h.holdIndex(next)
	h.letTrafficRun(failureDuration / 3)
	h.retireIndex(1)
	return func() {
		h.publishCatalogue(func(g *config.GroupCatalogue) {
			g.Versions, g.Maps = []config.IndexVersion{next}, g.Maps[1:]
		})
	}
}

// serviceRanges returns the key ranges that a version of the partition map assigns to a service.
func (h *harness) serviceRanges(service int, mapVersion uint64) []api.KeyRange {
	var ranges []api.KeyRange
	g := h.deployment.Fleet.Catalogue().Groups[0]
	for _, m := range g.Maps {
		for _, a := range m.Assignments {
			if m.Version == mapVersion && a.Service == serviceOfTarget(h.firstTargetID(service)) {
				ranges = append(ranges, a.Range)
			}
		}
	}
	return ranges
}

func (h *harness) firstTargetID(service int) string {
	return h.deployment.Fleet.Document().Groups[0].Services[service].Targets[0].ID
}

// retireIndex removes an index version from the targets one by one, with pauses so that searches see every mix of old and
// new targets.
func (h *harness) retireIndex(version uint64) {
	for i := range serviceCount {
		for _, domain := range []string{"north", "east", "south"} {
			h.target(i, domain).RetireIndex(version)
			h.letTrafficRun(30 * time.Millisecond)
		}
	}
}

var failures = []failure{
	{"target crashes", crashTarget},
	{"target crashes repeatedly", crashTargetRepeatedly},
	{"all targets of a service crash", crashService},
	{"targets freeze and wake", injectTargetFaults(targetsim.Faults{Freeze: true})},
	{"targets are slow", injectTargetFaults(targetsim.Faults{SlowFactor: 40})},
	{"responses are crossed", injectTargetFaults(targetsim.Faults{SwappedResponses: true})},
	{"responses are late", injectTargetFaults(targetsim.Faults{LateByMS: 300})},
	{"responses are cut and end regularly", injectTargetFaults(targetsim.Faults{Truncate: targetsim.TruncateClean})},
	{"responses are cut by a reset", injectTargetFaults(targetsim.Faults{Truncate: targetsim.TruncateReset})},
	{"wrong request id", injectTargetFaults(targetsim.Faults{WrongEcho: targetsim.EchoRequestID})},
	{"wrong attempt id", injectTargetFaults(targetsim.Faults{WrongEcho: targetsim.EchoAttemptID})},
	{"wrong service", injectTargetFaults(targetsim.Faults{WrongEcho: targetsim.EchoService})},
	{"wrong index version", injectTargetFaults(targetsim.Faults{WrongEcho: targetsim.EchoIndexVersion})},
	{"connections drop after the run", injectTargetFaults(targetsim.Faults{DropConnections: true})},
	{"runs fail", injectTargetFaults(targetsim.Faults{FailRuns: true})},
	{"node is killed", killNode},
	{"failure domain is cut off from the others", isolateFromDomains},
	{"failure domain is cut off from the others and the platform", isolateFromDomainsAndPlatform},
	{"platform is down", injectPlatformFaults(configservicesim.Faults{Down: true})},
	{"platform is stale", injectPlatformFaults(configservicesim.Faults{Stale: true})},
	{"platform is slow", injectPlatformFaults(configservicesim.Faults{SlowMS: 800})},
	{"index version is published before it is held", publishIndexBeforeTargetsHoldIt},
	{"index version is retired", retireIndexInUse},
	{"repartition", repartition},
}

// Guards against answers that mix snapshots, overstate coverage or belong to another request (R1 to R3), against requests
// that are reported as not run although they ran, and against commands that run twice (R4, R5), under each failure alone.
func TestAnswersAreTrueUnderFailure(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			withDeployment(t, 2, func(h *harness) {
				repair := f.inject(h)
				h.letTrafficRun(failureDuration)
				repair()
				h.waitUntilServing()
				h.verifyAnswers()
			})
		})
	}
}

// failurePairs are failures that coincide in practice or that affect the same mechanism in two ways.
var failurePairs = [][2]string{
	{"target crashes repeatedly", "failure domain is cut off from the others"},
	{"node is killed", "responses are crossed"},
	{"node is killed", "repartition"},
	{"connections drop after the run", "node is killed"},
	{"targets freeze and wake", "failure domain is cut off from the others and the platform"},
	{"index version is retired", "failure domain is cut off from the others"},
	{"repartition", "targets freeze and wake"},
	{"platform is stale", "repartition"},
	{"platform is down", "node is killed"},
	{"responses are late", "target crashes"},
}

// Guards against mechanisms that work under one failure and break when a second failure is added.
func TestAnswersAreTrueUnderPairsOfFailures(t *testing.T) {
	byName := map[string]failure{}
	for _, f := range failures {
		byName[f.name] = f
	}
	for _, p := range failurePairs {
		t.Run(p[0]+" and "+p[1], func(t *testing.T) {
			withDeployment(t, 2, func(h *harness) {
				repairFirst := byName[p[0]].inject(h)
				repairSecond := byName[p[1]].inject(h)
				h.letTrafficRun(failureDuration)
				repairFirst()
				repairSecond()
				h.waitUntilServing()
				h.verifyAnswers()
			})
		})
	}
}
