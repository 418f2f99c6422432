package peer

import (
	"fmt"
	"time"
)

// FailureKind classifies a failed call between nodes.
type FailureKind string

// Kinds of failed calls.
const (
	FailureNotSent FailureKind = "not_sent" // no connection could be made; the peer did not see the request
	FailureLost    FailureKind = "lost"     // the connection ended or fell silent after the request was handed to it
	FailureTimeout FailureKind = "timeout"  // the time ran out or the caller cancelled
	FailureRemote  FailureKind = "remote"   // the peer answered with an error
)

// Error is a failed call between nodes.
type Error struct {
	Kind   FailureKind
	Method string
	Err    error
	// OpenFor and SilentFor tell how long the connection of the call had been open, and how long ago the peer last sent a
	// message on it. Both are 0 when there was no connection.
	OpenFor, SilentFor time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := "peer: " + e.Method + ": " + string(e.Kind) + ": " + e.Err.Error()
	if e.OpenFor > 0 {
		text += fmt.Sprintf(" (connection open for %d ms, nothing received for %d ms)", e.OpenFor.Milliseconds(), e.SilentFor.Milliseconds())
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
