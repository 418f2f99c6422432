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

func (h *rttTable) observe(domain string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	m := h.measured[domain]
	if m == nil {
		h.measured[domain] = &windowedMin{current: d, previous: d, windowStart: now}
		return
	}
	if now.Sub(m.windowStart) > rttWindow {
		m.previous, m.current, m.windowStart = m.current, d, now
		return
	}
	m.current = min(m.current, d)
}

func (h *rttTable) rtt(domain string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.measured[domain]; m != nil {
		return min(m.current, m.previous)
	}
	switch {
	case domain == h.domain:
		return defaultDomainRTT
	case h.regions[domain] == h.regions[h.domain]:
		return defaultRegionRTT
	default:
		return defaultRemoteRTT
	}
}
