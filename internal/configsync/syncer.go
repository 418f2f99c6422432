package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Request is sent to a peer to fetch newer versions. It names the versions held and the content hashes of the parts held,
// so that the peer sends only parts that changed.
type Request struct {
	Held  membership.Versions `json:"held"`
	Parts []string            `json:"parts,omitempty"`
}

// Offer answers a Request with what the peer holds beyond it. The version of the manifest is zero if the peer has no
// newer document set.
type Offer struct {
	Manifest  config.Manifest   `json:"manifest,omitzero"`
	Values    map[string][]byte `json:"values,omitempty"`
	Catalogue []byte            `json:"catalogue,omitempty"`
}

// Peers fetches configuration from other nodes, which answer with Syncer.HandleFetch.
type Peers interface {
	FetchConfig(ctx context.Context, node string, since Request) (Offer, error)
}

// Members is the part of membership.Loop that the syncer uses.
type Members interface {
	Self() membership.Record
	Members(domain string) []membership.Member
	Domains() []string
	Known() membership.Versions
	SetHeld(membership.Versions)
}

// Deps holds the dependencies of a Syncer. IsNoChange reports whether the error of a watch means only that its wait has
// passed. OnChange is called after each acceptance, in order; it may be nil.
type Deps struct {
	Source     configservice.Source
	IsNoChange func(error) bool
	Peers      Peers
	Members    Members
	Checker    Checker
	Charts     *statechart.Charts
	Rand       *rand.Rand
	Metrics    *metrics.Set
	Log        logrus.FieldLogger
	OnChange   func(Current)
	Panics     *panics.Handler // nil contains no panics
}

// Syncer keeps the configuration and the catalogue up to date. mu guards the fields below it. changeMu serializes calls
// of OnChange. readingSet serializes reads of a document set, so that the initial read and the watch do not read the same
// parts.
type Syncer struct {
	cfg         Config
	deps        Deps
	store       *store
	readLimiter *tokenBucket
	metrics     *syncMetrics

	changeMu   sync.Mutex
	readingSet chan struct{}  // holds one token while a document set is read
	work       sync.WaitGroup // goroutines of Run

	mu             panics.Mutex
	rng            *rand.Rand
	nextFallback   time.Time // earliest time of the next read of a version that no peer provides
	sourcesQueried bool      // platform or peers were queried since the start or the last Refresh
	wasReady       bool      // the node was ready since then
	warned         bool      // Warning was set in the last recorded readiness
	watching       bool
}

// New returns a syncer that holds nothing yet. Errors are *Error.
func New(cfg Config, deps Deps) (*Syncer, error) {
	if faults := cfg.Validate(); len(faults) > 0 {
		return nil, faults[0]
	}
	s := &Syncer{
		cfg: cfg, deps: deps, store: newStore(deps.Checker, deps.Charts.Config.NewMachine()), rng: deps.Rand,
		readLimiter: newTokenBucket(cfg.ReadRate, cfg.ReadBurst), readingSet: make(chan struct{}, 1),
	}
	s.metrics = newSyncMetrics(deps.Metrics, s)
	return s, nil
}

// Run keeps the configuration up to date until ctx ends. It returns after all its goroutines have ended.
func (s *Syncer) Run(ctx context.Context) {
	defer s.work.Wait()
	s.work.Go(func() { s.deps.Panics.Loop(ctx, "initial configuration", s.initialSync) })
	role := readerRole{notBefore: time.Now().Add(s.cfg.ReaderDelay)}
	stopWatch := func() {}
	defer func() { stopWatch() }()
	for sleep(ctx, pollInterval/2+s.jitter(pollInterval/2)) == nil {
		s.store.announce(s.deps.Members.Known())
		s.fetchNewer(ctx)
		if !role.update(s.ranksInTopN(readersPerDomain), time.Now()) {
			continue
		}
		s.setWatching(role.watching)
		stopWatch()
		if role.watching {
			watchCtx, cancel := context.WithCancel(ctx)
			stopWatch = cancel
			s.work.Go(func() { s.watch(watchCtx, config.KeyManifest, s.handleManifest) })
			s.work.Go(func() { s.watch(watchCtx, config.KeyCatalogue, s.handleCatalogue) })
		}
	}
}

// initialSync fetches from peers at once and, if none answered, again after ReaderDelay. It then reads the platform after
// a random delay, which spreads the reads of nodes that start together.
func (s *Syncer) initialSync(ctx context.Context) {
	answered := s.fetchFromPeers(ctx)
	if sleep(ctx, s.cfg.ReaderDelay) != nil {
		return
	}
	if !answered {
		s.fetchFromPeers(ctx)
	}
	if sleep(ctx, s.jitter(s.cfg.StartupJitter)) != nil {
		return
	}
	s.readPlatform(ctx, s.ranksInTopN(readersPerDomain))
	s.markSourcesQueried()
}

// Refresh fetches from peers, or reads the platform if no peer answers, before the node accepts work again after a pause.
// The node is not ready until Refresh returns.
func (s *Syncer) Refresh(ctx context.Context) {
	s.mu.Lock()
	s.sourcesQueried, s.wasReady = false, false
	s.mu.Unlock()
	if !s.fetchFromPeers(ctx) {
		s.readPlatform(ctx, true)
	}
	if ctx.Err() == nil {
		s.markSourcesQueried()
	}
}

func (s *Syncer) markSourcesQueried() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sourcesQueried = true
}

// setWatching records whether this node watches the platform.
func (s *Syncer) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = watching
}

// IsReader reports whether this node watches the platform on behalf of its failure domain. The readers of the instance
// list are chosen separately, by package node.
func (s *Syncer) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// jitter returns a random duration below limit.
func (s *Syncer) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// HandleFetch returns the answer to a peer's fetch.
func (s *Syncer) HandleFetch(r Request) Offer { return s.store.changesSince(r) }

// Current returns the document and the catalogue in force.
func (s *Syncer) Current() Current { return s.store.inForce() }

// State returns the state of the configuration state chart.
func (s *Syncer) State() statechart.ConfigState { return s.store.machine.State() }

// handleDecision handles the result of an offer to the store: it publishes an accepted version and logs a refused one.
func (s *Syncer) handleDecision(kind, from string, d Decision, err error) {
	s.metrics.countDecision(kind, d)
	log := s.deps.Log.WithFields(logrus.Fields{"kind": kind, "from": from, "decision": string(d)})
	switch d {
	case Accepted:
		log.Info("new version in force")
		s.publish()
	case Invalid, Incomplete:
		log.WithError(err).Error("offered version refused, last good version stays in force")
	case Conflicting:
		log.WithError(&Error{Code: CodeConflict, Message: "the version in force was offered with other content"}).
			Error("offered version refused")
	}
}

// publish announces the state in force to peers and to OnChange. The lock prevents an older state from being published
// after a newer one.
func (s *Syncer) publish() {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	held, _, _ := s.store.status()
	s.deps.Members.SetHeld(held)
	if s.deps.OnChange != nil {
		s.deps.OnChange(s.store.inForce())
	}
}
