package admin

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// Quarantined lists the records of the team's requests that crashed targets.
type Quarantined struct {
	Records []QuarantineRecord `json:"records"`
}

// QuarantineRecord is the state of a request on a service, as this node knows it. It identifies the request by its
// fingerprint; explain returns the fingerprint of a request.
type QuarantineRecord struct {
	Fingerprint  string           `json:"fingerprint"`
	Group        string           `json:"group"`
	Service      string           `json:"service"`
	State        quarantine.State `json:"state"`
	RefusedForMS int64            `json:"refused_for_ms"`
	ExpiresInMS  int64            `json:"expires_in_ms"`
}

func (s *Server) handleQuarantine(c *gin.Context) {
	sc := scopeOf(c)
	out := Quarantined{Records: []QuarantineRecord{}}
	for _, r := range s.deps.Quarantine.View(time.Now()) {
		if _, refusal := sc.group(r.Group); refusal != nil {
			continue
		}
		out.Records = append(out.Records, QuarantineRecord{Fingerprint: r.Fingerprint.String(), Group: r.Group, Service: r.Service,
			State: r.State, RefusedForMS: r.RefusedFor.Milliseconds(), ExpiresInMS: r.ExpiresIn.Milliseconds()})
	}
	c.JSON(http.StatusOK, out)
}
