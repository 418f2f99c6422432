package query

import (
	"sync"
	"time"
)

// hops holds the round trip from this node to each failure domain: the least time that setting up a connection took of
// late. mu guards measured.
type hops struct {
	domain  string
	regions map[string]string // region by failure domain

	mu       sync.Mutex
	measured map[string]*minimum
}

// minimum is a minimum over the present and the previous window.
type minimum struct {
	now, before time.Duration
	since       time.Time
}

// hopWindow is the time over which the least round trip is taken.
const hopWindow = 10 * time.Second

func newHops(domain string, regions map[string]string) *hops {
	return &hops{domain: domain, regions: regions, measured: map[string]*minimum{}}
}

func (h *hops) observe(domain string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	m := h.measured[domain]
	if m == nil {
		h.measured[domain] = &minimum{now: d, before: d, since: now}
		return
	}
	if now.Sub(m.since) > hopWindow {
		m.before, m.now, m.since = m.now, d, now
		return
	}
	m.now = min(m.now, d)
}

func (h *hops) of(domain string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.measured[domain]; m != nil {
		return min(m.now, m.before)
	}
	switch {
	case domain == h.domain:
		return hopNear
	case h.regions[domain] == h.regions[h.domain]:
		return hopRegion
	default:
		return hopFar
	}
}
