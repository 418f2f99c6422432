// Package admin serves the administration API of a node. It reads: no route changes the node or anything shared,
// except that an explained search may be run on request. A team sees only its own groups, targets and records.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// Life is the state of the node.
type Life interface {
	Ready() bool
	State() statechart.NodeState
}

// Members is the node's view of the other nodes.
type Members interface {
	Self() membership.Record
	Members(domain string) []membership.Member
	Domains() []string
	Marks() []membership.LeavingMark
	Known() membership.Versions
}

// ConfigView shows the state of the configuration.
type ConfigView interface {
	View() configsync.View
	Current() configsync.Current
}

// Directory finds the owners of a group. Owners returns home and spare of a failure domain, Relays the relays in the
// order in which a search tries them.
type Directory interface {
	Owners(domain, group string) []entry.Relay
	Relays(group string) []entry.Relay
}

// RelayView shows the groups of a relay.
type RelayView interface {
	View(group string, holds func(service, target string) bool, now time.Time) (relay.GroupView, bool)
}

// Quarantine shows requests that crash targets.
type Quarantine interface {
	View(now time.Time) []quarantine.RecordView
	Decide(fp quarantine.Fingerprint, now time.Time) quarantine.Verdict
	NeedCanary(group string, setting config.Canary, now time.Time) bool
}

// Searcher runs a search that was asked for by explain.
type Searcher interface {
	SearchForExplain(ctx context.Context, s api.Search, g *config.Group, budget time.Duration) (api.Answer, *api.Error)
}

// Deps are what a Server reads from. Relay is nil on a node without that role.
type Deps struct {
	Life       Life
	Topology   *topology.Holder
	Members    Members
	Config     ConfigView
	Directory  Directory
	Relay      RelayView
	Quarantine Quarantine
	Searcher   Searcher
	Metrics    *metrics.Set
	Log        *logrus.Entry
}

// Server serves the administration API. It is safe for concurrent use.
type Server struct{ deps Deps }

// New returns a server.
func New(deps Deps) *Server { return &Server{deps: deps} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.router() }

func (s *Server) router() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecovery(s.recovered))
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", s.readyz)
	router.GET("/metrics", s.metrics)
	router.GET("/v1/openapi.yaml", func(c *gin.Context) { c.Data(http.StatusOK, "application/yaml", OpenAPI) })
	v1 := router.Group("/v1", s.authenticate)
	v1.GET("/status", s.status)
	v1.GET("/groups", s.groups)
	v1.GET("/groups/:group", s.group)
	v1.GET("/instances", s.instances)
	v1.GET("/config", s.config)
	v1.GET("/quarantine", s.quarantine)
	v1.POST("/explain", s.explain)
	v1.POST("/check", s.check)
	v1.POST("/generate", s.generate)
	router.NoRoute(func(c *gin.Context) {
		s.fail(c, api.Refuse(api.CodeMalformed, "path", "there is no such route; GET /v1/openapi.yaml lists them"))
	})
	return router
}
