// Package relay sends the parts of searches, and commands, to targets. It queues, hedges and retries calls, and is the
// only layer that retries.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// Remotes calls the relays of other failure domains. Errors are *peer.Error.
type Remotes interface {
	Attempt(ctx context.Context, domain string, req peer.AttemptRequest) (peer.AttemptResult, error)
	Command(ctx context.Context, domain string, req peer.CommandRequest) (api.CommandResult, error)
	// Owns reports whether this node is the home or the spare relay of the group in its failure domain.
	Owns(group string) bool
	// IsReachable reports whether a relay of the failure domain has been heard from recently.
	IsReachable(domain string) bool
}

// Dialer creates the client of one target.
type Dialer func(target.Config) (target.Caller, error)

// Config holds the settings of a Relay.
type Config struct {
	Domain  string // failure domain of this node
	Ordinal int    // ordinal of this node in its failure domain
	Seed    uint64 // seed of the random choices; 0 selects a random seed
	// Baseline disables hedging, canaries and the admission of whole searches, and chooses targets uniformly at random.
	// The load tool uses it as the reference for comparisons.
	Baseline bool
}

// Deps holds the dependencies of a Relay.
type Deps struct {
	Topology *topology.Holder
	Remotes  Remotes
	Guard    *quarantine.Guard
	Dial     Dialer
	Charts   *statechart.Charts
	Log      *logrus.Entry
	Tracing  *telemetry.Tracing
	Metrics  *metrics.Set
	// OnTargetLeaving is called when a target itself reports that it is leaving; it may be nil.
	OnTargetLeaving func(targetID, incarnation string)
	// OnQuarantine is called with new quarantine states of fingerprints; it may be nil.
	OnQuarantine func([]quarantine.Change)
	Panics       *panics.Handler // nil contains no panics
}

// Relay owns the connections of one node to the targets of its failure domain.
type Relay struct {
	cfg     Config
	deps    Deps
	metrics *counters

	mu      panics.RWMutex // guards the fields below
	groups  map[string]*group
	targets map[string]*localTarget
	leaving map[leavingMark]struct{}

	rndMu sync.Mutex // guards rnd
	rnd   *rand.Rand

	cancel context.CancelFunc
	ctx    context.Context // of the background work; ends in Close
	wg     sync.WaitGroup
}

// leavingMark identifies an incarnation of a target that is leaving.
type leavingMark struct{ target, incarnation string }

// New returns a relay that follows the topology. The caller must call Close.
func New(cfg Config, deps Deps) *Relay {
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		cfg: cfg, deps: deps, metrics: newCounters(deps.Metrics),
		groups: map[string]*group{}, targets: map[string]*localTarget{}, leaving: map[leavingMark]struct{}{},
		rnd:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		cancel: cancel, ctx: ctx,
	}
	deps.Topology.OnChange(r.applyTopology)
	r.wg.Go(func() { deps.Panics.Loop(ctx, "relay maintenance", r.maintain) })
	return r
}

// Close stops the background work and closes the connections to targets once calls in flight have ended or ctx ends.
func (r *Relay) Close(ctx context.Context) {
	r.cancel()
	r.wg.Wait()
	r.mu.Lock()
	targets := r.targets
	r.targets = map[string]*localTarget{}
	r.groups = map[string]*group{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { t.close(ctx) })
	}
	wg.Wait()
}

// applyTopology rebuilds groups and targets from a changed configuration. It keeps the clients of unchanged targets and
// closes the others.
func (r *Relay) applyTopology(v *topology.View) {
	doc := v.Document()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.targets
	r.targets = make(map[string]*localTarget, len(old))
	groups := make(map[string]*group, len(doc.Groups))
	for i := range doc.Groups {
		g := r.updateGroup(r.groups[doc.Groups[i].Name], doc.Groups[i], now)
		g.chooser, _ = v.Chooser(g.cfg.Name)
		groups[g.cfg.Name] = g
		r.reconcileTargets(v, g, old)
	}
	r.groups = groups
	for id, t := range old {
		if r.targets[id] == nil {
			r.deps.Guard.Forget(id, now)
		}
		r.closeInBackground(t)
	}
}

// closeInBackground closes the client of a target that was removed or whose spec has changed. A new client of the same
// target opens no connection until then, so that this node never exceeds its connection cap. The caller holds mu.
func (r *Relay) closeInBackground(t *localTarget) {
	r.wg.Go(func() {
		t.close(r.ctx)
		close(t.closed)
	})
}

// reconcileTargets reuses or creates the clients of the group's targets in this failure domain. It removes reused
// clients from old; the caller closes those that remain there.
func (r *Relay) reconcileTargets(v *topology.View, g *group, old map[string]*localTarget) {
	limit := r.connectionCap(v.Index, g)
	if limit == 0 {
		return
	}
	for _, s := range g.services {
		for _, t := range s.targets {
			if t.Domain != r.cfg.Domain {
				continue
			}
			want := targetSpec{address: t.Address, connections: limit, slots: g.cfg.SlotsPerTarget}
			if current := old[t.ID]; current != nil && current.spec == want {
				delete(old, t.ID)
				r.targets[t.ID] = current
				continue
			}
			created, err := r.newLocalTarget(g.cfg.Name, s.name, t.ID, want, old[t.ID])
			if err != nil {
				r.deps.Log.WithError(err).WithField("target", t.ID).Error("cannot create target client")
				continue
			}
			r.targets[t.ID] = created
		}
	}
}

// connectionCap returns the number of connections that this node may open to each target of the group; 0 when it may
// not own the group.
func (r *Relay) connectionCap(index *config.Index, g *group) int {
	d, ok := index.Domain(r.cfg.Domain)
	if !ok {
		return 0
	}
	space := ownership.OrdinalSpaceOf(d.MaxRelays)
	if !space.IsCandidate(g.cfg.Name, r.cfg.Ordinal) {
		return 0
	}
	return space.ConnectionCap(g.cfg.ConnectionLimit)
}

func (r *Relay) group(name string) *group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.groups[name]
}

func (r *Relay) localTarget(id string) *localTarget {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.targets[id]
}

// withRandom calls f with a random source that is seeded from the relay's. f runs without the lock, which would
// otherwise serialise the choice of targets for all calls of the node.
func (r *Relay) withRandom(f func(*rand.Rand)) {
	r.rndMu.Lock()
	seed := r.rnd.Uint64()
	r.rndMu.Unlock()
	f(rand.New(rand.NewPCG(seed, 0)))
}

// MarkLeaving records that an incarnation of a target is leaving, so that it receives no new work. An empty incarnation
// means the current one. Repeating the mark of a named incarnation has no effect: the node passes on all marks several
// times a second, and pickers that are created later read them from r.leaving.
func (r *Relay) MarkLeaving(targetID, incarnation string) {
	mark := leavingMark{targetID, incarnation}
	if incarnation != "" && r.hasLeavingMark(mark) {
		return
	}
	services, known := r.addLeavingMark(mark)
	for _, s := range services {
		s.picker.MarkLeaving(targetID, incarnation)
	}
	if !known {
		r.deps.Log.WithFields(logrus.Fields{"target": targetID, "incarnation": incarnation}).Info("target is leaving and receives no new work")
	}
}

// addLeavingMark returns the services that have the target, and whether the mark was known before.
func (r *Relay) addLeavingMark(m leavingMark) (services []*service, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known = r.leaving[m]
	r.leaving[m] = struct{}{}
	return r.servicesWithTarget(m.target), known
}

func (r *Relay) hasLeavingMark(m leavingMark) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, known := r.leaving[m]
	return known
}

// servicesWithTarget returns the services that list the target. The caller holds mu.
func (r *Relay) servicesWithTarget(targetID string) []*service {
	var found []*service
	for _, g := range r.groups {
		for _, s := range g.services {
			if _, ok := s.targets[targetID]; ok {
				found = append(found, s)
			}
		}
	}
	return found
}
