package target

import (
	"encoding/json"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Paths of the target protocol.
const (
	PathSearch  = "/search"
	PathCommand = "/command"
	PathHealth  = "/health"
)

// Echo identifies the call that a request or a response belongs to. Every response, a refusal included, repeats it.
type Echo struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Service   string `json:"service"`
}

// SearchRequest is the body of POST /search. Empty Ranges ask for all ranges that the target holds.
type SearchRequest struct {
	Echo
	IndexVersion uint64          `json:"index_version"`
	MapVersion   uint64          `json:"map_version"`
	TimeoutMS    int64           `json:"timeout_ms"`
	Ranges       []api.KeyRange  `json:"ranges,omitempty"`
	Limit        int             `json:"limit"`
	Body         json.RawMessage `json:"body,omitempty"`
}

// SearchResponse is the body of a 200 response to POST /search.
type SearchResponse struct {
	Echo
	IndexVersion uint64         `json:"index_version"`
	MapVersion   uint64         `json:"map_version"`
	Ranges       []api.KeyRange `json:"ranges"`
	Hits         []api.Hit      `json:"hits"`
	Truncated    bool           `json:"truncated"`
	Load         Load           `json:"load"`
}

// CommandRequest is the body of POST /command.
type CommandRequest struct {
	Echo
	Key       uint64          `json:"key"`
	TimeoutMS int64           `json:"timeout_ms"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// CommandResponse is the body of a 200 response to POST /command.
type CommandResponse struct {
	Echo
	Response json.RawMessage `json:"response,omitempty"`
	Load     Load            `json:"load"`
}

// RefusalCode is the reason why a target refused a request without running it.
type RefusalCode string

// Refusal codes. A 503 response with one of them and a matching Echo proves that the request did not run.
const (
	RefusalShed        RefusalCode = "shed"
	RefusalDraining    RefusalCode = "draining"
	RefusalVersionGone RefusalCode = "version_gone"
	RefusalNotRun      RefusalCode = "not_run"
)

// Refusal is the body of a 503 response, and of a 500 response with a code that the target chooses.
type Refusal struct {
	Echo
	Code    RefusalCode `json:"code"`
	Message string      `json:"message,omitempty"`
	Load    *Load       `json:"load,omitempty"`
}
