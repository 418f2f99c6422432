package admin

import (
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// scopeKey is the key of the scope in the gin context of a request.
const scopeKey = "medlarshunt.scope"

// scope is what an authenticated administrator may see: the elements of one team in one version of the configuration.
type scope struct {
	caller *config.Caller
	view   *topology.View
}

// authenticate admits callers with the administrator role and stores their scope in the context. The topology's index
// of keys compares the hashes of keys in constant time.
func (s *Server) authenticate(c *gin.Context) {
	c.Header(entry.HeaderRequestID, uuid.NewString())
	view := s.deps.Topology.View()
	if view == nil {
		s.writeError(c, api.NewRefusal(api.CodeNotReady, "", "this node has no configuration yet, so it knows no administrator; see /readyz"))
		return
	}
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found || key == "" {
		s.writeError(c, api.NewRefusal(api.CodeUnknownCaller, "Authorization", "send an administrator's key as a bearer token"))
		return
	}
	caller, ok := view.CallerByKey(key)
	switch {
	case !ok:
		s.writeError(c, api.NewRefusal(api.CodeUnknownCaller, "Authorization", "nobody has this key; use the key of a caller with role admin"))
	case caller.Role != config.RoleAdmin:
		s.writeError(c, api.NewRefusal(api.CodeForbidden, "Authorization", "this key is for the caller API; use the key of a caller with role admin"))
	default:
		c.Set(scopeKey, &scope{caller: caller, view: view})
	}
}

// scopeOf returns the scope that authenticate stored.
func scopeOf(c *gin.Context) *scope { return c.MustGet(scopeKey).(*scope) }

// groups returns the groups of the team, in published order.
func (s *scope) groups() []*config.Group {
	var groups []*config.Group
	doc := s.view.Document()
	for i := range doc.Groups {
		if doc.Groups[i].Team == s.caller.Team {
			groups = append(groups, &doc.Groups[i])
		}
	}
	return groups
}

// group returns a group of the team. The error for a group of another team is the same as for one that does not exist,
// so that it does not disclose the group.
func (s *scope) group(name string) (*config.Group, *api.Error) {
	if g, ok := s.view.Group(name); ok && g.Team == s.caller.Team {
		return g, nil
	}
	return nil, api.NewRefusal(api.CodeUnknownGroup, "group", "the team has no group of this name; GET /v1/groups lists its groups")
}

// serviceRef identifies a service.
type serviceRef struct{ group, service string }

// targets maps the IDs of the team's targets to their services.
func (s *scope) targets() map[string]serviceRef {
	targets := map[string]serviceRef{}
	for _, g := range s.groups() {
		for _, service := range g.Services {
			for _, t := range service.Targets {
				targets[t.ID] = serviceRef{g.Name, service.Name}
			}
		}
	}
	return targets
}
