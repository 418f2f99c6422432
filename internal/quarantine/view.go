package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RecordView is the state of a fingerprint on a service, for display.
type RecordView struct {
	Fingerprint Fingerprint
	Group       string
	Service     string
	State       State
	RefusedFor  time.Duration // remaining refusal of a confirmed fingerprint
	ExpiresIn   time.Duration
}

// View returns the records that have not expired, ordered by group, service and fingerprint. It changes nothing.
func (g *Guard) View(now time.Time) []RecordView {
	g.mu.Lock()
	defer g.mu.Unlock()
	views := make([]RecordView, 0, len(g.records))
	for key, r := range g.records {
		if !now.Before(r.expires) {
			continue
		}
		v := RecordView{Fingerprint: key.fp, Group: r.group, Service: key.service, State: r.state(now), ExpiresIn: r.expires.Sub(now)}
		if v.State == Confirmed {
			v.RefusedFor = r.confirmUntil.Sub(now)
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b RecordView) int {
		return cmp.Or(strings.Compare(a.Group, b.Group), strings.Compare(a.Service, b.Service),
			slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return views
}

// IsReserved reports whether a target is reserved for an isolated run. Unlike ExpireAndCheckReserved, it does not end an
// expired reservation.
func (g *Guard) IsReserved(target string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[target]
	return t != nil && t.lease != nil && !t.lease.isExpired(now)
}
