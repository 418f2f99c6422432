package quarantine

import (
	"time"
)

// Result says how a call of a target ended.
type Result string

// Results of a call.
const (
	Answered   Result = "answered"   // the target answered in full: a success
	Failed     Result = "failed"     // the target answered with an error, a refusal or a malformed body
	NotSent    Result = "not_sent"   // no byte was written
	Unanswered Result = "unanswered" // timed out or cancelled by this node; the target may still run it
	Lost       Result = "lost"       // the connection ended; a later Observe determines whether the target died
)

// Call is one call in flight. Its fields are guarded by the Guard's mutex. End takes a Call rather than a fingerprint
// and a target, so that the late end of a call from before a crash is not mistaken for that of a call started after it.
type Call struct {
	fp    Fingerprint
	ref   TargetRef
	lease *Lease // set for an isolated run
	ended bool   // set by End, or when the target died
}

// endedCall is a call that has ended but may still be the cause when its target dies.
type endedCall struct {
	fp      Fingerprint
	ref     TargetRef
	lost    bool // the connection ended; the fingerprint is suspect until there is evidence or EvidenceTTL has passed
	endedAt time.Time
}

// mayBeCause reports whether a crash at now may be due to the call.
func (c endedCall) mayBeCause(now time.Time) bool {
	if c.lost {
		return now.Sub(c.endedAt) < EvidenceTTL
	}
	return now.Sub(c.endedAt) < UnansweredTTL
}

// targetState tracks one target. The Guard's mutex guards it.
type targetState struct {
	calls        map[*Call]struct{}
	endedCalls   []endedCall
	lease        *Lease
	incarnation  string
	draining     bool
	lossTimes    []time.Time
	crashedAt    time.Time
	crashUpdates []crashUpdate // by the last crash, and by crashes each less than EvidenceTTL before the next
}

// crashUpdate is a record that a crash changed, the stamp it got, and whether the fingerprint was already suspect or
// confirmed.
type crashUpdate struct {
	key        recordKey
	group      string
	stamp      int64
	wasSuspect bool
}

// ensureTarget returns the state of a target and creates it when there is none.
func (g *Guard) ensureTarget(id string) *targetState {
	t := g.targets[id]
	if t == nil {
		t = &targetState{calls: map[*Call]struct{}{}}
		g.targets[id] = t
	}
	return t
}

// Start registers a call that is about to be written. Each successful Start needs one End. It fails with an *Error
// while the target is reserved, and for a fingerprint that must run in isolation or is refused. This stops the
// remaining parts, hedges and retries of a search whose first call crashed a target.
func (g *Guard) Start(fp Fingerprint, ref TargetRef, now time.Time) (*Call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.decide(fp, now).Action {
	case Refuse:
		return nil, &Error{Kind: KindRefused, Target: ref.Target}
	case Isolate:
		return nil, &Error{Kind: KindSuspect, Target: ref.Target}
	}
	t := g.ensureTarget(ref.Target)
	g.expireLease(t, now)
	if t.lease != nil {
		return nil, &Error{Kind: KindReserved, Target: ref.Target}
	}
	return g.addCall(t, &Call{fp: fp, ref: ref}), nil
}

func (g *Guard) addCall(t *targetState, c *Call) *Call {
	t.calls[c] = struct{}{}
	g.inFlight[c.fp]++
	return c
}

// removeCall marks a call as ended and removes it from the calls in flight.
func (g *Guard) removeCall(t *targetState, c *Call) {
	c.ended = true
	delete(t.calls, c)
	if g.inFlight[c.fp]--; g.inFlight[c.fp] <= 0 {
		delete(g.inFlight, c.fp)
	}
}

// End records the result of a call and returns the states that an isolated run changed. An unanswered call may be the
// cause of a crash for UnansweredTTL longer, a lost one for EvidenceTTL. End does nothing for a call that has already
// ended or whose target died.
func (g *Guard) End(c *Call, result Result, now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c == nil || c.ended {
		return nil
	}
	t := g.ensureTarget(c.ref.Target)
	g.removeCall(t, c)
	if result == Unanswered || result == Lost && !t.draining {
		g.addEndedCall(t, endedCall{fp: c.fp, ref: c.ref, lost: result == Lost, endedAt: now}, now)
	}
	changes := g.endIsolatedRun(t, c, result, now)
	g.markReadyIfAlone(t.lease)
	g.markReadyIfAlone(g.leases[c.fp])
	return changes
}

// addEndedCall adds an ended call to a target, which keeps the newest maxEndedCalls.
func (g *Guard) addEndedCall(t *targetState, added endedCall, now time.Time) {
	g.removeEndedCalls(t, func(_ int, old endedCall) bool { return !old.mayBeCause(now) })
	if len(t.endedCalls) >= maxEndedCalls {
		g.removeEndedCalls(t, func(i int, _ endedCall) bool { return i == 0 })
	}
	t.endedCalls = append(t.endedCalls, added)
	if added.lost {
		g.pendingLosses[added.fp]++
	}
}

// removeEndedCalls removes the ended calls for which match returns true.
func (g *Guard) removeEndedCalls(t *targetState, match func(i int, ended endedCall) bool) {
	kept := t.endedCalls[:0]
	for i, ended := range t.endedCalls {
		if !match(i, ended) {
			kept = append(kept, ended)
			continue
		}
		if ended.lost {
			if g.pendingLosses[ended.fp]--; g.pendingLosses[ended.fp] <= 0 {
				delete(g.pendingLosses, ended.fp)
			}
		}
	}
	t.endedCalls = kept
}

// pendingServices returns the services on which fp has a lost call that still waits for evidence.
func (g *Guard) pendingServices(fp Fingerprint, now time.Time) []string {
	if g.pendingLosses[fp] == 0 {
		return nil
	}
	var services []string
	for _, t := range g.targets {
		for _, ended := range t.endedCalls {
			if ended.lost && ended.fp == fp && ended.mayBeCause(now) {
				services = append(services, ended.ref.Service)
			}
		}
	}
	return services
}

// removeIdleTarget removes what has expired from a target, and the target itself when it holds no state.
func (g *Guard) removeIdleTarget(id string, now time.Time) {
	t := g.targets[id]
	if t == nil {
		return
	}
	g.removeEndedCalls(t, func(_ int, ended endedCall) bool { return !ended.mayBeCause(now) })
	t.lossTimes = timesWithin(t.lossTimes, EvidenceTTL, now)
	hasState := len(t.calls) > 0 || len(t.endedCalls) > 0 || t.lease != nil || len(t.lossTimes) > 0 || len(t.crashUpdates) > 0
	if !hasState && t.incarnation == "" && !t.draining {
		delete(g.targets, id)
	}
}

// Forget removes the state of a target that is no longer configured. Calls in flight stay until their End, and
// evidence until it expires.
func (g *Guard) Forget(target string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.targets[target]; t != nil {
		t.incarnation, t.draining, t.crashUpdates = "", false, nil
		g.removeIdleTarget(target, now)
	}
}
