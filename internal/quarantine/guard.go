package quarantine

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// Durations of the quarantine.
const (
	// ConfirmTTL is how long a confirmed fingerprint is refused.
	ConfirmTTL = 10 * time.Minute
	// SuspectTTL is how long a suspect runs in isolation when it never succeeds. A confirmed fingerprint is a suspect for
	// this time after ConfirmTTL, so that its next run is isolated and crashes one target only, instead of the
	// targets of an unprotected first call and one more.
	SuspectTTL = 10 * time.Minute
	// CanaryTTL is how long a group with setting after_crash runs canaries after a crash.
	CanaryTTL = 10 * time.Minute
	// EvidenceTTL is how long evidence of a crash is awaited after a connection was lost. The fingerprints of its
	// calls run in isolation meanwhile. It covers several re-dials.
	EvidenceTTL = 10 * time.Second
	// LossWindow is the time within which several lost connections of one target mean that it died. When a process
	// ends, a relay sees all its connections close within milliseconds; the window allows for scheduling delays.
	LossWindow = 250 * time.Millisecond
	// UnansweredTTL is how long a call that was cancelled or timed out still counts as running at the target: the
	// target may crash on it before it notices the cancellation.
	UnansweredTTL = 500 * time.Millisecond
	// LeaseStartTimeout bounds how long a reservation that was never started blocks its target.
	LeaseStartTimeout = 5 * time.Second
)

// Memory limits, in entries.
const (
	// DefaultMaxRecords exceeds the 3000 fingerprints that can be in flight at once on 500 targets with 6 slots each.
	DefaultMaxRecords = 4096
	// maxEndedCalls bounds the ended calls per target that may still be the cause of a crash.
	maxEndedCalls = 64
	// maxCrashedGroups bounds the groups with a recent crash, since group names also come from peers.
	maxCrashedGroups = 1024
)

// Action says how a request may run.
type Action string

// Actions of Decide.
const (
	Allow   Action = "allow"   // run as usual
	Isolate Action = "isolate" // run in isolation: alone on its target, see Reserve
	Refuse  Action = "refuse"  // refuse with code quarantined
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Services are those on which the fingerprint is suspect or confirmed. A suspect runs on them first: when each has
	// answered an isolated run, the decision becomes Allow. It is empty for Allow.
	Services []string
	// SuspectFor is the time since the latest suspicion, for Isolate. It is SuspectTTL when a call was lost but nothing
	// else indicates a crash.
	SuspectFor time.Duration
	// RetryAfter is how long the fingerprint stays refused; set for Refuse.
	RetryAfter time.Duration
}

// State classifies a fingerprint on a service.
type State string

// States of a fingerprint.
const (
	Suspect   State = "suspect"
	Confirmed State = "confirmed"
	Cleared   State = "cleared"
)

// Change reports a new state of a fingerprint, for logs, metrics and an early gossip round.
type Change struct {
	Fingerprint Fingerprint
	Group       string
	Service     string
	State       State
}

// TargetRef identifies the target of a call with its service and group.
type TargetRef struct {
	Group   string
	Service string
	Target  string
}

// Guard holds a node's state about requests that crash targets. It is safe for concurrent use. Times passed as now
// must come from time.Now and must not be before the Unix epoch.
type Guard struct {
	maxRecords int

	mu                    panics.Mutex // guards all fields below and the content of the values they hold
	targets               map[string]*targetState
	leases                map[Fingerprint]*Lease
	records               map[recordKey]*record
	servicesByFingerprint map[Fingerprint][]string // services with a record of the fingerprint
	inFlight              map[Fingerprint]int      // calls in flight on all targets
	pendingLosses         map[Fingerprint]int      // lost calls that wait for evidence
	canaryUntil           map[string]time.Time     // end of the canary window by group
	lastChangeSeq         uint64                   // sequence number of the last change of a record
}

// NewGuard returns a guard that keeps at most maxRecords records; 0 means DefaultMaxRecords.
func NewGuard(maxRecords int) *Guard {
	if maxRecords <= 0 {
		maxRecords = DefaultMaxRecords
	}
	return &Guard{
		maxRecords:            maxRecords,
		targets:               map[string]*targetState{},
		leases:                map[Fingerprint]*Lease{},
		records:               map[recordKey]*record{},
		servicesByFingerprint: map[Fingerprint][]string{},
		inFlight:              map[Fingerprint]int{},
		pendingLosses:         map[Fingerprint]int{},
		canaryUntil:           map[string]time.Time{},
	}
}

// Decide returns how a request with the fingerprint may run.
func (g *Guard) Decide(fp Fingerprint, now time.Time) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide(fp, now)
}

// NeedCanary reports whether the first part of a search must answer before the others start. An unknown setting is
// treated as CanaryAlways.
func (g *Guard) NeedCanary(group string, setting config.Canary, now time.Time) bool {
	switch setting {
	case config.CanaryOff:
		return false
	case config.CanaryAfterCrash:
		g.mu.Lock()
		defer g.mu.Unlock()
		return now.Before(g.canaryUntil[group])
	default:
		return true
	}
}

// extendCanaryWindow starts or extends the canary window of a group.
func (g *Guard) extendCanaryWindow(group string, until, now time.Time) {
	if group == "" {
		return
	}
	if _, known := g.canaryUntil[group]; !known && len(g.canaryUntil) >= maxCrashedGroups {
		for other, end := range g.canaryUntil {
			if !now.Before(end) {
				delete(g.canaryUntil, other)
			}
		}
		if len(g.canaryUntil) >= maxCrashedGroups {
			return
		}
	}
	if g.canaryUntil[group].Before(until) {
		g.canaryUntil[group] = until
	}
}

// Sweep removes expired entries. The owner calls it about once a second; only memory use and the end of reservations
// depend on it.
func (g *Guard) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireLeases(now)
	for id := range g.targets {
		g.removeIdleTarget(id, now)
	}
	for key, r := range g.records {
		if !now.Before(r.expires) {
			g.removeRecord(key)
		}
	}
	for group, until := range g.canaryUntil {
		if !now.Before(until) {
			delete(g.canaryUntil, group)
		}
	}
}
