package relay

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

// targetSpec holds the settings of a target's client; a changed spec requires a new client.
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
	machine            *targetMachine
	incarnation        string // last one seen by machine; used by the maintenance loop only

	mu         sync.Mutex // guards the fields below
	crashCheck *crashCheck
	polling    bool
}

// crashCheck is the check, after a lost connection, whether the target died. died is valid once done is closed.
type crashCheck struct {
	done chan struct{}
	died bool
}

// newLocalTarget creates the client of a target. When previous is set, no connection is opened until that client has
// ended.
func (r *Relay) newLocalTarget(group, service, id string, spec targetSpec, previous *localTarget) (*localTarget, error) {
	cfg := target.Config{ID: id, Group: group, Address: spec.address, MaxConnections: spec.connections, Metrics: r.deps.Metrics}
	if previous != nil {
		cfg.OpenAfter = previous.closed
	}
	client, err := r.deps.Dial(cfg)
	if err != nil {
		return nil, eris.Wrapf(err, "client of target %s", id)
	}
	return &localTarget{
		id: id, group: group, service: service, spec: spec,
		client: client, gate: targetqueue.NewGate(spec.slots, time.Now), closed: make(chan struct{}),
		machine: r.deps.Charts.Target.NewMachine(),
	}, nil
}

func (t *localTarget) close(ctx context.Context) {
	_ = t.client.Close(ctx) // the only error is that calls were still in flight at the end of ctx
}

func (t *localTarget) ref() quarantine.TargetRef {
	return quarantine.TargetRef{Group: t.group, Service: t.service, Target: t.id}
}

// checkTargetDied reports whether the target died, checked once per loss: it opens a connection and compares
// incarnations. Calls that were lost at the same time share one check, because they may have shared the connection.
func (r *Relay) checkTargetDied(ctx context.Context, t *localTarget) bool {
	t.mu.Lock()
	check := t.crashCheck
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		t.crashCheck = check
		r.wg.Go(func() { r.runCrashCheck(t, check) })
	}
	t.mu.Unlock()
	select {
	case <-check.done:
		return check.died
	case <-ctx.Done():
		return false
	}
}

// crashCheckTimeout bounds the check of a target after a lost connection.
const crashCheckTimeout = 500 * time.Millisecond

func (r *Relay) runCrashCheck(t *localTarget, check *crashCheck) {
	defer close(check.done)
	defer r.deps.Panics.Contain("check of a lost target", logrus.Fields{"target": t.id}, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.crashCheck = nil
	})
	died := r.reportEvidence(t, quarantine.Evidence{Kind: quarantine.ConnectionLost, Group: t.group})
	ctx, cancel := context.WithTimeout(r.ctx, crashCheckTimeout)
	defer cancel()
	health, err := t.client.Health(ctx)
	switch {
	case err == nil:
		died = r.reportEvidence(t, quarantine.Evidence{Kind: quarantine.Reconnected, Group: t.group, Incarnation: health.Incarnation}) || died
	case isConnectionRefused(err):
		died = r.reportEvidence(t, quarantine.Evidence{Kind: quarantine.RedialRefused, Group: t.group}) || died
	}
	check.died = died
	t.mu.Lock()
	t.crashCheck = nil
	t.mu.Unlock()
}

// reportEvidence passes evidence to the quarantine guard and reports whether it proves that the target died.
func (r *Relay) reportEvidence(t *localTarget, e quarantine.Evidence) bool {
	died, changes := r.deps.Guard.Observe(t.id, e, time.Now())
	r.reportQuarantineChanges(changes)
	return died
}

func (r *Relay) reportQuarantineChanges(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		r.metrics.countQuarantineChange(c.State)
		r.deps.Log.WithField("fingerprint", c.Fingerprint).WithField("group", c.Group).WithField("service", c.Service).
			WithField("state", c.State).Warn("quarantine state of a request changed")
	}
	if r.deps.OnQuarantine != nil {
		r.deps.OnQuarantine(changes)
	}
}

// isConnectionRefused reports whether nothing listens at the address, which means that the process is gone.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
