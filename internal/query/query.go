// Package query runs requests on targets: it finds the route, chooses targets, hedges and retries within the retry budgets,
// and merges the parts of requests that go to many shards. It is independent of the wire format, which a Codec implements.
package query

import (
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/httpcall"
	"github.com/medlarshunt/medlarshunt/internal/notice"
)

// Request is a request as a caller sent it. A caller that retries sends another Request.
type Request struct {
	ID     string
	Method string
	Host   string
	Path   string
	URI    string // path and query as the caller sent them
	Header http.Header
	Body   []byte
	// HeaderBytes is the size of the request line and the header lines.
	HeaderBytes int
	// TimeLeft is how long the caller still waits, counted from Arrived; 0 if the caller did not state it.
	TimeLeft time.Duration
	Arrived  time.Time
}

// Status classifies an answer.
type Status int

// Statuses of answers.
const (
	Served         Status = iota // a target's answer, or one merged from many shards
	NoRoute                      // the configuration in force has no route for the request
	BadRequest                   // the request itself cannot be served
	TooLarge                     // the body exceeds the configured limit
	Refused                      // has not run and will not run
	TimedOut                     // no answer in time; may have run
	Failed                       // no target answered; may have run
	CallerGone                   // the caller disconnected before the answer; may have run
	HeaderTooLarge               // the header exceeds the configured limit
)

// Answer is the final answer to a request.
type Answer struct {
	Status Status
	// Reason says in a few words why the request was not served. It is sent to the caller and logged.
	Reason string
	// RetryAfter is how long the caller of a refused request should wait before it retries.
	RetryAfter time.Duration
	// Reply is the target's answer to a served request on a single service. Its status may be a failure.
	Reply *Reply
	// Gathered is the merged answer to a served request on many shards.
	Gathered *Gathered

	release func() // gives back the memory of Reply; nil if there is none
}

// Release gives back the memory that the answer holds. It must be called once the answer has been sent.
func (a *Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// Gathered is an answer merged from the parts of many shards.
type Gathered struct {
	Signatures []string // of the parts that the answer contains
	Missing    int      // number of shards whose part is not in the answer
	Body       []byte   // the greatest records in descending order
}

// Reply is a target's complete answer to one call.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string // empty when the target did not sign it
	// NotRun is set when the target itself states that it did not run the request.
	NotRun bool
	// WrongTarget is set when the address now belongs to another target.
	WrongTarget bool
	// Notice is what the target says of itself.
	Notice notice.Notice
	// ConnectionClosing is set when the target announced that it will close the connection.
	ConnectionClosing bool
}

// success reports whether the reply is a signed success.
func (r *Reply) success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.NotRun
}

// Codec encodes requests to targets and decodes their responses.
type Codec interface {
	// EncodeHead returns the request line and the headers. They tell the target to stop after left.
	EncodeHead(r *Request, target string, left time.Duration) []byte
	// MatchResponse tells whose response one with these headers is.
	MatchResponse(r *Request, h http.Header) httpcall.Match
	// DecodeReply decodes a complete response.
	DecodeReply(status int, h http.Header, body []byte) Reply
}

// recordBytes is the size of one record in the body of a part.
const recordBytes = 16

// outcome says whether the request has run, as far as this is known.
func (s Status) outcome() api.Outcome {
	switch s {
	case Served:
		return api.OutcomeRan
	case TimedOut, Failed, CallerGone:
		return api.OutcomeUnknown
	default:
		return api.OutcomeNotRun
	}
}

// String returns the name used in logs and metrics.
func (s Status) String() string {
	names := [...]string{"served", "no_route", "bad_request", "too_large", "refused", "timed_out", "failed", "caller_gone", "header_too_large"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}
