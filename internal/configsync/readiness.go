package configsync

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/membership"
)

// Readiness tells whether the configuration held allows the node to accept work. Warning is set if the node is ready
// although a newer version is known that could not be obtained.
type Readiness struct {
	Ready   bool
	Reason  string
	Warning bool
}

// Reasons why a node is not ready.
const (
	ReasonNotQueried = "platform and peers have not been asked yet"
	ReasonNoConfig   = "no configuration or no catalogue is held"
	ReasonBehind     = "a newer version is known than held"
	ReasonLagging    = "a peer of the failure domain has held a newer version for longer than the lag limit"
)

// Readiness evaluates the readiness by these rules:
//
//   - Without a document set and a catalogue, or before the platform and peers were queried, the node is not ready.
//   - A node that started or paused is not ready while it knows of a newer version than it holds, but after
//     BehindWait it becomes ready with a warning: that version may no longer be available anywhere.
//   - A node that was ready stays ready during an update. If it lags for longer than LagLimit while a live peer in
//     its failure domain holds the newer version, it becomes unready. If no such peer exists, it stays ready with a
//     warning, because otherwise the whole failure domain would go out of service.
//
// A version that was found invalid does not count as known.
func (s *Syncer) Readiness() Readiness {
	r := s.evaluateReadiness()
	s.recordReadiness(r)
	return r
}

// evaluateReadiness applies the rules of Readiness without recording the result.
func (s *Syncer) evaluateReadiness() Readiness {
	held, behind, since := s.store.status()
	now := time.Now()
	s.mu.Lock()
	sourcesQueried, wasReady := s.sourcesQueried, s.wasReady
	s.mu.Unlock()
	r := Readiness{}
	switch {
	case held.Config.IsZero() || held.Catalogue.IsZero():
		r.Reason = ReasonNoConfig
	case !sourcesQueried:
		r.Reason = ReasonNotQueried
	case !behind:
		r.Ready = true
	case !wasReady:
		r = readyWithWarningIf(now.Sub(since) > s.cfg.BehindWait, ReasonBehind)
	case now.Sub(since) <= s.cfg.LagLimit:
		r.Ready = true
	default:
		r = readyWithWarningIf(!s.hasLivePeerAhead(held), ReasonLagging)
	}
	return r
}

// readyWithWarningIf returns ready with a warning if ready is set, and otherwise unready with the reason.
func readyWithWarningIf(ready bool, reason string) Readiness {
	if ready {
		return Readiness{Ready: true, Warning: true}
	}
	return Readiness{Reason: reason}
}

// recordReadiness records that the node was ready and logs a warning when Warning becomes set.
func (s *Syncer) recordReadiness(r Readiness) {
	s.mu.Lock()
	s.wasReady = s.wasReady || r.Ready
	changed := r.Warning && !s.warned
	s.warned = r.Warning
	s.mu.Unlock()
	if changed {
		s.deps.Log.Warn("ready with an older version: a newer one is known that nobody provides")
	}
}

// hasLivePeerAhead reports whether a live peer in the same failure domain holds a newer version.
func (s *Syncer) hasLivePeerAhead(held membership.Versions) bool {
	self := s.deps.Members.Self()
	for _, m := range s.deps.Members.Members(self.Domain) {
		if m.ID != self.ID && m.Status == membership.Alive && s.isAhead(m, held) {
			return true
		}
	}
	return false
}
