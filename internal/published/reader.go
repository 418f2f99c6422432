package published

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// awaitReader waits up to StartDelay until membership knows a reader to follow, so that nodes which all start at once do not
// each read the store.
func (f *Follower) awaitReader(ctx context.Context) {
	deadline := time.Now().Add(f.cfg.StartDelay)
	for time.Now().Before(deadline) {
		if _, ok := f.currentReader(); ok || !sleep(ctx, readerPollInterval) {
			return
		}
	}
}

// readerPollInterval is how often a starting node looks for a reader to follow.
const readerPollInterval = 50 * time.Millisecond

// backoffLimit returns the longest delay after a failed read. It is short on the node that reads for others.
func (f *Follower) backoffLimit() time.Duration {
	if f.deps.Peers == nil {
		return maxBackoff
	}
	if _, ok := f.deps.Peers.Reader(func(string) bool { return false }); ok {
		return maxFollowerBackoff
	}
	return maxBackoff
}

// currentReader returns the reader to follow, and false when this node must read the store itself.
func (f *Follower) currentReader() (string, bool) {
	if f.deps.Peers == nil {
		return "", false
	}
	now := time.Now()
	return f.deps.Peers.Reader(func(id string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return now.Before(f.skipUntil[id])
	})
}

// chooseReader returns the reader to ask next, and false when this node must read the store itself: when there is no reader, or
// when none has answered for too long. After a failed read of the store, readers are asked again until it is due once more.
func (f *Follower) chooseReader() (string, bool) {
	reader, ok := f.currentReader()
	if !ok {
		return "", false
	}
	silence := f.sinceContact()
	if silence < f.cfg.ContactLimit || time.Now().Before(f.storeRetryAt) {
		return reader, true
	}
	f.metrics.readersLost.Inc()
	f.deps.Log.WithFields(logrus.Fields{"silent_ms": silence.Milliseconds(), "next_reader": reader, "revision": f.View().Revision}).
		Info("no node that reads the store has answered in time; reading it from here")
	return "", false
}

// sinceContact returns the time since a reader that can be followed, or the store, last answered.
func (f *Follower) sinceContact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contactAt)
}

// recordContact records that a reader that can be followed answered now.
func (f *Follower) recordContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = time.Now()
}

// sinceConfirmation returns the time since the store last confirmed the state, directly or to a reader.
func (f *Follower) sinceConfirmation() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt)
}

// skipReader records that a reader could not be followed and skips it for a while. One that stopped answering during a watch of
// the full length is asked once more first: the connection may have died, and the next watch then opens another.
func (f *Follower) skipReader(id string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failuresInRow[id]++
	failures := f.failuresInRow[id]
	f.deps.Log.WithError(err).WithFields(logrus.Fields{
		"reader": id, "failures_in_row": failures, "revision": f.state.revision, "unconfirmed_ms": time.Since(f.confirmedAt).Milliseconds(),
	}).Info("cannot follow the node that reads the store; trying again or the next one")
	if failures == 1 && !f.hurried && !errors.Is(err, errReaderStale) {
		return
	}
	skip := minReaderSkip << min(failures-1, maxReaderSkipDoublings)
	f.skipUntil[id] = time.Now().Add(skip)
}

var errNothingPublished = eris.New("published: the store has published nothing yet")

var errReaderStale = eris.New("published: the store has not confirmed the reader's state for too long")

// followReader merges the changes that the reader of the failure domain has learned.
func (f *Follower) followReader(ctx context.Context, id string) error {
	wait, grace := readerWatchWait, readerWatchGrace
	f.hurried = f.readerFailures(id) > 0 || f.sinceContact() >= readerWatchWait+readerWatchGrace
	if f.hurried {
		wait, grace = readerRetryWait, readerRetryGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	f.setCancelWatch(cancel)
	f.metrics.follows.Inc()
	d, err := f.deps.Peers.Watch(ctx, id, f.View().Revision, wait)
	if err != nil {
		return err
	}
	if d.Starting {
		if time.Since(f.startedAt) > 2*f.cfg.StartDelay {
			return errReaderStale
		}
		f.recordContact()
		sleep(ctx, readerPollInterval)
		return nil
	}
	age := time.Duration(d.AgeMS) * time.Millisecond
	if age >= f.maxConfirmationAge()-time.Millisecond {
		return errReaderStale
	}
	f.recordConfirmation(id, time.Now().Add(-age))
	f.merge("reader "+id, func(s *state, now time.Time) outcome { return s.mergeDelta(d, now) })
	return nil
}

// readerFailures returns how often in a row a node could not be followed.
func (f *Follower) readerFailures(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failuresInRow[id]
}

// recordConfirmation records that a reader was followed and when the store last confirmed its state.
func (f *Follower) recordConfirmation(id string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failuresInRow, id)
	f.contactAt = time.Now()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// maxConfirmationAge is the age of the store's last confirmation up to which a node may be followed. The store confirms the
// state of a healthy reader at least once every WatchWait.
func (f *Follower) maxConfirmationAge() time.Duration { return f.cfg.WatchWait + f.cfg.WatchGrace/2 }

// WaitForDelta returns the changes after a revision to a follower of this node, as soon as there are any or after wait. It
// returns at once when the state is too old to be followed.
func (f *Follower) WaitForDelta(ctx context.Context, revision uint64, wait time.Duration) Delta {
	deadline := time.Now().Add(min(wait, readerWatchWait))
	for {
		f.mu.Lock()
		changed, now := f.stateChanged, time.Now()
		d := f.state.delta(revision)
		d.Starting = f.confirmedAt.IsZero()
		age := now.Sub(f.confirmedAt)
		f.mu.Unlock()
		if !d.Starting {
			d.AgeMS = age.Milliseconds()
		}
		left := deadline.Sub(now)
		if !d.Starting {
			left = min(left, f.maxConfirmationAge()-age)
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

func (f *Follower) setCancelWatch(cancel context.CancelFunc) { f.cancelWatch.Store(&cancel) }
