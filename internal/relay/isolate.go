package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// reserveRetryInterval is the time between attempts to reserve a target for a request that runs in isolation.
const reserveRetryInterval = 5 * time.Millisecond

// isolationStagger is the delay between the isolated runs of a suspect request in successive failure domains. It is
// longer than a decision takes to reach the others: one heartbeat and its transmission. Without it, each failure domain
// that received a crashing request would run it once in isolation and lose another target.
const isolationStagger = 750 * time.Millisecond

// isolationDelay returns how long after the suspicion this failure domain may run the request in isolation on the
// service. Unreachable failure domains get no turn: their result would not arrive, and a failure domain that is cut
// off must reach its own decision.
func (r *Relay) isolationDelay(fp quarantine.Fingerprint, s *service) time.Duration {
	var domains []string
	for _, t := range s.targets {
		if r.canReach(t.Domain) && !slices.Contains(domains, t.Domain) {
			domains = append(domains, t.Domain)
		}
	}
	rank := slices.Index(ownership.Rank(fp.String(), domains), r.cfg.Domain)
	if rank < 0 {
		rank = len(domains)
	}
	return time.Duration(rank) * isolationStagger
}

// canReach reports whether calls can reach the targets of the failure domain.
func (r *Relay) canReach(domain string) bool {
	return domain == r.cfg.Domain || r.deps.Remotes.IsReachable(domain)
}

// awaitIsolationTurn waits until it is this failure domain's turn to run a suspect request, or the decision no longer
// requires isolation. It reports false when ctx ended first.
func (r *Relay) awaitIsolationTurn(ctx context.Context, fp quarantine.Fingerprint, s *service) bool {
	delay := r.isolationDelay(fp, s)
	for {
		decision := r.deps.Guard.Decide(fp, time.Now())
		if decision.Action != quarantine.Isolate || decision.SuspectFor >= delay {
			return true
		}
		if !sleepContext(ctx, decisionPollInterval) {
			return false
		}
	}
}

// sleepContext waits for d. It reports false when ctx ended first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runIsolated runs the part in isolation on one target: the request is suspected of crashing targets, so no other call
// is in flight there, and there is no hedge and no retry.
func (p *part) runIsolated(ctx context.Context) {
	r := p.leg.relay
	r.metrics.isolated.Inc()
	choice, lease, failure := p.reserveTarget(ctx)
	if failure != "" {
		p.finish(api.Part{Reason: missingReasonFor(failure)})
		return
	}
	defer r.deps.Guard.Release(lease)
	p.recordAttempt(choice.Target)
	res := r.attempt(ctx, p, choice, p.trace.Attempts, attemptMode{lease: lease})
	if res.answered() {
		p.finish(res.part)
		return
	}
	if r.deps.Guard.Decide(p.leg.fp, time.Now()).Action == quarantine.Refuse {
		p.finish(api.Part{Reason: api.MissingQuarantined})
		return
	}
	p.finish(api.Part{Reason: missingReasonFor(res.failure), Held: res.heldVersions()})
}

// reserveTarget picks a target and reserves it. It waits for a target that is reserved for another suspect request.
func (p *part) reserveTarget(ctx context.Context) (balance.Choice, *quarantine.Lease, peer.Failure) {
	r := p.leg.relay
	for {
		choice, ok := p.pickForIsolation()
		if ok {
			ref := quarantine.TargetRef{Group: p.leg.group.cfg.Name, Service: p.assigned.Service, Target: choice.Target.ID}
			lease, failure := r.reserve(ctx, p.leg.fp, ref)
			if failure == "" {
				return choice, lease, ""
			}
			p.service.picker.Done(choice, balance.Observation{Result: balance.Neutral}, time.Now())
			if failure == peer.FailureQuarantined {
				return choice, nil, failure
			}
		}
		if !sleepContext(ctx, reserveRetryInterval) {
			return balance.Choice{}, nil, peer.FailureReserved
		}
	}
}

// pickForIsolation prefers a target on which no cancelled call may still run, because the run need not wait for that
// call to end. It leaves out unreachable failure domains, where a run would end without a result.
func (p *part) pickForIsolation() (choice balance.Choice, ok bool) {
	now := time.Now()
	r := p.leg.relay
	usable := p.eligible(now)
	eligible := func(id string) bool { return usable(id) && r.canReach(p.service.targets[id].Domain) }
	withoutUnanswered := func(id string) bool { return eligible(id) && r.deps.Guard.UnansweredRemaining(id, p.leg.fp, now) == 0 }
	r.withRandom(func(rnd *rand.Rand) {
		choice, ok = p.service.picker.Pick(balance.Request{Eligible: withoutUnanswered, NoProbe: true}, now, rnd)
		if !ok {
			choice, ok = p.service.picker.Pick(balance.Request{Eligible: eligible, NoProbe: true}, now, rnd)
		}
	})
	return choice, ok
}

// reserve reserves the target and waits until no other call would run beside the isolated one.
func (r *Relay) reserve(ctx context.Context, fp quarantine.Fingerprint, ref quarantine.TargetRef) (*quarantine.Lease, peer.Failure) {
	lease, err := r.deps.Guard.Reserve(fp, ref, time.Now())
	if err != nil {
		var refused *quarantine.Error
		if errors.As(err, &refused) && refused.Kind == quarantine.KindRefused {
			return nil, peer.FailureQuarantined
		}
		return nil, peer.FailureReserved
	}
	select {
	case <-lease.Ready():
		if sleepContext(ctx, r.deps.Guard.UnansweredRemaining(ref.Target, fp, time.Now())) {
			return lease, ""
		}
	case <-ctx.Done():
	}
	r.deps.Guard.Release(lease)
	return nil, peer.FailureReserved
}
