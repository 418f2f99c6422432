// Package query runs requests on targets: it finds the route, chooses targets, hedges and retries within the budgets, and
// gathers the parts of requests over many shards. It knows no wire names; a Codec translates.
package query

import (
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Request is one attempt of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	Path   string
	URI    string // path and query as the caller sent them
	Header http.Header
	Body   []byte
	// Left is the time that the caller will wait, measured at Arrived; 0 when it did not say.
	Left    time.Duration
	Arrived time.Time
}

// Status classifies an answer.
type Status int

// Statuses of answers.
const (
	Served     Status = iota // a target's answer, or a gathered one
	NoRoute                  // the configuration in force has no route for the request
	BadRequest               // the request itself cannot be served
	TooLarge                 // the body exceeds the configured limit
	Refused                  // not run, and never will be
	TimedOut                 // no answer in time; may have run
	Failed                   // no target answered; may have run
	CallerGone               // the caller left; nobody waits for an answer
)

// Answer is the final answer to a request.
type Answer struct {
	Status Status
	// Reason says in a few words why the request was not served. It goes to the caller and the log.
	Reason string
	// RetryAfter tells the caller of a refused request when to come back.
	RetryAfter time.Duration
	// Reply is the target's answer of a served request that was not gathered. Its status may be a failure.
	Reply *Reply
	// Gathered is the answer of a served request over many shards.
	Gathered *Gathered
}

// Gathered is an answer over many shards.
type Gathered struct {
	Signatures []string // of the parts in it
	Missing    int      // shards that are not in it
	Body       []byte   // the greatest records, falling
}

// Reply is a target's complete answer to one call.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string // empty when the target did not sign it
	// NotRun is set when the target itself states that it did not run the request.
	NotRun bool
	// OtherTarget is set when another target has the address.
	OtherTarget bool
	// Leaving is set when the target announced that it closes the connection.
	Leaving bool
}

// success reports whether the reply is a signed success.
func (r *Reply) success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.NotRun
}

// Codec translates calls to the wire of targets.
type Codec interface {
	// Head is the request line and the header lines for a target that must stop after left.
	Head(r *Request, target string, left time.Duration) []byte
	// Owns reports whether a response with these headers belongs to the request.
	Owns(r *Request, h http.Header) bool
	// Reply decodes a complete response.
	Reply(status int, h http.Header, body []byte) Reply
}

// recordBytes is the size of one record of a part.
const recordBytes = 16

// outcome tells whether the request has run, as far as it is known.
func (s Status) outcome() api.Outcome {
	switch s {
	case Served:
		return api.Ran
	case TimedOut, Failed, CallerGone:
		return api.Unknown
	default:
		return api.NotRun
	}
}

// String returns the name that logs and metrics use.
func (s Status) String() string {
	names := [...]string{"served", "no_route", "bad_request", "too_large", "refused", "timed_out", "failed", "caller_gone"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}
