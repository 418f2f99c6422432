package configsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

var (
	errNoChange   = errors.New("no change")
	errDown       = errors.New("platform is down")
	errIncomplete = &config.InvalidError{Subject: "parts", Faults: []config.Fault{{Code: config.FaultMissing}}}
)

// fakeChecker replaces the rules of package config: a set with a part named "invalid" is invalid.
type fakeChecker struct{}

func (fakeChecker) Manifest(data []byte) (m config.Manifest, err error) {
	return m, json.Unmarshal(data, &m)
}
func (fakeChecker) Hash(m config.Manifest) string { return fmt.Sprint(m) }
func (fakeChecker) Catalogue(data []byte) (c config.Catalogue, err error) {
	return c, json.Unmarshal(data, &c)
}

func (fakeChecker) Document(m config.Manifest, values map[string][]byte) (config.Document, error) {
	for _, part := range m.Parts {
		if data, ok := values[part.Key]; !ok || sha256Hex(data) != part.SHA256 {
			return config.Document{}, errIncomplete
		}
		if part.Key == "invalid" {
			return config.Document{}, errors.New("invalid")
		}
	}
	return config.Document{Version: m.Version}, nil
}

func sha256Hex(data []byte) string { sum := sha256.Sum256(data); return hex.EncodeToString(sum[:]) }

func version(n uint64) config.Version { return config.Version{Epoch: 1, Number: n} }

// commonParts is the number of parts that all versions share.
const commonParts = 60

// testSet returns a document set of the common parts and one part that differs between versions.
func testSet(n uint64, newPart string) (config.Manifest, map[string][]byte) {
	m, values := config.Manifest{Version: version(n)}, map[string][]byte{}
	add := func(key string, data []byte) {
		values[key] = data
		m.Parts = append(m.Parts, config.PartRef{Key: key, SHA256: sha256Hex(data)})
	}
	for i := range commonParts {
		add(fmt.Sprint("common", i), fmt.Append(nil, i))
	}
	add(newPart, fmt.Append(nil, newPart, n))
	return m, values
}

// fakePlatform serves published values. mu guards all fields. A failure domain or node in down cannot reach it; calls from
// a failure domain in slow take the given extra time; one in stale sees the given earlier values. While unresponsive is
// set, calls end only when their timeout expires.
type fakePlatform struct {
	mu               sync.Mutex
	values           map[string]configservice.Value
	changed          chan struct{}
	reads            int
	unresponsive     bool
	endsWatchesEarly bool // watches end at once without a change
	down             map[string]bool
	slow             map[string]time.Duration
	stale            map[string]map[string]configservice.Value
}

// count returns the number of reads so far.
func (p *fakePlatform) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// publish publishes a document set and a catalogue with the same version number.
func (p *fakePlatform) publish(n uint64, newPart string) {
	m, values := testSet(n, newPart)
	values[config.KeyManifest], _ = json.Marshal(m)
	values[config.KeyCatalogue], _ = json.Marshal(config.Catalogue{Version: version(n)})
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]configservice.Value{}
	for key, value := range p.values {
		next[key] = value
	}
	for key, data := range values {
		next[key] = configservice.Value{Key: key, Revision: next[key].Revision + 1, Data: data}
	}
	p.values = next
	close(p.changed)
	p.changed = make(chan struct{})
}

// set runs fn, which changes the state of the platform, and wakes the watches.
func (p *fakePlatform) set(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
	close(p.changed)
	p.changed = make(chan struct{})
}

// fakeSource is the platform as one node sees it.
type fakeSource struct {
	*fakePlatform
	domain, node string
}

// lookup returns a value and a channel that is closed at the next change.
func (s fakeSource) lookup(ctx context.Context, key string) (configservice.Value, <-chan struct{}, error) {
	s.mu.Lock()
	if s.unresponsive {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.down[s.domain] || s.down[s.node] {
		return configservice.Value{}, s.changed, errDown
	}
	values := s.values
	if old, ok := s.stale[s.domain]; ok {
		values = old
	}
	v, ok := values[key]
	if !ok {
		return v, s.changed, errors.New("not found")
	}
	return v, s.changed, ctx.Err()
}

// delay counts a read and waits for the response time of the platform.
func (s fakeSource) delay() {
	s.mu.Lock()
	s.reads++
	delay := 3*time.Millisecond + s.slow[s.domain]
	s.mu.Unlock()
	time.Sleep(delay)
}

func (s fakeSource) Get(ctx context.Context, key string) (configservice.Value, error) {
	s.delay()
	v, _, err := s.lookup(ctx, key)
	return v, err
}

func (s fakeSource) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (configservice.Value, error) {
	s.delay()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed, err := s.lookup(ctx, key)
		if err != nil || v.Revision > after {
			return v, err
		}
		select {
		case <-ctx.Done():
			return configservice.Value{}, ctx.Err()
		case <-timer.C:
			return configservice.Value{}, errNoChange
		case <-changed:
		case <-s.earlyEnd():
			return configservice.Value{}, errNoChange
		}
	}
}

// earlyEnd returns a closed channel while endsWatchesEarly is set, and otherwise nil.
func (s fakeSource) earlyEnd() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endsWatchesEarly {
		return nil
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

func (s fakeSource) Instances(context.Context) (configservice.InstanceList, error) {
	return configservice.InstanceList{}, errDown
}

// testNode is one node with its membership loop.
type testNode struct {
	*Syncer
	id, domain string
	loop       *membership.Loop
	stop       context.CancelFunc
	decreased  atomic.Bool
}

// cluster runs nodes over an in-memory network. mu guards nodes and isDisconnected.
type cluster struct {
	ctx            context.Context
	platform       *fakePlatform
	mu             sync.Mutex
	nodes          map[string]*testNode
	isDisconnected func(a, b string) bool
}

// fakeTransport connects one node to the others; it implements membership.Transport and Peers.
type fakeTransport struct {
	*cluster
	self string
}

func (t fakeTransport) peer(ctx context.Context, id string) (*testNode, error) {
	time.Sleep(4 * time.Millisecond)
	t.mu.Lock()
	node, lost := t.nodes[id], t.isDisconnected != nil && t.isDisconnected(t.self, id)
	t.mu.Unlock()
	if node == nil || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return node, nil
}

func (t fakeTransport) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	node, err := t.peer(ctx, address)
	if err != nil {
		return membership.Message{}, err
	}
	return node.loop.Handle(m), nil
}

func (t fakeTransport) FetchConfig(ctx context.Context, id string, since Request) (Offer, error) {
	node, err := t.peer(ctx, id)
	if err != nil {
		return Offer{}, err
	}
	return node.HandleFetch(since), nil
}

// runCluster runs fn in virtual time on a cluster of the given size.
func runCluster(t *testing.T, domains, nodes int, fn func(g *WithT, c *cluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute) // lets pending calls end
		defer cancel()
		c := &cluster{ctx: ctx, nodes: map[string]*testNode{}, platform: &fakePlatform{
			values: map[string]configservice.Value{}, changed: make(chan struct{}), down: map[string]bool{},
			slow: map[string]time.Duration{}, stale: map[string]map[string]configservice.Value{},
		}}
		c.platform.publish(1, "p")
		for i := range domains * nodes {
			c.start(fmt.Sprint("n", i), fmt.Sprint("d", i/nodes), "1")
		}
		fn(NewWithT(t), c)
		for _, n := range c.nodes {
			if n.decreased.Load() {
				t.Errorf("the version in force of %s decreased", n.id)
			}
		}
	})
}

// start starts one node.
func (c *cluster) start(id, domain, incarnation string) *testNode {
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := metrics.NewSet()
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(xxhash.Sum64String(id), 1)) }
	loop, err := membership.NewLoop(membership.DefaultConfig(),
		membership.Record{ID: id, Incarnation: incarnation, Domain: domain, Address: id},
		membership.Deps{Transport: fakeTransport{c, id}, Clock: membership.SystemClock(), Rand: rng(), Metrics: set, Log: log})
	must(err)
	loop.AddSeeds([]string{"n0", "n1", "n3"})
	charts, err := statechart.NewCharts(set)
	must(err)
	n := &testNode{id: id, domain: domain, loop: loop}
	var last config.Version
	n.Syncer, err = New(DefaultConfig(), Deps{
		Source: fakeSource{c.platform, domain, id}, IsNoChange: func(err error) bool { return errors.Is(err, errNoChange) },
		Peers: fakeTransport{c, id}, Members: loop, Checker: fakeChecker{}, Charts: charts, Rand: rng(), Metrics: set, Log: log,
		OnChange: func(now Current) {
			if now.Document != nil {
				if now.Document.Version.Less(last) {
					n.decreased.Store(true)
				}
				last = now.Document.Version
			}
		},
	})
	must(err)
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(c.ctx)
	n.stop = cancel
	go loop.Run(ctx)
	go n.Run(ctx)
	return n
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// kill stops a node and makes it unreachable.
func (c *cluster) kill(id string) {
	c.nodes[id].stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, id)
}

// versionNumber returns the version number of the document and the catalogue in force, or 0 if they differ.
func (n *testNode) versionNumber() uint64 {
	held, _, _ := n.store.status()
	if held.Config != held.Catalogue {
		return 0
	}
	return held.Config.Number
}

// awaitVersion waits until all nodes have the version in force and returns how long that took, or false after limit.
func (c *cluster) awaitVersion(number uint64, limit time.Duration) (time.Duration, bool) {
	for started := time.Now(); time.Since(started) <= limit; time.Sleep(20 * time.Millisecond) {
		done := true
		for _, n := range c.nodes {
			done = done && n.versionNumber() == number
		}
		if done {
			return time.Since(started), true
		}
	}
	return 0, false
}
