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

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// ErrCompacted is returned by Watch when the store no longer has the changes after the requested revision.
var ErrCompacted = eris.New("published: the store dropped this part of its history")

// Source reads the platform's store.
type Source interface {
	// List reads the whole published state.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait, and the revision up to which
	// the answer is complete.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Update, uint64, error)
}

// Peers gives access to other nodes.
type Peers interface {
	// HighestVersions returns the highest revision and the highest configuration version that any live peer holds.
	HighestVersions() (revision, version uint64)
	// Fetch returns the state of a peer that holds more than the given revision or version.
	Fetch(ctx context.Context, revision, version uint64) (Snapshot, error)
	// Reader returns the node that reads the store for the failure domain of this one. It returns false when that is this
	// node itself, or none is known. Nodes for which skip returns true are left out.
	Reader(skip func(id string) bool) (id string, ok bool)
	// Watch returns the changes after a revision that the node with the given id has merged, as soon as there are any, or
	// none after wait.
	Watch(ctx context.Context, id string, revision uint64, wait time.Duration) (Delta, error)
}

// Config holds the settings of a Follower.
type Config struct {
	// WatchWait is how long the store may hold a watch without a change.
	WatchWait time.Duration
	// WatchGrace is how much longer than WatchWait an answer may take before the watch fails.
	WatchGrace time.Duration
	// ListTimeout limits one read of the whole state.
	ListTimeout time.Duration
	// PeerCheckInterval is how often the node compares its state with that of its peers.
	PeerCheckInterval time.Duration
	// StartDelay is how long a starting node looks for a reader to follow before it reads the store itself.
	StartDelay time.Duration
	// ContactLimit is how long a node goes without an answer, of a reader or of the store, before it reads the store itself
	// although there are readers left to ask.
	ContactLimit time.Duration
}

// Defaults of Config. A change must be in force 3 s after its acknowledgement, so a silent connection must be found and
// the state read again within that time.
const (
	DefaultWatchWait         = 1500 * time.Millisecond
	DefaultWatchGrace        = 600 * time.Millisecond
	DefaultListTimeout       = 800 * time.Millisecond
	DefaultPeerCheckInterval = 250 * time.Millisecond
	DefaultContactLimit      = 2 * time.Second
)

const (
	// minBackoff and maxBackoff limit the delay after a failed read. Each read has a cost, and a store that recovers should
	// be noticed within a fraction of a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// peerFetchTimeout limits one fetch from a peer.
	peerFetchTimeout = time.Second
	// readerWatchWait is how long a reader holds a follower's watch without a change, and readerWatchGrace how much longer its
	// answer may take. Together they limit the time in which the followers of a frozen reader learn nothing.
	readerWatchWait  = time.Second
	readerWatchGrace = 300 * time.Millisecond
	// minReaderSkip is the time for which a reader that could not be followed is skipped at first. It doubles with each
	// failure in a row, at most maxReaderSkipDoublings times: a frozen reader costs its followers the whole wait each time.
	minReaderSkip          = 2 * time.Second
	maxReaderSkipDoublings = 4
	// readerRetryWait is the wait of a watch at a reader that could not be followed the last time, or while no reader answers, and
	// readerRetryGrace how much longer its answer may take: the dead connection to the reader may have to be replaced first.
	readerRetryWait  = 100 * time.Millisecond
	readerRetryGrace = 450 * time.Millisecond
	// storeCheckWait is the wait of a watch of the store when the known state is too old to be followed, and storeCheckGrace how
	// much longer its answer may take.
	storeCheckWait  = 100 * time.Millisecond
	storeCheckGrace = 400 * time.Millisecond
	// coalesceDelay is the delay after an answer with changes. Targets register one after another; without it, each
	// registration would cost a call of the store.
	coalesceDelay = 150 * time.Millisecond
	// maxFollowerBackoff is the longest delay of a node that reads the store only because it has no reader to follow: when
	// the store is down for all nodes, all of them read it.
	maxFollowerBackoff = 2 * time.Second
)

// DefaultConfig returns the settings that apply when none are given.
func DefaultConfig() Config {
	return Config{
		WatchWait: DefaultWatchWait, WatchGrace: DefaultWatchGrace, ListTimeout: DefaultListTimeout,
		PeerCheckInterval: DefaultPeerCheckInterval, ContactLimit: DefaultContactLimit,
	}
}

// Deps holds the dependencies of a Follower.
type Deps struct {
	Source  Source
	Peers   Peers // nil for none
	Log     *logrus.Entry
	Metrics *metrics.Set
	Panics  *panics.Handler // nil contains no panics
	// OnChange is called with each new view, in order. It must return without delay.
	OnChange func(*View)
}

// Follower keeps the published state up to date on one node.
type Follower struct {
	cfg     Config
	deps    Deps
	metrics *followerMetrics
	view    atomic.Pointer[View]
	wake    chan struct{} // wakes expireHeldTargets after a change of the state

	cancelWatch atomic.Pointer[context.CancelFunc] // cancels the watch in progress

	fetchFailed bool // the last fetch from a peer failed; used by pollPeers only

	// Used by followChanges only.
	startedAt    time.Time
	storeRetryAt time.Time // the store is not read before
	hurried      bool      // the last watch at a reader was a short one

	mu        panics.Mutex // guards the fields below and the order of OnChange calls
	state     *state
	storeLost bool // the last read of the store failed

	contactAt     time.Time            // when a reader that can be followed, or the store, last answered
	confirmedAt   time.Time            // when the store last confirmed the state, directly or to a reader
	skipUntil     map[string]time.Time // readers that could not be followed, with the end of their skip
	failuresInRow map[string]int       // how often in a row each reader could not be followed
	stateChanged  chan struct{}        // closed at the next change of the state
}

// NewFollower returns a follower with an empty state.
func NewFollower(cfg Config, deps Deps) *Follower {
	f := &Follower{
		cfg: cfg, deps: deps, state: newState(), wake: make(chan struct{}, 1), skipUntil: map[string]time.Time{},
		failuresInRow: map[string]int{}, stateChanged: make(chan struct{}),
	}
	f.view.Store(f.state.view())
	f.metrics = newFollowerMetrics(deps.Metrics, f)
	return f
}

// View returns the current view. It is never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Snapshot returns the state for a peer.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.snapshot()
}

// Run keeps the state up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { f.deps.Panics.Loop(ctx, "target expiry", f.expireHeldTargets) })
	if f.deps.Peers != nil {
		loops.Go(func() { f.deps.Panics.Loop(ctx, "peer state", f.pollPeers) })
	}
	f.deps.Panics.Loop(ctx, "published state", f.followChanges)
}

// followChanges receives changes from the reader of the failure domain, or from the store itself. A failed watch of the
// store is repeated from the same revision; the whole state is read again only when the store has dropped its history.
func (f *Follower) followChanges(ctx context.Context) {
	f.startedAt = time.Now()
	f.awaitReader(ctx)
	f.recordContact()
	backoff, listed := minBackoff, false
	for ctx.Err() == nil {
		reader, following := f.chooseReader()
		var err error
		switch {
		case following:
			err = f.followReader(ctx, reader)
			listed = listed || err == nil && f.View().Revision > 0
		case !sleep(ctx, time.Until(f.storeRetryAt)):
			return
		case !listed:
			err = f.listStore(ctx)
			listed = err == nil
		default:
			err = f.watchStore(ctx)
			if errors.Is(err, ErrCompacted) {
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
			f.skipReader(reader, err)
		default:
			f.recordStoreFailure(err)
			f.storeRetryAt = time.Now().Add(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, f.backoffLimit())
		}
	}
}

func (f *Follower) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ListTimeout)
	defer cancel()
	f.metrics.lists.Inc()
	l, err := f.deps.Source.List(ctx)
	if err != nil {
		return err
	}
	f.recordStoreAnswer()
	f.merge("list", func(s *state, now time.Time) outcome { return s.applyListing(l, now) })
	if f.View().Revision == 0 {
		return errNothingPublished
	}
	return nil
}

func (f *Follower) watchStore(ctx context.Context) error {
	wait, grace := f.cfg.WatchWait, f.cfg.WatchGrace
	if f.sinceConfirmation() >= f.maxConfirmationAge() {
		wait, grace = storeCheckWait, storeCheckGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	f.setCancelWatch(cancel)
	f.metrics.watches.Inc()
	updates, asOf, err := f.deps.Source.Watch(ctx, f.View().Revision, wait)
	if err != nil {
		return err
	}
	f.recordStoreAnswer()
	f.merge("watch", func(s *state, now time.Time) outcome { return s.merge(updates, asOf, now) })
	if len(updates) > 0 {
		sleep(ctx, coalesceDelay)
	}
	return nil
}

// Restart cancels the watch in progress, so that it is repeated. It is called after a pause of the process, in which the
// connection may have died. It takes no lock: the pause may be noticed while a view is published, under mu.
func (f *Follower) Restart() {
	if cancel := f.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// recordStoreFailure counts a failed read of the store and logs the first one in a row.
func (f *Follower) recordStoreFailure(err error) {
	f.metrics.failures.Inc()
	f.mu.Lock()
	first := !f.storeLost
	f.storeLost = true
	f.mu.Unlock()
	if first {
		f.deps.Log.WithError(err).WithField("revision", f.View().Revision).Warn("reading the platform's store failed; the known state stays in force")
	}
}

// recordStoreAnswer records that the store answered now and logs it after a failure.
func (f *Follower) recordStoreAnswer() {
	f.mu.Lock()
	regained := f.storeLost
	f.storeLost = false
	f.confirmedAt = time.Now()
	f.contactAt = f.confirmedAt
	f.mu.Unlock()
	if regained {
		f.deps.Log.WithField("revision", f.View().Revision).Info("the platform's store answers again")
	}
}

// merge applies change to the state and publishes the new view if the state changed.
func (f *Follower) merge(source string, change func(*state, time.Time) outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.state.revision
	out := change(f.state, now)
	f.logOutcome(source, out)
	if !out.changed && f.state.revision == before {
		return
	}
	v := f.state.view()
	f.view.Store(v)
	close(f.stateChanged)
	f.stateChanged = make(chan struct{})
	if f.deps.OnChange != nil {
		f.deps.OnChange(v)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// logOutcome writes a log line for each kind of change in the outcome of a merge.
func (f *Follower) logOutcome(source string, out outcome) {
	log := f.deps.Log.WithFields(logrus.Fields{"source": source, "revision": f.state.revision})
	for _, u := range out.refused {
		f.metrics.refused.Inc()
		log.WithFields(logrus.Fields{"reason": u.Refused, "target": u.RefusedTarget, "at": u.Revision}).Warn("refused a published value; the others stay in force")
	}
	if len(out.staleVersions) > 0 {
		log.WithField("versions", out.staleVersions).Warn("ignored configuration versions older than the one in force")
	}
	if len(out.outdated) > 0 {
		log.WithField("targets", out.outdated).Info("ignored target entries older than the known ones")
	}
	if out.configuration {
		c := f.state.table.Configuration
		log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes), "services": len(c.Services)}).Info("configuration in force")
	}
	if len(out.updated)+len(out.removed)+len(out.held) > 0 {
		log.WithFields(logrus.Fields{"changed": out.updated, "removed": out.removed, "held": out.held, "targets": len(f.state.targets)}).Info("list of targets changed")
	}
}

// expireHeldTargets removes held targets whose entries did not come back in time.
func (f *Follower) expireHeldTargets(ctx context.Context) {
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

// pollPeers fetches the state of a peer that is ahead. It matters for nodes that can reach neither the store nor a reader of
// their failure domain.
func (f *Follower) pollPeers(ctx context.Context) {
	tick := time.NewTicker(f.cfg.PeerCheckInterval)
	defer tick.Stop()
	intervalsBehind := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := f.View()
		revision, version := f.deps.Peers.HighestVersions()
		if revision <= v.Revision && version <= v.Version() {
			intervalsBehind = 0
			continue
		}
		// Wait one more interval: the change usually arrives through this node's own watch at the same moment.
		if intervalsBehind++; intervalsBehind < 2 {
			continue
		}
		f.fetchFromPeer(ctx, v)
	}
}

func (f *Follower) fetchFromPeer(ctx context.Context, v *View) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	f.metrics.fetches.Inc()
	s, err := f.deps.Peers.Fetch(ctx, v.Revision, v.Version())
	if err != nil {
		f.metrics.fetchFailures.Inc()
		if !f.fetchFailed {
			f.deps.Log.WithError(err).WithField("revision", v.Revision).Info("cannot fetch the state of a peer that is ahead")
		}
		f.fetchFailed = true
		return
	}
	f.fetchFailed = false
	f.merge("peer", func(st *state, now time.Time) outcome { return st.adoptSnapshot(s, now) })
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
