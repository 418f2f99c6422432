package published

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ErrHistoryGone is returned by Watch when the store no longer has the changes that were asked for.
var ErrHistoryGone = eris.New("published: the store dropped this part of its history")

// Source reads the platform's store.
type Source interface {
	// List reads the whole published state.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision as soon as there is one, or none after wait, and the revision up to
	// which the answer is complete.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Update, uint64, error)
}

// Peers reaches other nodes.
type Peers interface {
	// Ahead reports the highest revision that a live peer holds, and the highest configuration version.
	Ahead() (revision, version uint64)
	// Fetch returns the state of a peer that holds more than the given revision or version.
	Fetch(ctx context.Context, revision, version uint64) (Snapshot, error)
	// Reader returns the node that reads the store for the failure domain of this one. It returns false when that is this
	// node itself, or none is known. Nodes for which skip is true are passed over.
	Reader(skip func(id string) bool) (id string, ok bool)
	// Watch returns what the node knows beyond a revision, as soon as there is something or after wait.
	Watch(ctx context.Context, id string, revision uint64, wait time.Duration) (Delta, error)
}

// Config holds the settings of a Follower.
type Config struct {
	// Wait is how long the store may hold a watch without a change.
	Wait time.Duration
	// Slack is how much later than Wait an answer may come before the connection counts as dead.
	Slack time.Duration
	// ListTimeout bounds one reading of the whole state.
	ListTimeout time.Duration
	// PeerInterval is how often the node compares itself with its peers.
	PeerInterval time.Duration
	// StartDelay is the time for which a node waits for a peer to follow before it reads the store itself.
	StartDelay time.Duration
}

// Defaults of Config. A change must be in force 3 s after its acknowledgement, so a silent connection must be found and
// the state read again within that time.
const (
	DefaultWait         = 1500 * time.Millisecond
	DefaultSlack        = 600 * time.Millisecond
	DefaultListTimeout  = 800 * time.Millisecond
	DefaultPeerInterval = 250 * time.Millisecond
)

const (
	// minBackoff and maxBackoff bound the pause after a failed read. Each read has a price, and a store that comes back
	// is wanted within a fraction of a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// peerTimeout bounds one fetch from a peer.
	peerTimeout = time.Second
	// peerWait is how long a node that is followed holds a watch without a change, and peerSlack how much later its answer
	// may come. Together they bound the time in which a follower of a frozen node learns nothing.
	peerWait  = time.Second
	peerSlack = 300 * time.Millisecond
	// badReader is the time for which a node that could not be followed is passed over at first. It doubles with each
	// failure in a row, maxBadDoublings times at most: a frozen node costs its followers the whole wait each time.
	badReader       = 2 * time.Second
	maxBadDoublings = 4
	// trialWait is the wait at a node that could not be followed the last time.
	trialWait = 100 * time.Millisecond
	// spreadPause is the pause after an answer with changes. Targets register one after another; without it, each would
	// cost a call of the store.
	spreadPause = 150 * time.Millisecond
	// followerBackoff is the longest pause of a node that reads the store only since it has nobody to follow: when the
	// store is down for all, all of them ask.
	followerBackoff = 2 * time.Second
)

// DefaultConfig returns the settings that apply without others.
func DefaultConfig() Config {
	return Config{Wait: DefaultWait, Slack: DefaultSlack, ListTimeout: DefaultListTimeout, PeerInterval: DefaultPeerInterval}
}

// Deps are what a Follower works with.
type Deps struct {
	Source  Source
	Peers   Peers // nil for none
	Log     *logrus.Entry
	Metrics *metrics.Set
	// Changed is called with each new view, in order. It must return without delay.
	Changed func(*View)
}

// Follower keeps the published state of one node.
type Follower struct {
	cfg  Config
	deps Deps
	m    *followerMetrics
	view atomic.Pointer[View]
	wake chan struct{}

	abandon atomic.Pointer[context.CancelFunc] // ends the watch under way

	started time.Time // owned by the loop that follows

	mu    sync.Mutex // guards the fields below and the order of Changed calls
	state *state
	lost  bool // the last read of the store failed

	confirmed time.Time            // when the store last confirmed the state, directly or through another node
	bad       map[string]time.Time // nodes that could not be followed, until when they are passed over
	failed    map[string]int       // how often in a row a node could not be followed
	changed   chan struct{}        // closed at the next change of the state
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(cfg Config, deps Deps) *Follower {
	f := &Follower{cfg: cfg, deps: deps, state: newState(), wake: make(chan struct{}, 1), bad: map[string]time.Time{}, failed: map[string]int{}, changed: make(chan struct{})}
	f.view.Store(f.state.view())
	f.m = newFollowerMetrics(deps.Metrics, f)
	return f
}

// View returns what is known now. It is never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Snapshot returns the state for a peer.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.snapshot()
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { f.expireHeld(ctx) })
	if f.deps.Peers != nil {
		loops.Go(func() { f.followPeers(ctx) })
	}
	f.follow(ctx)
}

// follow learns of changes: from the node that reads the store for the failure domain, or from the store itself. A failed
// watch of the store is asked again from the same revision; only a dropped history makes the whole state be read again.
func (f *Follower) follow(ctx context.Context) {
	f.started = time.Now()
	f.awaitReader(ctx)
	backoff, listed := minBackoff, false
	for ctx.Err() == nil {
		reader, following := f.reader()
		var err error
		switch {
		case following:
			err = f.followNode(ctx, reader)
			listed = listed || err == nil && f.View().Revision > 0
		case !listed:
			err = f.list(ctx)
			listed = err == nil
		default:
			err = f.watch(ctx)
			if errors.Is(err, ErrHistoryGone) {
				f.deps.Log.WithField("revision", f.View().Revision).Warn("the store dropped its history; reading the whole state")
				listed, err = false, nil
			}
		}
		switch {
		case err == nil:
			backoff = minBackoff
		case ctx.Err() != nil:
			return
		case following:
			f.passOver(reader, err)
		default:
			f.noteLost(err)
			if !sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, f.longestBackoff())
		}
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ListTimeout)
	defer cancel()
	f.m.lists.Inc()
	l, err := f.deps.Source.List(ctx)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.merge("list", func(s *state, now time.Time) outcome { return s.list(l, now) })
	if f.View().Revision == 0 {
		return errEmpty
	}
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	f.setAbandon(cancel)
	f.m.watches.Inc()
	updates, asOf, err := f.deps.Source.Watch(ctx, f.View().Revision, f.cfg.Wait)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.merge("watch", func(s *state, now time.Time) outcome { return s.merge(updates, asOf, now) })
	if len(updates) > 0 {
		sleep(ctx, spreadPause)
	}
	return nil
}

// Restart gives up the watch under way and asks again. It is called after a pause of the process, in which the connection
// may have died. It takes no lock: the pause may be noticed while a view is put in force, under mu.
func (f *Follower) Restart() {
	if cancel := f.abandon.Load(); cancel != nil {
		(*cancel)()
	}
}

// noteLost logs the loss of the store once.
func (f *Follower) noteLost(err error) {
	f.m.failures.Inc()
	f.mu.Lock()
	first := !f.lost
	f.lost = true
	f.mu.Unlock()
	if first {
		f.deps.Log.WithError(err).WithField("revision", f.View().Revision).Warn("lost the platform's store; what is known stays in force")
	}
}

// noteAnswer notes that the store answers.
func (f *Follower) noteAnswer() {
	f.mu.Lock()
	regained := f.lost
	f.lost = false
	f.confirmed = time.Now()
	f.mu.Unlock()
	if regained {
		f.deps.Log.WithField("revision", f.View().Revision).Info("the platform's store answers again")
	}
}

// merge changes the state and publishes the new view.
func (f *Follower) merge(source string, change func(*state, time.Time) outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.state.revision
	out := change(f.state, now)
	f.log(source, out)
	if !out.changed && f.state.revision == before {
		return
	}
	v := f.state.view()
	f.view.Store(v)
	close(f.changed)
	f.changed = make(chan struct{})
	if f.deps.Changed != nil {
		f.deps.Changed(v)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// log writes one line for each merge that changed what the node believes.
func (f *Follower) log(source string, out outcome) {
	log := f.deps.Log.WithFields(logrus.Fields{"source": source, "revision": f.state.revision})
	for _, u := range out.refused {
		f.m.refused.Inc()
		log.WithFields(logrus.Fields{"reason": u.Refused, "target": u.RefusedTarget, "at": u.Revision}).Warn("refused a published value; the others stay in force")
	}
	if len(out.stale) > 0 {
		log.WithField("versions", out.stale).Warn("ignored configuration versions older than the one in force")
	}
	if len(out.late) > 0 {
		log.WithField("targets", out.late).Info("ignored entries of targets that are older than those known")
	}
	if out.configuration {
		c := f.state.table.Configuration
		log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes), "services": len(c.Services)}).Info("configuration in force")
	}
	if len(out.added)+len(out.removed)+len(out.held) > 0 {
		log.WithFields(logrus.Fields{"changed": out.added, "removed": out.removed, "held": out.held, "targets": len(f.state.targets)}).Info("list of targets changed")
	}
}

// expireHeld removes held targets whose entries did not come back.
func (f *Follower) expireHeld(ctx context.Context) {
	for {
		f.mu.Lock()
		next := f.state.nextExpiry()
		f.mu.Unlock()
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-due:
			f.merge("expiry", func(s *state, now time.Time) outcome { return s.expire(now) })
		}
	}
}

// followPeers takes the state of a peer that is ahead. It matters for nodes that neither the store
// nor a node of their failure domain serves.
func (f *Follower) followPeers(ctx context.Context) {
	tick := time.NewTicker(f.cfg.PeerInterval)
	defer tick.Stop()
	behind := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := f.View()
		revision, version := f.deps.Peers.Ahead()
		if revision <= v.Revision && version <= v.Version() {
			behind = 0
			continue
		}
		// One interval of patience: the change usually arrives by the own watch at the same moment.
		if behind++; behind < 2 {
			continue
		}
		f.fetch(ctx, v)
	}
}

func (f *Follower) fetch(ctx context.Context, v *View) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	f.m.fetches.Inc()
	s, err := f.deps.Peers.Fetch(ctx, v.Revision, v.Version())
	if err != nil {
		f.deps.Log.WithError(err).Debug("cannot fetch the state of a peer")
		return
	}
	f.merge("peer", func(st *state, now time.Time) outcome { return st.adopt(s, now) })
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
