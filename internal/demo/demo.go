// Package demo runs nodes over a stand-in fleet on the loopback interface, in one process.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/node"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/platform"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
)

// Options describe a deployment in one process.
type Options struct {
	Fleet          fleet.Options
	NodesPerDomain int
	// Network carries all connections. It delays and cuts those between nodes of different failure domains, and those to
	// the platform, which is the place PlacePlatform; nil connects all directly.
	Network  *netsim.Network
	LogTo    io.Writer // nil discards the logs of the nodes
	Seed     uint64
	Baseline bool // see relay.Config
	// Grace is the longest wait for requests in flight at a stop; 0 takes the default of a node.
	Grace time.Duration
}

// PlacePlatform is the place of the platform in the network.
const PlacePlatform = "platform"

// Member is one node of a deployment.
type Member struct {
	*node.Node
	ID      string
	Domain  string
	Ordinal int
	URL     string // of the caller API
	Admin   string // URL of the administration API
	Metrics *metrics.Set
	sockets *sockets
}

// Deployment is a fleet of stand-ins with nodes.
type Deployment struct {
	opts   Options
	direct bool // no network was given: connections between places are as any other
	Fleet  *fleet.Fleet
	log    *logrus.Logger

	killed sync.WaitGroup // ends of nodes that were killed

	mu    sync.Mutex // guards the fields below
	nodes []*Member
	seeds []string
}

// Members returns the present nodes.
func (d *Deployment) Members() []*Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.nodes)
}

// readyTimeout bounds the start of a deployment.
const readyTimeout = 20 * time.Second

// Start starts the stand-ins and the nodes and waits until all nodes are ready.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	if opts.LogTo == nil {
		opts.LogTo = io.Discard
	}
	log, err := telemetry.NewLogger(opts.LogTo, "info")
	if err != nil {
		return nil, err
	}
	direct := opts.Network == nil
	if direct {
		opts.Network = netsim.New(0, 0, opts.Seed)
	}
	opts.Fleet.Listen = opts.Network.Listen
	f, err := fleet.Start(opts.Fleet)
	if err != nil {
		return nil, err
	}
	d := &Deployment{opts: opts, direct: direct, Fleet: f, log: log}
	opts.Network.Place(f.Platform.Address(), PlacePlatform)
	for i := range max(opts.NodesPerDomain, 1) {
		for _, domain := range f.Document().Domains {
			if _, err := d.AddNode(ctx, domain, i); err != nil {
				d.Close(ctx)
				return nil, err
			}
		}
	}
	return d, d.WaitReady(ctx)
}

// AddNode starts another node in a failure domain.
func (d *Deployment) AddNode(ctx context.Context, domain config.FailureDomain, ordinal int) (*Member, error) {
	m := &Member{ID: fmt.Sprintf("%s-%d", domain.Name, ordinal), Domain: domain.Name, Ordinal: ordinal, Metrics: metrics.NewSet(), sockets: newSockets(d.opts.Network)}
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := m.sockets.listen()
		if err != nil {
			return nil, err
		}
		listeners[i] = l
	}
	peerAddress := listeners[1].Addr().String()
	env, err := d.env(m, peerAddress)
	if err != nil {
		return nil, err
	}
	env.Callers, env.Peers, env.Admin = listeners[0], listeners[1], listeners[2]
	d.mu.Lock()
	seeds := slices.Clone(d.seeds)
	d.mu.Unlock()
	cfg := node.Config{ID: m.ID, Domain: domain.Name, Region: domain.Region, Ordinal: ordinal, Seeds: seeds, RandomSeed: d.opts.Seed, Baseline: d.opts.Baseline, Grace: d.opts.Grace}
	if m.Node, err = node.New(cfg, env); err != nil {
		return nil, err
	}
	if err := m.Start(ctx); err != nil {
		return nil, err
	}
	m.URL, m.Admin = "http://"+listeners[0].Addr().String(), "http://"+listeners[2].Addr().String()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = append(d.seeds, peerAddress)
	d.nodes = append(d.nodes, m)
	return m, nil
}

// env connects a node to its surroundings.
func (d *Deployment) env(m *Member, peerAddress string) (node.Env, error) {
	d.opts.Network.Place(peerAddress, m.Domain)
	between := d.opts.Network.Dialer(m.Domain)
	if d.direct {
		between = d.opts.Network.Dial
	}
	dial := m.sockets.dialer(between)
	source, err := platform.NewClient(platform.Config{Address: d.Fleet.Platform.Address(), Metrics: m.Metrics, Dial: dial})
	if err != nil {
		return node.Env{}, eris.Wrap(err, "platform client")
	}
	return node.Env{
		Platform: source, Log: d.log, Metrics: m.Metrics, DialPeer: peer.DialFunc(dial),
		DialTarget: func(c target.Config) (target.Caller, error) {
			c.Dial = m.sockets.dialer(d.opts.Network.Dial)
			return target.NewClient(c)
		},
	}, nil
}

// WaitReady waits until all nodes take work.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	const interval = 10 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		ready, nodes := 0, d.Members()
		for _, n := range nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Errorf("%d of %d nodes are ready after %s", ready, len(nodes), readyTimeout)
		}
	}
}

// Close stops the nodes gracefully and then the stand-ins.
func (d *Deployment) Close(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range d.Members() {
		wg.Go(func() { d.stop(ctx, n) })
	}
	wg.Wait()
	d.killed.Wait()
	d.Fleet.Close()
}

func (d *Deployment) stop(ctx context.Context, m *Member) {
	if err := m.Stop(ctx); err != nil {
		d.log.WithError(err).WithField("node", m.ID).Warn("node did not stop cleanly")
	}
}

// Replace stops one node gracefully and starts another incarnation of it.
func (d *Deployment) Replace(ctx context.Context, m *Member) error {
	d.stop(ctx, m)
	d.remove(m)
	return d.Restart(ctx, m)
}

func (d *Deployment) remove(m *Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = slices.DeleteFunc(d.nodes, func(n *Member) bool { return n == m })
}

// Stop stops one node gracefully and takes it out of the deployment.
func (d *Deployment) Stop(ctx context.Context, m *Member) error {
	defer d.remove(m)
	return m.Node.Stop(ctx)
}

// Kill ends a node as the death of its process does: its listeners and connections close at once and it opens no more.
// Its goroutines end in the background.
func (d *Deployment) Kill(m *Member) {
	m.sockets.kill()
	d.remove(m)
	d.killed.Go(func() { _ = m.Node.Stop(context.Background()) })
}

// Restart starts another incarnation of a node that was stopped or killed.
func (d *Deployment) Restart(ctx context.Context, m *Member) error {
	for _, domain := range d.Fleet.Document().Domains {
		if domain.Name != m.Domain {
			continue
		}
		if _, err := d.AddNode(ctx, domain, m.Ordinal); err != nil {
			return err
		}
	}
	return nil
}

// ReplaceAll replaces all nodes, one after another, until ctx ends. It finishes the replacement that is under way then: a
// node that was started half would go on.
func (d *Deployment) ReplaceAll(ctx context.Context) {
	for _, m := range d.Members() {
		if ctx.Err() != nil {
			return
		}
		if err := d.Replace(context.WithoutCancel(ctx), m); err != nil {
			d.log.WithError(err).WithField("node", m.ID).Error("cannot replace a node")
			return
		}
		if err := d.WaitReady(ctx); err != nil {
			d.log.WithError(err).Error("nodes are not ready after a replacement")
			return
		}
	}
}
