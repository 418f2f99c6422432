// Package notice keeps what a target says of itself in its answers and paces this node's requests to it accordingly. It has no
// clock, lock or goroutine of its own.
package notice

// Notice is what a target says of itself in one answer.
type Notice struct {
	// RequestsPerSecond is what the target takes from all nodes together while it says so.
	RequestsPerSecond float64
	// Limited is set when the answer names RequestsPerSecond.
	Limited bool
}
