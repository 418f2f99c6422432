package quarantine

import (
	"slices"
	"time"
)

// recordKey identifies a record. Records are kept per service, because a request may crash one service and succeed on
// the others: only a success on the service that crashed clears the suspicion.
type recordKey struct {
	fp      Fingerprint
	service string
}

// stamps are the logical timestamps that order the events of a record: the latest of each kind. A new one is the Unix
// time in milliseconds, raised above every stamp of the record that the node knows. Records merge by taking the largest
// stamp of each kind. Cleared is the largest stamp that was known when the successful isolated run began, so that it
// covers the evidence from before that run and never a newer suspicion or confirmation.
type stamps struct {
	Suspected int64 `json:"suspected,omitempty"`
	Confirmed int64 `json:"confirmed,omitempty"`
	Cleared   int64 `json:"cleared,omitempty"`
}

func (s stamps) latest() int64 { return max(s.Suspected, s.Confirmed, s.Cleared) }

func (s stamps) next(now time.Time) int64 { return max(now.UnixMilli(), s.latest()+1) }

// record is the local state of a fingerprint on a service. The times carry a monotonic reading of this node.
type record struct {
	stamps
	group           string
	confirmUntil    time.Time // end of the refusal
	expires         time.Time // end of the record
	changeSeq       uint64    // sequence number of the last change, see Guard.lastChangeSeq
	isolatedCrashes int       // crashes that this node saw during isolated runs without confirming the fingerprint
}

func (r *record) state(now time.Time) State {
	switch {
	case !now.Before(r.expires):
		return Cleared
	case r.Confirmed > r.Cleared && now.Before(r.confirmUntil):
		return Confirmed
	case max(r.Suspected, r.Confirmed) > r.Cleared:
		return Suspect
	default:
		return Cleared
	}
}

func (g *Guard) decide(fp Fingerprint, now time.Time) Decision {
	d := Decision{Action: Allow, SuspectFor: SuspectTTL}
	for _, key := range g.recordKeys(fp) {
		r := g.records[key]
		switch r.state(now) {
		case Confirmed:
			d.Action = Refuse
			d.RetryAfter = max(d.RetryAfter, r.confirmUntil.Sub(now))
			d.Services = append(d.Services, key.service)
		case Suspect:
			if d.Action != Refuse {
				d.Action = Isolate
			}
			d.SuspectFor = min(d.SuspectFor, max(0, SuspectTTL-r.expires.Sub(now)))
			d.Services = append(d.Services, key.service)
		}
	}
	for _, service := range g.pendingServices(fp, now) {
		if d.Action == Allow {
			d.Action = Isolate
		}
		if !slices.Contains(d.Services, service) {
			d.Services = append(d.Services, service)
		}
	}
	slices.Sort(d.Services)
	return d
}

// update applies a change to the record of key and sets its expiry to ttl from now.
func (g *Guard) update(key recordKey, group string, ttl time.Duration, now time.Time, apply func(*record)) *record {
	r := g.ensureRecord(key, group, now)
	apply(r)
	r.expires = now.Add(ttl)
	g.markChanged(r)
	return r
}

// ensureRecord returns the record of key. It creates one when there is none or it has expired.
func (g *Guard) ensureRecord(key recordKey, group string, now time.Time) *record {
	r := g.records[key]
	if r == nil || !now.Before(r.expires) {
		g.evictRecords(now)
		r = &record{group: group}
		g.setRecord(key, r)
	}
	return r
}

// markChanged assigns the next sequence number to a record, so that Export returns it again.
func (g *Guard) markChanged(r *record) {
	g.lastChangeSeq++
	r.changeSeq = g.lastChangeSeq
}

// markSuspect makes a fingerprint suspect on a service. A confirmed one stays confirmed.
func (g *Guard) markSuspect(key recordKey, group string, now time.Time) Change {
	change := Change{Fingerprint: key.fp, Group: group, Service: key.service, State: Suspect}
	if r := g.records[key]; r != nil && r.state(now) == Confirmed {
		change.State = Confirmed
		return change
	}
	g.update(key, group, SuspectTTL, now, func(r *record) { r.Suspected = r.next(now) })
	return change
}

// markConfirmed makes a fingerprint confirmed on a service.
func (g *Guard) markConfirmed(key recordKey, group string, now time.Time) Change {
	g.update(key, group, ConfirmTTL+SuspectTTL, now, func(r *record) {
		r.Confirmed = r.next(now)
		r.confirmUntil = now.Add(ConfirmTTL)
	})
	return Change{Fingerprint: key.fp, Group: group, Service: key.service, State: Confirmed}
}

// clearUpTo clears the suspicions and confirmations up to stamp. The record keeps its expiry, because the cleared
// evidence may exist on other nodes until then.
func (g *Guard) clearUpTo(key recordKey, stamp int64, now time.Time) (Change, bool) {
	r := g.records[key]
	if r == nil || stamp <= r.Cleared {
		return Change{}, false
	}
	r.Cleared = stamp
	g.markChanged(r)
	return Change{Fingerprint: key.fp, Group: r.group, Service: key.service, State: r.state(now)}, true
}
