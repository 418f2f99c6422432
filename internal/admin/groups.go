package admin

import (
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/relay"
)

// GroupSummary is an entry in the list of groups.
type GroupSummary struct {
	Name     string        `json:"name"`
	Policy   config.Policy `json:"policy"`
	Commands bool          `json:"commands"`
	Services int           `json:"services"`
	Targets  int           `json:"targets"`
	Owners   []Owners      `json:"owners"`
}

// Owners names the relays that own a group in one failure domain, as the answering node sees it. An ID is empty when no
// such relay is live.
type Owners struct {
	Domain string `json:"domain"`
	Home   string `json:"home"`
	Spare  string `json:"spare"`
}

// Groups is the list of the team's groups.
type Groups struct {
	Groups []GroupSummary `json:"groups"`
}

// Group is a group as the answering node sees it. A node that does not own the group has no connections to its targets
// and no observations of them; ask the home relay of a failure domain instead.
type Group struct {
	GroupSummary
	Node string `json:"node"`
	// Observed is false on a node without the relay role, which knows only the configuration of the targets.
	Observed      bool       `json:"observed"`
	Admission     *Admission `json:"admission,omitempty"`
	HedgeTokens   int        `json:"hedge_tokens"`
	ConnectionCap int        `json:"connection_cap"`
	Details       []Service  `json:"details"`
}

// Admission is the state of admission control for whole searches on the answering node.
type Admission struct {
	Limit         int     `json:"limit"`
	MaxLimit      int     `json:"max_limit"`
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	Overloaded    bool    `json:"overloaded"`
	ServiceTimeMS float64 `json:"service_time_ms"`
}

// Service is one shard with its targets in order of preference.
type Service struct {
	Name         string   `json:"name"`
	HedgeDelayMS float64  `json:"hedge_delay_ms"`
	PanicMode    bool     `json:"all_in"`
	Targets      []Target `json:"targets"`
}

// Target is a target as the answering node sees it. The numbers of slots, queued requests and connections are those of
// this node. They are 0 for targets in other failure domains, which the relays there call.
type Target struct {
	ID           string            `json:"id"`
	Domain       string            `json:"domain"`
	Local        bool              `json:"local"`
	Via          string            `json:"via"` // relay that calls the target; if empty, none is live and it cannot be called
	Incarnation  string            `json:"incarnation"`
	InFlight     int               `json:"in_flight"`
	SlotsInUse   int               `json:"in_slots"`
	Queued       int               `json:"queued"`
	Connections  int               `json:"connections"`
	LatencyMS    float64           `json:"latency_ms"`
	RTTMS        float64           `json:"hop_ms"`
	ExpectedMS   float64           `json:"expected_ms"`
	FailRate     float64           `json:"fail_rate"`
	Ejected      bool              `json:"ejected"`
	Probation    bool              `json:"probation"`
	EjectedForMS float64           `json:"ejected_for_ms"`
	Leaving      bool              `json:"leaving"`
	Cold         bool              `json:"cold"`
	Shedding     bool              `json:"shedding"`
	Reserved     bool              `json:"reserved"`
	Excluded     balance.Exclusion `json:"excluded,omitempty"`
}

func (s *Server) handleGroups(c *gin.Context) {
	out := Groups{Groups: []GroupSummary{}}
	for _, g := range scopeOf(c).groups() {
		out.Groups = append(out.Groups, s.summary(g))
	}
	c.JSON(http.StatusOK, out)
}

func (s *Server) summary(g *config.Group) GroupSummary {
	sum := GroupSummary{Name: g.Name, Policy: g.Policy, Commands: g.Commands, Services: len(g.Services), Owners: []Owners{}}
	var domains []string
	for _, service := range g.Services {
		sum.Targets += len(service.Targets)
		for _, t := range service.Targets {
			domains = append(domains, t.Domain)
		}
	}
	slices.Sort(domains)
	for _, domain := range slices.Compact(domains) {
		o := Owners{Domain: domain}
		if relays := s.deps.Directory.Owners(domain, g.Name); len(relays) > 0 {
			o.Home = relays[0].NodeID
			if len(relays) > 1 {
				o.Spare = relays[1].NodeID
			}
		}
		sum.Owners = append(sum.Owners, o)
	}
	return sum
}

func (s *Server) handleGroup(c *gin.Context) {
	g, refusal := scopeOf(c).group(c.Param("group"))
	if refusal != nil {
		s.writeError(c, refusal)
		return
	}
	out := Group{GroupSummary: s.summary(g), Node: s.deps.Members.Self().ID, Details: []Service{}}
	view, ok := s.relayView(g.Name, nil, time.Now())
	if !ok {
		out.Details = configuredServices(g)
		s.fillVia(g.Name, out.Details)
		c.JSON(http.StatusOK, out)
		return
	}
	a := view.Admission
	out.Observed, out.HedgeTokens, out.ConnectionCap = true, view.HedgeTokens, view.ConnectionCap
	out.Admission = &Admission{Limit: a.Limit, MaxLimit: a.MaxLimit, Running: a.Running, Queued: a.Queued,
		Overloaded: a.Overloaded, ServiceTimeMS: millis(a.ServiceTime)}
	for _, v := range view.Services {
		out.Details = append(out.Details, describeService(v))
	}
	s.fillVia(g.Name, out.Details)
	c.JSON(http.StatusOK, out)
}

// fillVia sets the relay that calls each target: this node for targets in its own failure domain, otherwise the home
// relay of the target's failure domain.
func (s *Server) fillVia(group string, services []Service) {
	via := map[string]string{}
	for i := range services {
		for j := range services[i].Targets {
			t := &services[i].Targets[j]
			if t.Local {
				t.Via = s.deps.Members.Self().ID
				continue
			}
			if _, known := via[t.Domain]; !known {
				via[t.Domain] = ""
				if owners := s.deps.Directory.Owners(t.Domain, group); len(owners) > 0 {
					via[t.Domain] = owners[0].NodeID
				}
			}
			t.Via = via[t.Domain]
		}
	}
}

// relayView returns the view that this node's relay has of the group. It reports false on a node without the relay role.
func (s *Server) relayView(group string, holds func(service, target string) bool, now time.Time) (relay.GroupView, bool) {
	if s.deps.Relay == nil {
		return relay.GroupView{}, false
	}
	return s.deps.Relay.View(group, holds, now)
}

// configuredServices returns the services of the group with what the configuration says about their targets.
func configuredServices(g *config.Group) []Service {
	services := []Service{}
	for _, cs := range g.Services {
		service := Service{Name: cs.Name, Targets: []Target{}}
		for _, t := range cs.Targets {
			service.Targets = append(service.Targets, Target{ID: t.ID, Domain: t.Domain})
		}
		services = append(services, service)
	}
	return services
}

func describeService(v relay.ServiceView) Service {
	service := Service{Name: v.Name, HedgeDelayMS: millis(v.HedgeDelay), PanicMode: v.PanicMode, Targets: []Target{}}
	for _, t := range v.Targets {
		service.Targets = append(service.Targets, describeTarget(t))
	}
	return service
}

func describeTarget(t relay.TargetView) Target {
	return Target{
		ID: t.ID, Domain: t.Domain, Local: t.Local, Incarnation: t.Incarnation, InFlight: t.InFlight, SlotsInUse: t.SlotsInUse,
		Queued: t.Queued, Connections: t.Connections, LatencyMS: millis(t.Latency), RTTMS: millis(t.RTT),
		ExpectedMS: millis(t.Expected), FailRate: t.FailRate, Ejected: t.Ejected, Probation: t.Probation,
		EjectedForMS: millis(t.EjectedFor), Leaving: t.Leaving, Cold: t.Cold, Shedding: t.Shedding, Reserved: t.Reserved,
		Excluded: t.Excluded,
	}
}
