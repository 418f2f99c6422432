// Package balance chooses targets for the calls of one service: by expected wait, with outlier ejection, probation and
// slow start. It has no clocks, goroutines or random sources of its own.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Picker chooses targets for one service in one relay. It is safe for concurrent use.
type Picker struct {
	mu        sync.Mutex // guards targets, what they point to, ejections and own
	targets   []*state
	ejections int // since the start
	own       callRate

	config Config
}

// Config holds the limits of a Picker. The zero value takes the defaults.
type Config struct {
	// BaseEjection is the first ejection time; it doubles with each ejection in a row up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// SlowStart is the time in which a cold target's share grows to a full one.
	SlowStart time.Duration
	// SlowSpan is how long consecutive calls must have been slow before they eject a target: a target that pauses for a
	// moment is avoided by its calls in flight and is not worth an ejection. 0 ejects on the number of calls alone.
	SlowSpan time.Duration
	// sample is the number of candidates compared per choice, 0 for all. Tests compare the two.
	sample int
}

// Defaults of Config.
const (
	DefaultBaseEjection = 2 * time.Second
	DefaultMaxEjection  = time.Minute
	DefaultSlowStart    = 10 * time.Second
)

// NewPicker returns a picker without targets.
func NewPicker(c Config) *Picker {
	if c.BaseEjection <= 0 {
		c.BaseEjection = DefaultBaseEjection
	}
	if c.MaxEjection <= 0 {
		c.MaxEjection = DefaultMaxEjection
	}
	if c.SlowStart <= 0 {
		c.SlowStart = DefaultSlowStart
	}
	return &Picker{config: c}
}

// Update sets the candidates. What is known about those that stay is kept; new ones are cold.
func (p *Picker) Update(targets []Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make([]*state, 0, len(targets))
	for _, t := range targets {
		t.Slots = max(t.Slots, 1)
		s := p.find(t.ID)
		if s == nil {
			s = &state{coldSince: p.coldSince(t, now)}
		}
		s.Target = t
		next = append(next, s)
	}
	p.targets = next
}

// coldSince is the start of a new target's slow start.
func (p *Picker) coldSince(t Target, now time.Time) time.Time {
	switch {
	case t.ColdLeft > 0:
		return now.Add(min(t.ColdLeft, p.config.SlowStart) - p.config.SlowStart)
	case t.Warm:
		return now.Add(-p.config.SlowStart)
	default:
		return now
	}
}

func (p *Picker) find(id string) *state {
	for _, s := range p.targets {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// SetHop sets the measured round trip to a target.
func (p *Picker) SetHop(id string, hop time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(id); s != nil {
		s.Hop = hop
	}
}

// MarkLeaving notes that an incarnation of a target leaves. The mark is sticky: it ends only when the target reports
// another incarnation. An empty incarnation means the current one.
func (p *Picker) MarkLeaving(id, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(id)
	if s == nil {
		return
	}
	if incarnation == "" {
		incarnation = s.incarnation
	}
	s.leaving = appendBounded(s.leaving, incarnation)
}

// IsLeaving reports whether the present incarnation of a target is marked as leaving.
func (p *Picker) IsLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(id)
	return s != nil && s.isLeaving()
}

// NoteIncarnation notes the incarnation that a target itself reported, in a response or at its health endpoint.
func (p *Picker) NoteIncarnation(id, incarnation string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(id); s != nil {
		s.noteIncarnation(incarnation, now)
	}
}

// Hint notes published health. It may lag or mislead, so it only weighs on targets without recent own observations.
func (p *Picker) Hint(id string, bad bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(id); s != nil {
		s.hintBad, s.hintAt = bad, now
	}
}

// Request says which targets may be chosen.
type Request struct {
	// Tried names the targets that already had an attempt of this part; it is non-empty for hedges and retries. An
	// attempt that was shed did not run and is left out: the target is avoided for a short time anyway.
	Tried    []string
	Eligible func(string) bool // false for targets without the pinned index version; nil admits all
	NoProbe  bool              // for calls that must not be risked on a target on probation
}

// Choice is a chosen target. The call counts as in flight until Done.
type Choice struct {
	Target   Target
	Probe    bool          // a probe of a target on probation: hedge it early
	Expected time.Duration // expected time until the response

	started time.Time
}

// Pick chooses a target and counts a call in flight on it. It returns false when no target may be used.
func (p *Picker) Pick(r Request, now time.Time, rnd *rand.Rand) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(r)
	if len(usable) == 0 {
		return Choice{}, false
	}
	if probe := dueProbe(usable, r, now); probe != nil {
		probe.phase, probe.probing = phaseProbation, true
		return p.begin(probe, true, now), true
	}
	candidates := p.candidates(usable, now)
	candidates = dropCold(candidates, p.config.SlowStart, now, rnd)
	if len(r.Tried) > 0 {
		candidates = p.otherDomains(candidates, r.Tried)
	}
	return p.begin(p.cheapest(candidates, now, rnd), false, now), true
}

// Others counts the targets that a second attempt could use.
func (p *Picker) Others(r Request, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.usable(r) {
		if s.phase == phaseActive || p.allIn(now) {
			n++
		}
	}
	return n
}

func (p *Picker) begin(s *state, probe bool, now time.Time) Choice {
	expected := p.cost(s, p.reference(nil), now)
	s.inFlight++
	s.started = append(s.started, now)
	return Choice{Target: s.Target, Probe: probe, Expected: time.Duration(expected), started: now}
}

func (p *Picker) usable(r Request) []*state {
	usable := make([]*state, 0, len(p.targets))
	for _, s := range p.targets {
		if s.isLeaving() || slices.Contains(r.Tried, s.ID) || r.Eligible != nil && !r.Eligible(s.ID) {
			continue
		}
		usable = append(usable, s)
	}
	return usable
}

// dueProbe returns a target whose ejection time has passed and that has no probe in flight.
func dueProbe(usable []*state, r Request, now time.Time) *state {
	if r.NoProbe || len(r.Tried) > 0 {
		return nil
	}
	for _, s := range usable {
		if s.phase != phaseActive && !s.probing && !now.Before(s.ejectedUntil) {
			return s
		}
	}
	return nil
}

// candidates leaves out targets that are not active, unless too many look bad or none would be left. When the active
// ones are saturated, slow targets take part again, at their cost: an outlier among loaded targets may only be loaded.
func (p *Picker) candidates(usable []*state, now time.Time) []*state {
	if p.allIn(now) {
		return usable
	}
	active, spill := make([]*state, 0, len(usable)), make([]*state, 0, len(usable))
	saturated := true
	for _, s := range usable {
		switch {
		case s.phase == phaseActive:
			active = append(active, s)
			saturated = saturated && s.inFlight >= s.Slots
		case s.failures == 0 && !s.probing:
			spill = append(spill, s)
		}
	}
	switch {
	case len(active) == 0:
		return usable
	case saturated:
		return append(active, spill...)
	}
	return active
}

const (
	// coldShare is the share of its choices that a cold target takes part in at first.
	coldShare = 0.1
)

// dropCold leaves out each cold target with a chance that falls over the slow start. At least one target stays.
func dropCold(candidates []*state, slowStart time.Duration, now time.Time, rnd *rand.Rand) []*state {
	kept := make([]*state, 0, len(candidates))
	for _, s := range candidates {
		warm := float64(now.Sub(s.coldSince)) / float64(slowStart)
		if warm >= 1 || rnd.Float64() < coldShare+(1-coldShare)*warm {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// otherDomains keeps the targets outside the failure domains of those tried, when there are any.
func (p *Picker) otherDomains(candidates []*state, tried []string) []*state {
	other := make([]*state, 0, len(candidates))
	for _, s := range candidates {
		if !slices.ContainsFunc(tried, func(id string) bool {
			t := p.find(id)
			return t != nil && t.Domain == s.Domain
		}) {
			other = append(other, s)
		}
	}
	if len(other) == 0 {
		return candidates
	}
	return other
}
