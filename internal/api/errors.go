package api

import "time"

// Code is a machine-readable error code. docs/errors.md has an entry for each.
type Code string

// Error codes that callers can see.
const (
	CodeMalformed      Code = "malformed"
	CodeTooLarge       Code = "too_large"
	CodeUnknownGroup   Code = "unknown_group"
	CodeUnknownCaller  Code = "unknown_caller"
	CodeForbidden      Code = "forbidden"
	CodeNoTimeLeft     Code = "no_time_left"
	CodeOverloaded     Code = "overloaded"
	CodeNotReady       Code = "not_ready"
	CodeQuarantined    Code = "quarantined"
	CodeNoSnapshot     Code = "no_snapshot"
	CodeTicketRequired Code = "ticket_required"
	CodeTicketInvalid  Code = "ticket_invalid"
	CodeTicketExpired  Code = "ticket_expired"
	CodeTicketReused   Code = "ticket_reused"
	CodeOwnerGone      Code = "owner_gone"
	CodeUnreachable    Code = "unreachable"
	CodeTargetRefused  Code = "target_refused"
	CodeTimeout        Code = "timeout"
	CodeInternal       Code = "internal"
)

// Error is the error body of the caller API. Outcome says whether the request took effect.
type Error struct {
	Code         Code    `json:"code"`
	Message      string  `json:"message"`
	Field        string  `json:"field,omitempty"`
	Outcome      Outcome `json:"ran"`
	RequestID    string  `json:"request_id,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	Ticket       string  `json:"ticket,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Field != "" {
		return string(e.Code) + ": " + e.Field + ": " + e.Message
	}
	return string(e.Code) + ": " + e.Message
}

// NewRefusal returns an error for a request that was not run.
func NewRefusal(code Code, field, message string) *Error {
	return &Error{Code: code, Field: field, Message: message, Outcome: OutcomeNotRun}
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d before it retries.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfterMS = d.Milliseconds()
	return &c
}
