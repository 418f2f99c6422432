package admin

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// Plan describes how the answering node would run a search and, if it was run, the outcome.
type Plan struct {
	Node           string             `json:"node"`
	Group          string             `json:"group"`
	BudgetMS       float64            `json:"budget_ms"`
	Home           string             `json:"home"`
	Relays         []PlanRelay        `json:"relays"`
	Snapshot       *api.Snapshot      `json:"snapshot,omitempty"`
	SnapshotReason string             `json:"snapshot_reason"`
	Versions       []PlanVersion      `json:"versions"`
	Decision       PlanDecision       `json:"quarantine"`
	Canary         bool               `json:"canary"`
	Observed       bool               `json:"observed"`
	Services       []PlanService      `json:"services"`
	Uncovered      []api.MissingRange `json:"uncovered"`
	Run            *PlanRun           `json:"run,omitempty"`
}

// PlanRelay is a relay that the search would try. Plan lists them in the order in which they are tried.
type PlanRelay struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Self    bool   `json:"self"`
}

// PlanVersion is a published version that was considered for the snapshot.
type PlanVersion struct {
	Snapshot       api.Snapshot                 `json:"snapshot"`
	ServicesNeeded int                          `json:"services_needed"`
	Lacking        map[string]api.MissingReason `json:"lacking"`
	Chosen         bool                         `json:"chosen"`
}

// PlanDecision is the decision of the quarantine on the request.
type PlanDecision struct {
	Fingerprint  string            `json:"fingerprint"`
	Action       quarantine.Action `json:"action"`
	Services     []string          `json:"services"`
	RetryAfterMS int64             `json:"retry_after_ms"`
}

// PlanService describes the part of one service, with its targets in order of preference. Excluded targets come last,
// each with the reason.
type PlanService struct {
	Service string         `json:"service"`
	Ranges  []api.KeyRange `json:"ranges"`
	// HedgeDelayMS is 0 while there are too few samples for an estimate.
	HedgeDelayMS float64  `json:"hedge_delay_ms"`
	Targets      []Target `json:"targets"`
}

// PlanRun is the outcome of a search that was run: an answer or a refusal.
type PlanRun struct {
	Answer  *api.Answer `json:"answer,omitempty"`
	Parts   []PlanPart  `json:"parts"`
	Refusal *api.Error  `json:"refusal,omitempty"`
}

// PlanPart is the trace of one part. Missing is empty when the part was answered.
type PlanPart struct {
	api.PartTrace
	Missing api.MissingReason `json:"missing,omitempty"`
}

// ExplainBody is the body of POST /v1/explain: a search as callers send it, with its group.
type ExplainBody struct {
	Group string `json:"group"`
	entry.SearchBody
	Run bool `json:"run,omitempty"`
}

func (s *Server) handleExplain(c *gin.Context) {
	sc := scopeOf(c)
	e, refusal := s.decodeExplain(c, sc)
	if refusal != nil {
		s.writeError(c, refusal)
		return
	}
	now := time.Now()
	p := s.buildPlan(sc, e, now)
	if e.run {
		p.Run = s.runSearch(c, e)
	}
	c.JSON(http.StatusOK, p)
}

// explainRequest is a decoded and validated request to explain a search.
type explainRequest struct {
	group  *config.Group
	search api.Search
	budget time.Duration
	run    bool
}

// maxExplainBodyBytes bounds the body. The limit of the group cannot: the group is known only after the body is decoded.
const maxExplainBodyBytes = 8 << 20

func (s *Server) decodeExplain(c *gin.Context, sc *scope) (e explainRequest, refusal *api.Error) {
	data, refusal := readBody(c, maxExplainBodyBytes)
	if refusal != nil {
		return e, refusal
	}
	var body ExplainBody
	if refusal = entry.DecodeStrict(data, &body); refusal != nil {
		return e, refusal
	}
	if e.group, refusal = sc.group(body.Group); refusal != nil {
		return e, refusal
	}
	if e.search, refusal = entry.CheckSearch(body.SearchBody, e.group); refusal != nil {
		return e, refusal
	}
	if e.budget, refusal = entry.TimeBudget(c.GetHeader(entry.HeaderTimeout), e.group); refusal != nil {
		return e, refusal
	}
	e.run = body.Run
	e.search.Group, e.search.Caller = e.group.Name, sc.caller.Name
	e.search.RequestID = c.Writer.Header().Get(entry.HeaderRequestID)
	return e, nil
}

// runSearch runs the search with the administrator as its caller and joins the traces with the reasons for missing parts.
func (s *Server) runSearch(c *gin.Context, e explainRequest) *PlanRun {
	answer, refusal := s.deps.Searcher.SearchForExplain(c.Request.Context(), e.search, e.group, e.budget)
	out := &PlanRun{Parts: []PlanPart{}, Refusal: refusal}
	if refusal != nil {
		return out
	}
	missing := map[string]api.MissingReason{}
	for _, m := range answer.Coverage.Missing {
		missing[m.Service] = m.Reason
	}
	for _, t := range answer.Parts {
		out.Parts = append(out.Parts, PlanPart{PartTrace: t, Missing: missing[t.Service]})
	}
	answer.Parts = nil
	out.Answer = &answer
	return out
}
