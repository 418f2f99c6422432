package query

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Config holds the settings of an Engine.
type Config struct {
	Domain  string            // failure domain of this node
	Regions map[string]string // region by failure domain
	Budget  BudgetRule
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
}

// Deps are what an Engine works with.
type Deps struct {
	Codec   Codec
	Strikes *quarantine.Strikes
	Charts  *statechart.Charts
	Log     *logrus.Entry
	Metrics *metrics.Set
	Dial    httpcall.DialFunc // nil dials TCP
	// Nodes is the number of nodes that share the targets' connections and the retry budget.
	Nodes func() int
	// OnStrike is told of requests that crashed a target; nil is allowed.
	OnStrike func(quarantine.StrikeRecord)
}

// Engine runs the requests of one node. It is safe for concurrent use.
type Engine struct {
	cfg     Config
	deps    Deps
	m       *counters
	budgets *budgets
	hops    *hops
	checks  crashChecks
	first   chan struct{} // closed when the first configuration is known

	mu       sync.RWMutex // guards the fields below
	view     *published.View
	known    bool // a configuration has been known
	services map[string]*service
	targets  map[string]*targetClient

	routesMu sync.Mutex // guards routes
	routes   map[string]*routeState
}

// routeState is what the node has learned about the requests of a route, over all configuration versions.
type routeState struct {
	latency *hedge.Estimator // of attempts, without the hop to the target

	mu      sync.Mutex // guards longest
	longest time.Duration
}

// New returns an engine that knows no targets yet. Update gives it the published state, Maintain its upkeep.
func New(cfg Config, deps Deps) *Engine {
	if deps.Nodes == nil {
		deps.Nodes = func() int { return 1 }
	}
	return &Engine{
		cfg: cfg, deps: deps, m: newCounters(deps.Metrics), budgets: newBudgets(cfg.Budget, cfg.FirstStart), hops: newHops(cfg.Domain, cfg.Regions),
		checks: crashChecks{running: map[string][]crashSuspect{}}, first: make(chan struct{}),
		view: &published.View{}, services: map[string]*service{}, targets: map[string]*targetClient{}, routes: map[string]*routeState{},
	}
}

// Maintain does the regular upkeep. The owner calls it about once a second.
func (e *Engine) Maintain(now time.Time) { e.maintain(now) }

// Close closes the idle connections to targets.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.targets {
		t.pool.Close()
	}
}

// Configured reports whether a configuration is known.
func (e *Engine) Configured() bool { return e.current().Table != nil }

func (e *Engine) current() *published.View {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.view
}

// maxRoutes bounds the routes that are remembered.
const maxRoutes = 4096

func (e *Engine) route(name string) *routeState {
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	s := e.routes[name]
	if s == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		s = &routeState{latency: hedge.NewEstimator()}
		e.routes[name] = s
	}
	return s
}

// waited estimates how long the caller had waited before this attempt: callers state the time that is left, and the first
// attempts of a route state the longest. More than the route's own limit tells nothing, and neither does a caller that
// states no time.
func (s *routeState) waited(left, limit time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, left)
	return max(0, min(s.longest, limit)-left)
}
