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

// reserveRetry is the time between tries to reserve a target for a request that runs alone.
const reserveRetry = 5 * time.Millisecond

// isolationStagger is the time by which the failure domains run a suspect one after another. It is longer than the
// verdict of one takes to reach the others: one heartbeat and its way. Without it, each failure domain that met a crashing
// request would run it alone once and lose another target.
const isolationStagger = 750 * time.Millisecond

// isolationDelay is how long after the suspicion this failure domain may run the request alone on the service. Failure
// domains that are out of reach have no turn: their verdict would not arrive, and a failure domain that is cut off must
// reach its own.
func (r *Relay) isolationDelay(fp quarantine.Fingerprint, s *service) time.Duration {
	var domains []string
	for _, t := range s.targets {
		if r.reaches(t.Domain) && !slices.Contains(domains, t.Domain) {
			domains = append(domains, t.Domain)
		}
	}
	rank := slices.Index(ownership.Rank(fp.String(), domains), r.cfg.Domain)
	if rank < 0 {
		rank = len(domains)
	}
	return time.Duration(rank) * isolationStagger
}

// reaches reports whether calls to targets of the failure domain can arrive.
func (r *Relay) reaches(domain string) bool {
	return domain == r.cfg.Domain || r.deps.Remotes.Reaches(domain)
}

// awaitTurn waits until it is this failure domain's turn to run a suspect, or the verdict has changed. It reports false
// when ctx ended first.
func (r *Relay) awaitTurn(ctx context.Context, fp quarantine.Fingerprint, s *service) bool {
	delay := r.isolationDelay(fp, s)
	for {
		v := r.deps.Guard.Decide(fp, time.Now())
		if v.Action != quarantine.Isolate || v.SuspectFor >= delay {
			return true
		}
		if !pauseFor(ctx, verdictPoll) {
			return false
		}
	}
}

func pauseFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runIsolated runs the part alone on one target: the request is suspected of crashing targets, so no other call is in
// flight there, and there is no hedge and no retry.
func (p *part) runIsolated(ctx context.Context) {
	r := p.leg.relay
	r.m.isolated.Inc()
	choice, lease, failure := p.reserveTarget(ctx)
	if failure != "" {
		p.finish(api.Part{Reason: reasonOf(failure)})
		return
	}
	defer r.deps.Guard.Release(lease)
	p.noteAttempt(choice.Target.ID)
	res := r.attempt(ctx, p, choice, p.trace.Attempts, attemptMode{lease: lease})
	if res.answered() {
		p.finish(res.part)
		return
	}
	if r.deps.Guard.Decide(p.leg.fp, time.Now()).Action == quarantine.Refuse {
		p.finish(api.Part{Reason: api.MissingQuarantined})
		return
	}
	p.finish(api.Part{Reason: reasonOf(res.failure), Held: res.held()})
}

// reserveTarget picks a target and reserves it. A target that another suspect holds is waited for.
func (p *part) reserveTarget(ctx context.Context) (balance.Choice, *quarantine.Lease, peer.Failure) {
	r := p.leg.relay
	for {
		choice, ok := p.pickForIsolation()
		if ok {
			at := quarantine.Place{Group: p.leg.group.cfg.Name, Service: p.assigned.Service, Target: choice.Target.ID}
			lease, failure := r.reserve(ctx, p.leg.fp, at)
			if failure == "" {
				return choice, lease, ""
			}
			p.service.picker.Done(choice, balance.Observation{Result: balance.Neutral}, time.Now())
			if failure == peer.FailureQuarantined {
				return choice, nil, failure
			}
		}
		if !pauseFor(ctx, reserveRetry) {
			return balance.Choice{}, nil, peer.FailureReserved
		}
	}
}

// pickForIsolation prefers a target on which no cancelled call may still run, where the run need not wait for its end, and
// leaves out failure domains that are out of reach, where a run would end without a verdict.
func (p *part) pickForIsolation() (choice balance.Choice, ok bool) {
	now := time.Now()
	r := p.leg.relay
	usable := p.eligible(now)
	eligible := func(id string) bool { return usable(id) && r.reaches(p.service.targets[id].Domain) }
	quiet := func(id string) bool { return eligible(id) && r.deps.Guard.Lingers(id, p.leg.fp, now) == 0 }
	r.withRandom(func(rnd *rand.Rand) {
		choice, ok = p.service.picker.Pick(balance.Request{Eligible: quiet, NoProbe: true}, now, rnd)
		if !ok {
			choice, ok = p.service.picker.Pick(balance.Request{Eligible: eligible, NoProbe: true}, now, rnd)
		}
	})
	return choice, ok
}

// reserve reserves the target and waits until the run would be alone.
func (r *Relay) reserve(ctx context.Context, fp quarantine.Fingerprint, at quarantine.Place) (*quarantine.Lease, peer.Failure) {
	lease, err := r.deps.Guard.Reserve(fp, at, time.Now())
	if err != nil {
		var refused *quarantine.Error
		if errors.As(err, &refused) && refused.Kind == quarantine.KindRefused {
			return nil, peer.FailureQuarantined
		}
		return nil, peer.FailureReserved
	}
	select {
	case <-lease.Ready():
		if pauseFor(ctx, r.deps.Guard.Lingers(at.Target, fp, time.Now())) {
			return lease, ""
		}
	case <-ctx.Done():
	}
	r.deps.Guard.Release(lease)
	return nil, peer.FailureReserved
}
