package admin

import (
	"fmt"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/snapshot"
)

// buildPlan describes how the search would run now. It calls no target.
func (s *Server) buildPlan(sc *scope, e explainRequest, now time.Time) Plan {
	p := Plan{
		Node: s.deps.Members.Self().ID, Group: e.group.Name, BudgetMS: millis(e.budget), Relays: []PlanRelay{},
		Versions: []PlanVersion{}, Services: []PlanService{}, Uncovered: []api.MissingRange{},
		Decision: s.quarantineDecision(e.search, now),
		Canary:   s.deps.Quarantine.NeedCanary(e.group.Name, e.group.Canary, now),
	}
	for _, r := range s.deps.Directory.Relays(e.group.Name) {
		p.Relays = append(p.Relays, PlanRelay{Node: r.NodeID, Address: r.Address, Self: r.Self})
	}
	if len(p.Relays) > 0 {
		p.Home = p.Relays[0].Node
	}
	chooser, ok := sc.view.Chooser(e.group.Name)
	if !ok {
		p.SnapshotReason = "the group has no catalogue yet"
		return p
	}
	choice, considered, ok := chooser.View(snapshot.Query{Range: e.search.Range}, now)
	p.describeVersions(choice, considered, ok)
	if !ok {
		return p
	}
	p.Uncovered = append(p.Uncovered, choice.Index.Compute(e.search.Range, choice.Snapshot, bestCaseParts(choice)).Missing...)
	holds := func(service, target string) bool {
		return chooser.Holds(target, service, choice.Snapshot.IndexVersion, now)
	}
	view, observed := s.relayView(e.group.Name, holds, now)
	p.Observed = observed
	p.describeServices(e.group, choice, view, holds)
	for i := range p.Services {
		s.fillVia(e.group.Name, []Service{{Targets: p.Services[i].Targets}})
	}
	return p
}

// quarantineDecision returns the quarantine's decision on the search.
func (s *Server) quarantineDecision(search api.Search, now time.Time) PlanDecision {
	fp := quarantine.FingerprintOf(search.Group, search.Kind, search.Query)
	d := s.deps.Quarantine.Decide(fp, now)
	out := PlanDecision{Fingerprint: fp.String(), Action: d.Action, Services: []string{}, RetryAfterMS: d.RetryAfter.Milliseconds()}
	out.Services = append(out.Services, d.Services...)
	return out
}

// describeVersions sets the considered versions, the chosen snapshot and the reason for the choice.
func (p *Plan) describeVersions(choice snapshot.Choice, considered []snapshot.Candidate, ok bool) {
	for _, v := range considered {
		p.Versions = append(p.Versions, PlanVersion{
			Snapshot: v.Snapshot, ServicesNeeded: v.ServicesNeeded, Lacking: v.Lacking, Chosen: ok && v.Snapshot == choice.Snapshot,
		})
	}
	switch {
	case !ok:
		p.SnapshotReason = "no published index version assigns a service to this key range"
		return
	case len(choice.Lacking) > 0:
		p.SnapshotReason = fmt.Sprintf("no version is held by all needed services; this is the newest of those that most hold, and %d lack it", len(choice.Lacking))
	case choice.Snapshot == considered[0].Snapshot:
		p.SnapshotReason = "the newest published version, and every needed service holds it"
	default:
		p.SnapshotReason = "the newest version that every needed service holds; newer ones are lacking"
	}
	pinned := choice.Snapshot
	p.Snapshot = &pinned
}

// bestCaseParts returns the parts as they would be if every service that holds the snapshot answered. What is missing
// even then cannot be covered now.
func bestCaseParts(choice snapshot.Choice) []api.Part {
	parts := make([]api.Part, 0, len(choice.Assigned))
	for _, a := range choice.Assigned {
		parts = append(parts, api.Part{Service: a.Service, Reason: choice.Lacking[a.Service], Snapshot: choice.Snapshot, Ranges: a.Ranges})
	}
	return parts
}

func (p *Plan) describeServices(g *config.Group, choice snapshot.Choice, view relay.GroupView, holds func(service, target string) bool) {
	services := map[string]Service{}
	for _, v := range view.Services {
		services[v.Name] = describeService(v)
	}
	if !p.Observed {
		for _, v := range configuredServices(g) {
			excludeTargetsLackingVersion(v, holds)
			services[v.Name] = v
		}
	}
	for _, a := range choice.Assigned {
		service := PlanService{Service: a.Service, Ranges: a.Ranges, Targets: []Target{}}
		if v, ok := services[a.Service]; ok {
			service.HedgeDelayMS, service.Targets = v.HedgeDelayMS, v.Targets
		}
		p.Services = append(p.Services, service)
	}
}

// excludeTargetsLackingVersion marks targets that do not hold the snapshot as excluded. It is used on a node without a relay;
// otherwise the relay's view has these marks already.
func excludeTargetsLackingVersion(s Service, holds func(service, target string) bool) {
	for i := range s.Targets {
		if !holds(s.Name, s.Targets[i].ID) {
			s.Targets[i].Excluded = relay.ExcludedVersion
		}
	}
}
