package quarantine

// ErrorKind classifies why a call or a reservation cannot proceed now.
type ErrorKind string

// Kinds of errors.
const (
	KindReserved    ErrorKind = "reserved"     // the target is reserved for an isolated run
	KindLeased      ErrorKind = "leased"       // the fingerprint already has an isolated run
	KindServiceBusy ErrorKind = "service_busy" // another target of the service is reserved
	KindSuspect     ErrorKind = "suspect"      // the fingerprint must run in isolation
	KindRefused     ErrorKind = "refused"      // the fingerprint is confirmed
	KindNotReady    ErrorKind = "not_ready"    // other calls of the target or the fingerprint are still in flight
	KindLeaseEnded  ErrorKind = "lease_ended"  // the lease was released, expired or used
)

// Error says why a call or a reservation cannot proceed now. Nothing was sent to the target.
type Error struct {
	Kind   ErrorKind
	Target string
}

// Error implements the error interface.
func (e *Error) Error() string { return "quarantine: target " + e.Target + ": " + string(e.Kind) }
