// Package node assembles the components of one medlarshunt process and manages its lifecycle.
package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
)

// Config holds the settings of a node that it needs before it has read the published configuration.
type Config struct {
	ID          string
	Domain      string
	Region      string
	Ordinal     int
	Roles       []membership.Role
	Seeds       []string      // peer addresses of other nodes
	Advertise   string        // peer address that other nodes use; if empty, that of the listener
	GracePeriod time.Duration // longest wait for requests in flight during shutdown; if 0 or less, defaultGrace
	Heartbeat   time.Duration // heartbeat interval; if 0 or less, the default of package membership
	RandomSeed  uint64        // if 0, a random one
	Baseline    bool          // see relay.Config
	// MemoryLimitBytes and MaxFDs are what the process may use; the bounds on clients follow from them. 0 sets no bound.
	MemoryLimitBytes int64
	MaxFDs           int
}

// Deps holds the external dependencies of a node: listeners, dialers and telemetry. Tests and the demo replace them.
type Deps struct {
	CallerListener net.Listener // caller API; nil on a node without the entry role
	PeerListener   net.Listener
	AdminListener  net.Listener // administration API and metrics; nil for none
	ConfigService  configservice.Source
	// WrapCallers wraps the listener for callers in TLS; nil leaves it in clear text.
	WrapCallers func(net.Listener) net.Listener
	DialPeer    peer.DialFunc // nil dials TCP
	DialTarget  relay.Dialer  // nil dials HTTP/2 cleartext
	Log         *logrus.Logger
	Tracing     *telemetry.Tracing
	Metrics     *metrics.Set
	Panics      *panics.Handler // nil contains no panics
}

// defaultGrace is the longest wait for requests in flight during shutdown when the settings name none.
const defaultGrace = 10 * time.Second

// Node is one running process.
type Node struct {
	cfg  Config
	deps Deps
	app  *fx.App
	core *core
}

// New assembles a node. Start runs it.
func New(cfg Config, deps Deps) (*Node, error) {
	cfg, deps = withDefaults(cfg, deps)
	n := &Node{cfg: cfg, deps: deps}
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(cfg, deps),
		fx.Provide(newIdentity, newCore, newServers),
		fx.Invoke(func(lc fx.Lifecycle, c *core, s *servers) {
			n.core = c
			lc.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
			lc.Append(fx.Hook{OnStart: s.start, OnStop: s.drain})
		}),
		fx.StopTimeout(cfg.GracePeriod+2*time.Second),
	)
	return n, eris.Wrap(n.app.Err(), "wire node")
}

func withDefaults(cfg Config, deps Deps) (Config, Deps) {
	if cfg.GracePeriod <= 0 {
		cfg.GracePeriod = defaultGrace
	}
	if len(cfg.Roles) == 0 {
		cfg.Roles = []membership.Role{membership.RoleEntry, membership.RoleRelay}
	}
	if cfg.Advertise == "" {
		cfg.Advertise = deps.PeerListener.Addr().String()
	}
	if deps.DialTarget == nil {
		deps.DialTarget = func(c target.Config) (target.Caller, error) { return target.NewClient(c) }
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewSet()
	}
	if deps.Tracing == nil {
		deps.Tracing, _ = telemetry.NewTracing(context.Background(), telemetry.TraceOff, "", cfg.ID, nil)
	}
	return cfg, deps
}

// identity distinguishes this run of the node from earlier and later ones with the same ID.
type identity struct{ incarnation uuid.UUID }

func newIdentity() (identity, error) {
	id, err := uuid.NewRandom()
	return identity{incarnation: id}, eris.Wrap(err, "make incarnation")
}

// Start starts the node. It returns once the node listens; the node becomes ready when its configuration is in force.
func (n *Node) Start(ctx context.Context) error { return eris.Wrap(n.app.Start(ctx), "start node") }

// Stop shuts the node down gracefully: it announces that it leaves, takes no new work, finishes requests in flight and
// stops.
func (n *Node) Stop(ctx context.Context) error { return eris.Wrap(n.app.Stop(ctx), "stop node") }

// Ready reports whether the node takes new work.
func (n *Node) Ready() bool { return n.core.lifecycle.Ready() }

// serveHTTP serves until the server is closed or the listener fails.
func serveHTTP(server *http.Server, l net.Listener, log *logrus.Entry) {
	if err := server.Serve(l); err != nil && err != http.ErrServerClosed {
		log.WithError(err).Error("HTTP server failed")
	}
}
