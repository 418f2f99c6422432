package snapshot

import (
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Choose returns the newest snapshot that every needed service holds on a usable target. When there is none, it
// returns the one that the most needed services hold, the newest of those if several, with the other services in
// Lacking. It reports false only when the catalogue has no version that assigns a needed service.
func (c *Chooser) Choose(q Query, now time.Time) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.Range != nil || q.Services != nil {
		return c.choose(q, now)
	}
	if c.cachedChoice != nil && now.Sub(c.cachedAt) < ChoiceTTL {
		return *c.cachedChoice, true
	}
	choice, ok := c.choose(q, now)
	if ok {
		c.cachedChoice, c.cachedAt = &choice, now
	}
	return choice, ok
}

func (c *Chooser) choose(q Query, now time.Time) (Choice, bool) {
	var best Choice
	found := false
	for _, v := range slices.Backward(c.catalogue.Versions) {
		choice, ok := c.evaluate(v, q, now)
		if !ok {
			continue
		}
		if len(choice.Lacking) == 0 {
			return choice, true
		}
		if !found || len(choice.Targets) > len(best.Targets) {
			best, found = choice, true
		}
	}
	return best, found
}

// Newer returns the newest snapshot after current that every needed service holds. A search whose pinned version was
// removed by targets restarts on it. Without one the search stays on its version, so Newer returns no snapshot that
// some needed services lack.
func (c *Chooser) Newer(current api.Snapshot, q Query, now time.Time) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range slices.Backward(c.catalogue.Versions) {
		if v.Index <= current.IndexVersion {
			break
		}
		if choice, ok := c.evaluate(v, q, now); ok && len(choice.Lacking) == 0 {
			return choice, true
		}
	}
	return Choice{}, false
}

// evaluate returns which targets hold version v. It reports false when the map of v assigns nothing that the query
// needs.
func (c *Chooser) evaluate(v config.IndexVersion, q Query, now time.Time) (Choice, bool) {
	m := c.maps[v.Map]
	assigned := m.Assign(q.Range)
	choice := Choice{
		Snapshot: api.Snapshot{IndexVersion: v.Index, MapVersion: v.Map},
		Index:    m,
		Targets:  make(map[string][]string, len(assigned)),
		Lacking:  map[string]api.MissingReason{},
	}
	for _, a := range assigned {
		if q.Services != nil && !slices.Contains(q.Services, a.Service) {
			continue
		}
		choice.Assigned = append(choice.Assigned, a)
		holders, reason := c.holders(a.Service, v.Index, q, now)
		if len(holders) > 0 {
			choice.Targets[a.Service] = holders
		} else {
			choice.Lacking[a.Service] = reason
		}
	}
	return choice, len(choice.Assigned) > 0
}

// holders returns the usable targets of a service that hold the index version, or the reason why there is none.
func (c *Chooser) holders(service string, indexVersion uint64, q Query, now time.Time) ([]string, api.MissingReason) {
	reason := api.MissingUnreachable
	targets := c.targets[service]
	holders := make([]string, 0, len(targets))
	for _, r := range targets {
		if q.Usable != nil && !q.Usable(service, r.target) {
			continue
		}
		if r.holds(indexVersion, now) {
			holders = append(holders, r.target)
		} else {
			reason = api.MissingVersionGone
		}
	}
	return holders, reason
}
