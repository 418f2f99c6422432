package statechart

import "sync"

// Machine holds the current state of one object whose lifecycle follows a chart. It is safe for concurrent use.
type Machine[S, E ~string] struct {
	chart *Chart[S, E]
	mu    sync.Mutex // guards state
	state S
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart[S, E]) NewMachine() *Machine[S, E] {
	return &Machine[S, E]{chart: c, state: c.initial}
}

// State returns the current state.
func (m *Machine[S, E]) State() S {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Fire applies an event and returns the resulting state. A disallowed event leaves the state unchanged and returns an
// *EventError.
func (m *Machine[S, E]) Fire(event E) (S, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, err := m.chart.Next(m.state, event)
	m.state = next
	return next, err
}
