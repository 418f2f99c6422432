package balance

import (
	"cmp"
	"slices"
	"time"
)

// Exclusion says why a target would not be chosen now.
type Exclusion string

// Reasons for which a target is not chosen.
const (
	ExcludedLeaving    Exclusion = "leaving"
	ExcludedIneligible Exclusion = "ineligible" // refused by Request.Eligible, or already tried
	ExcludedEjected    Exclusion = "ejected"    // an outlier; receives nothing until the ejection time has passed
	ExcludedProbation  Exclusion = "probation"  // receives single probes, and one is in flight
)

// Candidate describes one target and whether Pick would choose it.
type Candidate struct {
	Target
	Incarnation string
	InFlight    int
	Latency     time.Duration // moving geometric mean without the round trip, 0 without samples
	FailRate    float64
	Expected    time.Duration // expected time until a response
	Ejected     bool
	Probation   bool          // the ejection time has passed; single probes decide
	EjectedFor  time.Duration // remaining ejection time
	Leaving     bool
	Cold        bool      // a candidate for a share of the picks that grows over the slow start
	Shedding    bool      // refused a call a moment ago
	Excluded    Exclusion // empty when Pick may choose it
}

// View lists the targets in the order in which Pick prefers them now: a due probe, then by expected time, then those
// that it would not choose. Pick breaks ties and leaves out cold targets at random, so single picks differ.
// View does not change the picker.
func (p *Picker) View(r Request, now time.Time) (candidates []Candidate, panicMode bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usableTargets(r)
	probe := dueProbe(usable, r, now)
	selected := p.selectCandidates(usable, now)
	reference := p.referenceLatency(nil)
	for _, s := range p.targets {
		c := p.candidate(s, reference, now)
		switch {
		case s.isLeaving():
			c.Excluded = ExcludedLeaving
		case !slices.Contains(usable, s):
			c.Excluded = ExcludedIneligible
		case s == probe || slices.Contains(selected, s):
		case c.Probation:
			c.Excluded = ExcludedProbation
		default:
			c.Excluded = ExcludedEjected
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(rank(a, probe), rank(b, probe)),
			cmp.Compare(a.Expected, b.Expected),
		)
	})
	return candidates, p.inPanicMode(now)
}

// rank sorts a due probe first and excluded targets last.
func rank(c Candidate, probe *targetState) int {
	switch {
	case probe != nil && c.ID == probe.ID:
		return 0
	case c.Excluded == "":
		return 1
	default:
		return 2
	}
}

func (p *Picker) candidate(s *targetState, reference time.Duration, now time.Time) Candidate {
	c := Candidate{
		Target: s.Target, Incarnation: s.incarnation, InFlight: s.inFlight, Latency: s.meanLatency(), FailRate: s.failRate,
		Expected: time.Duration(p.cost(s, reference, now)), Leaving: s.isLeaving(),
		Cold: now.Sub(s.coldSince) < p.config.SlowStart, Shedding: now.Before(s.shedUntil),
	}
	if s.phase != phaseActive {
		c.EjectedFor = max(0, s.ejectedUntil.Sub(now))
		c.Probation = s.phase == phaseProbation || c.EjectedFor == 0
		c.Ejected = !c.Probation
	}
	return c
}
