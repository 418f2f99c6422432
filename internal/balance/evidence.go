package balance

import (
	"math"
	"time"
)

// Evidence sums up what one node observed of a target since it last told its peers.
type Evidence struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation,omitempty"`
	Answered    int    `json:"answered,omitempty"`
	Failed      int    `json:"failed,omitempty"`
	Timed       int    `json:"timed,omitempty"`      // calls behind LatencyUS
	LatencyUS   int64  `json:"latency_us,omitempty"` // geometric mean of the latency in microseconds, without the hop
}

// maxEvidenceCalls bounds the calls that one piece of evidence counts for, so that a faulty peer cannot outweigh all others.
const maxEvidenceCalls = 100

// untold is the evidence that peers have not been told.
type untold struct {
	calls, answered, failed, timed int
	logLatency                     float64 // sum
	bad                            bool    // a call failed or was slow
}

// time adds the latency of a call.
func (u *untold) time(latency time.Duration) {
	u.timed++
	u.logLatency += math.Log(float64(max(latency, time.Microsecond)))
}

// notableFailRate is the share of failed calls from which peers are told of good calls too, so that they take the target
// back when it has recovered.
const notableFailRate = 0.05

// ownRateEnough is the own calls per second and target above which a node learns as fast by itself. Nodes that react to the
// same evidence at the same moment move their load together, so they do it only where they know little.
const ownRateEnough = 3.0

// rateWindow is the time over which the own calls are averaged.
const rateWindow = 2 * time.Second

// callRate is a moving mean of the own calls per second to each target.
type callRate struct {
	perTarget float64
	at        time.Time
}

// knowsEnough reports whether this node calls the targets so often that peers tell it nothing new. The caller holds mu.
func (p *Picker) knowsEnough() bool { return p.own.perTarget > ownRateEnough }

// add adds the calls since the last time to the mean.
func (r *callRate) add(calls, targets int, now time.Time) {
	elapsed := now.Sub(r.at).Seconds()
	if targets == 0 || elapsed <= 0 {
		return
	}
	if !r.at.IsZero() {
		weight := min(1, elapsed/rateWindow.Seconds())
		r.perTarget += weight * (float64(calls)/float64(targets)/elapsed - r.perTarget)
	}
	r.at = now
}

// Evidence takes what peers have not been told about targets that fail or are slow, or did a moment ago. Targets that only do
// well are left out: their peers have nothing to learn.
func (p *Picker) Evidence(now time.Time) []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	var told []Evidence
	reference := p.reference(nil)
	calls := 0
	for _, s := range p.targets {
		u := s.untold
		s.untold = untold{}
		calls += u.calls
		notable := s.failRate*s.freshness(now) > notableFailRate || isSlow(s.typical(), reference)
		if s.isLeaving() || u.answered+u.failed+u.timed == 0 || !u.bad && !notable {
			continue
		}
		e := Evidence{Target: s.ID, Incarnation: s.incarnation, Answered: u.answered, Failed: u.failed, Timed: u.timed}
		if u.timed > 0 {
			e.LatencyUS = time.Duration(math.Exp(u.logLatency / float64(u.timed))).Microseconds()
		}
		told = append(told, e)
	}
	p.own.add(calls, len(p.targets), now)
	if p.knowsEnough() {
		return nil // so do its peers, which get about as many requests
	}
	return told
}

// Learn takes over what a peer observed, where own calls are few. It moves the estimates as the calls themselves would have,
// but ejects nothing: the fault may lie between the peer and the target.
func (p *Picker) Learn(e Evidence, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(e.Target)
	if s == nil || p.knowsEnough() || e.Incarnation != "" && s.incarnation != "" && e.Incarnation != s.incarnation {
		return
	}
	if calls := bounded(e.Answered) + bounded(e.Failed); calls > 0 {
		rate := float64(bounded(e.Failed)) / float64(calls)
		s.failRate += gainOf(failGain, calls) * (rate - s.failRate)
		s.seen = now
	}
	latency := time.Duration(e.LatencyUS) * time.Microsecond
	if timed := bounded(e.Timed); timed > 0 && latency > 0 && s.samples > 0 {
		s.logLatency += gainOf(p.gain(s, latency), timed) * (math.Log(float64(latency)) - s.logLatency)
		s.seen = now
	}
}

// gainOf is the weight of the mean of several observations that have the given weight each.
func gainOf(gain float64, calls int) float64 { return 1 - math.Pow(1-gain, float64(calls)) }

func bounded(calls int) int { return min(max(calls, 0), maxEvidenceCalls) }
