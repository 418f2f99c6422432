package ticket

import (
	"github.com/rotisserie/eris"
)

// ErrorKind classifies a ticket error.
type ErrorKind string

// Kinds of ticket errors.
const (
	KindMalformed ErrorKind = "malformed" // the token cannot be decoded
	KindForeign   ErrorKind = "foreign"   // the ticket names another node or incarnation as its issuer
	KindForged    ErrorKind = "forged"    // the ticket names this incarnation, but the HMAC is wrong
	KindNodeID    ErrorKind = "node_id"   // the node id does not fit in a token
	KindRandom    ErrorKind = "random"    // the source of randomness failed
)

// Error is a failure to issue, parse or verify a ticket.
type Error struct {
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return "ticket: " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newMalformedError(reason string) *Error {
	return &Error{Kind: KindMalformed, Err: eris.New(reason)}
}
