package notice

import "time"

const (
	// minRequestsPerSecond is the least rate at which all nodes together send to a target: one that names less, or 0, by mistake or
	// because it is about to stop, is still asked now and then whether it says so.
	minRequestsPerSecond = 0.5
	// saveTime is the time for which a node may save up a request that was due. All nodes together can so send saveTime times the
	// limit at once after a quiet time, however many they are, and a node with few requests still finds one when it needs it.
	saveTime = time.Second
	// maxReservationAge is how long after it fell due a reserved request may still be sent. It may have waited for a connection.
	maxReservationAge = saveTime / 2
)

// Pace spaces the requests of one node to one incarnation of a target, so that all nodes together keep the limit that the target
// names. Nodes share no state: requests fall due at each of them at an equal part of the limit and at random moments of their own,
// and lapse when they are not used. It answers the load of a target that takes less than it would get while other targets have
// room, and of a service whose targets all do.
type Pace struct {
	phase  float64
	nodes  int
	notice Notice
	due    time.Time // when the first request that was not sent yet falls due
}

// NewPace returns the pace of a target that has named no limit. phase is a random number of at least 0 and below 1: the part of the
// interval between two requests after which the first one falls due.
func NewPace(phase float64) *Pace { return &Pace{phase: phase, nodes: 1} }

// Hear takes note of an answer of the target, and reports whether it began or ceased to name a limit. An answer that names no
// limit ends it at once; one that names another limit shortens or lengthens what is left of the wait.
func (p *Pace) Hear(n Notice, now time.Time) (changed bool) {
	before, wasLimited := p.interval(), p.notice.Limited
	p.notice = n
	if n.Limited && !wasLimited {
		p.due = now.Add(scale(p.interval(), p.phase))
	} else if n.Limited {
		p.rescale(before, now)
	}
	return wasLimited != n.Limited
}

// SetNodes sets the number of nodes that share the limit.
func (p *Pace) SetNodes(nodes int, now time.Time) {
	before := p.interval()
	p.nodes = max(nodes, 1)
	p.rescale(before, now)
}

// rescale adapts the wait to a change of the interval.
func (p *Pace) rescale(before time.Duration, now time.Time) {
	if ahead := p.due.Sub(now); ahead > 0 && before > 0 {
		p.due = now.Add(scale(ahead, float64(p.interval())/float64(before)))
	}
}

// Limited reports whether the target names a limit.
func (p *Pace) Limited() bool { return p.notice.Limited }

// Wait returns the time until a request may be sent.
func (p *Pace) Wait(now time.Time) time.Duration {
	if !p.notice.Limited {
		return 0
	}
	return max(0, p.firstDue(now).Sub(now))
}

// Reserve reserves the next request and returns the time until it may be sent. It returns false, and reserves nothing, when that
// is longer than maxWait.
func (p *Pace) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	wait = p.Wait(now)
	if wait > maxWait {
		return wait, false
	}
	if p.notice.Limited {
		p.due = p.firstDue(now).Add(p.interval())
	}
	return wait, true
}

// Redeem reports whether a request that fell due at a moment may be sent now. One that has lapsed meanwhile takes the place of the
// next one if that is due already: otherwise requests that wait while the target stands still would reach it all at once.
func (p *Pace) Redeem(due, now time.Time) bool {
	if now.Sub(due) <= maxReservationAge {
		return true
	}
	_, ok := p.Reserve(now, 0)
	return ok
}

// Return gives back a request that fell due at a moment and was not sent. One that has lapsed is lost.
func (p *Pace) Return(due, now time.Time) {
	if p.notice.Limited && now.Sub(due) <= maxReservationAge {
		p.due = p.due.Add(-p.interval())
	}
}

// firstDue returns when the first request falls due that has not been sent and has not lapsed.
func (p *Pace) firstDue(now time.Time) time.Time {
	lapsed := now.Add(-saveTime).Sub(p.due)
	if lapsed < 0 {
		return p.due
	}
	interval := p.interval()
	return p.due.Add((lapsed/interval + 1) * interval)
}

// interval is the time between two requests of this node.
func (p *Pace) interval() time.Duration {
	return max(1, scale(time.Second, float64(p.nodes)/max(p.notice.RequestsPerSecond, minRequestsPerSecond)))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
