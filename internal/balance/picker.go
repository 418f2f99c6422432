// Package balance chooses targets for the calls of one service by their expected response time, with outlier ejection,
// probation and slow start. It has no clocks, goroutines or random sources of its own.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// Picker chooses targets for one service on one node. It is safe for concurrent use.
type Picker struct {
	mu             panics.Mutex // guards targets, what they point to, totalEjections and ownCallRate
	targets        []*targetState
	totalEjections int // since the start
	ownCallRate    callRate

	config Config
}

// Config holds the limits of a Picker. Zero values select the defaults.
type Config struct {
	// BaseEjection is the first ejection time; it doubles with each ejection in a row up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// SlowStart is the time in which a cold target's share grows to a full one.
	SlowStart time.Duration
	// MinSlowDuration is the time for which consecutive calls must have been slow before they eject a target. A target that
	// pauses for a moment needs no ejection: its overdue calls already raise its cost. 0 ejects on the number of calls alone.
	MinSlowDuration time.Duration
	// sampleSize is the number of candidates compared per pick, 0 for all. Tests compare both ways.
	sampleSize int
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

// Update sets the targets. What is known about those that stay is kept; a new one is cold unless its Warm or WarmupLeft is set.
func (p *Picker) Update(targets []Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	updated := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		t.Slots = max(t.Slots, 1)
		s := p.find(t.ID)
		if s == nil {
			s = &targetState{coldSince: p.coldSince(t, now)}
		}
		s.Target = t
		updated = append(updated, s)
	}
	p.targets = updated
}

// coldSince returns the start time of a new target's slow start.
func (p *Picker) coldSince(t Target, now time.Time) time.Time {
	switch {
	case t.WarmupLeft > 0:
		return now.Add(min(t.WarmupLeft, p.config.SlowStart) - p.config.SlowStart)
	case t.Warm:
		return now.Add(-p.config.SlowStart)
	default:
		return now
	}
}

func (p *Picker) find(id string) *targetState {
	for _, s := range p.targets {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// SetRTT sets the measured round trip to a target.
func (p *Picker) SetRTT(id string, rtt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(id); s != nil {
		s.RTT = rtt
	}
}

// MarkLeaving records that an incarnation of a target is leaving. The mark is sticky: it ends only when the target reports
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
	s.leavingIncarnations = appendBounded(s.leavingIncarnations, incarnation)
}

// IsLeaving reports whether the current incarnation of a target is marked as leaving.
func (p *Picker) IsLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(id)
	return s != nil && s.isLeaving()
}

// NoteIncarnation records the incarnation that a target itself reported, in a response or at its health endpoint.
func (p *Picker) NoteIncarnation(id, incarnation string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(id); s != nil {
		s.noteIncarnation(incarnation, now)
	}
}

// SetPublishedHealth records the published health of a target. It may be late or wrong, so it counts only for targets without
// recent own observations.
func (p *Picker) SetPublishedHealth(id string, unhealthy bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(id); s != nil {
		s.publishedUnhealthy, s.publishedAt = unhealthy, now
	}
}

// Request restricts the targets that may be chosen.
type Request struct {
	// Tried names the targets that already had an attempt of this part; it is non-empty for hedges and retries. An
	// attempt that was shed did not run and is left out: the target is avoided for a short time anyway.
	Tried    []string
	Eligible func(string) bool // false for targets without the pinned index version; nil allows all
	NoProbe  bool              // for calls that must not be risked on a target on probation
}

// Choice is a chosen target. The call counts as in flight until Done.
type Choice struct {
	Target   Target
	Probe    bool          // a probe of a target on probation: hedge it early
	Expected time.Duration // expected time until the response

	startedAt time.Time
}

// Pick chooses a target and counts a call in flight on it. It returns false when no target may be used.
func (p *Picker) Pick(r Request, now time.Time, rnd *rand.Rand) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usableTargets(r)
	if len(usable) == 0 {
		return Choice{}, false
	}
	if probe := dueProbe(usable, r, now); probe != nil {
		probe.phase, probe.probeInFlight = phaseProbation, true
		return p.startCall(probe, true, now), true
	}
	candidates := p.selectCandidates(usable, now)
	candidates = dropCold(candidates, p.config.SlowStart, now, rnd)
	if len(r.Tried) > 0 {
		candidates = p.preferOtherDomains(candidates, r.Tried)
	}
	return p.startCall(p.selectLeastCost(candidates, now, rnd), false, now), true
}

// PickOnly chooses the given target and counts a call in flight on it. It returns false when the target is unknown or leaving.
func (p *Picker) PickOnly(id string, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(id)
	if s == nil || s.isLeaving() {
		return Choice{}, false
	}
	return p.startCall(s, false, now), true
}

// CountAlternatives counts the targets that a second attempt could use.
func (p *Picker) CountAlternatives(r Request, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.usableTargets(r) {
		if s.phase == phaseActive || p.inPanicMode(now) {
			n++
		}
	}
	return n
}

// startCall counts a call in flight on s.
func (p *Picker) startCall(s *targetState, probe bool, now time.Time) Choice {
	expected := p.cost(s, p.referenceLatency(nil), now)
	s.inFlight++
	s.startTimes = append(s.startTimes, now)
	return Choice{Target: s.Target, Probe: probe, Expected: time.Duration(expected), startedAt: now}
}

func (p *Picker) usableTargets(r Request) []*targetState {
	usable := make([]*targetState, 0, len(p.targets))
	for _, s := range p.targets {
		if s.isLeaving() || slices.Contains(r.Tried, s.ID) || r.Eligible != nil && !r.Eligible(s.ID) {
			continue
		}
		usable = append(usable, s)
	}
	return usable
}

// dueProbe returns a target whose ejection time has passed and that has no probe in flight.
func dueProbe(usable []*targetState, r Request, now time.Time) *targetState {
	if r.NoProbe || len(r.Tried) > 0 {
		return nil
	}
	for _, s := range usable {
		if s.phase != phaseActive && !s.probeInFlight && !now.Before(s.ejectedUntil) {
			return s
		}
	}
	return nil
}

// selectCandidates leaves out targets that are not active, except in panic mode or when none would be left. When all active
// targets are saturated, those ejected as slow are candidates again, at their cost: an outlier among loaded targets may be
// slow only because of its load.
func (p *Picker) selectCandidates(usable []*targetState, now time.Time) []*targetState {
	if p.inPanicMode(now) {
		return usable
	}
	active, ejectedSlow := make([]*targetState, 0, len(usable)), make([]*targetState, 0, len(usable))
	saturated := true
	for _, s := range usable {
		switch {
		case s.phase == phaseActive:
			active = append(active, s)
			saturated = saturated && s.inFlight >= s.Slots
		case s.consecutiveFailures == 0 && !s.probeInFlight:
			ejectedSlow = append(ejectedSlow, s)
		}
	}
	switch {
	case len(active) == 0:
		return usable
	case saturated:
		return append(active, ejectedSlow...)
	}
	return active
}

const (
	// initialColdShare is the share of picks for which a cold target is a candidate at the start of its slow start.
	initialColdShare = 0.1
)

// dropCold leaves out each cold target with a probability that falls over the slow start. When that would leave none, it
// keeps all.
func dropCold(candidates []*targetState, slowStart time.Duration, now time.Time, rnd *rand.Rand) []*targetState {
	kept := make([]*targetState, 0, len(candidates))
	for _, s := range candidates {
		progress := float64(now.Sub(s.coldSince)) / float64(slowStart)
		if progress >= 1 || rnd.Float64() < initialColdShare+(1-initialColdShare)*progress {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// preferOtherDomains keeps the targets outside the failure domains of the tried targets, or all when there are none.
func (p *Picker) preferOtherDomains(candidates []*targetState, tried []string) []*targetState {
	other := make([]*targetState, 0, len(candidates))
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
