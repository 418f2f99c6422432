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
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/platform"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

var (
	errNoChange   = errors.New("no change")
	errDown       = errors.New("platform is down")
	errIncomplete = &config.InvalidError{Subject: "parts", Faults: []config.Fault{{Code: config.FaultMissing}}}
)

// checker is a stand-in for the rules of package config: a set with a part named "invalid" is invalid.
type checker struct{}

func (checker) Manifest(data []byte) (m config.Manifest, err error) {
	return m, json.Unmarshal(data, &m)
}
func (checker) Hash(m config.Manifest) string { return fmt.Sprint(m) }
func (checker) Catalogue(data []byte) (c config.Catalogue, err error) {
	return c, json.Unmarshal(data, &c)
}

func (checker) Document(m config.Manifest, values map[string][]byte) (config.Document, error) {
	for _, part := range m.Parts {
		if data, ok := values[part.Key]; !ok || digest(data) != part.SHA256 {
			return config.Document{}, errIncomplete
		}
		if part.Key == "invalid" {
			return config.Document{}, errors.New("invalid")
		}
	}
	return config.Document{Version: m.Version}, nil
}

func digest(data []byte) string { sum := sha256.Sum256(data); return hex.EncodeToString(sum[:]) }

func version(n uint64) config.Version { return config.Version{Epoch: 1, Number: n} }

// commonParts is the number of parts that all versions share.
const commonParts = 60

// testSet returns a set of the common parts and one that is new.
func testSet(n uint64, newPart string) (config.Manifest, map[string][]byte) {
	m, values := config.Manifest{Version: version(n)}, map[string][]byte{}
	add := func(key string, data []byte) {
		values[key] = data
		m.Parts = append(m.Parts, config.PartRef{Key: key, SHA256: digest(data)})
	}
	for i := range commonParts {
		add(fmt.Sprint("common", i), fmt.Append(nil, i))
	}
	add(newPart, fmt.Append(nil, newPart, n))
	return m, values
}

// fakePlatform serves published values. mu guards all fields. A failure domain or node in down cannot reach it; one in slow
// waits for the given time; calls end only by their time limit while silent is set; one in stale sees the values of an earlier time.
type fakePlatform struct {
	mu      sync.Mutex
	values  map[string]platform.Value
	changed chan struct{}
	reads   int
	silent  bool
	hasty   bool // watches end at once
	down    map[string]bool
	slow    map[string]time.Duration
	stale   map[string]map[string]platform.Value
}

// count returns the number of reads so far.
func (p *fakePlatform) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// publish puts a set and a catalogue of the same version number in place.
func (p *fakePlatform) publish(n uint64, newPart string) {
	m, values := testSet(n, newPart)
	values[config.KeyManifest], _ = json.Marshal(m)
	values[config.KeyCatalogue], _ = json.Marshal(config.Catalogue{Version: version(n)})
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]platform.Value{}
	for key, value := range p.values {
		next[key] = value
	}
	for key, data := range values {
		next[key] = platform.Value{Key: key, Revision: next[key].Revision + 1, Data: data}
	}
	p.values = next
	close(p.changed)
	p.changed = make(chan struct{})
}

// set changes what failure domains see.
func (p *fakePlatform) set(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
	close(p.changed)
	p.changed = make(chan struct{})
}

// source is the platform as one node sees it.
type source struct {
	*fakePlatform
	domain, node string
}

// look returns a value and a channel that is closed with the next change.
func (s source) look(ctx context.Context, key string) (platform.Value, <-chan struct{}, error) {
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.down[s.domain] || s.down[s.node] {
		return platform.Value{}, s.changed, errDown
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

// delay counts a read and waits as long as the platform takes for it.
func (s source) delay() {
	s.mu.Lock()
	s.reads++
	delay := 3*time.Millisecond + s.slow[s.domain]
	s.mu.Unlock()
	time.Sleep(delay)
}

func (s source) Get(ctx context.Context, key string) (platform.Value, error) {
	s.delay()
	v, _, err := s.look(ctx, key)
	return v, err
}

func (s source) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error) {
	s.delay()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed, err := s.look(ctx, key)
		if err != nil || v.Revision > after {
			return v, err
		}
		select {
		case <-ctx.Done():
			return platform.Value{}, ctx.Err()
		case <-timer.C:
			return platform.Value{}, errNoChange
		case <-changed:
		case <-s.end():
			return platform.Value{}, errNoChange
		}
	}
}

// end returns a closed channel while hasty is set.
func (s source) end() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasty {
		return nil
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

func (s source) Instances(context.Context) (platform.InstanceList, error) {
	return platform.InstanceList{}, errDown
}

// testNode is one node with its membership loop.
type testNode struct {
	*Syncer
	id, domain string
	loop       *membership.Loop
	stop       context.CancelFunc
	regressed  atomic.Bool
}

// cluster runs nodes over an in-memory network. mu guards nodes and cut.
type cluster struct {
	ctx      context.Context
	platform *fakePlatform
	mu       sync.Mutex
	nodes    map[string]*testNode
	cut      func(a, b string) bool
}

// link is one node's way to the others; it implements membership.Transport and Peers.
type link struct {
	*cluster
	self string
}

func (l link) peer(ctx context.Context, id string) (*testNode, error) {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	node, lost := l.nodes[id], l.cut != nil && l.cut(l.self, id)
	l.mu.Unlock()
	if node == nil || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return node, nil
}

func (l link) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	node, err := l.peer(ctx, address)
	if err != nil {
		return membership.Message{}, err
	}
	return node.loop.Handle(m), nil
}

func (l link) FetchConfig(ctx context.Context, id string, since Request) (Offer, error) {
	node, err := l.peer(ctx, id)
	if err != nil {
		return Offer{}, err
	}
	return node.Offer(since), nil
}

// runCluster runs fn in virtual time on a cluster of the given size.
func runCluster(t *testing.T, domains, nodes int, fn func(g *WithT, c *cluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute) // lets calls under way end
		defer cancel()
		c := &cluster{ctx: ctx, nodes: map[string]*testNode{}, platform: &fakePlatform{
			values: map[string]platform.Value{}, changed: make(chan struct{}), down: map[string]bool{},
			slow: map[string]time.Duration{}, stale: map[string]map[string]platform.Value{},
		}}
		c.platform.publish(1, "p")
		for i := range domains * nodes {
			c.start(fmt.Sprint("n", i), fmt.Sprint("d", i/nodes), "1")
		}
		fn(NewWithT(t), c)
		for _, n := range c.nodes {
			if n.regressed.Load() {
				t.Errorf("the version in force of %s decreased", n.id)
			}
		}
	})
}

// start runs one node.
func (c *cluster) start(id, domain, incarnation string) *testNode {
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := metrics.NewSet()
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(xxhash.Sum64String(id), 1)) }
	loop, err := membership.NewLoop(membership.DefaultConfig(),
		membership.Record{ID: id, Incarnation: incarnation, Domain: domain, Address: id},
		membership.Deps{Transport: link{c, id}, Clock: membership.SystemClock(), Rand: rng(), Metrics: set, Log: log})
	must(err)
	loop.AddSeeds([]string{"n0", "n1", "n3"})
	charts, err := statechart.NewCharts(set)
	must(err)
	n := &testNode{id: id, domain: domain, loop: loop}
	var last config.Version
	n.Syncer, err = New(DefaultConfig(), Deps{
		Source: source{c.platform, domain, id}, NoChange: func(err error) bool { return errors.Is(err, errNoChange) },
		Peers: link{c, id}, Members: loop, Checker: checker{}, Charts: charts, Rand: rng(), Metrics: set, Log: log,
		Changed: func(now Current) {
			if now.Document != nil {
				if now.Document.Version.Less(last) {
					n.regressed.Store(true)
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

// kill stops a node and cuts it off.
func (c *cluster) kill(id string) {
	c.nodes[id].stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, id)
}

// number is the version number of the document and the catalogue in force, 0 if they differ.
func (n *testNode) number() uint64 {
	held, _, _ := n.store.status()
	if held.Config != held.Catalogue {
		return 0
	}
	return held.Config.Number
}

// await waits until all nodes have the version in force and returns how long that took.
func (c *cluster) await(number uint64, limit time.Duration) (time.Duration, bool) {
	for began := time.Now(); time.Since(began) <= limit; time.Sleep(20 * time.Millisecond) {
		done := true
		for _, n := range c.nodes {
			done = done && n.number() == number
		}
		if done {
			return time.Since(began), true
		}
	}
	return 0, false
}
