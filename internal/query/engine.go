package query

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/memlimit"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Config holds the settings of an Engine.
type Config struct {
	Domain  string            // failure domain of this node
	Regions map[string]string // region by failure domain
	Budget  RetryBudget
	// Bootstrap is set when the whole system starts for the first time.
	Bootstrap bool
	// ResponseMemoryBytes bounds the memory of responses of targets that have not been sent to callers; 0 sets no limit.
	ResponseMemoryBytes int64
}

// Deps holds the dependencies of an Engine.
type Deps struct {
	Codec        Codec
	CrashCounter *quarantine.CrashCounter
	Charts       *statechart.Charts
	Log          *logrus.Entry
	Metrics      *metrics.Set
	Dial         httpcall.DialFunc // nil dials TCP
	// Panics contains panics of requests and attempts; nil contains none.
	Panics *panics.Handler
	// Nodes returns the number of nodes that share the targets' connections and the retry budget; nil means 1.
	Nodes func() int
	// OnCrashRecord is called when the record of a request that crashed targets changes; it may be nil.
	OnCrashRecord func(quarantine.CrashRecord)
}

// Engine runs the requests of one node. It is safe for concurrent use.
type Engine struct {
	cfg                Config
	deps               Deps
	metrics            *engineMetrics
	budgets            *budgets
	rtts               *rttTable
	memory             *memlimit.Limit
	crashChecks        crashChecks
	departures         departures
	firstConfiguration chan struct{} // closed when the first configuration is known

	mu            panics.RWMutex // guards the fields below
	view          *published.View
	wasConfigured bool // firstConfiguration is closed
	services      map[string]*service
	targets       map[string]*targetClient
	formerReports formerReports

	routesMu sync.Mutex // guards routes
	routes   map[string]*routeState
}

// routeState is what the node has measured on the requests of a route. It is kept across configuration versions.
type routeState struct {
	latency *hedge.Estimator // of attempts, without the round-trip time to the target

	mu              sync.Mutex // guards longestTimeLeft
	longestTimeLeft time.Duration
}

// New returns an engine without targets. Update passes it the published state; Maintain must be called regularly.
func New(cfg Config, deps Deps) *Engine {
	if deps.Nodes == nil {
		deps.Nodes = func() int { return 1 }
	}
	e := &Engine{
		memory: memlimit.New(cfg.ResponseMemoryBytes), cfg: cfg, deps: deps, metrics: newEngineMetrics(deps.Metrics), budgets: newBudgets(cfg.Budget, cfg.Bootstrap), rtts: newRTTTable(cfg.Domain, cfg.Regions),
		crashChecks: crashChecks{suspectsByTarget: map[string][]crashSuspect{}}, firstConfiguration: make(chan struct{}),
		view: &published.View{}, services: map[string]*service{}, targets: map[string]*targetClient{}, formerReports: formerReports{}, routes: map[string]*routeState{},
	}
	deps.Metrics.NewGauge("medlarshunt_response_memory_bytes", func() float64 { return float64(e.memory.Used()) })
	return e
}

// Maintain updates connection limits, retry budgets and round-trip times. It must be called about once a second.
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
func (e *Engine) Configured() bool { return e.currentView().Table != nil }

// Limits returns the limits of the configuration in force, and false if none is known.
func (e *Engine) Limits() (routing.Limits, bool) {
	if t := e.currentView().Table; t != nil {
		return t.Configuration.Limits, true
	}
	return routing.Limits{}, false
}

func (e *Engine) currentView() *published.View {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.view
}

// maxRouteStates bounds the number of routes whose state is kept.
const maxRouteStates = 4096

func (e *Engine) routeStateFor(name string) *routeState {
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	s := e.routes[name]
	if s == nil {
		if len(e.routes) >= maxRouteStates {
			clear(e.routes)
		}
		s = &routeState{latency: hedge.NewEstimator()}
		e.routes[name] = s
	}
	return s
}

// timeWaited estimates how long the caller has waited since it first sent the request. Callers state the time that is left, so
// the first requests of callers state the longest time of a route and their retries a shorter one. Times beyond the route's
// own limit say nothing about the wait, and neither does a caller that states no time.
func (s *routeState) timeWaited(left, limit time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestTimeLeft = max(s.longestTimeLeft, left)
	return max(0, min(s.longestTimeLeft, limit)-left)
}
