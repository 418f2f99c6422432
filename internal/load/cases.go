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

// Case is a failure under which the load is offered.
type Case string

// Cases of the load tool.
const (
	CaseHealthy   Case = "healthy"
	CaseStraggler Case = "straggler" // one target is 10 times slower
	CaseLost      Case = "lost"      // one target of each of three services is gone
	CaseCut       Case = "cut"       // one failure domain is cut off from the others
	CaseOverload  Case = "overload"  // 1.5 times the capacity
	CaseRolling   Case = "rolling"   // every node is replaced, one after another
)

// Cases lists all cases in the order in which they are run.
var Cases = []Case{CaseHealthy, CaseStraggler, CaseLost, CaseCut, CaseRolling, CaseOverload}

// Setup describes the deployment under load.
type Setup struct {
	Document    config.Document
	Catalogue   config.Catalogue
	Keys        string // key of the caller
	Nodes       int    // nodes in all, spread over the failure domains
	Delay       time.Duration
	ClientDelay time.Duration
	Service     targetsim.ServiceTime
	ConnectCost map[string]time.Duration
	Share       float64 // offered load as a share of the capacity of each group
	Timeout     time.Duration
	Warmup      time.Duration
	Duration    time.Duration
	Commands    float64 // share of commands in groups that take them
	Baseline    bool
	Seed        uint64
	// Network carries all connections; nil makes one over TCP with Delay.
	Network *netsim.Network
}

const (
	stragglerFactor = 10
	lostServices    = 3
	overloadShare   = 1.5
	// documents is the number of documents of each group: enough for more hits than a search asks for.
	documents = 300
)

// Report is the result of one case.
type Report struct {
	Case     Case
	Baseline bool
	Groups   []*Result
	Runs     map[string]int64 // search runs at the targets, by group
	Worst    int              // highest number of runs of one command
	Bare     Bare             // of one target without the tier, before the load
	Opened   int64            // connections opened at the targets
	Peak     map[string]int   // highest number of open connections at one target, by group
}

// ExtraLoad is the share of search runs of a group beyond one per part asked for.
func (r *Report) ExtraLoad(g *Result) float64 {
	if g.Parts == 0 {
		return 0
	}
	return float64(r.Runs[g.Group])/float64(g.Parts) - 1
}

// Capacity is the rate of searches at which the slots of a group's scarcest service are busy all the time.
func Capacity(g config.Group, mean time.Duration) float64 {
	slots := -1
	for _, s := range g.Services {
		if n := len(s.Targets) * g.SlotsPerTarget; slots < 0 || n < slots {
			slots = n
		}
	}
	return float64(slots) / mean.Seconds()
}

// RunCase starts a deployment, warms it up, induces the failure and measures.
func RunCase(ctx context.Context, s Setup, c Case) (*Report, error) {
	network := s.Network
	if network == nil {
		network = netsim.New(s.Delay, s.Delay/4, s.Seed)
	}
	d, err := demo.Start(ctx, demo.Options{
		Fleet:          fleet.Options{Document: cloneDocument(s.Document), Catalogue: s.Catalogue, Service: s.Service, ConnectCost: s.ConnectCost, Documents: documents},
		NodesPerDomain: max(1, s.Nodes/len(s.Document.Domains)),
		Network:        network, Seed: s.Seed, Baseline: s.Baseline,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start deployment")
	}
	defer d.Close(context.WithoutCancel(ctx))
	if c == CaseOverload {
		s.Share = overloadShare
	}
	bare, err := measureBare(ctx, d.Fleet.Document(), s.Catalogue, network)
	if err != nil {
		return nil, err
	}
	runner := func(duration time.Duration, seed uint64) *Runner {
		return NewRunner(Options{Streams: s.streams(), Duration: duration, ClientDelay: s.ClientDelay, Key: s.Keys, Seed: seed, Dial: network.Dial}, d.Members)
	}
	runner(s.Warmup, s.Seed+1).Run(ctx)
	before := searchRuns(d.Fleet, s.Document)
	stop := induce(ctx, d, network, c)
	results := runner(s.Duration, s.Seed+2).Run(ctx)
	stop()
	r := report(d.Fleet, s, c, results, before)
	r.Bare = bare
	return r, nil
}

func (s Setup) streams() []Stream {
	var streams []Stream
	for _, g := range s.Document.Groups {
		st := Stream{Group: g.Name, Rate: s.Share * Capacity(g, s.Service.Mean()), Timeout: s.Timeout, Kinds: g.Kinds}
		if g.Commands {
			st.CommandShare = s.Commands
		}
		streams = append(streams, st)
	}
	return streams
}

// cloneDocument copies what the fleet changes: the addresses of the targets.
func cloneDocument(d config.Document) config.Document {
	d.Groups = slices.Clone(d.Groups)
	for i := range d.Groups {
		d.Groups[i].Services = slices.Clone(d.Groups[i].Services)
	}
	return d
}

// induce starts the failure of a case. stop ends a change of the deployment that is under way and waits for it.
func induce(ctx context.Context, d *demo.Deployment, network *netsim.Network, c Case) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var changes sync.WaitGroup
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
			network.Cut(doc.Domains[0].Name, other.Name)
		}
	case CaseRolling:
		changes.Go(func() { d.ReplaceAll(ctx) })
	}
	return func() { cancel(); changes.Wait() }
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

func report(f *fleet.Fleet, s Setup, c Case, results []*Result, before map[string]int64) *Report {
	r := &Report{Case: c, Baseline: s.Baseline, Groups: results, Runs: searchRuns(f, s.Document), Peak: map[string]int{}}
	for group := range maps.Keys(r.Runs) {
		r.Runs[group] -= before[group]
	}
	for _, g := range s.Document.Groups {
		for _, service := range g.Services {
			for _, t := range service.Targets {
				counts := f.Targets[t.ID].Counts()
				r.Worst = max(r.Worst, counts.MaxRunsPerCommand)
				r.Opened += counts.ConnectionsOpened
				r.Peak[g.Name] = max(r.Peak[g.Name], counts.ConnectionsPeak)
			}
		}
	}
	return r
}
