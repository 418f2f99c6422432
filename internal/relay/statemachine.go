package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// attemptMachine is the state machine of one attempt; the attempt chart defines it.
type attemptMachine = statechart.Machine[statechart.AttemptState, statechart.AttemptEvent]

// targetMachine is the state machine of one target as this relay sees it; the target chart defines it.
type targetMachine = statechart.Machine[statechart.TargetState, statechart.TargetEvent]

// fireAttempt passes an event to the state machine of an attempt and reports whether its chart allows it. The chart
// counts rejected events; one means that this package has lost track of an attempt.
func (r *Relay) fireAttempt(machine *attemptMachine, event statechart.AttemptEvent) bool {
	if _, err := machine.Fire(event); err != nil {
		r.deps.Log.WithError(err).Error("attempt state machine rejected an event")
		return false
	}
	return true
}

// attemptEndEvent returns the event that ends an attempt.
func attemptEndEvent(res peer.AttemptResult) statechart.AttemptEvent {
	switch {
	case res.Failure == "":
		return statechart.AttemptAnswer
	case res.Failure == peer.Failure(target.FailureTimeout):
		return statechart.AttemptCancel
	case res.Outcome == api.OutcomeNotRun:
		return statechart.AttemptRefuse
	default:
		return statechart.AttemptFail
	}
}

// syncTargetStates brings the state machines of the local targets in line with the views of the pickers.
func (r *Relay) syncTargetStates(now time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, g := range r.groups {
		for _, s := range g.services {
			candidates, _ := s.picker.View(balance.Request{}, now)
			for _, c := range candidates {
				if t := r.targets[c.ID]; t != nil {
					r.syncTargetState(t, c)
				}
			}
		}
	}
}

// syncTargetState moves one target through its chart until its state agrees with the view of the picker.
func (r *Relay) syncTargetState(t *localTarget, c balance.Candidate) {
	before := t.machine.State()
	if t.incarnation != "" && c.Incarnation != "" && c.Incarnation != t.incarnation {
		r.fireTarget(t, statechart.TargetRestarted)
	}
	if c.Incarnation != "" {
		t.incarnation = c.Incarnation
	}
	for {
		event, due := nextTargetEvent(t.machine.State(), c)
		if !due || !r.fireTarget(t, event) {
			break
		}
	}
	if after := t.machine.State(); after != before {
		r.deps.Log.WithFields(logrus.Fields{"target": t.id, "from": before, "to": after}).Info("target state changed")
	}
}

func (r *Relay) fireTarget(t *localTarget, event statechart.TargetEvent) bool {
	if _, err := t.machine.Fire(event); err != nil {
		r.deps.Log.WithError(err).WithField("target", t.id).Error("target state machine rejected an event")
		return false
	}
	return true
}

// nextTargetEvent returns the event that brings the state closer to the view of the picker.
func nextTargetEvent(state statechart.TargetState, c balance.Candidate) (statechart.TargetEvent, bool) {
	switch state {
	case statechart.TargetLeaving, statechart.TargetGone:
		return "", false
	case statechart.TargetEjected:
		if !c.Leaving && (c.Probation || !c.Ejected) {
			return statechart.TargetProbeDue, true
		}
	case statechart.TargetProbation:
		switch {
		case c.Leaving:
		case !c.Ejected:
			return statechart.TargetProbeAnswered, true
		case !c.Probation:
			return statechart.TargetProbeFailed, true
		}
	case statechart.TargetUnknown:
		if !c.Leaving && !c.Ejected && c.Latency > 0 {
			return statechart.TargetFirstAnswer, true
		}
	case statechart.TargetWarming:
		if !c.Leaving && !c.Ejected && !c.Cold {
			return statechart.TargetWarmed, true
		}
	}
	switch {
	case c.Leaving:
		return statechart.TargetLeave, true
	case c.Ejected && state != statechart.TargetEjected && state != statechart.TargetProbation:
		return statechart.TargetEject, true
	}
	return "", false
}

// TargetStates returns the state in the target chart of each target of this failure domain.
func (r *Relay) TargetStates() map[string]statechart.TargetState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	states := make(map[string]statechart.TargetState, len(r.targets))
	for id, t := range r.targets {
		states[id] = t.machine.State()
	}
	return states
}
