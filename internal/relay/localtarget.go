package relay

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

// targetSpec is what the client of a target is made from; another spec needs another client.
type targetSpec struct {
	address     string
	connections int
	slots       int
}

// localTarget is a target in the relay's own failure domain: its client and its slots.
type localTarget struct {
	id, group, service string
	spec               targetSpec
	client             target.Caller
	gate               *targetqueue.Gate
	closed             chan struct{} // closed when the client has ended
	life               *targetLife
	incarnation        string // as life last saw it; used by the maintenance loop only

	mu      sync.Mutex // guards the fields below
	probe   *lossProbe
	polling bool
}

// lossProbe is the check of a target after a lost connection. died is valid once done is closed.
type lossProbe struct {
	done chan struct{}
	died bool
}

// newLocalTarget makes the client of a target. When before is set, no connection is opened until that client has ended.
func (r *Relay) newLocalTarget(group, service, id string, spec targetSpec, before *localTarget) (*localTarget, error) {
	cfg := target.Config{ID: id, Group: group, Address: spec.address, MaxConnections: spec.connections, Metrics: r.deps.Metrics}
	if before != nil {
		cfg.After = before.closed
	}
	client, err := r.deps.Dial(cfg)
	if err != nil {
		return nil, eris.Wrapf(err, "client of target %s", id)
	}
	return &localTarget{
		id: id, group: group, service: service, spec: spec,
		client: client, gate: targetqueue.NewGate(spec.slots, time.Now), closed: make(chan struct{}),
		life: r.deps.Charts.Target.NewMachine(),
	}, nil
}

func (t *localTarget) close(ctx context.Context) {
	_ = t.client.Close(ctx) // the only error is that calls were still in flight at the end of ctx
}

func (t *localTarget) place() quarantine.Place {
	return quarantine.Place{Group: t.group, Service: t.service, Target: t.id}
}

// afterLoss finds out whether the target died, once per loss: it opens a connection and compares incarnations. Calls
// that were lost together share one check, because they may have shared the connection.
func (r *Relay) afterLoss(ctx context.Context, t *localTarget) bool {
	t.mu.Lock()
	p := t.probe
	if p == nil {
		p = &lossProbe{done: make(chan struct{})}
		t.probe = p
		r.wg.Go(func() { r.runLossProbe(t, p) })
	}
	t.mu.Unlock()
	select {
	case <-p.done:
		return p.died
	case <-ctx.Done():
		return false
	}
}

// lossProbeTimeout bounds the check of a target after a lost connection.
const lossProbeTimeout = 500 * time.Millisecond

func (r *Relay) runLossProbe(t *localTarget, p *lossProbe) {
	defer close(p.done)
	died := r.observe(t, quarantine.Evidence{Kind: quarantine.ConnectionLost, Group: t.group})
	ctx, cancel := context.WithTimeout(r.stopped, lossProbeTimeout)
	defer cancel()
	health, err := t.client.Health(ctx)
	switch {
	case err == nil:
		died = r.observe(t, quarantine.Evidence{Kind: quarantine.Reconnected, Group: t.group, Incarnation: health.Incarnation}) || died
	case isRefusedDial(err):
		died = r.observe(t, quarantine.Evidence{Kind: quarantine.RedialRefused, Group: t.group}) || died
	}
	p.died = died
	t.mu.Lock()
	t.probe = nil
	t.mu.Unlock()
}

// observe passes evidence on and reports whether it proves that the target died.
func (r *Relay) observe(t *localTarget, e quarantine.Evidence) bool {
	died, changes := r.deps.Guard.Observe(t.id, e, time.Now())
	r.noteQuarantine(changes)
	return died
}

func (r *Relay) noteQuarantine(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		r.m.quarantine(c.State)
		r.deps.Log.WithField("fingerprint", c.Fingerprint).WithField("group", c.Group).WithField("service", c.Service).
			WithField("state", c.State).Warn("quarantine state of a request changed")
	}
	if r.deps.OnQuarantine != nil {
		r.deps.OnQuarantine(changes)
	}
}

// isRefusedDial reports whether nothing listens at the address: the process is gone.
func isRefusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
