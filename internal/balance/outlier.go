package balance

import (
	"slices"
	"time"
)

// Result classifies how a call ended, as far as it tells about the target.
type Result int

// Results of calls.
const (
	Success     Result = iota
	Failure            // the call failed: connection lost, timeout, malformed, internal
	Unreachable        // no connection could be opened: nothing runs there now
	Cancelled          // given up by the relay; the latency is a lower bound
	Shed               // the target refused because it is busy
	Neutral            // not sent, or refused for a reason that says nothing about the target's health
)

// Observation is what one call told about its target.
type Observation struct {
	Result      Result
	Latency     time.Duration // from the write of the call to its end, with the hop
	Incarnation string        // as the response reported it; empty when there was none
}

const (
	// failuresToEject is the number of consecutive failures after which a target is ejected.
	failuresToEject = 5
	// slowToEject is the number of consecutive slow calls after which a target is ejected.
	slowToEject = 4
	// slowFactor makes a call slow: its latency in typical latencies of the service's other targets.
	slowFactor = 3
	// slowMargin is the least excess of a slow call, so that jitter on very fast services does not eject.
	slowMargin = 3 * time.Millisecond
	// minSamples is the number of calls before a target's mean latency can eject it.
	minSamples = 10
	// probesToReadmit is the number of consecutive good probes that end a probation.
	probesToReadmit = 3
	// shedBackoff is the time for which a target that shed load is avoided.
	shedBackoff = 20 * time.Millisecond
	// ejectionMemory is the time after readmission in which another ejection counts as repeated.
	ejectionMemory = 30 * time.Second
)

// Done ends a call that Pick started.
func (p *Picker) Done(c Choice, o Observation, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(c.Target.ID)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.forgetStart(c.started)
	if c.Probe {
		s.probing = false
	}
	stale := o.Incarnation != "" && o.Incarnation != s.incarnation && slices.Contains(s.past, o.Incarnation)
	if stale || s.noteIncarnation(o.Incarnation, now) {
		return
	}
	bad := p.observe(s, o, now)
	switch {
	case s.phase != phaseActive && c.Probe:
		p.judgeProbe(s, o, bad, now)
	case s.phase == phaseActive && p.looksBad(s):
		p.eject(s, now)
	case o.Result == Success && !bad:
		s.suspectUntil = time.Time{}
	}
}

// observe adds the observation to the target's measures and returns whether the call was bad.
func (p *Picker) observe(s *state, o Observation, now time.Time) bool {
	latency := max(0, o.Latency-s.Hop)
	s.untold.calls++
	switch o.Result {
	case Success:
		s.untold.answered++
		s.untold.time(latency)
		s.addLatency(latency, p.gain(s, latency), now)
		s.addOutcome(false, now)
		s.failures = 0
		return p.noteSlow(s, latency, true, now)
	case Failure:
		s.addOutcome(true, now)
		s.untold.failed, s.untold.bad = s.untold.failed+1, true
		s.failures++
		return true
	case Unreachable:
		s.addOutcome(true, now)
		s.untold.failed, s.untold.bad = s.untold.failed+1, true
		s.failures = max(s.failures+1, failuresToEject)
		return true
	case Cancelled:
		// A lower bound says nothing when it is below the current estimate.
		if latency > s.typical() {
			s.addLatency(latency, p.gain(s, latency), now)
			s.untold.time(latency)
		}
		return p.noteSlow(s, latency, false, now)
	case Shed:
		// A target that sheds now and then is avoided for a moment; one that goes on shedding is avoided at the cost of a
		// failure, since each refusal costs another attempt.
		s.addOutcome(true, now)
		s.shedUntil = now.Add(shedBackoff)
	}
	return false
}

// noteSlow counts consecutive slow calls. Only a completed call proves that a target is not slow.
func (p *Picker) noteSlow(s *state, latency time.Duration, completed bool, now time.Time) bool {
	if isSlow(latency, p.reference(s)) {
		s.untold.bad = true
		if s.slow++; s.slow == 1 {
			s.slowSince = now
		}
		return true
	}
	if completed {
		s.slow = 0
	}
	return false
}

// gain is the weight of a new latency.
func (p *Picker) gain(s *state, latency time.Duration) float64 {
	if isSlow(latency, p.reference(s)) {
		return slowGain
	}
	return latencyGain
}

func isSlow(latency, reference time.Duration) bool {
	return latency > slowFactor*reference && latency > reference+slowMargin
}

func (p *Picker) looksBad(s *state) bool {
	if s.failures >= failuresToEject {
		return true
	}
	if p.observed(s) == 0 {
		return false
	}
	if s.slow == 0 && p.config.SlowSpan > 0 {
		return false
	}
	if s.slow > 0 && s.seen.Sub(s.slowSince) < p.config.SlowSpan {
		return false
	}
	// A single slow call moves the mean by slowGain, so it takes another one for the mean to eject.
	return s.slow >= slowToEject || s.slow != 1 && s.samples >= minSamples && isSlow(s.typical(), p.reference(s))
}

// observed counts the other targets with known latency; without any there is nothing to compare with.
func (p *Picker) observed(without *state) int {
	n := 0
	for _, s := range p.targets {
		if s != without && s.samples > 0 && !s.isLeaving() {
			n++
		}
	}
	return n
}

// eject takes a target out of use, or marks it as suspect when the cap is reached.
func (p *Picker) eject(s *state, now time.Time) {
	if now.Sub(s.readmitted) > ejectionMemory {
		s.ejections = 0
	}
	until := now.Add(p.ejectionTime(s.ejections))
	if p.ejected() >= p.ejectionCap() {
		s.suspectUntil = until
		return
	}
	s.ejections++
	p.ejections++
	s.phase, s.ejectedUntil, s.probesPassed = phaseEjected, until, 0
}

func (p *Picker) ejectionTime(ejections int) time.Duration {
	d := p.config.BaseEjection
	for range ejections {
		if d *= 2; d >= p.config.MaxEjection {
			return p.config.MaxEjection
		}
	}
	return d
}

// present counts the targets that are not leaving.
func (p *Picker) present() int {
	n := 0
	for _, s := range p.targets {
		if !s.isLeaving() {
			n++
		}
	}
	return n
}

// ejectionCap is half of the targets, and never the last one.
func (p *Picker) ejectionCap() int { return p.present() / 2 }

func (p *Picker) ejected() int {
	n := 0
	for _, s := range p.targets {
		if s.phase != phaseActive && !s.isLeaving() {
			n++
		}
	}
	return n
}

// allIn reports whether more targets look bad than may be ejected. All are used then, each at its cost.
func (p *Picker) allIn(now time.Time) bool {
	bad := p.ejected()
	for _, s := range p.targets {
		if s.phase == phaseActive && !s.isLeaving() && now.Before(s.suspectUntil) {
			bad++
		}
	}
	return bad > p.ejectionCap()
}

// judgeProbe readmits a target after enough good probes and ejects it again for longer after a bad one.
func (p *Picker) judgeProbe(s *state, o Observation, bad bool, now time.Time) {
	if bad {
		s.ejections++
		p.ejections++
		s.phase, s.probesPassed = phaseEjected, 0
		s.ejectedUntil = now.Add(p.ejectionTime(s.ejections - 1))
		return
	}
	if o.Result != Success {
		return // cancelled early, shed or not sent: no verdict
	}
	if s.probesPassed++; s.probesPassed < probesToReadmit {
		return
	}
	s.phase, s.readmitted, s.coldSince = phaseActive, now, now
	s.failures, s.slow, s.failRate = 0, 0, 0
	s.samples, s.logLatency, s.untold = 0, 0, untold{}
	s.addLatency(o.Latency-s.Hop, latencyGain, now)
}
