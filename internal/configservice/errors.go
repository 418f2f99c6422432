package configservice

import "time"

// ErrorKind classifies a failed read.
type ErrorKind string

// Kinds of failed reads.
const (
	ErrorNoChange    ErrorKind = "no_change"   // a watch ended without a new revision
	ErrorNotFound    ErrorKind = "not_found"   // nothing is published under the key
	ErrorLimited     ErrorKind = "limited"     // the client's own read limit; no request was sent
	ErrorRefused     ErrorKind = "refused"     // the platform reports that its read limit is exceeded
	ErrorUnavailable ErrorKind = "unavailable" // no response, or a response with an error status
	ErrorTimeout     ErrorKind = "timeout"     // the timeout or deadline passed, or the caller cancelled
	ErrorMalformed   ErrorKind = "malformed"   // the response cannot be decoded or belongs to another key
	ErrorTooLarge    ErrorKind = "too_large"   // the value is longer than the platform allows
)

// ErrNoChange matches the error of a watch that ended without a new revision.
var ErrNoChange = &Error{Kind: ErrorNoChange}

// Error describes a failed read from the platform.
type Error struct {
	Kind       ErrorKind
	Key        string
	RetryAfter time.Duration // for ErrorLimited: time until the next read is allowed
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "platform: " + string(e.Kind)
	if e.Key != "" {
		s += ": " + e.Key
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is makes errors.Is match errors of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}
