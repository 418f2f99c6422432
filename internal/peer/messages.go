// Package peer carries messages between nodes: JSON-RPC 2.0 over one multiplexed TCP connection per pair of nodes.
package peer

import (
	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// Method names of the protocol between nodes.
const (
	MethodSearch      = "relay.search"
	MethodAttempt     = "relay.attempt"
	MethodCommand     = "relay.command"
	MethodTicketRun   = "ticket.run"
	MethodExchange    = "member.exchange"
	MethodFetchConfig = "config.fetch"
	MethodFetchState  = "published.fetch"
	MethodWatchState  = "published.watch"
	MethodEvidence    = "targets.evidence"

	methodPing   = "peer.ping"
	methodCancel = "peer.cancel"
)

// Meta is part of each request. TimeoutMS is the time that remained when the request was sent.
type Meta struct {
	Traceparent string `json:"traceparent,omitempty"`
	TimeoutMS   int64  `json:"timeout_ms"`
}

// Assignment is the part of a search that one service answers: the key ranges that the pinned partition map assigns to it.
type Assignment struct {
	Service string         `json:"service"`
	Ranges  []api.KeyRange `json:"ranges"`
}

// LegRequest asks a home relay to run the assigned parts of a search.
type LegRequest struct {
	Meta
	Search      api.Search   `json:"search"`
	Snapshot    api.Snapshot `json:"snapshot"`
	Assignments []Assignment `json:"assignments"`
}

// LegResult is a home relay's answer to a LegRequest. Hits are merged over the parts; the parts carry none.
// Refusal is set when the whole leg was refused before any call.
type LegResult struct {
	Refusal   *api.Error `json:"refusal,omitempty"`
	Parts     []api.Part `json:"parts,omitempty"`
	Hits      []api.Hit  `json:"hits,omitempty"`
	Truncated bool       `json:"truncated,omitempty"`
}

// AttemptRequest asks a relay of another failure domain for exactly one attempt.
type AttemptRequest struct {
	Meta
	Search    api.Search     `json:"search"`
	Snapshot  api.Snapshot   `json:"snapshot"`
	AttemptID string         `json:"attempt_id"`
	Service   string         `json:"service"`
	Target    string         `json:"target"`
	Ranges    []api.KeyRange `json:"ranges"`
	Isolated  bool           `json:"isolated,omitempty"`
	// LastResort is set when no other target is left to try: the attempt may wait for a slot instead of being shed.
	LastResort bool `json:"last_resort,omitempty"`
}

// Failure is the reason of a failed attempt: a target.FailureKind or one of the kinds below.
type Failure string

// Failures of an attempt that did not reach the target.
const (
	FailureReserved    Failure = "reserved"    // the target is reserved for a request that runs alone
	FailureSuspect     Failure = "suspect"     // the request must run alone
	FailureQuarantined Failure = "quarantined" // the request is refused because it crashes targets
	FailureRelayBusy   Failure = "relay_busy"  // the relay has calls of its own waiting for the target
	FailureNoTime      Failure = "no_time"     // the call could not complete in time and was not sent
	FailureRelayLost   Failure = "relay_lost"  // the relay in the other failure domain did not answer
	FailureNotServed   Failure = "not_served"  // the relay does not serve the target
	FailurePanic       Failure = "panic"       // the relay failed while it worked on the attempt, which may have run
)

// AttemptResult is the result of one attempt. Failure is empty when the target answered.
type AttemptResult struct {
	Failure   Failure        `json:"failure,omitempty"`
	Outcome   api.Outcome    `json:"outcome"`
	Message   string         `json:"message,omitempty"`
	Snapshot  api.Snapshot   `json:"snapshot"`
	Ranges    []api.KeyRange `json:"ranges,omitempty"`
	Hits      []api.Hit      `json:"hits,omitempty"`
	Truncated bool           `json:"truncated,omitempty"`
	Load      *target.Load   `json:"load,omitempty"`
	// Died is set when the relay found that the target died while this attempt was in flight.
	Died bool `json:"died,omitempty"`
	// ElapsedUS is the time that the relay took; the caller derives the latency of the network hop from it.
	ElapsedUS int64 `json:"elapsed_us"`
}

// CommandRequest asks a relay to write a command to one target at most once.
type CommandRequest struct {
	Meta
	Command api.Command `json:"command"`
	Service string      `json:"service"`
	// DeadlineUnixMS is the wall clock time, in Unix milliseconds, after which the command must not be written. It guards
	// against a relay that was paused between receipt and write.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	// NoForward is set when the command comes from a relay of another failure domain: it must not be forwarded again.
	NoForward bool `json:"only_local,omitempty"`
}

// TicketRunRequest forwards a command to the incarnation that issued its ticket.
type TicketRunRequest struct {
	Meta
	Ticket  string      `json:"ticket"`
	Command api.Command `json:"command"`
}

// TicketRunResult is the recorded outcome, or the refusal of the ticket.
type TicketRunResult struct {
	Refusal *api.Error         `json:"refusal,omitempty"`
	Result  *api.CommandResult `json:"result,omitempty"`
}
