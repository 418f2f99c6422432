package published

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// fakeSource is a store whose answers the test sets. mu guards its fields.
type fakeSource struct {
	mu      sync.Mutex
	listing Listing
	changes []Update
	asOf    uint64
	err     error
	hang    bool
	lists   int
	watches int
}

func (f *fakeSource) set(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeSource) List(context.Context) (Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.listing, f.err
}

func (f *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) ([]Update, uint64, error) {
	deadline := time.After(wait)
	f.mu.Lock()
	f.watches++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		changes, asOf, err, hang := f.changes, f.asOf, f.err, f.hang
		f.mu.Unlock()
		if err != nil {
			return nil, 0, err
		}
		if !hang && asOf > after {
			return changes, asOf, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			if !hang {
				return nil, after, nil
			}
			deadline = nil
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func follow(t *testing.T, source Source, peers Peers) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := NewFollower(DefaultConfig(), Deps{Source: source, Peers: peers, Log: logrus.NewEntry(log), Metrics: metrics.NewSet()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func count(f *Follower) int {
	n := 0
	for _, list := range f.View().Targets {
		n += len(list)
	}
	return n
}

// Guards against changes that are lost when the store drops its history.
func TestDroppedHistoryIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{put(1, "a")}, AsOf: 1}, asOf: 1}
		f := follow(t, source, nil)
		time.Sleep(time.Second)
		g.Expect(count(f)).To(Equal(1))
		source.set(func(s *fakeSource) {
			s.err = ErrHistoryGone
			s.listing = Listing{Updates: []Update{put(1, "a"), put(7, "b")}, AsOf: 9}
		})
		time.Sleep(20 * time.Millisecond)
		source.set(func(s *fakeSource) { s.err, s.asOf = nil, 9 })
		time.Sleep(time.Second)
		g.Expect(count(f)).To(Equal(2))
	})
}

// Guards against a watch whose connection has gone silent for good: a change must be in force within 3 s all the same.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{put(1, "a")}, AsOf: 1}, asOf: 1}
		f := follow(t, source, nil)
		time.Sleep(DefaultWait + 10*time.Millisecond)
		source.set(func(s *fakeSource) { s.hang = true })
		time.Sleep(DefaultWait)
		source.set(func(s *fakeSource) {
			s.hang, s.changes, s.asOf = false, []Update{{Revision: 2, Configuration: version(4)}}, 2
		})
		time.Sleep(3*time.Second - DefaultWait)
		g.Expect(f.View().Version()).To(BeEquivalentTo(4))
	})
}

// Guards against a node that loses its targets, or its configuration, while the store is down.
func TestStateSurvivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{put(1, "a"), {Revision: 2, Configuration: version(4)}}, AsOf: 2}, asOf: 2}
		f := follow(t, source, nil)
		time.Sleep(time.Second)
		source.set(func(s *fakeSource) { s.err = errors.New("down") })
		time.Sleep(20 * time.Second)
		g.Expect(count(f)).To(Equal(1))
		source.set(func(s *fakeSource) { s.err, s.changes, s.asOf = nil, []Update{gone(3, "a")}, 3 })
		time.Sleep(maxBackoff + 500*time.Millisecond)
		g.Expect(count(f)).To(Equal(1), "a lapsed entry is held after the return")
		time.Sleep(lapseHold)
		g.Expect(count(f)).To(Equal(0), "an entry that stays missing is gone")
	})
}

// fakePeers is one peer with a newer state.
type fakePeers struct{ s Snapshot }

func (p fakePeers) Ahead() (uint64, uint64) { return p.s.Revision, p.s.Configuration.Version }

func (p fakePeers) Fetch(context.Context, uint64, uint64) (Snapshot, error) { return p.s, nil }

// Guards against a node that the store turns away and that does not learn from its peers.
func TestPeersAreAskedWhenTheStoreTurnsTheNodeAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := filled("a")
		s.merge([]Update{{Revision: 5, Configuration: version(2)}}, 5, time.Now())
		f := follow(t, &fakeSource{err: errors.New("turned away")}, fakePeers{s.snapshot(time.Now())})
		time.Sleep(3 * DefaultPeerInterval)
		g.Expect(f.View().Version()).To(BeEquivalentTo(2))
		g.Expect(count(f)).To(Equal(1))
	})
}
