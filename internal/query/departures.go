package query

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/notice"
)

const (
	// departureTime is how long a node tells others that a target has said that it leaves. Each message reaches some of the nodes of the
	// failure domain, and one may be lost.
	departureTime = 2 * time.Second
	// maxDepartures bounds the targets in one message, when a whole failure domain leaves at once. Nodes learn of the others by
	// their own calls.
	maxDepartures = 64
)

// LeavingTarget is an incarnation of a target that has said that it leaves.
type LeavingTarget struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	StartedAtMS int64  `json:"started_at_ms"`
}

// departure is a target that has lately told this node that it leaves.
type departure struct {
	target incarnation
	heard  time.Time
}

// departures are what this node tells others of leaving targets: a node that calls a target rarely would otherwise learn it from a request
// that the target, gone by then, does not answer. Only what the target itself has said is told, not what others have told. mu
// guards list.
type departures struct {
	mu   sync.Mutex
	list []departure // oldest first
}

func (d *departures) add(target incarnation, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, departure{target, now})
}

// recent returns the latest departures by service and forgets those that have been told for long enough.
func (d *departures) recent(now time.Time) map[string][]LeavingTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = slices.DeleteFunc(d.list, func(x departure) bool { return now.Sub(x.heard) > departureTime })
	byService := map[string][]LeavingTarget{}
	for _, x := range d.list[max(0, len(d.list)-maxDepartures):] {
		byService[x.target.service] = append(byService[x.target.service],
			LeavingTarget{ID: x.target.id, Address: x.target.address, StartedAtMS: x.target.startedAtMS})
	}
	return byService
}

// mergeDepartures takes note of the targets of a service that have told another node that they leave. Those that this node does not
// list in the same incarnation are left aside.
func (e *Engine) mergeDepartures(service string, targets []LeavingTarget, now time.Time) {
	for _, leaving := range targets {
		t := e.listedClient(leaving.ID)
		if t == nil || t.incarnation != (incarnation{leaving.ID, leaving.Address, service, leaving.StartedAtMS}) {
			continue
		}
		isNews := false
		e.note(t, now, func(r *notice.Record) { isNews = r.Leave() })
		if !isNews {
			continue
		}
		e.metrics.departuresTold.Inc()
		t.pool.Close() // the calls in flight end as usual
		e.deps.Log.WithFields(logrus.Fields{"target": t.id, "service": service, "started_at_ms": t.incarnation.startedAtMS}).
			Info("target has told another node that it leaves")
	}
}
