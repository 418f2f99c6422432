package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// EvidenceKind classifies an observation of a target.
type EvidenceKind string

// Kinds of evidence. A connection that this node closed itself is not evidence and is not reported to Observe.
const (
	// Responded: a response or a health poll without a drain signal reported Incarnation, on any connection.
	Responded EvidenceKind = "responded"
	// Draining: the target announced its shutdown, or closed a connection gracefully.
	Draining EvidenceKind = "draining"
	// ConnectionLost: a connection ended without notice from either side.
	ConnectionLost EvidenceKind = "connection_lost"
	// RedialRefused: after a loss, the address refuses connections, so no process listens on it.
	RedialRefused EvidenceKind = "redial_refused"
	// Reconnected: a connection that was opened after the loss works, and the target reported Incarnation on it.
	// A response on an older connection may have been sent before a crash, so it does not count.
	Reconnected EvidenceKind = "reconnected"
)

// Evidence is one observation of a target.
type Evidence struct {
	Kind        EvidenceKind
	Group       string
	Incarnation string
}

// Observe processes one observation of a target. It reports whether the observation proves that the target died, and
// returns the states that changed.
//
//   - Several connections lost within LossWindow, a refused re-dial after a loss, and a new incarnation after a
//     loss mean that the target died.
//   - The same incarnation on a new connection means that it did not die. If a crash was inferred earlier from
//     several lost connections, the record updates of that crash are reverted.
//   - While the target drains, lost connections are expected and ignored.
//   - A loss without further evidence proves nothing, since a network failure looks the same. The fingerprints of
//     the lost calls run in isolation until EvidenceTTL has passed.
func (g *Guard) Observe(target string, e Evidence, now time.Time) (died bool, changes []Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.ensureTarget(target)
	defer g.removeIdleTarget(target, now)
	g.expireLease(t, now)
	switch e.Kind {
	case ConnectionLost:
		return g.observeLoss(t, e.Group, now)
	case RedialRefused:
		if t.hasRecentLoss(now) {
			return true, g.recordCrash(t, e.Group, now)
		}
	case Draining:
		t.draining = true
		g.discardLosses(t)
	case Responded, Reconnected:
		return g.observeIncarnation(t, e, now)
	}
	return false, nil
}

// observeLoss reports a crash when the target lost another connection within LossWindow.
func (g *Guard) observeLoss(t *targetState, group string, now time.Time) (bool, []Change) {
	if t.draining {
		return false, nil
	}
	t.lossTimes = append(timesWithin(t.lossTimes, EvidenceTTL, now), now)
	if len(timesWithin(t.lossTimes, LossWindow, now)) > 1 {
		return true, g.recordCrash(t, group, now)
	}
	return false, nil
}

// timesWithin returns the times that are less than window before now.
func timesWithin(times []time.Time, window time.Duration, now time.Time) []time.Time {
	var kept []time.Time
	for _, at := range times {
		if now.Sub(at) < window {
			kept = append(kept, at)
		}
	}
	return kept
}

// hasRecentLoss reports whether a connection or a call was lost within EvidenceTTL. Either may be reported first.
func (t *targetState) hasRecentLoss(now time.Time) bool {
	if t.draining {
		return false
	}
	for _, ended := range t.endedCalls {
		if ended.lost && ended.mayBeCause(now) {
			return true
		}
	}
	return len(timesWithin(t.lossTimes, EvidenceTTL, now)) > 0
}

// observeIncarnation compares the reported incarnation with the previous one. The first one is only stored.
func (g *Guard) observeIncarnation(t *targetState, e Evidence, now time.Time) (died bool, changes []Change) {
	previous := t.incarnation
	if e.Incarnation == "" {
		return false, nil
	}
	t.incarnation = e.Incarnation
	if previous != e.Incarnation && previous != "" {
		if t.hasRecentLoss(now) {
			died, changes = true, g.recordCrash(t, e.Group, now)
		}
		t.draining, t.lossTimes, t.crashUpdates = false, nil, nil
		return died, changes
	}
	t.draining = false
	if e.Kind == Reconnected && previous == e.Incarnation {
		changes = g.retractCrash(t, now)
		g.discardLosses(t)
	}
	return false, changes
}

// discardLosses removes the lost connections and calls of a target that did not crash, and ends a reservation that
// was held to wait for evidence.
func (g *Guard) discardLosses(t *targetState) {
	t.lossTimes = nil
	g.removeEndedCalls(t, func(_ int, ended endedCall) bool { return ended.lost })
	if t.lease != nil && !t.lease.heldUntil.IsZero() {
		g.endReservation(t.lease)
	}
}

// retractCrash reverts the record updates of the last recorded crash after the target proved to be the same process.
func (g *Guard) retractCrash(t *targetState, now time.Time) []Change {
	var changes []Change
	for _, c := range t.crashUpdates {
		change, ok := g.clearUpTo(c.key, c.stamp, now)
		if ok && c.wasSuspect {
			change = g.markSuspect(c.key, c.group, now)
		}
		if ok {
			changes = append(changes, change)
		}
	}
	t.crashUpdates = nil
	return changes
}

// TargetDied records a crash that the caller detected by other means than Observe, and returns the states that changed.
func (g *Guard) TargetDied(target, group string, now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.ensureTarget(target)
	defer g.removeIdleTarget(target, now)
	g.expireLease(t, now)
	return g.recordCrash(t, group, now)
}

// recordCrash marks every fingerprint that ran, or may still have run, on the crashed target as suspect. One that ran
// in isolation is confirmed.
func (g *Guard) recordCrash(t *targetState, group string, now time.Time) []Change {
	suspects := t.possibleCauses(now)
	g.extendCanaryWindow(group, now.Add(CanaryTTL), now)
	if now.Sub(t.crashedAt) >= EvidenceTTL {
		t.crashUpdates = nil
	}
	var changes []Change
	for key, keyGroup := range suspects {
		g.extendCanaryWindow(keyGroup, now.Add(CanaryTTL), now)
		r := g.records[key]
		wasSuspect := r != nil && r.state(now) != Cleared
		change := g.suspectOrConfirm(t, key, keyGroup, len(suspects) == 1, now)
		t.crashUpdates = append(t.crashUpdates,
			crashUpdate{key: key, group: keyGroup, stamp: g.records[key].latest(), wasSuspect: wasSuspect})
		changes = append(changes, change)
	}
	g.resetAfterCrash(t, now)
	slices.SortFunc(changes, func(a, b Change) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return changes
}

// possibleCauses returns the fingerprints that ran, or may still have run, on the target, with their groups.
func (t *targetState) possibleCauses(now time.Time) map[recordKey]string {
	suspects := map[recordKey]string{}
	for c := range t.calls {
		suspects[recordKey{fp: c.fp, service: c.ref.Service}] = c.ref.Group
	}
	for _, ended := range t.endedCalls {
		if ended.mayBeCause(now) {
			suspects[recordKey{fp: ended.fp, service: ended.ref.Service}] = ended.ref.Group
		}
	}
	return suspects
}

// resetAfterCrash ends all calls of the target, so that a later End of one does not count as another loss.
func (g *Guard) resetAfterCrash(t *targetState, now time.Time) {
	t.crashedAt, t.lossTimes = now, nil
	g.removeEndedCalls(t, func(int, endedCall) bool { return true })
	for c := range t.calls {
		g.removeCall(t, c)
		g.markReadyIfAlone(g.leases[c.fp])
	}
	if t.lease != nil {
		g.endReservation(t.lease)
	}
}

// suspectOrConfirm marks a fingerprint as suspect, or as confirmed when it ran in isolation. If a cancelled call of
// another fingerprint may still have run at the same time, the first crash during an isolated run leaves it suspect and
// the second confirms it, so that a steady flow of cancelled calls cannot keep a crashing request from being confirmed.
func (g *Guard) suspectOrConfirm(t *targetState, key recordKey, group string, isOnlySuspect bool, now time.Time) Change {
	ranIsolated := t.lease != nil && t.lease.started && t.lease.fp == key.fp
	if !ranIsolated {
		return g.markSuspect(key, group, now)
	}
	isolatedCrashes := 1
	if r := g.records[key]; r != nil {
		isolatedCrashes += r.isolatedCrashes
	}
	if isOnlySuspect || isolatedCrashes > 1 {
		return g.markConfirmed(key, group, now)
	}
	change := g.markSuspect(key, group, now)
	g.records[key].isolatedCrashes = isolatedCrashes
	return change
}
