package query

import (
	"sync"
	"time"
)

// rttTable estimates the round-trip time from this node to each failure domain: the shortest recent time to set up a
// connection. mu guards measured.
type rttTable struct {
	domain  string
	regions map[string]string // region by failure domain

	mu       sync.Mutex
	measured map[string]*windowedMin
}

// windowedMin is the minimum over the current and the previous window.
type windowedMin struct {
	current, previous time.Duration
	windowStart       time.Time
}

// rttWindow is the length of one window of windowedMin.
const rttWindow = 10 * time.Second

func newRTTTable(domain string, regions map[string]string) *rttTable {
	return &rttTable{domain: domain, regions: regions, measured: map[string]*windowedMin{}}
}

func (t *rttTable) observe(domain string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	m := t.measured[domain]
	if m == nil {
		t.measured[domain] = &windowedMin{current: d, previous: d, windowStart: now}
		return
	}
	if now.Sub(m.windowStart) > rttWindow {
		m.previous, m.current, m.windowStart = m.current, d, now
		return
	}
	m.current = min(m.current, d)
}

func (t *rttTable) rtt(domain string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.measured[domain]; m != nil {
		return min(m.current, m.previous)
	}
	switch {
	case domain == t.domain:
		return defaultDomainRTT
	case t.regions[domain] == t.regions[t.domain]:
		return defaultRegionRTT
	default:
		return defaultRemoteRTT
	}
}
