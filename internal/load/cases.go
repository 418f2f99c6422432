package load

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// Case names the failure, if any, under which load is offered.
type Case string

// The cases of the load command.
const (
	CaseHealthy   Case = "healthy"
	CaseStraggler Case = "straggler" // one target is stragglerFactor times slower
	CaseLost      Case = "lost"      // one target of each of lostServices services has crashed
	CaseCut       Case = "cut"       // one failure domain is cut off from the others
	CaseOverload  Case = "overload"  // offered load is overloadShare times the capacity
	CaseRolling   Case = "rolling"   // all nodes are replaced, one after another
)

// Cases lists all cases in the order in which they run.
var Cases = []Case{CaseHealthy, CaseStraggler, CaseLost, CaseCut, CaseRolling, CaseOverload}

// Setup describes the deployment under load and the load.
type Setup struct {
	Document     config.Document
	Catalogue    config.Catalogue
	Key          string        // API key of the caller
	Nodes        int           // total, spread evenly over the failure domains
	NetworkDelay time.Duration // one-way delay between failure domains; the jitter is a quarter of it
	ClientDelay  time.Duration // one-way delay between callers and the tier
	ServiceTime  targetsim.ServiceTime
	ConnectCost  map[string]time.Duration // time to accept a connection, by group; see fleet.Options
	LoadShare    float64                  // offered load as a share of the capacity of each group
	Timeout      time.Duration
	Warmup       time.Duration
	Duration     time.Duration
	CommandShare float64 // share of commands in groups that take them
	Baseline     bool    // no hedging, uniform choice of targets, admission per call
	Seed         uint64
	// Network carries all connections. If it is nil, RunCase creates one over TCP with NetworkDelay.
	Network *netsim.Network
}

const (
	stragglerFactor = 10
	lostServices    = 3
	overloadShare   = 1.5
	// documentsPerGroup gives a search more hits than the limit that it asks for.
	documentsPerGroup = 300
)

// Report is the result of one case.
type Report struct {
	Case              Case
	Baseline          bool
	Groups            []*Result
	SearchRuns        map[string]int64 // searches run by the targets, by group
	MaxRunsPerCommand int              // highest number of times that one command ran
	Direct            DirectLatency    // latency of one target called without the tier, before the load
	ConnectionsOpened int64            // connections opened at the targets
	ConnectionsPeak   map[string]int   // highest number of open connections at one target, by group
}

// ExtraLoad returns the search runs of a group beyond one per requested part, as a share of the requested parts.
func (r *Report) ExtraLoad(g *Result) float64 {
	if g.Parts == 0 {
		return 0
	}
	return float64(r.SearchRuns[g.Group])/float64(g.Parts) - 1
}

// Capacity returns the searches per second that keep all slots of the group's service with the fewest slots busy, given the
// mean service time.
func Capacity(g config.Group, mean time.Duration) float64 {
	slots := -1
	for _, s := range g.Services {
		if n := len(s.Targets) * g.SlotsPerTarget; slots < 0 || n < slots {
			slots = n
		}
	}
	return float64(slots) / mean.Seconds()
}

// RunCase starts a deployment, measures one target directly, warms the deployment up, injects the failure of the case and
// measures under load.
func RunCase(ctx context.Context, s Setup, c Case) (*Report, error) {
	network := s.Network
	if network == nil {
		network = netsim.New(s.NetworkDelay, s.NetworkDelay/4, s.Seed)
	}
	d, err := demo.Start(ctx, demo.Options{
		Fleet:          fleet.Options{Document: cloneDocument(s.Document), Catalogue: s.Catalogue, ServiceTime: s.ServiceTime, ConnectCost: s.ConnectCost, Documents: documentsPerGroup},
		NodesPerDomain: max(1, s.Nodes/len(s.Document.Domains)),
		Network:        network, Seed: s.Seed, Baseline: s.Baseline,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start deployment")
	}
	defer d.Close(context.WithoutCancel(ctx))
	if c == CaseOverload {
		s.LoadShare = overloadShare
	}
	direct, err := measureDirectLatency(ctx, d.Fleet.Document(), s.Catalogue, network)
	if err != nil {
		return nil, err
	}
	newRunner := func(duration time.Duration, seed uint64) *Runner {
		return NewRunner(Options{Streams: s.streams(), Duration: duration, ClientDelay: s.ClientDelay, Key: s.Key, Seed: seed, Dial: network.Dial}, d.Members)
	}
	newRunner(s.Warmup, s.Seed+1).Run(ctx)
	before := searchRuns(d.Fleet, s.Document)
	stop := injectFailure(ctx, d, network, c)
	results := newRunner(s.Duration, s.Seed+2).Run(ctx)
	stop()
	r := buildReport(d.Fleet, s, c, results, before)
	r.Direct = direct
	return r, nil
}

func (s Setup) streams() []Stream {
	var streams []Stream
	for _, g := range s.Document.Groups {
		st := Stream{Group: g.Name, Rate: s.LoadShare * Capacity(g, s.ServiceTime.Mean()), Timeout: s.Timeout, Kinds: g.Kinds}
		if g.Commands {
			st.CommandShare = s.CommandShare
		}
		streams = append(streams, st)
	}
	return streams
}

// cloneDocument copies the groups and services of a document, in which the fleet replaces the addresses of the targets.
func cloneDocument(d config.Document) config.Document {
	d.Groups = slices.Clone(d.Groups)
	for i := range d.Groups {
		d.Groups[i].Services = slices.Clone(d.Groups[i].Services)
	}
	return d
}

// injectFailure starts the failure of a case. stop ends the replacement of nodes, if it still runs, and waits for it.
func injectFailure(ctx context.Context, d *demo.Deployment, network *netsim.Network, c Case) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var replacements sync.WaitGroup
	doc := d.Fleet.Document()
	switch c {
	case CaseStraggler:
		id := doc.Groups[0].Services[0].Targets[0].ID
		d.Fleet.Targets[id].SetFaults(targetsim.Faults{SlowFactor: stragglerFactor})
	case CaseLost:
		for _, s := range doc.Groups[0].Services[:min(lostServices, len(doc.Groups[0].Services))] {
			d.Fleet.Targets[s.Targets[0].ID].Crash()
		}
	case CaseCut:
		for _, other := range doc.Domains[1:] {
			network.Partition(doc.Domains[0].Name, other.Name)
		}
	case CaseRolling:
		replacements.Go(func() { d.ReplaceAll(ctx) })
	}
	return func() { cancel(); replacements.Wait() }
}

func searchRuns(f *fleet.Fleet, doc config.Document) map[string]int64 {
	runs := map[string]int64{}
	for _, g := range doc.Groups {
		for _, s := range g.Services {
			for _, t := range s.Targets {
				runs[g.Name] += f.Targets[t.ID].Counts().SearchRuns
			}
		}
	}
	return runs
}

func buildReport(f *fleet.Fleet, s Setup, c Case, results []*Result, before map[string]int64) *Report {
	r := &Report{Case: c, Baseline: s.Baseline, Groups: results, SearchRuns: searchRuns(f, s.Document), ConnectionsPeak: map[string]int{}}
	for group := range maps.Keys(r.SearchRuns) {
		r.SearchRuns[group] -= before[group]
	}
	for _, g := range s.Document.Groups {
		for _, service := range g.Services {
			for _, t := range service.Targets {
				counts := f.Targets[t.ID].Counts()
				r.MaxRunsPerCommand = max(r.MaxRunsPerCommand, counts.MaxRunsPerCommand)
				r.ConnectionsOpened += counts.ConnectionsOpened
				r.ConnectionsPeak[g.Name] = max(r.ConnectionsPeak[g.Name], counts.ConnectionsPeak)
			}
		}
	}
	return r
}
