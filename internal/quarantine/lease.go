package quarantine

import (
	"time"
)

// Lease reserves one target for one isolated run. Its fields are guarded by the Guard's mutex.
type Lease struct {
	fp      Fingerprint
	place   Place
	since   time.Time
	ready   chan struct{}
	isReady bool
	started bool
	ended   bool
	// held is the time until which the target stays reserved after an unanswered or lost run; zero before its end.
	held time.Time
	// stamp is the latest evidence on the service when the run began; a success clears no more than this.
	stamp int64
}

// Ready is closed when no other call is in flight on the target and the fingerprint is in flight nowhere else, or
// when the lease ended without a run.
func (l *Lease) Ready() <-chan struct{} { return l.ready }

// Reserve reserves a target for an isolated run of fp. From then on, Start fails for other calls of the target.
// There is one lease per fingerprint, so it runs on one target at a time, and one per service, so that suspects
// never block all targets of a service. The caller waits for Ready, calls StartAlone and then End, or calls
// Release. Errors are *Error.
//
// The guarantee covers the calls of this node. A call by another node at the same time, for example during the
// hand-over of a group, is not seen.
func (g *Guard) Reserve(fp Fingerprint, at Place, now time.Time) (*Lease, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireLeases(now)
	if kind := g.reserveProblem(fp, at, now); kind != "" {
		return nil, &Error{Kind: kind, Target: at.Target}
	}
	l := &Lease{fp: fp, place: at, since: now, ready: make(chan struct{})}
	g.leases[fp] = l
	g.target(at.Target).lease = l
	g.wake(l)
	return l, nil
}

func (g *Guard) reserveProblem(fp Fingerprint, at Place, now time.Time) ErrorKind {
	if g.decide(fp, now).Action == Refuse {
		return KindRefused
	}
	if g.leases[fp] != nil {
		return KindLeased
	}
	for _, other := range g.leases {
		if other.place.Target == at.Target {
			return KindReserved
		}
		if other.place.Group == at.Group && other.place.Service == at.Service {
			return KindServiceBusy
		}
	}
	return ""
}

// StartAlone begins the isolated run of a ready lease. The run needs one End.
func (g *Guard) StartAlone(l *Lease, now time.Time) (*Call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target(l.place.Target)
	g.expireLease(t, now)
	switch {
	case l.ended || l.started:
		return nil, &Error{Kind: KindLeaseEnded, Target: l.place.Target}
	case !l.isReady:
		return nil, &Error{Kind: KindNotReady, Target: l.place.Target}
	case g.decide(l.fp, now).Action == Refuse:
		g.endReservation(l)
		return nil, &Error{Kind: KindRefused, Target: l.place.Target}
	}
	l.started = true
	if r := g.records[recordKey{fp: l.fp, service: l.place.Service}]; r != nil {
		l.stamp = r.latest()
	}
	return g.begin(t, &Call{fp: l.fp, place: l.place, lease: l}), nil
}

// Release gives up a lease that was not started. It does nothing for another one, so it can be deferred.
func (g *Guard) Release(l *Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !l.started {
		g.endReservation(l)
	}
}

// Reserved reports whether calls of the target must wait or go to another one.
func (g *Guard) Reserved(target string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[target]
	if t == nil {
		return false
	}
	g.expireLease(t, now)
	return t.lease != nil
}

// Lingers returns how long calls of other requests that this node cancelled may still run on the target. A run beside them
// that crashes the target would prove nothing. No call is added while the target is reserved.
func (g *Guard) Lingers(target string, fp Fingerprint, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[target]
	if t == nil {
		return 0
	}
	var longest time.Duration
	for _, tr := range t.traces {
		if !tr.lost && tr.fp != fp && tr.fresh(now) {
			longest = max(longest, LingerTTL-now.Sub(tr.at))
		}
	}
	return longest
}

// wake marks a lease as ready when its run would be alone.
func (g *Guard) wake(l *Lease) {
	if l != nil && !l.isReady && len(g.target(l.place.Target).calls) == 0 && g.inFlight[l.fp] == 0 {
		l.isReady = true
		close(l.ready)
	}
}

// endIsolated ends an isolated run. A success clears the suspicion on the service. After an unanswered or lost run
// the target stays reserved: if it dies from the run after all, no other call is blamed, and the fingerprint has
// not run on another target meanwhile.
func (g *Guard) endIsolated(t *targetState, c *Call, result Result, now time.Time) []Change {
	l := c.lease
	if l == nil || l.ended {
		return nil
	}
	if result == Unanswered {
		l.held = now.Add(LingerTTL)
		return nil
	}
	if result == Lost && !t.draining {
		l.held = now.Add(EvidenceTTL)
		return nil
	}
	g.endReservation(l)
	if result != Answered {
		return nil
	}
	for _, other := range g.targets {
		g.dropTraces(other, func(_ int, tr trace) bool {
			return tr.lost && tr.fp == l.fp && tr.place.Service == l.place.Service && !tr.at.After(l.since)
		})
	}
	if change, ok := g.clear(recordKey{fp: l.fp, service: l.place.Service}, l.stamp, now); ok {
		return []Change{change}
	}
	return nil
}

func (g *Guard) endReservation(l *Lease) {
	if l.ended {
		return
	}
	l.ended = true
	delete(g.leases, l.fp)
	if t := g.targets[l.place.Target]; t != nil && t.lease == l {
		t.lease = nil
	}
	if !l.isReady {
		l.isReady = true
		close(l.ready)
	}
}

// expireLease ends a reservation that was not started in time or whose hold has passed.
func (g *Guard) expireLease(t *targetState, now time.Time) {
	l := t.lease
	if l == nil {
		return
	}
	if l.over(now) {
		g.endReservation(l)
	}
}

// over reports whether the reservation was not started in time or its hold has passed.
func (l *Lease) over(now time.Time) bool {
	waited := !l.started && now.Sub(l.since) >= LeaseWaitTTL
	held := !l.held.IsZero() && !now.Before(l.held)
	return waited || held
}

func (g *Guard) expireLeases(now time.Time) {
	for _, l := range g.leases {
		g.expireLease(g.target(l.place.Target), now)
	}
}
