// Package statechart interprets state charts that are written in YAML.
// An event that a chart does not allow in the current state returns an *EventError and is counted.
package statechart

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// RejectedEventsMetric is the counter of events that a chart does not allow, by chart, state and event.
const RejectedEventsMetric = "medlarshunt_statechart_rejected_events_total"

// undeclaredLabel replaces names that the chart does not declare, so that the number of label values stays bounded.
const undeclaredLabel = "undeclared"

// EventError reports an event that the chart does not allow in the current state.
type EventError struct {
	Chart string
	State string
	Event string
}

// Error implements the error interface.
func (e *EventError) Error() string {
	return fmt.Sprintf("statechart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}

// LoadError lists all problems of a chart definition.
type LoadError struct {
	Chart    string
	Problems []string
}

// Error implements the error interface.
func (e *LoadError) Error() string {
	return fmt.Sprintf("statechart %s is invalid: %s", e.Chart, strings.Join(e.Problems, "; "))
}

// transitionKey identifies a transition by its source state and its event.
type transitionKey[S, E ~string] struct {
	state S
	event E
}

// Chart is a validated, immutable state chart. S and E are the chart's own state and event types, so that events of
// one chart cannot be sent to another.
type Chart[S, E ~string] struct {
	name        string
	initial     S
	states      []S
	events      []E
	final       map[S]bool
	transitions map[transitionKey[S, E]]S
	metrics     *metrics.Set
}

// Name returns the name of the chart.
func (c *Chart[S, E]) Name() string { return c.name }

// Initial returns the state in which a machine starts.
func (c *Chart[S, E]) Initial() S { return c.initial }

// States returns the declared states, sorted.
func (c *Chart[S, E]) States() []S { return c.states }

// Events returns the declared events, sorted.
func (c *Chart[S, E]) Events() []E { return c.events }

// IsFinal reports whether no event leads out of the state.
func (c *Chart[S, E]) IsFinal(state S) bool { return c.final[state] }

// Allows reports whether the event is allowed in the state, without counting it.
func (c *Chart[S, E]) Allows(state S, event E) bool {
	_, ok := c.transitions[transitionKey[S, E]{state, event}]
	return ok
}

// Next returns the state that follows. A disallowed event is counted and returns the same state with an *EventError.
func (c *Chart[S, E]) Next(state S, event E) (S, error) {
	if to, ok := c.transitions[transitionKey[S, E]{state, event}]; ok {
		return to, nil
	}
	c.rejectedCounter(state, event).Inc()
	return state, &EventError{Chart: c.name, State: string(state), Event: string(event)}
}

// rejectedCounter returns the counter of a disallowed event. It is created on first use, because most pairs of state and
// event never occur.
func (c *Chart[S, E]) rejectedCounter(state S, event E) *metrics.Counter {
	return c.metrics.GetOrCreateCounter(fmt.Sprintf("%s{chart=%q,state=%q,event=%q}",
		RejectedEventsMetric, c.name, labelValue(c.states, state), labelValue(c.events, event)))
}

// labelValue returns the name if it is declared, and undeclaredLabel otherwise.
func labelValue[T ~string](declared []T, name T) string {
	for _, d := range declared {
		if d == name {
			return string(name)
		}
	}
	return undeclaredLabel
}
