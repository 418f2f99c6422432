// Package admin serves the administration API of a node. The API is read-only: no route changes the node or shared
// state, except that explain runs its search if asked to. A team sees only its own groups, targets and records.
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

// Lifecycle reports the state of the node.
type Lifecycle interface {
	Ready() bool
	State() statechart.NodeState
}

// Members provides the node's view of the cluster membership.
type Members interface {
	Self() membership.Record
	Members(domain string) []membership.Member
	Domains() []string
	Marks() []membership.LeavingMark
	Known() membership.Versions
}

// ConfigView provides the configuration in force and its state.
type ConfigView interface {
	View() configsync.View
	Current() configsync.Current
}

// Directory finds the relays of a group. Owners returns the home relay and its spare in a failure domain, Relays the
// relays in the order in which a search tries them.
type Directory interface {
	Owners(domain, group string) []entry.Relay
	Relays(group string) []entry.Relay
}

// RelayView provides the state of the groups of this node's relay.
type RelayView interface {
	View(group string, holds func(service, target string) bool, now time.Time) (relay.GroupView, bool)
}

// Quarantine provides the records of requests that crash targets and the decisions on requests.
type Quarantine interface {
	View(now time.Time) []quarantine.RecordView
	Decide(fp quarantine.Fingerprint, now time.Time) quarantine.Decision
	NeedCanary(group string, setting config.Canary, now time.Time) bool
}

// Searcher runs searches for explain.
type Searcher interface {
	SearchForExplain(ctx context.Context, s api.Search, g *config.Group, budget time.Duration) (api.Answer, *api.Error)
}

// Deps holds the dependencies of a Server. Relay is nil on a node without the relay role.
type Deps struct {
	Lifecycle  Lifecycle
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

// New returns a Server that reads from deps.
func New(deps Deps) *Server { return &Server{deps: deps} }

// Handler returns the HTTP handler of the administration API.
func (s *Server) Handler() http.Handler { return s.router() }

func (s *Server) router() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.CustomRecovery(s.handlePanic))
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", s.handleReadyz)
	router.GET("/metrics", s.handleMetrics)
	router.GET("/v1/openapi.yaml", func(c *gin.Context) { c.Data(http.StatusOK, "application/yaml", OpenAPI) })
	v1 := router.Group("/v1", s.authenticate)
	v1.GET("/status", s.handleStatus)
	v1.GET("/groups", s.handleGroups)
	v1.GET("/groups/:group", s.handleGroup)
	v1.GET("/instances", s.handleInstances)
	v1.GET("/config", s.handleConfig)
	v1.GET("/quarantine", s.handleQuarantine)
	v1.POST("/explain", s.handleExplain)
	v1.POST("/check", s.handleCheck)
	v1.POST("/generate", s.handleGenerate)
	router.NoRoute(func(c *gin.Context) {
		s.writeError(c, api.NewRefusal(api.CodeMalformed, "path", "there is no such route; GET /v1/openapi.yaml lists them"))
	})
	return router
}
