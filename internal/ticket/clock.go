// Package ticket issues command tickets and keeps the table that ensures a command runs at most once. It reads neither
// the clock nor a random source of its own: both are arguments.
package ticket

import (
	"sync"
	"time"
)

// Clock converts times to the time elapsed since the start of this incarnation, which never decreases. The expiry of
// tickets and records is measured with it, so that issue, expiry and removal agree whatever the wall clock does.
//
// Times must come from time.Now, unchanged by Round, UTC or encoding, so that they carry a monotonic reading, which a
// step of the wall clock does not affect. A time without one still never lets a command run twice, since the
// clock stays at its highest value, but a forward step then expires tickets and records early.
//
// A Clock is safe for concurrent use.
type Clock struct {
	start time.Time

	mu      sync.Mutex // guards highest
	highest time.Duration
}

// NewClock returns a clock that starts at start. One Clock serves the Issuer and the Table of an incarnation.
func NewClock(start time.Time) *Clock { return &Clock{start: start} }

// Since returns the time from the start to now, but never less than an earlier result.
func (c *Clock) Since(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highest = max(c.highest, now.Sub(c.start))
	return c.highest
}
