package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
)

// Rejection is a published version that the node rejected.
type Rejection struct {
	Kind    string          `json:"kind"`
	Version *config.Version `json:"version,omitempty"`
	AtMS    int64           `json:"at_ms"`
	Reason  string          `json:"reason"`
	Faults  []Fault         `json:"faults,omitempty"`
	// OtherFaults is the number of faults that the team may not see because they are in elements of other teams or
	// cannot be assigned to a team.
	OtherFaults int `json:"other_faults,omitempty"`
}

// Fault is one invalid field of a rejected version.
type Fault struct {
	Path    string           `json:"path"`
	Code    config.FaultCode `json:"code"`
	Message string           `json:"message"`
	Want    string           `json:"want"`
}

// Config is the team's part of the document in force.
type Config struct {
	Version          config.Version          `json:"version"`
	CatalogueVersion config.Version          `json:"catalogue_version"`
	Domains          []config.FailureDomain  `json:"domains"`
	Groups           []config.Group          `json:"groups"`
	Callers          []Caller                `json:"callers"`
	Catalogue        []config.GroupCatalogue `json:"catalogue"`
	Rejected         []Rejection             `json:"rejected"`
}

// Caller is a caller or administrator of the team, without the hash of its key.
type Caller struct {
	Name          string      `json:"name"`
	Role          config.Role `json:"role"`
	Groups        []string    `json:"groups"`
	Weight        int         `json:"weight"`
	MaxConcurrent int         `json:"max_concurrent"`
}

func (s *Server) handleConfig(c *gin.Context) {
	sc := scopeOf(c)
	out := Config{
		Version: sc.view.Version(), Domains: sc.domains(), Groups: []config.Group{}, Callers: []Caller{},
		Catalogue: []config.GroupCatalogue{}, Rejected: s.rejections(sc),
	}
	for _, g := range sc.groups() {
		out.Groups = append(out.Groups, *g)
	}
	for _, caller := range sc.view.Document().Callers {
		if caller.Team == sc.caller.Team {
			out.Callers = append(out.Callers, Caller{caller.Name, caller.Role, append([]string{}, caller.Groups...), caller.Weight, caller.MaxConcurrent})
		}
	}
	if cat := s.deps.Config.Current().Catalogue; cat != nil {
		out.CatalogueVersion = cat.Version
		out.Catalogue = sc.catalogue(cat)
	}
	c.JSON(http.StatusOK, out)
}

// domains returns the failure domains in which the team has targets.
func (s *scope) domains() []config.FailureDomain {
	used := map[string]bool{}
	for _, g := range s.groups() {
		for _, service := range g.Services {
			for _, t := range service.Targets {
				used[t.Domain] = true
			}
		}
	}
	domains := []config.FailureDomain{}
	for _, d := range s.view.Document().Domains {
		if used[d.Name] {
			domains = append(domains, d)
		}
	}
	return domains
}

// catalogue returns the team's part of a catalogue.
func (s *scope) catalogue(c *config.Catalogue) []config.GroupCatalogue {
	own := []config.GroupCatalogue{}
	for _, g := range c.Groups {
		if _, refusal := s.group(g.Group); refusal == nil {
			own = append(own, g)
		}
	}
	return own
}

func (s *Server) rejections(sc *scope) []Rejection {
	out := []Rejection{}
	for _, r := range s.deps.Config.View().Rejected {
		out = append(out, describeRejection(sc, r))
	}
	return out
}

func describeRejection(sc *scope, r configsync.Rejection) Rejection {
	out := Rejection{Kind: r.Kind, AtMS: r.At.UnixMilli()}
	if !r.Version.IsZero() {
		out.Version = &r.Version
	}
	out.Reason, out.Faults, out.OtherFaults = sc.describeFaults(r)
	return out
}
