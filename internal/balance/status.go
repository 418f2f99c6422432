package balance

import "time"

// Status is a snapshot of a picker.
type Status struct {
	Targets        []TargetStatus
	PanicMode      bool // more targets look bad than may be ejected, so all are candidates
	TotalEjections int  // since the start
}

// TargetStatus is a snapshot of one target.
type TargetStatus struct {
	ID       string
	InFlight int
	Latency  time.Duration // moving geometric mean without the round trip, 0 without samples
	FailRate float64
	Ejected  bool // ejected or on probation
	Leaving  bool
	Cold     bool
}

// Status returns the current state.
func (p *Picker) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := Status{PanicMode: p.inPanicMode(now), TotalEjections: p.totalEjections}
	for _, s := range p.targets {
		st.Targets = append(st.Targets, TargetStatus{
			ID: s.ID, InFlight: s.inFlight, Latency: s.meanLatency(), FailRate: s.failRate,
			Ejected: s.phase != phaseActive, Leaving: s.isLeaving(), Cold: now.Sub(s.coldSince) < p.config.SlowStart,
		})
	}
	return st
}
