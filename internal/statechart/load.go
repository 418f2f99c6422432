package statechart

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"go.yaml.in/yaml/v3"
)

// definition is the YAML form of a chart.
type definition[S, E ~string] struct {
	Chart   string               `yaml:"chart"`
	Initial S                    `yaml:"initial"`
	Events  []E                  `yaml:"events"`
	States  map[S]stateDef[S, E] `yaml:"states"`
}

// stateDef is the YAML form of one state.
type stateDef[S, E ~string] struct {
	Final bool    `yaml:"final"`
	On    map[E]S `yaml:"on"`
}

// Load parses and validates a chart. Its error is a *LoadError that lists all problems at once; YAML that cannot be decoded
// is reported without further checks.
func Load[S, E ~string](source []byte, set *metrics.Set) (*Chart[S, E], error) {
	var d definition[S, E]
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(&d); err != nil {
		return nil, &LoadError{Chart: d.Chart, Problems: []string{err.Error()}}
	}
	if problems := d.validate(); len(problems) > 0 {
		return nil, &LoadError{Chart: d.Chart, Problems: problems}
	}
	return d.build(set), nil
}

// build turns a valid definition into a chart.
func (d *definition[S, E]) build(set *metrics.Set) *Chart[S, E] {
	c := &Chart[S, E]{
		name: d.Chart, initial: d.Initial, metrics: set,
		states: slices.Sorted(maps.Keys(d.States)), events: slices.Sorted(slices.Values(d.Events)),
		final: map[S]bool{}, transitions: map[transitionKey[S, E]]S{},
	}
	for state, def := range d.States {
		c.final[state] = def.Final
		for event, to := range def.On {
			c.transitions[transitionKey[S, E]{state, event}] = to
		}
	}
	return c
}

// validate returns all problems of the definition in a stable order.
func (d *definition[S, E]) validate() []string {
	var out []string
	if d.Chart == "" {
		out = append(out, "chart has no name")
	}
	if _, ok := d.States[d.Initial]; !ok {
		out = append(out, fmt.Sprintf("initial state %q is not declared", d.Initial))
	}
	usedEvents := map[E]bool{}
	for _, state := range slices.Sorted(maps.Keys(d.States)) {
		out = append(out, d.validateState(state, usedEvents)...)
	}
	out = append(out, d.validateEvents(usedEvents)...)
	reached := d.reachable()
	for _, state := range slices.Sorted(maps.Keys(d.States)) {
		if !reached[state] {
			out = append(out, fmt.Sprintf("state %q is unreachable", state))
		}
	}
	return out
}

// validateState checks the transitions of one state and adds their events to usedEvents.
func (d *definition[S, E]) validateState(state S, usedEvents map[E]bool) []string {
	var out []string
	def := d.States[state]
	if def.Final && len(def.On) > 0 {
		out = append(out, fmt.Sprintf("final state %q has transitions", state))
	}
	if !def.Final && len(def.On) == 0 {
		out = append(out, fmt.Sprintf("state %q has no transitions and is not final", state))
	}
	for _, event := range slices.Sorted(maps.Keys(def.On)) {
		usedEvents[event] = true
		if !slices.Contains(d.Events, event) {
			out = append(out, fmt.Sprintf("event %q in state %q is not declared", event, state))
		}
		if to := def.On[event]; !d.declares(to) {
			out = append(out, fmt.Sprintf("event %q in state %q leads to undeclared state %q", event, state, to))
		}
	}
	return out
}

// validateEvents reports events that are declared twice or never used.
func (d *definition[S, E]) validateEvents(usedEvents map[E]bool) []string {
	var out []string
	seen := map[E]bool{}
	for _, event := range d.Events {
		if seen[event] {
			out = append(out, fmt.Sprintf("event %q is declared twice", event))
		}
		seen[event] = true
		if !usedEvents[event] {
			out = append(out, fmt.Sprintf("event %q is declared but never used", event))
		}
	}
	return out
}

// declares reports whether the definition declares the state.
func (d *definition[S, E]) declares(state S) bool {
	_, ok := d.States[state]
	return ok
}

// reachable returns the declared states that some sequence of events leads to, the initial state included.
func (d *definition[S, E]) reachable() map[S]bool {
	reached := map[S]bool{}
	for queue := []S{d.Initial}; len(queue) > 0; {
		state := queue[0]
		queue = queue[1:]
		if reached[state] || !d.declares(state) {
			continue
		}
		reached[state] = true
		queue = append(queue, slices.Collect(maps.Values(d.States[state].On))...)
	}
	return reached
}
