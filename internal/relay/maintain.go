package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

const (
	// expireInterval is the maximum delay with which a queued search that ran out of time is refused.
	expireInterval = 20 * time.Millisecond
	// healthInterval is the time between health polls of a target. A draining target is noticed after one interval even
	// when no search reaches it.
	healthInterval = time.Second
	// healthTimeout bounds one health poll.
	healthTimeout = 800 * time.Millisecond
)

// maintain drops expired searches from the queues, polls the health of targets, updates their state machines and sweeps
// the quarantine, until ctx ends.
func (r *Relay) maintain(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	health := time.NewTicker(healthInterval)
	defer health.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expire.C:
			r.expireSearches(now)
		case <-health.C:
			r.deps.Guard.Sweep(time.Now())
			r.syncTargetStates(time.Now())
			r.pollHealth()
		}
	}
}

func (r *Relay) expireSearches(now time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, g := range r.groups {
		g.admission.expire(now)
	}
}

// pollHealth polls the targets of the groups that this node owns. Polling the others would open connections that are
// not needed.
func (r *Relay) pollHealth() {
	for _, t := range r.ownedTargets() {
		r.wg.Go(func() { r.pollTarget(t) })
	}
}

// ownedTargets returns the targets of the groups that this node owns.
func (r *Relay) ownedTargets() []*localTarget {
	r.mu.RLock()
	defer r.mu.RUnlock()
	targets := make([]*localTarget, 0, len(r.targets))
	owned := map[string]bool{}
	for name := range r.groups {
		owned[name] = r.deps.Remotes.Owns(name)
	}
	for _, t := range r.targets {
		if owned[t.group] {
			targets = append(targets, t)
		}
	}
	return targets
}

func (r *Relay) pollTarget(t *localTarget) {
	if !t.beginPoll() {
		return
	}
	defer t.endPoll()
	defer r.deps.Panics.Contain("health of a target", logrus.Fields{"target": t.id})
	ctx, cancel := context.WithTimeout(r.ctx, healthTimeout)
	defer cancel()
	health, err := t.client.Health(ctx)
	g := r.group(t.group)
	if g == nil || g.services[t.service] == nil {
		return
	}
	if err != nil {
		g.services[t.service].picker.SetPublishedHealth(t.id, true, time.Now())
		return
	}
	g.services[t.service].picker.SetPublishedHealth(t.id, !health.Ready && !health.Draining, time.Now())
	r.recordLoad(g, t.service, t.id, health.Load)
	r.reportEvidence(t, quarantine.Evidence{Kind: evidenceOf(health.Load), Group: t.group, Incarnation: health.Incarnation})
}

func evidenceOf(l target.Load) quarantine.EvidenceKind {
	if l.Draining {
		return quarantine.Draining
	}
	return quarantine.Responded
}

func (t *localTarget) beginPoll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.polling {
		return false
	}
	t.polling = true
	return true
}

func (t *localTarget) endPoll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.polling = false
}

// recordLoad applies what a target reported about itself: its incarnation, index versions and draining state.
func (r *Relay) recordLoad(g *group, service, targetID string, l target.Load) {
	now := time.Now()
	s := g.services[service]
	if s == nil {
		return
	}
	s.picker.NoteIncarnation(targetID, l.Incarnation, now)
	if g.chooser != nil {
		g.chooser.Observe(targetID, service, l.IndexVersions, now)
	}
	if l.Draining {
		r.reportLeaving(targetID, l.Incarnation)
	}
}
