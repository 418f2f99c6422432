package query

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/published"
)

// service is the state of a set of targets that answer the same requests. It is kept across configuration versions.
type service struct {
	name       string
	picker     *balance.Picker
	budget     *hedge.Budget
	totalSlots int             // of all targets together
	clients    []*targetClient // guarded by mu of the engine

	restrictedTargets atomic.Int32 // clients whose targets said what restricts the requests to them
}

// targetClient holds the connections of this node to one incarnation of a target.
type targetClient struct {
	id          string
	incarnation incarnation
	info        published.Target // guarded by mu of the engine
	service     *service
	pool        *httpcall.Pool
	report      *selfReport // what the incarnation says of itself
}

const (
	// defaultDomainRTT, defaultRegionRTT and defaultRemoteRTT are the round-trip times assumed until connections have measured
	// them: within the failure domain, to another one of the region, and to another region.
	defaultDomainRTT = 500 * time.Microsecond
	defaultRegionRTT = 8 * time.Millisecond
	defaultRemoteRTT = 24 * time.Millisecond
	// baseEjectionTime is the first ejection time. It is short, because a probe costs only one hedge, but an ejected target
	// costs a third of a service's capacity.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the ejection time. It is short, because faults last seconds.
	maxEjectionTime = 4 * time.Second
	// minSlowDuration is how long a target must be slow before it is ejected, so that pauses of some tenths of a second do not
	// eject it.
	minSlowDuration = 500 * time.Millisecond
	// slowStartWindow is the time in which the load of a target that has just started grows to its full share.
	slowStartWindow = 3 * time.Second
)

func (e *Engine) newService(name string) *service {
	return &service{
		name: name, budget: e.budgets.budget(name),
		picker: balance.NewPicker(balance.Config{
			BaseEjection: baseEjectionTime, MaxEjection: maxEjectionTime, SlowStart: slowStartWindow, MinSlowDuration: minSlowDuration,
		}),
	}
}

// Update replaces the view of the published state and adapts services, targets and connections to it.
func (e *Engine) Update(v *published.View) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	hadNoTargets := len(e.targets) == 0
	clients := map[string]*targetClient{}
	for name, list := range v.Targets {
		s := e.services[name]
		if s == nil {
			s = e.newService(name)
			e.services[name] = s
		}
		e.updateService(s, list, clients, hadNoTargets, now)
	}
	for name, s := range e.services {
		if len(v.Targets[name]) == 0 {
			s.picker.Update(nil, now)
			s.totalSlots = 0
			s.setClients(nil)
		}
	}
	for id, t := range e.targets {
		if clients[id] != t {
			t.pool.Close()
			e.formerReports.add(t.info, t.report, now)
		}
	}
	e.targets = clients
	if e.view.Table == nil && v.Table != nil && !e.wasConfigured {
		e.wasConfigured = true
		close(e.firstConfiguration)
	}
	e.view = v
	e.setConnectionLimits(now)
}

// updateService sets the candidates of one service. Draining targets are not candidates, but their calls in flight continue.
func (e *Engine) updateService(s *service, list []published.Target, clients map[string]*targetClient, hadNoTargets bool, now time.Time) {
	candidates := make([]balance.Target, 0, len(list))
	s.totalSlots = 0
	current := make([]*targetClient, 0, len(list))
	for _, info := range list {
		t := e.targets[info.ID]
		restarted := t != nil && t.incarnation != incarnationOf(info)
		if t == nil || restarted {
			t = e.newClient(s, info, now)
		}
		t.info = info
		clients[info.ID] = t
		current = append(current, t)
		if info.Draining {
			continue
		}
		s.totalSlots += info.Slots
		candidates = append(candidates, balance.Target{
			ID: info.ID, Domain: info.Domain, Slots: info.Slots, RTT: e.rtts.rtt(info.Domain),
			Warm: hadNoTargets && info.WarmupLeft == 0, WarmupLeft: info.WarmupLeft,
		})
	}
	s.setClients(current)
	s.picker.Update(candidates, now)
	for _, info := range list {
		s.picker.NoteIncarnation(info.ID, strconv.FormatInt(info.StartedAtMS, 10), now)
	}
}

// setClients replaces the clients of the service. The caller must hold mu of the engine.
func (s *service) setClients(clients []*targetClient) {
	s.clients = clients
	restricted := int32(0)
	for _, t := range clients {
		if t.report.restricted.Load() {
			restricted++
		}
	}
	s.restrictedTargets.Store(restricted)
}

func (e *Engine) newClient(s *service, info published.Target, now time.Time) *targetClient {
	domain := info.Domain
	return &targetClient{
		id: info.ID, incarnation: incarnationOf(info), info: info, service: s, report: e.formerReports.take(info, now),
		pool: httpcall.NewPool(httpcall.Config{
			Address: info.Address, MaxConnections: 1, Dial: e.deps.Dial, Panics: e.deps.Panics,
			OnDial: func(d time.Duration) { e.rtts.observe(domain, d) },
		}),
	}
}

// minSharingNodes is the smallest number of nodes among which the connections of a target are divided. It makes a node that
// knows no others, because it has just started or is cut off from them, leave connections for them.
const minSharingNodes = 4

// setConnectionLimits divides the connections that each target accepts, and the requests that it takes, among the nodes. The caller must hold mu.
func (e *Engine) setConnectionLimits(now time.Time) {
	nodes := max(minSharingNodes, e.deps.Nodes())
	for _, t := range e.targets {
		limit := t.info.Slots
		if e.view.Table != nil {
			if s := e.view.Table.Service(t.service.name); s != nil {
				limit = s.MaxConnections
			}
		}
		t.pool.SetMaxConnections(max(1, limit/nodes))
		t.setSharingNodes(nodes, now)
	}
}

// maintain trims connections and applies the current number of nodes and the measured round-trip times.
func (e *Engine) maintain(now time.Time) {
	e.budgets.raiseMaxNodes(e.deps.Nodes())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setConnectionLimits(now)
	for id, t := range e.targets {
		t.pool.CloseExpired(now)
		t.service.picker.SetRTT(id, e.rtts.rtt(t.info.Domain))
	}
}

// listedClient returns the client of a target, or nil if the target is not registered.
func (e *Engine) listedClient(id string) *targetClient {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.targets[id]
}

// client returns the client of a target, or nil if the target is draining, leaves or is not registered.
func (e *Engine) client(id string) *targetClient {
	e.mu.RLock()
	defer e.mu.RUnlock()
	t := e.targets[id]
	if t == nil || t.info.Draining {
		return nil
	}
	if _, ok := t.wantsRequests(time.Now()); !ok {
		return nil
	}
	return t
}

// acceptsRequests reports whether the client is still the current one of its target, and the target is not draining.
func (e *Engine) acceptsRequests(t *targetClient) bool { return e.client(t.id) == t }

func (e *Engine) service(name string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name]
}

// newRand returns a random source for one choice of a target.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), 0)) }

// targetRTT returns the estimated round-trip time to a target, or 0 if the target is not registered.
func (e *Engine) targetRTT(id string) time.Duration {
	e.mu.RLock()
	t := e.targets[id]
	e.mu.RUnlock()
	if t == nil {
		return 0
	}
	return e.rtts.rtt(t.info.Domain)
}

// ServiceEvidence is what a node tells others of the targets of one service.
type ServiceEvidence struct {
	Service string             `json:"service"`
	Targets []balance.Evidence `json:"targets"`           // observations of their health
	Leaving []LeavingTarget    `json:"leaving,omitempty"` // those that have lately told the node that they leave
}

// TakeEvidence returns the observations of failing or slow targets that were not returned before, and the targets that have
// lately said that they leave.
func (e *Engine) TakeEvidence(now time.Time) []ServiceEvidence {
	leaving := e.departures.recent(now)
	e.mu.RLock()
	defer e.mu.RUnlock()
	var all []ServiceEvidence
	for name, s := range e.services {
		if observed := s.picker.TakeEvidence(now); len(observed)+len(leaving[name]) > 0 {
			all = append(all, ServiceEvidence{Service: name, Targets: observed, Leaving: leaving[name]})
		}
	}
	return all
}

// MergeEvidence adds what a peer has observed of targets, and what they have told it, to what this node knows.
func (e *Engine) MergeEvidence(all []ServiceEvidence, now time.Time) {
	for _, observed := range all {
		s := e.service(observed.Service)
		if s == nil {
			continue
		}
		for _, t := range observed.Targets {
			s.picker.MergeEvidence(t, now)
		}
		e.mergeDepartures(observed.Service, observed.Leaving, now)
	}
}
