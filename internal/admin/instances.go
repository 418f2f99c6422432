package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Instances lists the nodes as the answering node sees them, and the team's targets that are leaving.
type Instances struct {
	Nodes   []Node        `json:"nodes"`
	Leaving []LeavingMark `json:"leaving"`
}

// Node is a medlarshunt node. Nodes belong to no team.
type Node struct {
	ID          string               `json:"id"`
	Incarnation string               `json:"incarnation"`
	Domain      string               `json:"domain"`
	Region      string               `json:"region"`
	Ordinal     int                  `json:"ordinal"`
	Roles       []membership.Role    `json:"roles"`
	Address     string               `json:"address"`
	Status      membership.Status    `json:"status"`
	State       statechart.NodeState `json:"life"`
	Held        membership.Versions  `json:"held"`
}

// LeavingMark says that an incarnation of a target receives no new work.
type LeavingMark struct {
	Target      string                   `json:"target"`
	Group       string                   `json:"group"`
	Service     string                   `json:"service"`
	Incarnation string                   `json:"incarnation"`
	Source      membership.LeavingSource `json:"source"`
	ExpiresMS   int64                    `json:"expires_ms"`
}

func (s *Server) handleInstances(c *gin.Context) {
	out := Instances{Nodes: []Node{}, Leaving: []LeavingMark{}}
	for _, domain := range s.deps.Members.Domains() {
		for _, m := range s.deps.Members.Members(domain) {
			out.Nodes = append(out.Nodes, Node{ID: m.ID, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
				Ordinal: m.Ordinal, Roles: m.Roles, Address: m.Address, Status: m.Status, State: m.State, Held: m.Held})
		}
	}
	own := scopeOf(c).targets()
	for _, m := range s.deps.Members.Marks() {
		if service, ok := own[m.Target]; ok {
			out.Leaving = append(out.Leaving, LeavingMark{Target: m.Target, Group: service.group, Service: service.service,
				Incarnation: m.Incarnation, Source: m.Source, ExpiresMS: m.ExpiresMS})
		}
	}
	c.JSON(http.StatusOK, out)
}
