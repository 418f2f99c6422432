package membership

import "time"

// Clock reads the monotonic and the wall clock.
type Clock interface {
	Now() ClockReading
}

// systemClock reads the clocks of the process. On Linux the monotonic clock stops while the machine is suspended and
// the wall clock does not, so both are needed to detect a pause.
type systemClock struct{ start time.Time }

// SystemClock returns the clock of the process.
func SystemClock() Clock { return systemClock{start: time.Now()} }

// Now implements Clock.
func (c systemClock) Now() ClockReading {
	now := time.Now()
	return ClockReading{Monotonic: now.Sub(c.start), Wall: now.Round(0)}
}
