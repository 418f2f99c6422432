package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/query"
)

const (
	// evidenceInterval is how often nodes tell each other about targets that fail. Faults last seconds, and a node alone
	// calls each target about once a second.
	evidenceInterval = 200 * time.Millisecond
	// maxEvidencePeers bounds the nodes that are told.
	maxEvidencePeers = 16
	// minEvidencePeers is the number of nodes that are told where the own failure domain has fewer: bytes to other failure
	// domains have a price, and more than a few reporters tell little more about one target.
	minEvidencePeers = 5
	// evidenceTimeout bounds one message, so that a peer that is cut off holds few of them.
	evidenceTimeout = time.Second
	// evidenceLogInterval is how often a line sums up what peers told: some target pauses at most moments.
	evidenceLogInterval = time.Second
	// maxLoggedTargets bounds the targets in one log line.
	maxLoggedTargets = 20
)

// evidence passes what nodes observe of failing targets between this node and its peers. mu guards learned.
type evidence struct {
	core        *core
	told, taken *metrics.Counter

	mu      sync.Mutex
	learned map[string]observed // by target, since the last log line
}

// observed sums up what peers said about one target.
type observed struct{ answered, failed int }

func newEvidence(c *core) *evidence {
	return &evidence{
		core: c, learned: map[string]observed{},
		told:  c.env.Set.GetOrCreateCounter("medlarshunt_evidence_told_total"),
		taken: c.env.Set.GetOrCreateCounter("medlarshunt_evidence_taken_total"),
	}
}

// run tells peers what this node observed, until ctx ends.
func (e *evidence) run(ctx context.Context) {
	tick := time.NewTicker(evidenceInterval)
	defer tick.Stop()
	logged := time.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if now.Sub(logged) >= evidenceLogInterval {
				e.logLearned()
				logged = now
			}
			all := e.core.engine.TakeEvidence(now)
			if len(all) == 0 {
				continue
			}
			for _, address := range e.receivers() {
				calls.Go(func() { e.tell(ctx, address, all) })
			}
		}
	}
}

func (e *evidence) tell(ctx context.Context, address string, all []query.ServiceEvidence) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	var none struct{}
	if err := e.core.peers.Call(ctx, address, peer.MethodEvidence, all, &none); err != nil {
		e.core.env.Log.WithError(err).WithField("peer", address).Debug("cannot tell a peer about targets")
		return
	}
	e.told.Inc()
}

// take takes over what a peer observed.
func (e *evidence) take(all []query.ServiceEvidence) {
	e.core.engine.MergeEvidence(all, time.Now())
	e.taken.Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range all {
		for _, t := range s.Targets {
			have := e.learned[t.Target]
			e.learned[t.Target] = observed{have.answered + t.Answered, have.failed + t.Failed}
		}
	}
}

// logLearned writes one line for all that peers said since the last one.
func (e *evidence) logLearned() {
	learned := e.takeLearned()
	if len(learned) == 0 {
		return
	}
	targets := make([]string, 0, len(learned))
	for id, o := range learned {
		targets = append(targets, fmt.Sprintf("%s: %d of %d failed", id, o.failed, o.answered+o.failed))
	}
	slices.Sort(targets)
	e.core.env.Log.WithFields(logrus.Fields{
		"count": len(targets), "targets": targets[:min(len(targets), maxLoggedTargets)],
	}).Info("peers told of targets that fail or are slow")
}

func (e *evidence) takeLearned() map[string]observed {
	e.mu.Lock()
	defer e.mu.Unlock()
	learned := e.learned
	e.learned = map[string]observed{}
	return learned
}

// receivers chooses the nodes of the own failure domain, and others at random where they are few.
func (e *evidence) receivers() []string {
	members := e.core.members
	self := members.Self()
	var near, far []string
	for _, domain := range members.Domains() {
		for _, m := range members.Members(domain) {
			switch {
			case m.ID == self.ID || m.Status != membership.Alive:
			case domain == self.Domain:
				near = append(near, m.Address)
			default:
				far = append(far, m.Address)
			}
		}
	}
	near = choose(near, maxEvidencePeers)
	return append(near, choose(far, minEvidencePeers-len(near))...)
}

// choose returns up to n of the addresses at random.
func choose(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:max(0, min(len(addresses), n))]
}
