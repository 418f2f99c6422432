package published

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// awaitReader gives membership a moment to find the node to follow, so that a fleet that starts at once does not read the
// store once for each node.
func (f *Follower) awaitReader(ctx context.Context) {
	end := time.Now().Add(f.cfg.StartDelay)
	for time.Now().Before(end) {
		if _, ok := f.reader(); ok || !sleep(ctx, startPoll) {
			return
		}
	}
}

// startPoll is how often a starting node looks for a node to follow.
const startPoll = 50 * time.Millisecond

// longestBackoff is short on the node that reads for others.
func (f *Follower) longestBackoff() time.Duration {
	if f.deps.Peers == nil {
		return maxBackoff
	}
	if _, ok := f.deps.Peers.Reader(func(string) bool { return false }); ok {
		return followerBackoff
	}
	return maxBackoff
}

// reader returns the node to follow.
func (f *Follower) reader() (string, bool) {
	if f.deps.Peers == nil {
		return "", false
	}
	now := time.Now()
	return f.deps.Peers.Reader(func(id string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return now.Before(f.bad[id])
	})
}

// passOver notes that a node could not be followed.
func (f *Follower) passOver(id string, err error) {
	f.deps.Log.WithError(err).WithField("reader", id).Info("cannot follow the node that reads the store; the next one takes its place")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[id]++
	pause := badReader << min(f.failed[id]-1, maxBadDoublings)
	f.bad[id] = time.Now().Add(pause)
}

var errEmpty = eris.New("published: the store has published nothing yet")

var errStale = eris.New("published: the node has not heard from the store for too long")

// followNode takes the changes that another node of the failure domain has learned.
func (f *Follower) followNode(ctx context.Context, id string) error {
	wait := peerWait
	if f.failures(id) > 0 {
		wait = trialWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerSlack)
	defer cancel()
	f.setAbandon(cancel)
	f.m.follows.Inc()
	d, err := f.deps.Peers.Watch(ctx, id, f.View().Revision, wait)
	if err != nil {
		return err
	}
	if d.Starting {
		if time.Since(f.started) > 2*f.cfg.StartDelay {
			return errStale
		}
		sleep(ctx, startPoll)
		return nil
	}
	age := time.Duration(d.AgeMS) * time.Millisecond
	if age >= f.maxAge()-time.Millisecond {
		return errStale
	}
	f.confirm(id, time.Now().Add(-age))
	f.merge("reader "+id, func(s *state, now time.Time) outcome { return s.follow(d, now) })
	return nil
}

// failures is how often in a row a node could not be followed.
func (f *Follower) failures(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed[id]
}

// confirm notes when the store last confirmed the state that a node told.
func (f *Follower) confirm(id string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failed, id)
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// maxAge is the age of a confirmation by the store up to which a node may be followed. A sound reader is confirmed at
// least every Wait.
func (f *Follower) maxAge() time.Duration { return f.cfg.Wait + f.cfg.Slack/2 }

// Offer answers a node that follows this one. It answers at once when the state is too old to be followed.
func (f *Follower) Offer(ctx context.Context, revision uint64, wait time.Duration) Delta {
	end := time.Now().Add(min(wait, peerWait))
	for {
		f.mu.Lock()
		changed, now := f.changed, time.Now()
		d := f.state.delta(revision)
		d.Starting = f.confirmed.IsZero()
		age := now.Sub(f.confirmed)
		f.mu.Unlock()
		if !d.Starting {
			d.AgeMS = age.Milliseconds()
		}
		left := end.Sub(now)
		if !d.Starting {
			left = min(left, f.maxAge()-age)
		}
		if d.Revision > revision || left <= 0 {
			return d
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return d
		}
	}
}

func (f *Follower) setAbandon(cancel context.CancelFunc) { f.abandon.Store(&cancel) }
