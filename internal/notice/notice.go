// Package notice keeps what a target says of itself in its answers: how many requests it takes, whether it leaves, and when it
// wants requests again. It has no clock, lock or goroutine of its own.
package notice

import "time"

// Notice is what a target says of itself in one answer.
type Notice struct {
	// RequestsPerSecond is what the target takes from all nodes together while it says so.
	RequestsPerSecond float64
	// Limited is set when the answer names RequestsPerSecond.
	Limited bool
	// Leaving is set when the target leaves.
	Leaving bool
	// Pause is the time for which the target wants no requests of this node; 0 if it names none.
	Pause time.Duration
}

// maxPause bounds a pause. A target that names a longer one is asked again then.
const maxPause = 10 * time.Minute

// Change lists what began or ended with an answer.
type Change struct{ LimitBegan, LimitEnded, LeavingBegan, PauseBegan bool }

// Record holds what one incarnation of a target has said of itself to this node. A limit ends with the first answer that names
// none, a pause with its time; that a target leaves ends only with the incarnation.
type Record struct {
	pace        *Pace
	leaving     bool
	pausedUntil time.Time
}

// NewRecord returns the record of an incarnation that has said nothing. phase is that of its pace.
func NewRecord(phase float64) *Record { return &Record{pace: NewPace(phase)} }

// Hear takes note of an answer.
func (r *Record) Hear(n Notice, now time.Time) (c Change) {
	if r.pace.Hear(n, now) {
		c.LimitBegan, c.LimitEnded = n.Limited, !n.Limited
	}
	c.LeavingBegan = n.Leaving && !r.leaving
	r.leaving = r.leaving || n.Leaving
	if until := now.Add(min(n.Pause, maxPause)); n.Pause > 0 && until.After(r.pausedUntil) {
		c.PauseBegan = !now.Before(r.pausedUntil)
		r.pausedUntil = until
	}
	return c
}

// Leave takes note that the target leaves, by the word of another node that it has told. It reports whether that is news.
func (r *Record) Leave() bool {
	isNews := !r.leaving
	r.leaving = true
	return isNews
}

// SetNodes sets the number of nodes that share the limit.
func (r *Record) SetNodes(nodes int, now time.Time) { r.pace.SetNodes(nodes, now) }

// Leaving reports whether the target leaves: it must get no requests.
func (r *Record) Leaving() bool { return r.leaving }

// Restricted reports whether anything that the target said restricts the requests to it.
func (r *Record) Restricted(now time.Time) bool {
	return r.leaving || r.pace.Limited() || now.Before(r.pausedUntil)
}

// Wait returns the time until a request may be sent to a target that does not leave.
func (r *Record) Wait(now time.Time) time.Duration {
	return max(r.pace.Wait(now), r.pausedUntil.Sub(now), 0)
}

// Redeem reports whether a request that fell due at a moment may be sent now to a target that does not leave.
func (r *Record) Redeem(due, now time.Time) bool {
	return !now.Before(r.pausedUntil) && r.pace.Redeem(due, now)
}

// Reserve reserves the next request and returns the time until it may be sent. It returns false, and reserves nothing, when that
// is longer than maxWait.
func (r *Record) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	if wait := r.Wait(now); wait > maxWait {
		return wait, false
	}
	wait, ok = r.pace.Reserve(now, maxWait)
	return max(wait, r.pausedUntil.Sub(now)), ok
}

// Return gives back a request that fell due at a moment and was not sent.
func (r *Record) Return(due, now time.Time) { r.pace.Return(due, now) }
