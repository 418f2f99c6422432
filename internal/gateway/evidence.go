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
	// evidenceInterval is how often nodes send each other observations of failing targets. It is short, because faults last
	// seconds and one node alone calls each target only about once a second.
	evidenceInterval = 200 * time.Millisecond
	// maxEvidenceReceivers bounds the number of nodes that one message is sent to.
	maxEvidenceReceivers = 16
	// minEvidenceReceivers is the number of nodes up to which nodes of other failure domains are added when the own one has
	// fewer. It is small: traffic to other failure domains has a cost per byte, and more than a few reporters add little
	// about one target.
	minEvidenceReceivers = 5
	// evidenceTimeout bounds the sending of one message, so that few are pending to a peer that is cut off.
	evidenceTimeout = time.Second
	// evidenceLogInterval is how often received observations are logged in one line. At most moments some target pauses, so
	// a line for each message would be too many.
	evidenceLogInterval = time.Second
	// maxLoggedTargets bounds the targets in one log line.
	maxLoggedTargets = 20
)

// evidence exchanges observations of failing targets with peers. mu guards targetCounts.
type evidence struct {
	core           *core
	sent, received *metrics.Counter // messages
	failuresTold   *metrics.Counter // failed calls that peers reported

	mu           sync.Mutex
	targetCounts map[string]callCounts // by target, since the last log line
}

// callCounts is the number of calls to one target that peers reported.
type callCounts struct{ answered, failed int }

func newEvidence(c *core) *evidence {
	return &evidence{
		core: c, targetCounts: map[string]callCounts{},
		sent:         c.deps.MetricsSet.GetOrCreateCounter("medlarshunt_evidence_told_total"),
		received:     c.deps.MetricsSet.GetOrCreateCounter("medlarshunt_evidence_taken_total"),
		failuresTold: c.deps.MetricsSet.GetOrCreateCounter("medlarshunt_evidence_failures_taken_total"),
	}
}

// run sends this node's observations to peers, until ctx ends.
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
				e.logReceived()
				logged = now
			}
			observations := e.core.engine.TakeEvidence(now)
			if len(observations) == 0 {
				continue
			}
			for _, address := range e.choosePeers() {
				calls.Go(func() { e.send(ctx, address, observations) })
			}
		}
	}
}

func (e *evidence) send(ctx context.Context, address string, observations []query.ServiceEvidence) {
	defer e.core.deps.Panics.Contain("evidence", logrus.Fields{"peer": address})
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	var none struct{}
	if err := e.core.peers.Call(ctx, address, peer.MethodEvidence, observations, &none); err != nil {
		e.core.deps.Log.WithError(err).WithField("peer", address).Debug("cannot send evidence to peer")
		return
	}
	e.sent.Inc()
}

// receive merges the observations of a peer into the engine and counts them for the log.
func (e *evidence) receive(observations []query.ServiceEvidence) {
	e.core.engine.MergeEvidence(observations, time.Now())
	e.received.Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range observations {
		for _, t := range s.Targets {
			e.failuresTold.Add(t.Failed)
			counts := e.targetCounts[t.Target]
			e.targetCounts[t.Target] = callCounts{counts.answered + t.Answered, counts.failed + t.Failed}
		}
	}
}

// logReceived writes one log line for all observations received since the last one.
func (e *evidence) logReceived() {
	counts := e.takeCounts()
	if len(counts) == 0 {
		return
	}
	targets := make([]string, 0, len(counts))
	for id, c := range counts {
		targets = append(targets, fmt.Sprintf("%s: %d of %d failed", id, c.failed, c.answered+c.failed))
	}
	slices.Sort(targets)
	e.core.deps.Log.WithFields(logrus.Fields{
		"count": len(targets), "targets": targets[:min(len(targets), maxLoggedTargets)],
	}).Info("peers reported failing or slow targets")
}

func (e *evidence) takeCounts() map[string]callCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.targetCounts
	e.targetCounts = map[string]callCounts{}
	return counts
}

// choosePeers returns the addresses of random nodes that are alive: of the own failure domain, and of others if there are few.
func (e *evidence) choosePeers() []string {
	members := e.core.members
	self := members.Self()
	var local, remote []string
	for _, domain := range members.Domains() {
		for _, m := range members.Members(domain) {
			switch {
			case m.ID == self.ID || m.Status != membership.Alive:
			case domain == self.Domain:
				local = append(local, m.Address)
			default:
				remote = append(remote, m.Address)
			}
		}
	}
	local = randomSubset(local, maxEvidenceReceivers)
	return append(local, randomSubset(remote, minEvidenceReceivers-len(local))...)
}

// randomSubset returns up to n random elements of addresses, which it shuffles.
func randomSubset(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:max(0, min(len(addresses), n))]
}
