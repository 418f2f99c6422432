package query

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/published"
)

// service is a set of targets that answer the same requests. It outlives configuration versions.
type service struct {
	name   string
	picker *balance.Picker
	budget *hedge.Budget
	slots  int // of all targets together
}

// targetClient is the connections of this node to one run of a target.
type targetClient struct {
	info    published.Target
	service *service
	pool    *httpcall.Pool
}

// same reports whether the registration is of the same run at the same place.
func (t *targetClient) same(o published.Target) bool {
	return t.info.Address == o.Address && t.info.Born == o.Born && t.info.Service == o.Service
}

const (
	// hopNear, hopRegion and hopFar are assumed round trips until connections have measured them: to the own failure
	// domain, another one of the region, another region.
	hopNear   = 500 * time.Microsecond
	hopRegion = 8 * time.Millisecond
	hopFar    = 24 * time.Millisecond
	// baseEjection is the first ejection time. It is short: a probe costs one hedge, a target out of use a third of a
	// service.
	baseEjection = time.Second
	// maxEjection bounds the ejection time; faults last seconds.
	maxEjection = 4 * time.Second
	// slowSpan keeps targets that only pause for some tenths of a second in use.
	slowSpan = 500 * time.Millisecond
	// slowStart is the time in which a target that has just started gets its full share.
	slowStart = 3 * time.Second
)

func (e *Engine) newService(name string) *service {
	return &service{
		name: name, budget: e.budgets.budget(name),
		picker: balance.NewPicker(balance.Config{
			BaseEjection: baseEjection, MaxEjection: maxEjection, SlowStart: slowStart, SlowSpan: slowSpan,
		}),
	}
}

// Update follows a new view of what is published.
func (e *Engine) Update(v *published.View) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	first := len(e.targets) == 0
	kept := map[string]*targetClient{}
	for name, list := range v.Targets {
		s := e.services[name]
		if s == nil {
			s = e.newService(name)
			e.services[name] = s
		}
		e.updateService(s, list, kept, first, now)
	}
	for name, s := range e.services {
		if len(v.Targets[name]) == 0 {
			s.picker.Update(nil, now)
			s.slots = 0
		}
	}
	for id, t := range e.targets {
		if kept[id] != t {
			t.pool.Close()
		}
	}
	e.targets = kept
	if e.view.Table == nil && v.Table != nil && !e.known {
		e.known = true
		close(e.first)
	}
	e.view = v
	e.setCaps()
}

// updateService sets the candidates of one service. Draining targets are no candidates; calls in flight go on.
func (e *Engine) updateService(s *service, list []published.Target, kept map[string]*targetClient, first bool, now time.Time) {
	candidates := make([]balance.Target, 0, len(list))
	s.slots = 0
	for _, info := range list {
		t := e.targets[info.ID]
		restarted := t != nil && !t.same(info)
		if t == nil || restarted {
			t = e.newClient(s, info)
		}
		t.info = info
		kept[info.ID] = t
		if info.Draining {
			continue
		}
		s.slots += info.Slots
		candidates = append(candidates, balance.Target{
			ID: info.ID, Domain: info.Domain, Slots: info.Slots, Hop: e.hops.of(info.Domain),
			Warm: first && info.ColdLeft == 0, ColdLeft: info.ColdLeft,
		})
	}
	s.picker.Update(candidates, now)
	for _, info := range list {
		s.picker.NoteIncarnation(info.ID, strconv.FormatInt(info.Born, 10), now)
	}
}

func (e *Engine) newClient(s *service, info published.Target) *targetClient {
	domain := info.Domain
	return &targetClient{
		info: info, service: s,
		pool: httpcall.NewPool(httpcall.Config{
			Address: info.Address, Connections: 1, Dial: e.deps.Dial,
			Connected: func(d time.Duration) { e.hops.observe(domain, d) },
		}),
	}
}

// minSharers is the least number of nodes among which the connections of a target are divided, so that a node that knows no
// others, because it has just started or is cut off from them, leaves theirs free.
const minSharers = 4

// setCaps divides the connections that each target accepts among the nodes. The caller holds mu.
func (e *Engine) setCaps() {
	nodes := max(minSharers, e.deps.Nodes())
	for _, t := range e.targets {
		limit := t.info.Slots
		if e.view.Table != nil {
			if s := e.view.Table.Service(t.service.name); s != nil {
				limit = s.MaxConnections
			}
		}
		t.pool.SetConnections(max(1, limit/nodes))
	}
}

// maintain trims connections, follows the number of nodes and the measured round trips. It is called about once a second.
func (e *Engine) maintain(now time.Time) {
	e.budgets.setNodes(e.deps.Nodes())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setCaps()
	for id, t := range e.targets {
		t.pool.Trim(now)
		t.service.picker.SetHop(id, e.hops.of(t.info.Domain))
	}
}

// client returns the connections to a target that takes new work.
func (e *Engine) client(id string) *targetClient {
	e.mu.RLock()
	defer e.mu.RUnlock()
	t := e.targets[id]
	if t == nil || t.info.Draining {
		return nil
	}
	return t
}

// takesWork reports whether the client is still that of a listed target that is not leaving.
func (e *Engine) takesWork(t *targetClient) bool { return e.client(t.info.ID) == t }

func (e *Engine) service(name string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name]
}

// random returns a source for one choice.
func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), 0)) }

// hopTo is the round trip to a target.
func (e *Engine) hopTo(id string) time.Duration {
	e.mu.RLock()
	t := e.targets[id]
	e.mu.RUnlock()
	if t == nil {
		return 0
	}
	return e.hops.of(t.info.Domain)
}

// ServiceEvidence is what a node observed of the targets of one service.
type ServiceEvidence struct {
	Service string             `json:"service"`
	Targets []balance.Evidence `json:"targets"`
}

// Evidence takes what peers have not been told about targets that fail or are slow.
func (e *Engine) Evidence(now time.Time) []ServiceEvidence {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var all []ServiceEvidence
	for name, s := range e.services {
		if told := s.picker.Evidence(now); len(told) > 0 {
			all = append(all, ServiceEvidence{Service: name, Targets: told})
		}
	}
	return all
}

// Learn takes over what a peer observed of targets.
func (e *Engine) Learn(all []ServiceEvidence, now time.Time) {
	for _, told := range all {
		s := e.service(told.Service)
		if s == nil {
			continue
		}
		for _, t := range told.Targets {
			s.picker.Learn(t, now)
		}
	}
}
