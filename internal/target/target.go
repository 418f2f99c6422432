// Package target calls targets: the replicas of the services.
package target

import (
	"context"
	"encoding/json"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// SearchCall is one attempt at the part of a search that one service answers.
type SearchCall struct {
	RequestID string
	AttemptID string
	Service   string
	Snapshot  api.Snapshot
	Ranges    []api.KeyRange
	Limit     int
	Query     json.RawMessage
	Timeout   time.Duration
}

// CommandCall is the only attempt of a command.
type CommandCall struct {
	RequestID string
	AttemptID string
	Service   string
	Key       uint64
	Body      json.RawMessage
	Timeout   time.Duration
}

// Load is what a target reports about itself with each response. It may be stale or wrong.
type Load struct {
	InFlight      int      `json:"in_flight"`
	Queued        int      `json:"queued"`
	Draining      bool     `json:"draining"`
	Incarnation   string   `json:"incarnation"`
	IndexVersions []uint64 `json:"index_versions,omitempty"`
}

// SearchReply is the response to a SearchCall, with the identifiers that the target echoed.
type SearchReply struct {
	RequestID string
	AttemptID string
	Service   string
	Snapshot  api.Snapshot
	Ranges    []api.KeyRange
	Hits      []api.Hit
	Truncated bool
	Load      Load
}

// CommandReply is the response to a CommandCall, with the identifiers that the target echoed.
type CommandReply struct {
	RequestID string
	AttemptID string
	Service   string
	Response  json.RawMessage
	Load      Load
}

// Health is the response of a target's health endpoint. It may be stale or wrong.
type Health struct {
	Ready bool `json:"ready"`
	Load
}

// Caller calls one target over its own bounded set of connections. All methods are safe for concurrent use.
// Errors are *Error.
type Caller interface {
	Search(ctx context.Context, call SearchCall) (SearchReply, error)
	Command(ctx context.Context, call CommandCall) (CommandReply, error)
	Health(ctx context.Context) (Health, error)
	// Connections returns the number of connections that are open or being opened.
	Connections() int
	// Close waits for calls in flight until ctx ends, then closes all connections.
	Close(ctx context.Context) error
}

// FailureKind classifies a failed call.
type FailureKind string

// Kinds of failed calls.
const (
	FailureNotSent        FailureKind = "not_sent"        // no byte of the request was written
	FailureShed           FailureKind = "shed"            // the target refused: it is overloaded
	FailureDraining       FailureKind = "draining"        // the target refused: it is shutting down
	FailureVersionGone    FailureKind = "version_gone"    // the target refused: it does not hold the index version
	FailureRefused        FailureKind = "refused"         // the target refused for another reason
	FailureConnectionLost FailureKind = "connection_lost" // the connection ended after the request was written
	FailureTimeout        FailureKind = "timeout"         // the deadline passed or the caller cancelled after the write
	FailureMalformed      FailureKind = "malformed"       // the response was truncated or could not be decoded
	FailureMismatch       FailureKind = "mismatch"        // the response echoed another request, attempt or service
	FailureInternal       FailureKind = "internal"        // the target reported that it failed while running
)

// Error describes a failed call to a target.
type Error struct {
	Kind    FailureKind
	Outcome api.Outcome // what the failure proves about the request
	Load    *Load       // load that the target reported; nil when it reported none
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return "target: " + string(e.Kind)
	}
	return "target: " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
