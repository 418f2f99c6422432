package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Status is the state of the answering node.
type Status struct {
	Node        string                 `json:"node"`
	Incarnation string                 `json:"incarnation"`
	Domain      string                 `json:"domain"`
	Region      string                 `json:"region"`
	Ordinal     int                    `json:"ordinal"`
	Roles       []membership.Role      `json:"roles"`
	State       statechart.NodeState   `json:"life"`
	Ready       bool                   `json:"ready"`
	Reason      string                 `json:"reason,omitempty"`
	Config      VersionState           `json:"config"`
	Catalogue   VersionState           `json:"catalogue"`
	ConfigState statechart.ConfigState `json:"config_state"`
}

// VersionState holds the version in force and the highest known one.
type VersionState struct {
	InForce config.Version `json:"in_force"`
	Known   config.Version `json:"known"`
}

// reasonVersionBehind is reported while a node serves with an older version because no source provides the newer one.
const reasonVersionBehind = "ready with an older version: a newer one is known that nobody provides"

func (s *Server) handleStatus(c *gin.Context) {
	self := s.deps.Members.Self()
	v := s.deps.Config.View()
	known := v.Known.Max(s.deps.Members.Known())
	c.JSON(http.StatusOK, Status{
		Node: self.ID, Incarnation: self.Incarnation, Domain: self.Domain, Region: self.Region, Ordinal: self.Ordinal,
		Roles: self.Roles, State: s.deps.Lifecycle.State(), Ready: s.deps.Lifecycle.Ready(), Reason: s.readinessReason(),
		Config:      VersionState{InForce: v.Held.Config, Known: known.Config},
		Catalogue:   VersionState{InForce: v.Held.Catalogue, Known: known.Catalogue},
		ConfigState: v.State,
	})
}

// readinessReason says why the node takes no work, or that it takes work with an older version.
func (s *Server) readinessReason() string {
	r := s.deps.Config.View().Readiness
	switch state := s.deps.Lifecycle.State(); {
	case r.Warning:
		return reasonVersionBehind
	case r.Reason != "":
		return r.Reason
	case state != statechart.NodeReady:
		return "the node is " + string(state)
	case !s.deps.Lifecycle.Ready():
		return "the process was paused and refreshes what it knows"
	}
	return ""
}
