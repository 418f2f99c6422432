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

// Guards against a node that hangs for good: putting a view in force asks the membership, which may notice a pause of the
// process then and restart the watch while the follower publishes the view.
func TestRestartWhileViewIsPublished(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var f *Follower
	published := make(chan struct{}, 1)
	f = NewFollower(DefaultConfig(), Deps{
		Source: &fakeSource{listing: Listing{Updates: []Update{put(1, "a")}, AsOf: 1}, asOf: 1},
		Log:    logrus.NewEntry(log), Metrics: metrics.NewSet(),
		Changed: func(*View) { f.Restart(); published <- struct{}{} },
	})
	go f.Run(t.Context())
	g.Eventually(published, hangs).Should(Receive())
}

// hangs is the time after which a lock that is not released counts as lost.
const hangs = 20 * time.Second

// Guards against changes that are lost when the store drops its history.
func TestDroppedHistoryIsReadAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
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
	virtualtime.Test(t, func(t *testing.T) {
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
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{listing: Listing{Updates: []Update{put(1, "a"), {Revision: 2, Configuration: version(4)}}, AsOf: 2}, asOf: 2}
		f := follow(t, source, nil)
		time.Sleep(time.Second)
		source.set(func(s *fakeSource) { s.err = errors.New("down") })
		time.Sleep(20 * time.Second)
		g.Expect(count(f)).To(Equal(1))
		g.Expect(f.View().Version()).To(BeEquivalentTo(4))
		source.set(func(s *fakeSource) { s.err, s.changes, s.asOf = nil, []Update{gone(3, "a")}, 3 })
		time.Sleep(2 * maxBackoff)
		g.Expect(count(f)).To(Equal(0))
	})
}

// fakePeers is one peer with a newer state.
type fakePeers struct{ s Snapshot }

func (p fakePeers) Ahead() (uint64, uint64) { return p.s.Revision, p.s.Configuration.Version }

func (p fakePeers) Fetch(context.Context, uint64, uint64) (Snapshot, error) { return p.s, nil }

func (p fakePeers) Reader(func(string) bool) (string, bool) { return "", false }

func (p fakePeers) Watch(context.Context, string, uint64, time.Duration) (Delta, error) {
	return Delta{}, errors.New("no reader")
}

// Guards against a node that the store turns away and that does not learn from its peers.
func TestPeersAreAskedWhenTheStoreTurnsTheNodeAway(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := filled("a")
		s.merge([]Update{{Revision: 5, Configuration: version(2)}}, 5, time.Now())
		f := follow(t, &fakeSource{err: errors.New("turned away")}, fakePeers{s.snapshot()})
		time.Sleep(3 * DefaultPeerInterval)
		g.Expect(f.View().Version()).To(BeEquivalentTo(2))
		g.Expect(count(f)).To(Equal(1))
	})
}

// readerPeers follows another follower, as a node of the same failure domain does.
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

func (p *readerPeers) Ahead() (uint64, uint64) { return 0, 0 }

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
	return p.reader.Offer(ctx, revision, wait), nil
}

// Guards against the price of the store growing with the nodes, and against followers that learn nothing any more when
// the node that reads for them is lost, frozen, or itself turned away.
func TestFollowersLearnFromTheReader(t *testing.T) {
	for name, lose := range map[string]func(*readerPeers, *fakeSource){
		"lost":        func(p *readerPeers, _ *fakeSource) { p.set(true, false) },
		"frozen":      func(p *readerPeers, _ *fakeSource) { p.set(false, true) },
		"turned away": func(_ *readerPeers, s *fakeSource) { s.set(func(s *fakeSource) { s.err = errors.New("turned away") }) },
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ofReader := &fakeSource{listing: Listing{Updates: []Update{put(1, "a")}, AsOf: 1}, asOf: 1}
				own := &fakeSource{listing: ofReader.listing, asOf: 1}
				peers := &readerPeers{reader: follow(t, ofReader, nil)}
				time.Sleep(100 * time.Millisecond)
				f := follow(t, own, peers)
				time.Sleep(time.Second)
				publish := func(revision uint64, u Update) {
					for _, s := range []*fakeSource{ofReader, own} {
						s.set(func(s *fakeSource) { s.changes, s.asOf = append(s.changes, u), revision })
					}
				}
				publish(2, put(2, "b"))
				time.Sleep(500 * time.Millisecond)
				g.Expect(count(f)).To(Equal(2))
				g.Expect(own.lists+own.watches).To(BeZero(), "the follower does not read the store")
				lose(peers, ofReader)
				publish(3, Update{Revision: 3, Configuration: version(8)})
				time.Sleep(3 * time.Second)
				g.Expect(f.View().Version()).To(BeEquivalentTo(8), "in force within 3 s all the same")
			})
		})
	}
}

// Guards against a delta that leaves out changes: a follower that is far behind takes the whole state.
func TestDeltaIsCompleteOrWhole(t *testing.T) {
	g := NewWithT(t)
	s := filled("a")
	follower := newState()
	follower.follow(s.delta(0), t0)
	g.Expect(ids(follower)).To(ConsistOf("a"))
	for i := range 3 * maxLogged {
		s.merge([]Update{put(uint64(10+i), "b")}, uint64(10+i), t0)
	}
	s.merge([]Update{gone(9000, "a"), {Revision: 9001, Configuration: version(2)}}, 9001, t0)
	g.Expect(s.delta(1).Full).NotTo(BeNil())
	g.Expect(s.delta(8999).Updates).To(HaveLen(2))
	follower.follow(s.delta(1), t0)
	g.Expect(ids(follower)).To(ConsistOf("b"))
	g.Expect(follower.view().Version()).To(BeEquivalentTo(2))
	g.Expect(s.delta(9001).Updates).To(BeEmpty())
}
