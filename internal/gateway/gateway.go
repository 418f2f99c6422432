// Package gateway wires one process on the users' platform: the published state, the query engine, membership, the
// callers' connections and readiness.
package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/query"
)

// Config is what one process needs to know at its start.
type Config struct {
	Node    string
	Domain  string            // failure domain
	Regions map[string]string // region by failure domain
	Seeds   []string          // peer addresses of some other nodes
	Grace   time.Duration     // from the signal to stop until the process is killed
	Apply   time.Duration     // by then a new configuration must be in force; 0 takes the default
	Budget  query.BudgetRule
	Memory  int64 // bytes that the process may use; 0 for no limit
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
}

// Env are the connections of a process to its surroundings.
type Env struct {
	Callers net.Listener
	Ready   net.Listener
	Peers   net.Listener // nil for a process without peers
	Metrics net.Listener // nil for none
	Source  published.Source
	Codec   query.Codec
	Log     *logrus.Entry
	Set     *metrics.Set
	// Handler makes the handler of callers' requests, Refuse answers those that come too late to a stopping process, and
	// ReadyHandler answers the balancer.
	Handler      func(*query.Engine) http.Handler
	Refuse       http.Handler
	ReadyHandler func(ready func() bool) http.Handler
	DialPeer     peer.DialFunc // nil dials TCP
}

// Gateway is one running process.
type Gateway struct {
	app  *fx.App
	core *core
}

// New wires a process. Start runs it.
func New(cfg Config, env Env) (*Gateway, error) {
	g := &Gateway{}
	g.app = fx.New(
		fx.NopLogger,
		fx.Supply(cfg, env),
		fx.Provide(newCore, newServers),
		fx.Invoke(func(lc fx.Lifecycle, c *core, s *servers) {
			g.core = c
			lc.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
			lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
		}),
		fx.StopTimeout(cfg.Grace),
	)
	return g, eris.Wrap(g.app.Err(), "wire process")
}

// Start starts the process. It returns once it listens; readiness follows when a configuration is known.
func (g *Gateway) Start(ctx context.Context) error {
	return eris.Wrap(g.app.Start(ctx), "start process")
}

// Stop takes the process out of service: the balancer is told, requests under way are answered, and connections end.
func (g *Gateway) Stop(ctx context.Context) error { return eris.Wrap(g.app.Stop(ctx), "stop process") }

// Ready reports whether the process takes requests.
func (g *Gateway) Ready() bool { return g.core.ready() }
