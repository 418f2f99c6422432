package relay

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/admission"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/snapshot"
)

// defaultHopRTT is the round-trip time to another failure domain until one has been measured.
const defaultHopRTT = 8 * time.Millisecond

// group is the state of one service group. A configuration change replaces the struct and carries over its admitter
// and retry budget, and the picker and the latency estimator of each service.
type group struct {
	cfg       config.Group
	admission *admitter
	budget    *hedge.Budget
	chooser   *snapshot.Chooser
	services  map[string]*service
}

// service is the state of one service of a group, which is one shard of its data.
type service struct {
	name      string
	picker    *balance.Picker
	estimator *hedge.Estimator
	targets   map[string]config.Target
}

// updateGroup builds a group from its configuration and carries over the state of old, which may be nil. The caller
// holds r.mu.
func (r *Relay) updateGroup(old *group, cfg config.Group, now time.Time) *group {
	g := &group{cfg: cfg, services: make(map[string]*service, len(cfg.Services))}
	limit := r.searchLimit(cfg)
	if old == nil {
		g.admission = newAdmitter(admission.New(admission.Config{Limit: limit}))
		g.budget = hedge.NewBudget(cfg.RetryBudget, 0)
		old = &group{}
	} else {
		g.admission, g.budget = old.admission, old.budget
		g.admission.setLimit(limit, now)
		if old.cfg.RetryBudget != cfg.RetryBudget {
			g.budget = hedge.NewBudget(cfg.RetryBudget, 0)
		}
	}
	for _, s := range cfg.Services {
		g.services[s.Name] = r.updateService(old.services[s.Name], cfg, s, now)
	}
	return g
}

func (r *Relay) updateService(old *service, cfg config.Group, s config.Service, now time.Time) *service {
	updated := &service{name: s.Name, targets: make(map[string]config.Target, len(s.Targets))}
	if old != nil {
		updated.picker, updated.estimator = old.picker, old.estimator
	} else {
		updated.picker, updated.estimator = balance.NewPicker(balance.Config{}), hedge.NewEstimator()
	}
	candidates := make([]balance.Target, 0, len(s.Targets))
	for _, t := range s.Targets {
		updated.targets[t.ID] = t
		c := balance.Target{ID: t.ID, Domain: t.Domain, Slots: cfg.SlotsPerTarget}
		if t.Domain != r.cfg.Domain {
			c.RTT = defaultHopRTT
		}
		candidates = append(candidates, c)
	}
	updated.picker.Update(candidates, now)
	for mark := range r.leaving {
		if _, ok := updated.targets[mark.target]; ok {
			updated.picker.MarkLeaving(mark.target, mark.incarnation)
		}
	}
	return updated
}

// searchLimit returns the number of searches that the group may run at once in this failure domain.
func (r *Relay) searchLimit(cfg config.Group) int {
	slots := make([]int, 0, len(cfg.Services))
	for _, s := range cfg.Services {
		local := 0
		for _, t := range s.Targets {
			if t.Domain == r.cfg.Domain {
				local += cfg.SlotsPerTarget
			}
		}
		if local == 0 {
			// All targets of the service are in other failure domains, which run searches of their own.
			local = cfg.SlotsPerTarget
		}
		slots = append(slots, local)
	}
	return admission.ConcurrencyLimit(slots)
}
