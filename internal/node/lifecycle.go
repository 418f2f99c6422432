package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// lifecycle holds the state machine of this node, which follows the node chart, and counts the peer calls in flight. mu
// guards the fields below it.
type lifecycle struct {
	log      *logrus.Entry
	announce func(statechart.NodeState)
	pause    *pauseDetector

	mu       sync.Mutex
	machine  *statechart.Machine[statechart.NodeState, statechart.NodeEvent]
	inFlight int // calls from peers
}

func newLifecycle(charts *statechart.Charts, log *logrus.Entry, announce func(statechart.NodeState)) *lifecycle {
	return &lifecycle{log: log, announce: announce, pause: newPauseDetector(time.Now), machine: charts.Node.NewMachine()}
}

// fire sends an event to the state machine. An event that the chart does not allow is counted there and changes nothing.
func (l *lifecycle) fire(event statechart.NodeEvent) {
	l.mu.Lock()
	before := l.machine.State()
	after, err := l.machine.Fire(event)
	l.mu.Unlock()
	if err != nil {
		l.log.WithError(err).Debug("node state machine rejected an event")
		return
	}
	if after != before {
		l.log.WithFields(logrus.Fields{"from": before, "to": after, "event": event}).Info("node state changed")
	}
	l.announce(after)
}

// State returns the current state of the node.
func (l *lifecycle) State() statechart.NodeState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Ready reports whether the node takes new work. A request that arrives right after a pause is refused even if the
// pause detector has not run again yet.
func (l *lifecycle) Ready() bool {
	return l.State() == statechart.NodeReady && l.pause.pausedFor() == 0
}

// AnswersTickets reports whether the node answers commands that carry a ticket. A draining node does: no other node may
// run the commands of its tickets, and it knows the outcomes of those that it ran.
func (l *lifecycle) AnswersTickets() bool {
	state := l.State()
	return (state == statechart.NodeReady || state == statechart.NodeDraining) && l.pause.pausedFor() == 0
}

// beginCall reports whether the node takes new work. If so, it counts a call from a peer as in flight until the returned
// function is called.
func (l *lifecycle) beginCall() (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.State() != statechart.NodeReady || l.pause.pausedFor() > 0 {
		return nil, false
	}
	l.inFlight++
	return l.endCall, true
}

// beginTicketCall counts a call that presents a ticket as in flight until the returned function is called. A draining
// node still answers such calls.
func (l *lifecycle) beginTicketCall() func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	return l.endCall
}

func (l *lifecycle) endCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *lifecycle) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight == 0
}

// waitIdle waits until no call from a peer is in flight. It returns errDrainTimeout if ctx ends first.
func (l *lifecycle) waitIdle(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for !l.isIdle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errDrainTimeout
		}
	}
	return nil
}
