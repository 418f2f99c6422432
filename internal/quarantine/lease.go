package quarantine

import (
	"time"
)

// Lease reserves one target for one isolated run. Its fields are guarded by the Guard's mutex.
type Lease struct {
	fp         Fingerprint
	ref        TargetRef
	reservedAt time.Time
	ready      chan struct{}
	isReady    bool
	started    bool
	ended      bool
	// heldUntil is when the reservation ends after an unanswered or lost run; zero before such an end.
	heldUntil time.Time
	// startStamp is the latest stamp of the service's record when the run began; a success clears no more than this.
	startStamp int64
}

// Ready returns a channel that is closed when no other call is in flight on the target and the fingerprint is in
// flight nowhere else, or when the lease ended without a run.
func (l *Lease) Ready() <-chan struct{} { return l.ready }

// Reserve reserves a target for an isolated run of fp. From then on, Start fails for other calls of the target.
// A fingerprint has at most one lease, so that it runs on one target at a time, and a service has at most one, so
// that suspects never block all its targets. The caller waits for Ready, calls StartIsolated and then End, or calls
// Release. Errors are *Error.
//
// Isolation covers the calls of this node only. A concurrent call by another node, for example during the hand-over
// of a group, is not detected.
func (g *Guard) Reserve(fp Fingerprint, ref TargetRef, now time.Time) (*Lease, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireLeases(now)
	if kind := g.reserveConflict(fp, ref, now); kind != "" {
		return nil, &Error{Kind: kind, Target: ref.Target}
	}
	l := &Lease{fp: fp, ref: ref, reservedAt: now, ready: make(chan struct{})}
	g.leases[fp] = l
	g.ensureTarget(ref.Target).lease = l
	g.markReadyIfAlone(l)
	return l, nil
}

// reserveConflict returns why a target cannot be reserved for fp, or "" when it can.
func (g *Guard) reserveConflict(fp Fingerprint, ref TargetRef, now time.Time) ErrorKind {
	if g.decide(fp, now).Action == Refuse {
		return KindRefused
	}
	if g.leases[fp] != nil {
		return KindLeased
	}
	for _, other := range g.leases {
		if other.ref.Target == ref.Target {
			return KindReserved
		}
		if other.ref.Group == ref.Group && other.ref.Service == ref.Service {
			return KindServiceBusy
		}
	}
	return ""
}

// StartIsolated begins the isolated run of a ready lease. The run needs one End.
func (g *Guard) StartIsolated(l *Lease, now time.Time) (*Call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.ensureTarget(l.ref.Target)
	g.expireLease(t, now)
	switch {
	case l.ended || l.started:
		return nil, &Error{Kind: KindLeaseEnded, Target: l.ref.Target}
	case !l.isReady:
		return nil, &Error{Kind: KindNotReady, Target: l.ref.Target}
	case g.decide(l.fp, now).Action == Refuse:
		g.endReservation(l)
		return nil, &Error{Kind: KindRefused, Target: l.ref.Target}
	}
	l.started = true
	if r := g.records[recordKey{fp: l.fp, service: l.ref.Service}]; r != nil {
		l.startStamp = r.latest()
	}
	return g.addCall(t, &Call{fp: l.fp, ref: l.ref, lease: l}), nil
}

// Release ends a lease that was not started. It does nothing for a started one, so it can be deferred.
func (g *Guard) Release(l *Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !l.started {
		g.endReservation(l)
	}
}

// ExpireAndCheckReserved ends an expired reservation of the target and reports whether the target is still reserved, so that
// calls must wait or go to another target. IsReserved does the same without ending a reservation.
func (g *Guard) ExpireAndCheckReserved(target string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[target]
	if t == nil {
		return false
	}
	g.expireLease(t, now)
	return t.lease != nil
}

// UnansweredRemaining returns how long calls of other fingerprints that were cancelled or timed out may still run on the
// target. If the target crashed during an isolated run in that time, the crash would not prove which call caused it. No call
// is added while the target is reserved.
func (g *Guard) UnansweredRemaining(target string, fp Fingerprint, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[target]
	if t == nil {
		return 0
	}
	var longest time.Duration
	for _, ended := range t.endedCalls {
		if !ended.lost && ended.fp != fp && ended.mayBeCause(now) {
			longest = max(longest, UnansweredTTL-now.Sub(ended.endedAt))
		}
	}
	return longest
}

// markReadyIfAlone marks a lease as ready when its target and its fingerprint have no call in flight.
func (g *Guard) markReadyIfAlone(l *Lease) {
	if l != nil && !l.isReady && len(g.ensureTarget(l.ref.Target).calls) == 0 && g.inFlight[l.fp] == 0 {
		l.isReady = true
		close(l.ready)
	}
}

// endIsolatedRun ends an isolated run. A success clears the suspicion on the service. After an unanswered or lost run
// the target stays reserved for a while: if the run still crashes it, no other fingerprint becomes suspect, and this
// one has not run on another target meanwhile.
func (g *Guard) endIsolatedRun(t *targetState, c *Call, result Result, now time.Time) []Change {
	l := c.lease
	if l == nil || l.ended {
		return nil
	}
	if result == Unanswered {
		l.heldUntil = now.Add(UnansweredTTL)
		return nil
	}
	if result == Lost && !t.draining {
		l.heldUntil = now.Add(EvidenceTTL)
		return nil
	}
	g.endReservation(l)
	if result != Answered {
		return nil
	}
	for _, other := range g.targets {
		g.removeEndedCalls(other, func(_ int, ended endedCall) bool {
			return ended.lost && ended.fp == l.fp && ended.ref.Service == l.ref.Service && !ended.endedAt.After(l.reservedAt)
		})
	}
	if change, ok := g.clearUpTo(recordKey{fp: l.fp, service: l.ref.Service}, l.startStamp, now); ok {
		return []Change{change}
	}
	return nil
}

// endReservation frees the target of a lease and closes Ready.
func (g *Guard) endReservation(l *Lease) {
	if l.ended {
		return
	}
	l.ended = true
	delete(g.leases, l.fp)
	if t := g.targets[l.ref.Target]; t != nil && t.lease == l {
		t.lease = nil
	}
	if !l.isReady {
		l.isReady = true
		close(l.ready)
	}
}

// expireLease ends the reservation of a target when it has expired.
func (g *Guard) expireLease(t *targetState, now time.Time) {
	l := t.lease
	if l == nil {
		return
	}
	if l.isExpired(now) {
		g.endReservation(l)
	}
}

// isExpired reports whether the run was not started within LeaseStartTimeout or heldUntil has passed.
func (l *Lease) isExpired(now time.Time) bool {
	startOverdue := !l.started && now.Sub(l.reservedAt) >= LeaseStartTimeout
	holdOver := !l.heldUntil.IsZero() && !now.Before(l.heldUntil)
	return startOverdue || holdOver
}

func (g *Guard) expireLeases(now time.Time) {
	for _, l := range g.leases {
		g.expireLease(g.ensureTarget(l.ref.Target), now)
	}
}
