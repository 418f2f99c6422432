// Package memlimit bounds the memory that the bodies of responses occupy in one process, so that targets that send more than
// they should cost the requests at hand and not the process. It has no clocks, goroutines or sockets.
package memlimit

import (
	"sync"

	"github.com/rotisserie/eris"
)

// ErrExhausted is returned by Reserve when the memory would exceed its limit.
var ErrExhausted = eris.New("no memory is left for responses")

// admissionShare is the share of the capacity up to which new requests are admitted. The rest is left for the responses of
// requests that are already running.
const admissionShare = 0.5

// Limit is the memory that all accounts of a process share. It is safe for concurrent use.
//
// Load pattern: many targets, or one that is called by many requests, send bodies that are much larger than usual or never
// end. Requests that arrive meanwhile are turned away before they run anywhere, and the bodies that would pass the capacity fail.
type Limit struct {
	capacity int64 // 0 for no limit

	mu   sync.Mutex // guards used and the fields of the accounts
	used int64
}

// New returns a limit of capacity bytes; 0 sets none.
func New(capacity int64) *Limit { return &Limit{capacity: capacity} }

// HasRoom reports whether a new request may start.
func (l *Limit) HasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacity <= 0 || float64(l.used) < admissionShare*float64(l.capacity)
}

// Used returns the reserved bytes.
func (l *Limit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Open returns an account without reservations.
func (l *Limit) Open() *Account { return &Account{limit: l} }

// Account holds what one request has reserved. Its owner closes it when the answer has been sent; attempts that are still
// reading then reserve nothing more. It is safe for concurrent use.
type Account struct {
	limit *Limit

	held   int64
	closed bool
}

// Reserve adds n bytes to the account, or returns ErrExhausted.
func (a *Account) Reserve(n int) error {
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	if a.closed || a.limit.capacity > 0 && a.limit.used+int64(n) > a.limit.capacity {
		return ErrExhausted
	}
	a.held += int64(n)
	a.limit.used += int64(n)
	return nil
}

// Return gives n reserved bytes back.
func (a *Account) Return(n int) {
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	returned := min(int64(n), a.held)
	a.held -= returned
	a.limit.used -= returned
}

// Close gives all reserved bytes back. The account cannot be used afterwards.
func (a *Account) Close() {
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	a.limit.used -= a.held
	a.held, a.closed = 0, true
}
