package balance

import (
	"slices"
	"time"
)

// Result classifies the end of a call by what it shows about the target.
type Result int

// Results of calls.
const (
	Success     Result = iota
	Failure            // the call failed: connection lost, timeout, malformed, internal
	Unreachable        // no connection could be opened: no process listens there now
	Cancelled          // cancelled by this node; the latency is a lower bound
	Shed               // the target refused because it is busy
	Neutral            // not sent, or refused for a reason that says nothing about the target's health
)

// Observation is the outcome of one call as a measurement of its target.
type Observation struct {
	Result      Result
	Latency     time.Duration // from the write of the call to its end, with the round trip
	Incarnation string        // as the response reported it; empty when there was none
}

const (
	// failuresToEject is the number of consecutive failures after which a target is ejected.
	failuresToEject = 5
	// slowCallsToEject is the number of consecutive slow calls after which a target is ejected.
	slowCallsToEject = 4
	// slowFactor is the latency above which a call is slow, in multiples of the reference latency of the other targets.
	slowFactor = 3
	// slowMargin is the minimum excess of a slow call over the reference, so that jitter on very fast services does not eject.
	slowMargin = 3 * time.Millisecond
	// minSamples is the number of latency samples from which a target's mean latency can eject it.
	minSamples = 10
	// probesToReadmit is the number of consecutive successful probes that end a probation.
	probesToReadmit = 3
	// shedBackoff is the time for which a target that shed load is avoided.
	shedBackoff = 20 * time.Millisecond
	// repeatEjectionWindow is the time after readmission in which another ejection counts as repeated and lasts longer.
	repeatEjectionWindow = 30 * time.Second
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
	s.removeStartTime(c.startedAt)
	if c.Probe {
		s.probeInFlight = false
	}
	fromPrevious := o.Incarnation != "" && o.Incarnation != s.incarnation && slices.Contains(s.previousIncarnations, o.Incarnation)
	if fromPrevious || s.noteIncarnation(o.Incarnation, now) {
		return
	}
	bad := p.observe(s, o, now)
	switch {
	case s.phase != phaseActive && c.Probe:
		p.handleProbeResult(s, o, bad, now)
	case s.phase == phaseActive && p.isOutlier(s):
		p.eject(s, now)
	case o.Result == Success && !bad:
		s.suspectUntil = time.Time{}
	}
}

// observe adds the observation to the target's estimates and reports whether the call was bad: failed or slow.
func (p *Picker) observe(s *targetState, o Observation, now time.Time) bool {
	latency := max(0, o.Latency-s.RTT)
	s.pending.calls++
	switch o.Result {
	case Success:
		s.pending.answered++
		s.pending.addLatency(latency)
		s.addLatency(latency, p.latencyWeight(s, latency), now)
		s.addOutcome(false, now)
		s.consecutiveFailures = 0
		return p.updateSlowStreak(s, latency, true, now)
	case Failure:
		s.addOutcome(true, now)
		s.pending.failed, s.pending.hasBadCall = s.pending.failed+1, true
		s.consecutiveFailures++
		return true
	case Unreachable:
		s.addOutcome(true, now)
		s.pending.failed, s.pending.hasBadCall = s.pending.failed+1, true
		s.consecutiveFailures = max(s.consecutiveFailures+1, failuresToEject)
		return true
	case Cancelled:
		// A lower bound below the current estimate carries no information.
		if latency > s.meanLatency() {
			s.addLatency(latency, p.latencyWeight(s, latency), now)
			s.pending.addLatency(latency)
		}
		return p.updateSlowStreak(s, latency, false, now)
	case Shed:
		// A target that sheds occasionally is avoided for shedBackoff. Repeated shedding also raises the failure rate, and
		// with it the cost, since each refusal costs another attempt.
		s.addOutcome(true, now)
		s.shedUntil = now.Add(shedBackoff)
	}
	return false
}

// updateSlowStreak counts consecutive slow calls and reports whether this one was slow. Only a completed call proves that a
// target is not slow, so a cancelled one does not end the streak.
func (p *Picker) updateSlowStreak(s *targetState, latency time.Duration, completed bool, now time.Time) bool {
	if isSlow(latency, p.referenceLatency(s)) {
		s.pending.hasBadCall = true
		if s.slowStreak++; s.slowStreak == 1 {
			s.slowSince = now
		}
		return true
	}
	if completed {
		s.slowStreak = 0
	}
	return false
}

// latencyWeight is the weight of a new latency in the moving mean.
func (p *Picker) latencyWeight(s *targetState, latency time.Duration) float64 {
	if isSlow(latency, p.referenceLatency(s)) {
		return slowLatencyWeight
	}
	return normalLatencyWeight
}

func isSlow(latency, reference time.Duration) bool {
	return latency > slowFactor*reference && latency > reference+slowMargin
}

// isOutlier reports whether a target fails or is slow often enough to be ejected.
func (p *Picker) isOutlier(s *targetState) bool {
	if s.consecutiveFailures >= failuresToEject {
		return true
	}
	if p.countObserved(s) == 0 {
		return false
	}
	if s.slowStreak == 0 && p.config.MinSlowDuration > 0 {
		return false
	}
	if s.slowStreak > 0 && s.lastObserved.Sub(s.slowSince) < p.config.MinSlowDuration {
		return false
	}
	// A single slow call enters the mean with slowLatencyWeight, so the mean ejects only after another one.
	return s.slowStreak >= slowCallsToEject ||
		s.slowStreak != 1 && s.samples >= minSamples && isSlow(s.meanLatency(), p.referenceLatency(s))
}

// countObserved counts the targets with a known latency, except one. Without any there is nothing to compare it with.
func (p *Picker) countObserved(except *targetState) int {
	n := 0
	for _, s := range p.targets {
		if s != except && s.samples > 0 && !s.isLeaving() {
			n++
		}
	}
	return n
}

// eject ejects a target, or marks it as suspect when the cap on ejections is reached.
func (p *Picker) eject(s *targetState, now time.Time) {
	if now.Sub(s.readmittedAt) > repeatEjectionWindow {
		s.consecutiveEjections = 0
	}
	until := now.Add(p.ejectionTime(s.consecutiveEjections))
	if p.countEjected() >= p.ejectionCap() {
		s.suspectUntil = until
		return
	}
	s.consecutiveEjections++
	p.totalEjections++
	s.phase, s.ejectedUntil, s.probesPassed = phaseEjected, until, 0
}

// ejectionTime doubles with each earlier ejection up to MaxEjection.
func (p *Picker) ejectionTime(ejections int) time.Duration {
	d := p.config.BaseEjection
	for range ejections {
		if d *= 2; d >= p.config.MaxEjection {
			return p.config.MaxEjection
		}
	}
	return d
}

// countNotLeaving counts the targets that are not leaving.
func (p *Picker) countNotLeaving() int {
	n := 0
	for _, s := range p.targets {
		if !s.isLeaving() {
			n++
		}
	}
	return n
}

// ejectionCap is half of the targets that are not leaving, rounded down, so that the last one is never ejected.
func (p *Picker) ejectionCap() int { return p.countNotLeaving() / 2 }

func (p *Picker) countEjected() int {
	n := 0
	for _, s := range p.targets {
		if s.phase != phaseActive && !s.isLeaving() {
			n++
		}
	}
	return n
}

// inPanicMode reports whether more targets look bad than may be ejected. All of them are candidates then, each at its cost.
func (p *Picker) inPanicMode(now time.Time) bool {
	bad := p.countEjected()
	for _, s := range p.targets {
		if s.phase == phaseActive && !s.isLeaving() && now.Before(s.suspectUntil) {
			bad++
		}
	}
	return bad > p.ejectionCap()
}

// handleProbeResult readmits a target after enough successful probes and ejects it again, for longer, after a bad one.
func (p *Picker) handleProbeResult(s *targetState, o Observation, bad bool, now time.Time) {
	if bad {
		s.consecutiveEjections++
		p.totalEjections++
		s.phase, s.probesPassed = phaseEjected, 0
		s.ejectedUntil = now.Add(p.ejectionTime(s.consecutiveEjections - 1))
		return
	}
	if o.Result != Success {
		return // cancelled early, shed or not sent: the probe shows neither success nor failure
	}
	if s.probesPassed++; s.probesPassed < probesToReadmit {
		return
	}
	s.phase, s.readmittedAt, s.coldSince = phaseActive, now, now
	s.consecutiveFailures, s.slowStreak, s.failRate = 0, 0, 0
	s.samples, s.logLatency, s.pending = 0, 0, pendingEvidence{}
	s.addLatency(o.Latency-s.RTT, normalLatencyWeight, now)
}
