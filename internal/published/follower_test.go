package published

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// fakeSource is a store whose answers the test sets. mu guards its fields.
type fakeSource struct {
	mu      sync.Mutex
	listing Listing
	changes []Update
	asOf    uint64
	err     error
	hanging bool
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
		changes, asOf, err, hanging := f.changes, f.asOf, f.err, f.hanging
		f.mu.Unlock()
		if err != nil {
			return nil, 0, err
		}
		if !hanging && asOf > after {
			return changes, asOf, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			if !hanging {
				return nil, after, nil
			}
			deadline = nil
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func startFollower(t *testing.T, source Source, peers Peers) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := NewFollower(DefaultConfig(), Deps{Source: source, Peers: peers, Log: logrus.NewEntry(log), Metrics: metrics.NewSet()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func countTargets(f *Follower) int {
	n := 0
	for _, list := range f.View().Targets {
		n += len(list)
	}
	return n
}

// Guards against a deadlock: the callback that receives a new view calls the membership loop, which may notice a pause of the
// process and restart the watch while the follower still holds its lock.
func TestRestartWhileViewIsPublished(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var f *Follower
	published := make(chan struct{}, 1)
	f = NewFollower(DefaultConfig(), Deps{
		Source: &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 1}, asOf: 1},
		Log:    logrus.NewEntry(log), Metrics: metrics.NewSet(),
		OnChange: func(*View) { f.Restart(); published <- struct{}{} },
	})
	go f.Run(t.Context())
	g.Eventually(published, deadlockTimeout).Should(Receive())
}

// deadlockTimeout is the time after which a lock that is not released counts as a deadlock.
const deadlockTimeout = 20 * time.Second

// Guards against changes that are lost when the store drops its history.
func TestDroppedHistoryCausesRelist(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 1}, asOf: 1}
		f := startFollower(t, source, nil)
		time.Sleep(time.Second)
		g.Expect(countTargets(f)).To(Equal(1))
		source.set(func(s *fakeSource) {
			s.err = ErrCompacted
			s.listing = Listing{Updates: []Update{targetUpdate(1, "a"), targetUpdate(7, "b")}, AsOf: 9}
		})
		time.Sleep(20 * time.Millisecond)
		source.set(func(s *fakeSource) { s.err, s.asOf = nil, 9 })
		time.Sleep(time.Second)
		g.Expect(countTargets(f)).To(Equal(2))
	})
}

// Guards against a watch whose connection is silent forever: a change must still be in force within 3 s.
func TestSilentWatchTimesOut(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 1}, asOf: 1}
		f := startFollower(t, source, nil)
		time.Sleep(DefaultWatchWait + 10*time.Millisecond)
		source.set(func(s *fakeSource) { s.hanging = true })
		time.Sleep(DefaultWatchWait)
		source.set(func(s *fakeSource) {
			s.hanging, s.changes, s.asOf = false, []Update{{Revision: 2, Configuration: configVersion(4)}}, 2
		})
		time.Sleep(3*time.Second - DefaultWatchWait)
		g.Expect(f.View().Version()).To(BeEquivalentTo(4))
	})
}

// Guards against a node that loses its targets, or its configuration, while the store is down.
func TestStateSurvivesAnOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a"), {Revision: 2, Configuration: configVersion(4)}}, AsOf: 2}, asOf: 2}
		f := startFollower(t, source, nil)
		time.Sleep(time.Second)
		source.set(func(s *fakeSource) { s.err = errors.New("down") })
		time.Sleep(20 * time.Second)
		g.Expect(countTargets(f)).To(Equal(1))
		g.Expect(f.View().Version()).To(BeEquivalentTo(4))
		source.set(func(s *fakeSource) { s.err, s.changes, s.asOf = nil, []Update{targetRemoval(3, "a")}, 3 })
		time.Sleep(2 * maxBackoff)
		g.Expect(countTargets(f)).To(Equal(0))
	})
}

// fakePeers is one peer with a newer state.
type fakePeers struct{ snapshot Snapshot }

func (p fakePeers) HighestVersions() (uint64, uint64) {
	return p.snapshot.Revision, p.snapshot.Configuration.Version
}

func (p fakePeers) Fetch(context.Context, uint64, uint64) (Snapshot, error) { return p.snapshot, nil }

func (p fakePeers) Reader(func(string) bool) (string, bool) { return "", false }

func (p fakePeers) Watch(context.Context, string, uint64, time.Duration) (Delta, error) {
	return Delta{}, errors.New("no reader")
}

// Guards against a node that the store rejects and that does not learn from its peers.
func TestPeersAreAskedWhenTheStoreRejectsTheNode(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := stateWithTargets("a")
		s.merge([]Update{{Revision: 5, Configuration: configVersion(2)}}, 5, time.Now())
		f := startFollower(t, &fakeSource{err: errors.New("rejected")}, fakePeers{s.snapshot()})
		time.Sleep(3 * DefaultPeerCheckInterval)
		g.Expect(f.View().Version()).To(BeEquivalentTo(2))
		g.Expect(countTargets(f)).To(Equal(1))
	})
}

// readerPeers makes a follower follow another one, as a node of the same failure domain does.
type readerPeers struct {
	fakePeers
	reader *Follower
	mu     sync.Mutex // guards broken and frozen
	broken bool
	frozen bool
}

func (p *readerPeers) set(broken, frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken, p.frozen = broken, frozen
}

func (p *readerPeers) HighestVersions() (uint64, uint64) { return 0, 0 }

func (p *readerPeers) Reader(skip func(string) bool) (string, bool) { return "first", !skip("first") }

func (p *readerPeers) Watch(ctx context.Context, _ string, revision uint64, wait time.Duration) (Delta, error) {
	p.mu.Lock()
	broken, frozen := p.broken, p.frozen
	p.mu.Unlock()
	if broken {
		return Delta{}, errors.New("reset")
	}
	if frozen {
		<-ctx.Done()
		return Delta{}, ctx.Err()
	}
	return p.reader.WaitForDelta(ctx, revision, wait), nil
}

// Guards against reads of the store that grow with the number of nodes, and against followers that receive no changes when
// their reader is lost, frozen, or itself rejected by the store.
func TestFollowersReceiveChangesFromReader(t *testing.T) {
	for name, breakReader := range map[string]func(*readerPeers, *fakeSource){
		"lost":                  func(p *readerPeers, _ *fakeSource) { p.set(true, false) },
		"frozen":                func(p *readerPeers, _ *fakeSource) { p.set(false, true) },
		"rejected by the store": func(_ *readerPeers, s *fakeSource) { s.set(func(s *fakeSource) { s.err = errors.New("rejected") }) },
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				readerSource := &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 1}, asOf: 1}
				ownSource := &fakeSource{listing: readerSource.listing, asOf: 1}
				peers := &readerPeers{reader: startFollower(t, readerSource, nil)}
				time.Sleep(100 * time.Millisecond)
				f := startFollower(t, ownSource, peers)
				time.Sleep(time.Second)
				publish := func(revision uint64, u Update) {
					for _, s := range []*fakeSource{readerSource, ownSource} {
						s.set(func(s *fakeSource) { s.changes, s.asOf = append(s.changes, u), revision })
					}
				}
				publish(2, targetUpdate(2, "b"))
				time.Sleep(500 * time.Millisecond)
				g.Expect(countTargets(f)).To(Equal(2))
				g.Expect(ownSource.lists+ownSource.watches).To(BeZero(), "the follower does not read the store")
				breakReader(peers, readerSource)
				publish(3, Update{Revision: 3, Configuration: configVersion(8)})
				time.Sleep(3 * time.Second)
				g.Expect(f.View().Version()).To(BeEquivalentTo(8), "in force within 3 s nevertheless")
			})
		})
	}
}

// Guards against a delta that leaves out changes: a follower that is too far behind gets the whole state.
func TestDeltaIsCompleteOrFullSnapshot(t *testing.T) {
	g := NewWithT(t)
	s := stateWithTargets("a")
	follower := newState()
	follower.mergeDelta(s.delta(0), t0)
	g.Expect(targetIDs(follower)).To(ConsistOf("a"))
	for i := range 3 * maxLoggedUpdates {
		s.merge([]Update{targetUpdate(uint64(10+i), "b")}, uint64(10+i), t0)
	}
	s.merge([]Update{targetRemoval(9000, "a"), {Revision: 9001, Configuration: configVersion(2)}}, 9001, t0)
	g.Expect(s.delta(1).Full).NotTo(BeNil())
	g.Expect(s.delta(8999).Updates).To(HaveLen(2))
	follower.mergeDelta(s.delta(1), t0)
	g.Expect(targetIDs(follower)).To(ConsistOf("b"))
	g.Expect(follower.view().Version()).To(BeEquivalentTo(2))
	g.Expect(s.delta(9001).Updates).To(BeEmpty())
}

// rankedPeers are readers in a fixed order, all of which hang but those in answering.
type rankedPeers struct {
	fakePeers
	ids       []string
	mu        sync.Mutex // guards answering
	answering map[string]*Follower
}

func (p *rankedPeers) HighestVersions() (uint64, uint64) { return 0, 0 }

func (p *rankedPeers) Reader(skip func(string) bool) (string, bool) {
	for _, id := range p.ids {
		if !skip(id) {
			return id, true
		}
	}
	return "", false
}

func (p *rankedPeers) Watch(ctx context.Context, id string, revision uint64, wait time.Duration) (Delta, error) {
	if reader := p.reader(id); reader != nil {
		d := reader.WaitForDelta(ctx, revision, wait)
		if p.reader(id) != nil { // otherwise the connection went silent during the call
			return d, nil
		}
	}
	<-ctx.Done()
	return Delta{}, ctx.Err()
}

func (p *rankedPeers) reader(id string) *Follower {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answering[id]
}

func (p *rankedPeers) set(answering map[string]*Follower) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answering = answering
}

// Guards against a node that asks one silent reader after another, and the first ones again, while the store would answer: a
// change must be in force within 3 s however many readers are silent.
func TestSilentReadersDelayNoChange(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 1}, asOf: 1}
		reader := startFollower(t, source, nil)
		time.Sleep(100 * time.Millisecond)
		peers := &rankedPeers{ids: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}}
		peers.set(map[string]*Follower{"a": reader})
		f := startFollower(t, source, peers)
		time.Sleep(5 * time.Second)
		peers.set(nil)
		source.set(func(s *fakeSource) { s.changes, s.asOf = []Update{{Revision: 2, Configuration: configVersion(4)}}, 2 })
		time.Sleep(3 * time.Second)
		g.Expect(f.View().Version()).To(BeEquivalentTo(4))
		for at := uint64(3); at < 6; at++ { // the readers stay silent
			time.Sleep(5 * time.Second)
			source.set(func(s *fakeSource) {
				s.changes, s.asOf = []Update{{Revision: at, Configuration: configVersion(10 * at)}}, at
			})
			time.Sleep(3 * time.Second)
			g.Expect(f.View().Version()).To(Equal(10 * at))
		}
	})
}

// Guards against a node that the store turns away and that no longer asks the readers because of it.
func TestReaderIsFoundWhileTheStoreTurnsTheNodeAway(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{targetUpdate(1, "a")}, AsOf: 1}, asOf: 1}
		reader := startFollower(t, source, nil)
		time.Sleep(100 * time.Millisecond)
		peers := &rankedPeers{ids: []string{"a", "b", "c", "d", "e", "f"}}
		peers.set(map[string]*Follower{"a": reader})
		own := &fakeSource{listing: source.listing, asOf: 1}
		f := startFollower(t, own, peers)
		time.Sleep(5 * time.Second)
		own.set(func(s *fakeSource) { s.err = errors.New("turned away") })
		peers.set(map[string]*Follower{"f": reader}) // the last one in the ranking
		source.set(func(s *fakeSource) { s.changes, s.asOf = []Update{{Revision: 2, Configuration: configVersion(4)}}, 2 })
		time.Sleep(6 * time.Second)
		g.Expect(f.View().Version()).To(BeEquivalentTo(4))
	})
}
