// Package gateway assembles one process on the users' platform from the published state, the query engine, membership, the
// server for callers' connections and the readiness endpoint.
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

	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/query"
)

// Config holds the settings of one process.
type Config struct {
	Node             string
	Domain           string            // failure domain
	Regions          map[string]string // region by failure domain
	Seeds            []string          // peer addresses of some other nodes
	GracePeriod      time.Duration     // time from the stop signal until the process is killed
	ApplyTimeout     time.Duration     // time within which a new configuration must be in force; 0 takes the default
	Budget           query.RetryBudget
	MemoryLimitBytes int64 // memory limit of the process in bytes; 0 for no limit
	MaxFDs           int   // descriptors that the process may open; 0 for no limit
	// AdvertisedPeerAddress is where other nodes reach this one; empty means the address of the peer listener.
	AdvertisedPeerAddress string
	// Bootstrap is set when the whole system starts for the first time.
	Bootstrap bool
}

// Deps holds the listeners, handlers and dependencies that connect a process to its environment.
type Deps struct {
	CallerListener  net.Listener
	ReadyListener   net.Listener
	PeerListener    net.Listener // nil for a process without peers
	MetricsListener net.Listener // nil for none
	Source          published.Source
	Codec           query.Codec
	Log             *logrus.Entry
	MetricsSet      *metrics.Set
	// Handler returns the handler of callers' requests, StoppingHandler answers those that reach a stopping process too late,
	// CrowdedHandler those for which there is no memory, and ReadyHandler answers the load balancer's readiness checks.
	Handler         func(*query.Engine) http.Handler
	StoppingHandler http.Handler
	CrowdedHandler  http.Handler
	ReadyHandler    func(ready func() bool) http.Handler
	DialPeer        peer.DialFunc     // nil dials TCP
	DialTarget      httpcall.DialFunc // nil dials TCP
	Panics          *panics.Handler   // nil contains no panics
}

// Gateway runs the components of one process.
type Gateway struct {
	app  *fx.App
	core *core
}

// New assembles a process without starting it.
func New(cfg Config, deps Deps) (*Gateway, error) {
	g := &Gateway{}
	g.app = fx.New(
		fx.NopLogger,
		fx.Supply(cfg, deps),
		fx.Provide(newCore, newServers),
		fx.Invoke(func(lc fx.Lifecycle, c *core, s *servers) {
			g.core = c
			lc.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
			lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
		}),
		fx.StopTimeout(cfg.GracePeriod),
	)
	return g, eris.Wrap(g.app.Err(), "assemble process")
}

// Start starts the process and returns once it listens. The process becomes ready when a configuration is known.
func (g *Gateway) Start(ctx context.Context) error {
	return eris.Wrap(g.app.Start(ctx), "start process")
}

// Stop shuts the process down gracefully: it reports not ready to the load balancer, answers the requests under way and
// closes the connections.
func (g *Gateway) Stop(ctx context.Context) error { return eris.Wrap(g.app.Stop(ctx), "stop process") }

// Ready reports whether the process accepts requests.
func (g *Gateway) Ready() bool { return g.core.ready() }
