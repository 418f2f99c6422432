package admission

import "time"

const (
	// queueTimeThreshold is the queue time at targets, as a fraction of the mean search time, above which the limit is
	// decreased.
	queueTimeThreshold = 0.5
	// decreaseFactor and increaseFraction adapt the limit once per interval: multiplicative decrease, and additive
	// increase by a fraction of the maximum. The fast decrease and slow increase make relays that share targets
	// converge to equal shares.
	decreaseFactor   = 0.9
	increaseFraction = 0.02
	// minLimitFraction is the lowest limit, as a fraction of the maximum. Below it, probing for recovery would take too
	// long.
	minLimitFraction = 0.1
	// adjustInterval is the time between changes of the limit: each must take effect at the targets before the next
	// one.
	adjustInterval = 100 * time.Millisecond
	// queueTimeGain is the weight of a new queue time in the moving mean.
	queueTimeGain = 0.1
)

// limiter adapts the concurrency limit to the queue time seen at the targets.
type limiter struct {
	max        int
	value      float64 // current limit
	queueTime  float64 // moving mean of the queue time in ns
	lastChange time.Time
}

func (l *limiter) setMax(n int) {
	if l.value >= float64(l.max) || l.value > float64(n) {
		l.value = float64(n) // not reduced: follows the maximum
	}
	l.max = n
}

func (l *limiter) current() int { return max(1, int(l.value)) }

func (l *limiter) observe(queueTime, searchTime time.Duration, now time.Time) {
	l.queueTime += queueTimeGain * (float64(max(queueTime, 0)) - l.queueTime)
	if now.Sub(l.lastChange) < adjustInterval {
		return
	}
	l.lastChange = now
	if l.queueTime > queueTimeThreshold*float64(searchTime) {
		l.value = max(l.value*decreaseFactor, float64(l.max)*minLimitFraction)
		return
	}
	l.value = min(l.value+max(1, increaseFraction*float64(l.max)), float64(l.max))
}

// searchesPerSlot is the number of concurrent searches per slot of the service with the fewest slots. A search lasts as
// long as its slowest part, about twice a typical one, and leaves the slots of the other services idle meanwhile. Over
// 10 services in virtual time, at 0.85 of the capacity, the median was 158 ms with 2 searches per slot, 33 ms with 3
// and 31 ms with 4; at 1.5 times the capacity 453, 504 and 518 complete answers a second came in time, of at most 550.
const searchesPerSlot = 3

// ConcurrencyLimit returns the number of searches that a group can run at once. It follows from the service with the
// fewest slots, because a search that would miss one service wastes the slots of all others. slots holds, per service,
// the slots of its targets that this relay may count on.
func ConcurrencyLimit(slots []int) int {
	if len(slots) == 0 {
		return searchesPerSlot
	}
	least := slots[0]
	for _, n := range slots[1:] {
		least = min(least, n)
	}
	return max(least, 1) * searchesPerSlot
}

// SetLimit sets the maximum of the concurrency limit, for example after a target has left. It returns the queued
// searches to start and to drop.
func (q *Queue) SetLimit(n int, now time.Time) Transitions {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.setMax(max(n, 1))
	return q.startNext(now)
}

// ObserveQueueTime records how long a call waited at a target or for one of its slots.
func (q *Queue) ObserveQueueTime(d time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.observe(d, time.Duration(q.serviceTime.mean), now)
}

// Status describes a queue for metrics, hedging and the administration API.
type Status struct {
	Limit, MaxLimit, Running, Queued int
	Overloaded                       bool // searches are waiting: no hedges and retries
	ServiceTime                      time.Duration
}

// Status returns the current state.
func (q *Queue) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Status{
		Limit: q.limit.current(), MaxLimit: q.limit.max, Running: len(q.running), Queued: q.queued,
		Overloaded: q.queued > 0, ServiceTime: time.Duration(q.serviceTime.mean),
	}
}
