package membership

// Code classifies an Error.
type Code string

// Codes of errors.
const (
	CodeInvalidConfig Code = "membership_invalid_config"
	CodeInvalidSelf   Code = "membership_invalid_self"
)

// Error is an error of this package.
type Error struct {
	Code    Code
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }
