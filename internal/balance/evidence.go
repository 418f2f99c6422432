package balance

import (
	"math"
	"time"
)

// Evidence summarizes what one node observed of a target since its last report to its peers.
type Evidence struct {
	Target         string `json:"target"`
	Incarnation    string `json:"incarnation,omitempty"`
	Answered       int    `json:"answered,omitempty"`
	Failed         int    `json:"failed,omitempty"`
	LatencySamples int    `json:"timed,omitempty"`      // calls that LatencyUS averages
	LatencyUS      int64  `json:"latency_us,omitempty"` // geometric mean of the latency in microseconds, without the round trip
}

// maxEvidenceCalls bounds the calls that one Evidence counts for, so that a faulty peer cannot outweigh all others.
const maxEvidenceCalls = 100

// pendingEvidence accumulates the observations of one target that have not been reported to peers.
type pendingEvidence struct {
	calls, answered, failed, latencySamples int
	logLatencySum                           float64 // of the logarithms of the latencies in ns
	hasBadCall                              bool    // a call failed or was slow
}

// addLatency adds the latency of a call.
func (e *pendingEvidence) addLatency(latency time.Duration) {
	e.latencySamples++
	e.logLatencySum += math.Log(float64(max(latency, time.Microsecond)))
}

// minReportedFailRate is the failure rate above which successful calls are reported to peers too, so that they use the
// target again when it has recovered.
const minReportedFailRate = 0.05

// sufficientCallRate is the number of own calls per second and target above which a node detects faults as fast without its
// peers. Nodes that react to the same evidence at the same moment shift their load together, so a node uses the evidence of
// peers only where it makes few calls of its own.
const sufficientCallRate = 3.0

// callRateWindow is the averaging time of callRate.
const callRateWindow = 2 * time.Second

// callRate is a moving mean of the own calls per second and target.
type callRate struct {
	callsPerSecond float64
	updatedAt      time.Time
}

// hasSufficientCallRate reports whether this node calls the targets so often that the evidence of peers adds nothing new.
// The caller holds mu.
func (p *Picker) hasSufficientCallRate() bool {
	return p.ownCallRate.callsPerSecond > sufficientCallRate
}

// update adds the calls since the last update to the mean.
func (r *callRate) update(calls, targets int, now time.Time) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if targets == 0 || elapsed <= 0 {
		return
	}
	if !r.updatedAt.IsZero() {
		weight := min(1, elapsed/callRateWindow.Seconds())
		r.callsPerSecond += weight * (float64(calls)/float64(targets)/elapsed - r.callsPerSecond)
	}
	r.updatedAt = now
}

// TakeEvidence returns and clears what has not been reported to peers about targets that fail or are slow, or were so a moment
// ago. Targets without faults are left out: peers have nothing to learn about them.
func (p *Picker) TakeEvidence(now time.Time) []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []Evidence
	reference := p.referenceLatency(nil)
	calls := 0
	for _, s := range p.targets {
		pending := s.pending
		s.pending = pendingEvidence{}
		calls += pending.calls
		degraded := s.failRate*s.freshness(now) > minReportedFailRate || isSlow(s.meanLatency(), reference)
		if s.isLeaving() || pending.answered+pending.failed+pending.latencySamples == 0 || !pending.hasBadCall && !degraded {
			continue
		}
		e := Evidence{
			Target: s.ID, Incarnation: s.incarnation,
			Answered: pending.answered, Failed: pending.failed, LatencySamples: pending.latencySamples,
		}
		if pending.latencySamples > 0 {
			e.LatencyUS = time.Duration(math.Exp(pending.logLatencySum / float64(pending.latencySamples))).Microseconds()
		}
		reports = append(reports, e)
	}
	p.ownCallRate.update(calls, len(p.targets), now)
	if p.hasSufficientCallRate() {
		return nil // the peers' own call rates suffice too: they get about as many requests
	}
	return reports
}

// MergeEvidence merges the evidence of a peer into the estimates unless the own call rate is sufficient. The estimates change
// as if the calls had been made here, but no target is ejected: the fault may lie between the peer and the target. Evidence
// of another incarnation of the target is ignored.
func (p *Picker) MergeEvidence(e Evidence, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(e.Target)
	if s == nil || p.hasSufficientCallRate() || e.Incarnation != "" && s.incarnation != "" && e.Incarnation != s.incarnation {
		return
	}
	if calls := clampCalls(e.Answered) + clampCalls(e.Failed); calls > 0 {
		rate := float64(clampCalls(e.Failed)) / float64(calls)
		s.failRate += compoundWeight(outcomeWeight, calls) * (rate - s.failRate)
		s.lastObserved = now
	}
	latency := time.Duration(e.LatencyUS) * time.Microsecond
	if samples := clampCalls(e.LatencySamples); samples > 0 && latency > 0 && s.samples > 0 {
		s.logLatency += compoundWeight(p.latencyWeight(s, latency), samples) * (math.Log(float64(latency)) - s.logLatency)
		s.lastObserved = now
	}
}

// compoundWeight is the weight of the mean of several observations in a moving mean that gives each the given weight.
func compoundWeight(weight float64, calls int) float64 { return 1 - math.Pow(1-weight, float64(calls)) }

func clampCalls(calls int) int { return min(max(calls, 0), maxEvidenceCalls) }
