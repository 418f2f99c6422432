package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
)

// readerKey returns the key under which the nodes of a failure domain are ranked as readers.
func readerKey(domain string) string { return "config-reader|" + domain }

// ranksInTopN reports whether this node ranks among the first count live nodes of its failure domain in reader
// order.
func (s *Syncer) ranksInTopN(count int) bool {
	self := s.deps.Members.Self()
	var live []string
	for _, m := range s.deps.Members.Members(self.Domain) {
		if m.Status == membership.Alive {
			live = append(live, m.ID)
		}
	}
	return ownership.IsInTopN(readerKey(self.Domain), self.ID, live, count)
}

// isAhead reports whether m holds a newer document set or catalogue than held while this node is behind in it.
func (s *Syncer) isAhead(m membership.Member, held membership.Versions) bool {
	setBehind, catalogueBehind := s.store.isBehind()
	return setBehind && held.Config.Less(m.Held.Config) || catalogueBehind && held.Catalogue.Less(m.Held.Catalogue)
}

// fetchNewer fetches from one peer that holds a newer version, if there is one, and otherwise falls back to the
// platform. Peers in the same failure domain are preferred, since links between failure domains cost more; the choice
// among them is random to spread the load.
func (s *Syncer) fetchNewer(ctx context.Context) {
	held, behind, _ := s.store.status()
	if !behind {
		return
	}
	self := s.deps.Members.Self()
	if node := s.pickPeerAhead(self, self.Domain, held); node != "" {
		s.fetch(ctx, node)
		return
	}
	for _, domain := range s.shuffled(s.deps.Members.Domains()) {
		if node := s.pickPeerAhead(self, domain, held); domain != self.Domain && node != "" {
			s.fetch(ctx, node)
			return
		}
	}
	if s.claimFallbackRead() {
		s.work.Go(func() {
			defer s.deps.Panics.Contain("configuration", nil)
			s.readPlatform(ctx, true)
		})
	}
}

// claimFallbackRead reports whether this node must read a newer version from the platform although it is not a reader,
// and if so schedules the earliest next fallback. The readers may be cut off from the platform. With each fallbackAfter
// that passes, the nodes of the next ranks join in, so that not all nodes read at once when a version is slow to arrive.
func (s *Syncer) claimFallbackRead() bool {
	_, _, since := s.store.status()
	now := time.Now()
	rounds := int(now.Sub(since) / fallbackAfter)
	if rounds < 1 || !s.ranksInTopN(readersPerDomain*(1+rounds)) {
		return false
	}
	pause := fallbackAfter + s.jitter(fallbackAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextFallback) {
		return false
	}
	s.nextFallback = now.Add(pause)
	return true
}

// pickPeerAhead returns a random peer in the failure domain that holds a newer version, or "". A suspect peer is
// returned only if no live peer holds one.
func (s *Syncer) pickPeerAhead(self membership.Record, domain string, held membership.Versions) string {
	nodes := map[membership.Status][]string{}
	for _, m := range s.deps.Members.Members(domain) {
		if m.ID != self.ID && s.isAhead(m, held) {
			nodes[m.Status] = append(nodes[m.Status], m.ID)
		}
	}
	for _, status := range []membership.Status{membership.Alive, membership.Suspect} {
		if len(nodes[status]) > 0 {
			return s.shuffled(nodes[status])[0]
		}
	}
	return ""
}

// fetchFromPeers fetches from up to initialFetchPeers peers concurrently and prefers peers in the same failure domain.
// It reports whether any of them answered.
func (s *Syncer) fetchFromPeers(ctx context.Context) bool {
	self := s.deps.Members.Self()
	nodes := s.peersOf(self, self.Domain)
	for _, domain := range s.shuffled(s.deps.Members.Domains()) {
		if domain != self.Domain {
			nodes = append(nodes, s.peersOf(self, domain)...)
		}
	}
	var (
		fetches  sync.WaitGroup
		mu       sync.Mutex
		answered bool
	)
	for _, node := range nodes[:min(len(nodes), initialFetchPeers)] {
		fetches.Go(func() {
			defer s.deps.Panics.Contain("configuration of a peer", logrus.Fields{"peer": node})
			ok := s.fetch(ctx, node)
			mu.Lock()
			defer mu.Unlock()
			answered = answered || ok
		})
	}
	fetches.Wait()
	return answered
}

// peersOf returns the IDs of the peers in a failure domain that are not dead, in random order.
func (s *Syncer) peersOf(self membership.Record, domain string) []string {
	var nodes []string
	for _, m := range s.deps.Members.Members(domain) {
		if m.ID != self.ID && m.Status != membership.Dead {
			nodes = append(nodes, m.ID)
		}
	}
	return s.shuffled(nodes)
}

// fetch requests from one peer what this node lacks and offers it to the store. It reports whether the peer answered.
func (s *Syncer) fetch(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	offer, err := s.deps.Peers.FetchConfig(ctx, node, s.store.fetchRequest())
	if err != nil {
		s.metrics.fetchesFailed.Inc()
		s.deps.Log.WithError(&Error{Code: CodePeer, Message: "fetch from a peer failed", Err: err}).
			WithField("peer", node).Debug("configuration not fetched")
		return false
	}
	s.metrics.fetchesOK.Inc()
	if !offer.Manifest.Version.IsZero() {
		d, err := s.store.offerSet(offer.Manifest, offer.Values)
		s.handleDecision("configuration", node, d, err)
	}
	if len(offer.Catalogue) > 0 {
		d, err := s.store.offerCatalogue(offer.Catalogue)
		s.handleDecision("catalogue", node, d, err)
	}
	return true
}

// shuffled shuffles names in place and returns them.
func (s *Syncer) shuffled(names []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}
