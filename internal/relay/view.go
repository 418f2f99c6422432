package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/admission"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
)

// GroupView describes one group for the administration API.
type GroupView struct {
	Admission     admission.Status
	HedgeTokens   int // hedges and retries that the budget allows now
	ConnectionCap int // connections that this node may open per target; 0 when it may not own the group
	Services      []ServiceView
}

// ServiceView describes one service. Targets are in order of preference.
type ServiceView struct {
	Name       string
	HedgeDelay time.Duration // the quantile of the latency after which a part is hedged; 0 without enough samples
	PanicMode  bool          // more targets look bad than may be ejected, so all are used
	Targets    []TargetView
}

// TargetView describes one target. The counts of slots and connections are set for targets of this failure domain.
type TargetView struct {
	balance.Candidate
	Local       bool
	SlotsInUse  int // calls that hold a slot
	Queued      int // calls that wait for a slot
	Connections int
	Reserved    bool // reserved for a request that runs in isolation
}

// Reasons for which the relay excludes a target that the picker would choose.
const (
	ExcludedVersion  balance.Exclusion = "version_not_held"
	ExcludedReserved balance.Exclusion = "reserved_for_suspect"
)

// View describes the group without changing it. holds reports which targets hold the version that a search would pin;
// nil means that all do.
func (r *Relay) View(name string, holds func(service, target string) bool, now time.Time) (GroupView, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	g := r.groups[name]
	if g == nil {
		return GroupView{}, false
	}
	v := GroupView{Admission: g.admission.queue.Status(), HedgeTokens: g.budget.Available()}
	if current := r.deps.Topology.View(); current != nil {
		v.ConnectionCap = r.connectionCap(current.Index, g)
	}
	for _, s := range g.services {
		v.Services = append(v.Services, r.viewService(g, s, holds, now))
	}
	slices.SortFunc(v.Services, func(a, b ServiceView) int { return strings.Compare(a.Name, b.Name) })
	return v, true
}

// viewService describes a service. The caller holds mu.
func (r *Relay) viewService(g *group, s *service, holds func(service, target string) bool, now time.Time) ServiceView {
	excluded := map[string]balance.Exclusion{}
	for id := range s.targets {
		switch {
		case holds != nil && !holds(s.name, id):
			excluded[id] = ExcludedVersion
		case r.deps.Guard.IsReserved(id, now):
			excluded[id] = ExcludedReserved
		}
	}
	v := ServiceView{Name: s.name}
	quantile := g.cfg.HedgeQuantile
	if quantile <= 0 {
		quantile = hedge.DefaultQuantile
	}
	v.HedgeDelay, _ = s.estimator.Quantile(quantile)
	var candidates []balance.Candidate
	candidates, v.PanicMode = s.picker.View(balance.Request{Eligible: func(id string) bool { return excluded[id] == "" }}, now)
	for _, c := range candidates {
		t := TargetView{Candidate: c, Reserved: excluded[c.ID] == ExcludedReserved}
		if c.Excluded == balance.ExcludedIneligible {
			t.Excluded = excluded[c.ID]
		}
		if local := r.targets[c.ID]; local != nil {
			t.Local, t.Connections = true, local.client.Connections()
			t.SlotsInUse, t.Queued = local.gate.Counts()
		}
		v.Targets = append(v.Targets, t)
	}
	return v
}
