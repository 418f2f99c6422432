package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Transport sends a message to a peer and returns its reply.
type Transport interface {
	Exchange(ctx context.Context, address string, m Message) (Message, error)
}

// Hooks are callbacks of a Loop, which does not hold its lock while it calls them. Each may be nil and must return without
// delay. Any method of the Loop may call them, so they must not take a lock that a caller of the Loop may hold.
type Hooks struct {
	// Paused is called after the process was paused for the given time, by whichever goroutine notices it first.
	Paused func(gap time.Duration)
	// Superseded is called once, when a later incarnation of this node was seen.
	Superseded func()
}

// Deps holds the dependencies of a Loop.
type Deps struct {
	Transport Transport
	Clock     Clock
	Rand      *rand.Rand
	Metrics   *metrics.Set
	Log       logrus.FieldLogger
	Hooks     Hooks
	Panics    *panics.Handler // nil contains no panics
}

// Loop exchanges heartbeats and digests with peers. inFlight holds the addresses with an exchange in progress, heartbeats
// counts those started. mu guards view, seeds, isSeed, inFlight, supersededReported and heartbeats.
type Loop struct {
	cfg     Config
	deps    Deps
	metrics *loopMetrics
	wake    chan struct{}

	mu                 panics.Mutex
	view               *View
	seeds              []string
	isSeed             map[string]bool
	inFlight           map[string]bool
	supersededReported bool
	heartbeats         int
}

// NewLoop returns a loop for the node that self describes. Errors are *Error.
func NewLoop(cfg Config, self Record, deps Deps) (*Loop, error) {
	if errs := cfg.Validate(); len(errs) > 0 {
		return nil, errs[0]
	}
	if !self.valid() {
		return nil, &Error{Code: CodeInvalidSelf,
			Message: "id, incarnation and failure domain are required, and the record must not exceed its size limits"}
	}
	l := &Loop{
		cfg: cfg, deps: deps, view: NewView(self, deps.Clock.Now()), inFlight: map[string]bool{},
		isSeed: map[string]bool{}, wake: make(chan struct{}, 1),
	}
	l.AddSeeds(cfg.Seeds)
	l.metrics = newLoopMetrics(deps.Metrics, l)
	return l, nil
}

// Run sends heartbeats until ctx ends. It returns when all exchanges have ended.
func (l *Loop) Run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastHeartbeat time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			if wait := minHeartbeatInterval - time.Since(lastHeartbeat); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		lastHeartbeat = time.Now()
		timer.Reset(l.cfg.Heartbeat)
		for _, p := range l.startHeartbeat() {
			exchanges.Go(func() { l.exchange(ctx, p) })
		}
	}
}

// initialHeartbeats is the number of heartbeats of a new process that reach other failure domains regardless of
// Config.RemoteHeartbeatEvery.
const initialHeartbeats = 5

// startHeartbeat counts a heartbeat and returns the peers to send it to. Peers with an exchange in progress are left out,
// so that a slow peer occupies one exchange only.
func (l *Loop) startHeartbeat() []peerEndpoint {
	var out []peerEndpoint
	l.withView(func(v *View) {
		v.Tick()
		cfg := l.cfg
		if l.heartbeats++; cfg.RemoteHeartbeatEvery > 1 && l.heartbeats > initialHeartbeats && l.heartbeats%cfg.RemoteHeartbeatEvery != 0 {
			cfg.RemoteFanout = 0
		}
		for _, p := range v.selectPeers(cfg, l.seeds, l.deps.Rand) {
			if !l.inFlight[p.address] {
				l.inFlight[p.address] = true
				out = append(out, p)
			}
		}
	})
	return out
}

// exchange sends a digest to one peer and merges its reply.
func (l *Loop) exchange(ctx context.Context, p peerEndpoint) {
	defer l.deps.Panics.Contain("membership exchange", logrus.Fields{"peer": p.id}, func() { l.endExchange(p) })
	ctx, cancel := context.WithTimeout(ctx, l.cfg.ExchangeTimeout)
	defer cancel()
	var request Message
	l.withView(func(v *View) { request = v.Digest(p.id, l.cfg.Limits) })
	reply, err := l.deps.Transport.Exchange(ctx, p.address, request)
	l.withView(func(v *View) {
		delete(l.inFlight, p.address)
		if err == nil {
			v.Apply(reply)
		}
	})
	if err != nil {
		l.metrics.failed.Inc()
		l.deps.Log.WithError(err).WithField("peer", p.address).Debug("heartbeat exchange failed")
		return
	}
	l.metrics.exchanged.Inc()
}

// Handle merges a peer's message and returns the reply.
func (l *Loop) Handle(m Message) Message {
	var reply Message
	l.withView(func(v *View) {
		v.Apply(m)
		reply = v.Digest(m.From, l.cfg.Limits)
	})
	return reply
}

// endExchange allows another exchange with the peer.
func (l *Loop) endExchange(p peerEndpoint) { l.withView(func(*View) { delete(l.inFlight, p.address) }) }

// updateView runs fn on the view and returns the pause that was found, and whether the view became superseded.
func (l *Loop) updateView(fn func(*View)) (gap time.Duration, superseded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gap = l.view.Observe(l.deps.Clock.Now())
	fn(l.view)
	superseded = l.view.Superseded() && !l.supersededReported
	l.supersededReported = l.supersededReported || superseded
	return gap, superseded
}

// withView runs fn on the view at the current time and afterwards calls the hooks that are due. Each use of the view
// checks for a pause first: a peer's message may arrive before the loop itself runs again.
func (l *Loop) withView(fn func(*View)) {
	gap, superseded := l.updateView(fn)
	if gap > 0 {
		l.metrics.pauses.Inc()
		l.deps.Log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused")
		if l.deps.Hooks.Paused != nil {
			l.deps.Hooks.Paused(gap)
		}
	}
	if superseded {
		l.deps.Log.Error("a later incarnation of this node is running")
		if l.deps.Hooks.Superseded != nil {
			l.deps.Hooks.Superseded()
		}
	}
}

// AddSeeds adds peer addresses, for example from the published instance list. A reader of that list passes all nodes
// every second, so known addresses are looked up in a map instead of searched for.
func (l *Loop) AddSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if !l.isSeed[a] && len(l.seeds) < maxNodes {
			l.isSeed[a] = true
			l.seeds = append(l.seeds, a)
		}
	}
}

// HeartbeatNow sends a heartbeat without waiting for the next interval, for changes that must propagate quickly.
func (l *Loop) HeartbeatNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SetState publishes the lifecycle state of this node at once.
func (l *Loop) SetState(state statechart.NodeState) {
	l.withView(func(v *View) { v.SetState(state) })
	l.HeartbeatNow()
}

// SetHeld publishes the versions that this node holds at once.
func (l *Loop) SetHeld(held Versions) {
	l.withView(func(v *View) { v.SetHeld(held) })
	l.HeartbeatNow()
}

// SetHeldLater publishes the versions that this node holds with the next regular heartbeat. It is for versions that the peers
// usually learn from the same source at the same moment.
func (l *Loop) SetHeldLater(held Versions) {
	l.withView(func(v *View) { v.SetHeld(held) })
}

// Known returns the highest versions that any node has reported to hold.
func (l *Loop) Known() (known Versions) {
	l.withView(func(v *View) { known = v.Known() })
	return known
}

// Self returns the record of this node.
func (l *Loop) Self() (self Record) {
	l.withView(func(v *View) { self = v.Self() })
	return self
}

// Member returns one node.
func (l *Loop) Member(id string) (m Member, ok bool) {
	l.withView(func(v *View) { m, ok = v.Member(id) })
	return m, ok
}

// Members returns the nodes of a failure domain, this node included, ordered by id.
func (l *Loop) Members(domain string) (members []Member) {
	l.withView(func(v *View) { members = v.Members(domain) })
	return members
}

// OrdinalConflicts returns the other live relays of the local failure domain with the ordinal of this node, ordered by id.
func (l *Loop) OrdinalConflicts() (ids []string) {
	l.withView(func(v *View) { ids = v.OrdinalConflicts() })
	return ids
}

// Domains returns the names of all known failure domains, sorted.
func (l *Loop) Domains() (domains []string) {
	l.withView(func(v *View) { domains = v.Domains() })
	return domains
}

// MarkLeaving records that one incarnation of a target is leaving and tells the peers at once.
func (l *Loop) MarkLeaving(target, incarnation string, source LeavingSource) {
	var added bool
	l.withView(func(v *View) { added = v.MarkLeaving(target, incarnation, source) })
	if added {
		l.HeartbeatNow()
	}
}

// IsLeaving reports whether the incarnation of the target was marked as leaving.
func (l *Loop) IsLeaving(target, incarnation string) (leaving bool) {
	l.withView(func(v *View) { leaving = v.IsLeaving(target, incarnation) })
	return leaving
}

// ChangeSeq returns a number that grows with each change of a record, a leaving mark or a quarantine entry. A reader that
// saw the same number before need not list them again.
func (l *Loop) ChangeSeq() (seq uint64) {
	l.withView(func(v *View) { seq = v.changes.seq })
	return seq
}

// Marks returns all leaving marks, ordered by target and incarnation.
func (l *Loop) Marks() (marks []LeavingMark) {
	l.withView(func(v *View) { marks = v.Marks() })
	return marks
}

// SetQuarantine records a quarantine entry and tells the peers at once.
func (l *Loop) SetQuarantine(e QuarantineEntry) {
	l.withView(func(v *View) { v.SetQuarantine(e) })
	l.HeartbeatNow()
}

// Quarantine returns all quarantine entries that have not expired, ordered by key.
func (l *Loop) Quarantine() (entries []QuarantineEntry) {
	l.withView(func(v *View) { entries = v.Quarantine() })
	return entries
}
