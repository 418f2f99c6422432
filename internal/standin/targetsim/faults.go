package targetsim

import (
	"sync"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/target"
)

// EchoField is a response field that Faults.WrongEcho changes.
type EchoField string

// Values of Faults.WrongEcho.
const (
	EchoRequestID    EchoField = "request_id"
	EchoAttemptID    EchoField = "attempt_id"
	EchoService      EchoField = "service"
	EchoIndexVersion EchoField = "index_version"
)

// Truncation is a way to truncate a response body.
type Truncation string

// Values of Faults.Truncate.
const (
	TruncateClean Truncation = "clean" // half of the body, then a regular end of the response
	TruncateReset Truncation = "reset" // half of the body, then a reset of the stream
)

// Faults are the injected faults of a stand-in target. The zero value is a healthy target.
type Faults struct {
	// CrashMarker crashes the target when it runs a request whose body contains the marker.
	CrashMarker string `json:"crash_marker,omitempty"`
	// CrashAfterMS is how long such a request runs before the crash.
	CrashAfterMS int64 `json:"crash_after_ms,omitempty"`
	// Freeze stops all reads, writes and accepts, as SIGSTOP does to a process; the kernel still completes connects.
	Freeze bool `json:"freeze,omitempty"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Health replaces the answer of the health endpoint, Load the load that responses report.
	Health *target.Health `json:"health,omitempty"`
	Load   *target.Load   `json:"load,omitempty"`
	// Truncate cuts response bodies in half; empty means whole bodies.
	Truncate Truncation `json:"truncate,omitempty"`
	// WrongEcho changes one field of each response and refusal.
	WrongEcho EchoField `json:"wrong_echo,omitempty"`
	// SwappedResponses answers each request with the response to the previous request.
	SwappedResponses bool `json:"crossed,omitempty"`
	// LateByMS delays responses. The target then ignores deadlines and cancellations.
	LateByMS int64 `json:"late_by_ms,omitempty"`
	// OversizeBytes is the number of bytes of padding that each response gets.
	OversizeBytes int `json:"oversize_bytes,omitempty"`
	// DropConnections resets all connections after a run, instead of answering; the target keeps running.
	DropConnections bool `json:"drop_connections,omitempty"`
	// FailRuns answers each run with status 500.
	FailRuns bool `json:"fail_runs,omitempty"`
}

func (f Faults) scaleServiceTime(d time.Duration) time.Duration {
	if f.SlowFactor == 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// gate blocks I/O while the target is frozen. mu guards both fields below it. opened is a closed channel unless the target
// is frozen.
type gate struct {
	mu     sync.Mutex
	frozen bool
	opened chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) setFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if frozen == g.frozen {
		return
	}
	g.frozen = frozen
	if frozen {
		g.opened = make(chan struct{})
	} else {
		close(g.opened)
	}
}

// waitOpen blocks while the target is frozen. It returns false when stop closes first.
func (g *gate) waitOpen(stop <-chan struct{}) bool {
	for {
		g.mu.Lock()
		frozen, opened := g.frozen, g.opened
		g.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-opened:
		case <-stop:
			return false
		}
	}
}
