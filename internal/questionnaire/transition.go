package questionnaire

import (
	"fmt"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
)

// capParams holds the published numbers from which the connection cap of a group in one failure domain is derived.
type capParams struct{ maxRelays, connections int }

// checkChangeTo returns an error if nodes that have n in force and nodes that have next in force can together exceed the
// targets' limit. During a change the targets accept the higher of the two published numbers, because a limit is raised at
// the targets before the publication and lowered after it.
func (n capParams) checkChangeTo(next capParams) error {
	return ownership.OrdinalSpaceOf(n.maxRelays).CheckChangeWithin(ownership.OrdinalSpaceOf(next.maxRelays), n.connections,
		next.connections, max(n.connections, next.connections))
}

// intermediateStep returns parameters to publish between n and next so that both publications are safe, and false if there
// are none. A lower connections number gives the smaller set of relays the same cap as the larger set.
func (n capParams) intermediateStep(next capParams) (capParams, bool) {
	step := capParams{maxRelays: min(n.maxRelays, next.maxRelays)}
	minConnections := ownership.OrdinalSpaceOf(step.maxRelays).Candidates * ownership.IncarnationsPerOrdinal
	for step.connections = max(n.connections, next.connections); step.connections >= minConnections; step.connections-- {
		if n.checkChangeTo(step) == nil && step.checkChangeTo(next) == nil {
			return step, true
		}
	}
	return capParams{}, false
}

// checkTransition reports each change of max_relays during which nodes with the previous document and nodes with the new
// one could together exceed a target's connection limit.
func checkTransition(b *builder, previous config.Document) Problems {
	c := checker{set: b.set, readers: b.set.readers}
	before := config.NewIndex(previous)
	for i, d := range b.document.Domains {
		oldDomain, ok := before.Domain(d.Name)
		if !ok || oldDomain.MaxRelays == d.MaxRelays {
			continue // the same relays connect, so the higher of the two caps fits the higher of the two limits
		}
		team, path := locate(fmt.Sprintf("domains[%d].max_relays", i), b.origins)
		for _, g := range b.document.Groups {
			oldGroup, ok := before.Group(g.Name)
			if !ok || !hasTargetIn(oldGroup, d.Name) || !hasTargetIn(&g, d.Name) {
				continue // nodes with only one of the documents connect to targets here
			}
			from, to := capParams{oldDomain.MaxRelays, oldGroup.ConnectionLimit}, capParams{d.MaxRelays, g.ConnectionLimit}
			if err := from.checkChangeTo(to); err != nil {
				c.report(team, path, fmt.Sprintf("changing max_relays from %d to %d is unsafe for the targets of %q: %v",
					from.maxRelays, to.maxRelays, g.Name, err), from.remedy(to, g.Name))
			}
		}
	}
	return c.problems.sortedUnique()
}

// remedy describes what to publish to get from n to next safely.
func (n capParams) remedy(next capParams, group string) string {
	step, ok := n.intermediateStep(next)
	if !ok {
		return fmt.Sprintf("max_relays %d as published: no two publications keep the targets of %q within their limit",
			n.maxRelays, group)
	}
	return fmt.Sprintf("max_relays %d and at most %d connections for %q published first, and this change when all nodes have that in force",
		step.maxRelays, step.connections, group)
}

func hasTargetIn(g *config.Group, domain string) bool {
	for _, s := range g.Services {
		for _, t := range s.Targets {
			if t.Domain == domain {
				return true
			}
		}
	}
	return false
}
