package failure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/standin/platformsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// failure is one way in which a deployment fails. induce returns how it is repaired.
type failure struct {
	name   string
	induce func(h *harness) (repair func())
}

// held is how long a failure lasts under traffic.
const held = 1500 * time.Millisecond

func none() {}

// targetFault switches faults on at one target of each service.
func targetFault(f targetsim.Faults) func(h *harness) func() {
	return func(h *harness) func() {
		for i := range services {
			h.target(i, "north").SetFaults(f)
		}
		return func() {
			for i := range services {
				h.target(i, "north").SetFaults(targetsim.Faults{})
			}
		}
	}
}

func targetCrash(h *harness) func() {
	t := h.target(0, "north")
	t.Crash()
	return func() { h.g.Expect(t.Restart()).To(Succeed()) }
}

// repeatedCrash crashes and restarts a target several times, with other calls in flight each time.
func repeatedCrash(h *harness) func() {
	for range 4 {
		repair := targetCrash(h)
		h.run(200 * time.Millisecond)
		repair()
		h.run(200 * time.Millisecond)
	}
	return none
}

// lostService crashes every replica of a service.
func lostService(h *harness) func() {
	for _, domain := range []string{"north", "east", "south"} {
		h.target(1, domain).Crash()
	}
	return func() {
		for _, domain := range []string{"north", "east", "south"} {
			h.g.Expect(h.target(1, domain).Restart()).To(Succeed())
		}
	}
}

func nodeKilled(h *harness) func() {
	m := h.member("east", 0)
	h.d.Kill(m)
	return func() { h.g.Expect(h.d.Restart(h.t.Context(), m)).To(Succeed()) }
}

func cutFromDomains(h *harness) func() {
	h.network.Cut("north", "east")
	h.network.Cut("north", "south")
	return func() {
		h.network.Heal("north", "east")
		h.network.Heal("north", "south")
	}
}

func cutFromAll(h *harness) func() {
	repair := cutFromDomains(h)
	h.network.Cut("north", demo.PlacePlatform)
	return func() {
		repair()
		h.network.Heal("north", demo.PlacePlatform)
	}
}

func platformFault(f platformsim.Faults) func(h *harness) func() {
	return func(h *harness) func() {
		h.d.Fleet.Platform.SetFaults(f)
		return func() { h.d.Fleet.Platform.SetFaults(platformsim.Faults{}) }
	}
}

// indexBeforeHeld publishes an index version that the targets hold only later.
func indexBeforeHeld(h *harness) func() {
	next := config.IndexVersion{Index: 2, Map: 1}
	h.publishCatalogue(func(g *config.GroupCatalogue) { g.Versions = append(g.Versions, next) })
	h.run(held)
	for i := range services { // one service after another, so that searches meet every mix
		for _, domain := range []string{"north", "east", "south"} {
			h.target(i, domain).HoldIndex(targetsim.Index{Version: 2, Map: 1}, h.ranges(i, 1))
			h.run(50 * time.Millisecond)
		}
	}
	return none
}

// indexRetired retires the version that searches use, target by target, after the next one is held.
func indexRetired(h *harness) func() {
	next := config.IndexVersion{Index: 2, Map: 1}
	h.publishCatalogue(func(g *config.GroupCatalogue) { g.Versions = append(g.Versions, next) })
	h.hold(next)
	h.retire(1)
	return func() {
		h.publishCatalogue(func(g *config.GroupCatalogue) { g.Versions = []config.IndexVersion{next} })
	}
}

// repartition publishes a new partition map with a new index version, and retires the old ones.
func repartition(h *harness) func() {
	next := config.IndexVersion{Index: 2, Map: 2}
	h.publishCatalogue(func(g *config.GroupCatalogue) {
		m := config.PartitionMap{Version: 2}
		cuts := []uint64{0, api.KeySpaceEnd / 8, api.KeySpaceEnd / 2, api.KeySpaceEnd}
		for i := range services {
			m.Assignments = append(m.Assignments, config.Assignment{
				Service: g.Maps[0].Assignments[(i+1)%services].Service, Range: api.KeyRange{From: cuts[i], To: cuts[i+1]},
			})
		}
		g.Maps = append(g.Maps, m)
		g.Versions = append(g.Versions, next)
	})
	h.run(held / 3)
	h.hold(next)
	h.run(held / 3)
	h.retire(1)
	return func() {
		h.publishCatalogue(func(g *config.GroupCatalogue) {
			g.Versions, g.Maps = []config.IndexVersion{next}, g.Maps[1:]
		})
	}
}

func (h *harness) ranges(service int, mapVersion uint64) []api.KeyRange {
	var ranges []api.KeyRange
	g := h.d.Fleet.Catalogue().Groups[0]
	for _, m := range g.Maps {
		for _, a := range m.Assignments {
			if m.Version == mapVersion && a.Service == serviceOf(h.serviceTarget(service)) {
				ranges = append(ranges, a.Range)
			}
		}
	}
	return ranges
}

func (h *harness) serviceTarget(service int) string {
	return h.d.Fleet.Document().Groups[0].Services[service].Targets[0].ID
}

// retire removes an index version from the targets, with pauses so that searches meet every mix.
func (h *harness) retire(version uint64) {
	for i := range services {
		for _, domain := range []string{"north", "east", "south"} {
			h.target(i, domain).RetireIndex(version)
			h.run(30 * time.Millisecond)
		}
	}
}

var failures = []failure{
	{"target crashes", targetCrash},
	{"target crashes repeatedly", repeatedCrash},
	{"all targets of a service crash", lostService},
	{"targets freeze and wake", targetFault(targetsim.Faults{Freeze: true})},
	{"targets are slow", targetFault(targetsim.Faults{SlowFactor: 40})},
	{"responses are crossed", targetFault(targetsim.Faults{Crossed: true})},
	{"responses are late", targetFault(targetsim.Faults{LateByMS: 300})},
	{"responses are cut and end regularly", targetFault(targetsim.Faults{Truncate: targetsim.CutClean})},
	{"responses are cut by a reset", targetFault(targetsim.Faults{Truncate: targetsim.CutReset})},
	{"wrong request id", targetFault(targetsim.Faults{WrongEcho: targetsim.EchoRequestID})},
	{"wrong attempt id", targetFault(targetsim.Faults{WrongEcho: targetsim.EchoAttemptID})},
	{"wrong service", targetFault(targetsim.Faults{WrongEcho: targetsim.EchoService})},
	{"wrong index version", targetFault(targetsim.Faults{WrongEcho: targetsim.EchoIndexVersion})},
	{"connections drop after the run", targetFault(targetsim.Faults{DropConnections: true})},
	{"runs fail", targetFault(targetsim.Faults{FailRuns: true})},
	{"node is killed", nodeKilled},
	{"failure domain is cut off from the others", cutFromDomains},
	{"failure domain is cut off from the others and the platform", cutFromAll},
	{"platform is down", platformFault(platformsim.Faults{Down: true})},
	{"platform is stale", platformFault(platformsim.Faults{Stale: true})},
	{"platform is slow", platformFault(platformsim.Faults{SlowMS: 800})},
	{"index version is published before it is held", indexBeforeHeld},
	{"index version is retired", indexRetired},
	{"repartition", repartition},
}

// Guards against answers that mix snapshots, overstate coverage or belong to another request (R1 to R3), and against
// untrue refusals and second runs (R4, R5), under each failure alone.
func TestAnswersAreTrueUnderFailure(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			deploy(t, 2, func(h *harness) {
				repair := f.induce(h)
				h.run(held)
				repair()
				h.recovered()
				h.verify()
			})
		})
	}
}

// pairs are failures that meet in practice or attack the same mechanism from two sides.
var pairs = [][2]string{
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

// Guards against mechanisms that hold under one failure and break when a second one comes on top.
func TestAnswersAreTrueUnderPairsOfFailures(t *testing.T) {
	byName := map[string]failure{}
	for _, f := range failures {
		byName[f.name] = f
	}
	for _, p := range pairs {
		t.Run(p[0]+" and "+p[1], func(t *testing.T) {
			deploy(t, 2, func(h *harness) {
				first := byName[p[0]].induce(h)
				second := byName[p[1]].induce(h)
				h.run(held)
				first()
				second()
				h.recovered()
				h.verify()
			})
		})
	}
}
