package node

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the interval at which the pause detector reads the clocks.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between two readings above which the node's view of peers and configuration counts as
	// stale and has to be refreshed.
	pauseThreshold = time.Second
)

// pauseDetector detects that this process did not run for a while. mu guards last.
type pauseDetector struct {
	now func() time.Time

	mu   sync.Mutex
	last time.Time // last reading of the clocks
}

func newPauseDetector(now func() time.Time) *pauseDetector {
	return &pauseDetector{now: now, last: now()}
}

// pausedFor returns the time since the last tick if it shows a pause, else 0. It takes the larger reading of two clocks:
// the monotonic clock may stand still while the machine sleeps, and the wall clock may be set back.
func (p *pauseDetector) pausedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedForLocked(p.now())
}

func (p *pauseDetector) pausedForLocked(now time.Time) time.Duration {
	monotonic := now.Sub(p.last)
	wall := now.Round(0).Sub(p.last.Round(0))
	if gap := max(monotonic, wall); gap > pauseThreshold {
		return gap
	}
	return 0
}

// tick records that the process is running. It returns the time since the last tick if that shows a pause, else 0.
func (p *pauseDetector) tick() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	gap := p.pausedForLocked(now)
	p.last = now
	return gap
}

// run ticks until ctx ends and calls paused after each pause.
func (p *pauseDetector) run(ctx context.Context, paused func(gap time.Duration)) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if gap := p.tick(); gap > 0 {
				paused(gap)
			}
		}
	}
}
