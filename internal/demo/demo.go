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
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/node"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
)

// Options describes a deployment in one process.
type Options struct {
	Fleet          fleet.Options
	NodesPerDomain int
	// Network carries all connections. It delays and cuts those between nodes of different failure domains and those between
	// nodes and the platform, whose location in the network is PlatformLocation. If it is nil, connections are direct.
	Network   *netsim.Network
	LogOutput io.Writer // receives the logs of the nodes; nil discards them
	Seed      uint64
	Baseline  bool // see relay.Config.Baseline
	// Grace bounds the wait for requests in flight when a node stops; 0 means the default of a node.
	Grace time.Duration
}

// PlatformLocation is the location of the platform in the simulated network.
const PlatformLocation = "platform"

// Member is one node of a deployment.
type Member struct {
	*node.Node
	ID        string
	Domain    string
	Ordinal   int
	CallerURL string // base URL of the caller API
	AdminURL  string // base URL of the administration API
	Metrics   *metrics.Set
	sockets   *sockets
}

// Deployment is a fleet of stand-ins and the nodes that run over it.
type Deployment struct {
	opts   Options
	direct bool // no network was given: dials ignore the location of the node
	Fleet  *fleet.Fleet
	log    *logrus.Logger

	killedStops sync.WaitGroup // background stops of killed nodes

	mu    sync.Mutex // guards the fields below
	nodes []*Member
	seeds []string
}

// Members returns the current nodes.
func (d *Deployment) Members() []*Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.nodes)
}

// readyTimeout bounds the start of a deployment.
const readyTimeout = 20 * time.Second

// Start starts the stand-ins and the nodes and waits until all nodes are ready.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	if opts.LogOutput == nil {
		opts.LogOutput = io.Discard
	}
	log, err := telemetry.NewLogger(opts.LogOutput, "info")
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
	opts.Network.SetLocation(f.Platform.Address(), PlatformLocation)
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

// AddNode starts another node in a failure domain and adds it to the deployment.
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
	deps, err := d.nodeDeps(m, peerAddress)
	if err != nil {
		return nil, err
	}
	deps.CallerListener, deps.PeerListener, deps.AdminListener = listeners[0], listeners[1], listeners[2]
	d.mu.Lock()
	seeds := slices.Clone(d.seeds)
	d.mu.Unlock()
	cfg := node.Config{ID: m.ID, Domain: domain.Name, Region: domain.Region, Ordinal: ordinal, Seeds: seeds, RandomSeed: d.opts.Seed, Baseline: d.opts.Baseline, GracePeriod: d.opts.Grace}
	if m.Node, err = node.New(cfg, deps); err != nil {
		return nil, err
	}
	if err := m.Start(ctx); err != nil {
		return nil, err
	}
	m.CallerURL, m.AdminURL = "http://"+listeners[0].Addr().String(), "http://"+listeners[2].Addr().String()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = append(d.seeds, peerAddress)
	d.nodes = append(d.nodes, m)
	return m, nil
}

// nodeDeps returns the platform client and the dial functions of a node.
func (d *Deployment) nodeDeps(m *Member, peerAddress string) (node.Deps, error) {
	d.opts.Network.SetLocation(peerAddress, m.Domain)
	dialFromDomain := d.opts.Network.Dialer(m.Domain)
	if d.direct {
		dialFromDomain = d.opts.Network.Dial
	}
	dial := m.sockets.dialer(dialFromDomain)
	source, err := configservice.NewClient(configservice.Config{Address: d.Fleet.Platform.Address(), Metrics: m.Metrics, Dial: dial})
	if err != nil {
		return node.Deps{}, eris.Wrap(err, "platform client")
	}
	return node.Deps{
		ConfigService: source, Log: d.log, Metrics: m.Metrics, DialPeer: peer.DialFunc(dial),
		DialTarget: func(c target.Config) (target.Caller, error) {
			c.Dial = m.sockets.dialer(d.opts.Network.Dial)
			return target.NewClient(c)
		},
	}, nil
}

// WaitReady waits until all nodes are ready, for readyTimeout at most.
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
	d.killedStops.Wait()
	d.Fleet.Close()
}

// stop stops a node gracefully and logs a failure to do so.
func (d *Deployment) stop(ctx context.Context, m *Member) {
	if err := m.Stop(ctx); err != nil {
		d.log.WithError(err).WithField("node", m.ID).Warn("node did not stop cleanly")
	}
}

// Replace stops one node gracefully and starts a new incarnation of it.
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

// Stop stops one node gracefully and removes it from the deployment.
func (d *Deployment) Stop(ctx context.Context, m *Member) error {
	defer d.remove(m)
	return m.Node.Stop(ctx)
}

// Kill simulates the crash of a node's process: its listeners and connections close at once and it can open no more. Its
// goroutines end in the background.
func (d *Deployment) Kill(m *Member) {
	m.sockets.kill()
	d.remove(m)
	d.killedStops.Go(func() { _ = m.Node.Stop(context.Background()) })
}

// Restart starts a new incarnation of a node that was stopped or killed.
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

// ReplaceAll replaces all nodes, one after another, until ctx ends. It still completes a replacement that has begun, because
// a node whose start was aborted halfway would keep running.
func (d *Deployment) ReplaceAll(ctx context.Context) {
	for _, m := range d.Members() {
		if ctx.Err() != nil {
			return
		}
		if err := d.Replace(context.WithoutCancel(ctx), m); err != nil {
			d.log.WithError(err).WithField("node", m.ID).Error("cannot replace node")
			return
		}
		if err := d.WaitReady(ctx); err != nil {
			d.log.WithError(err).Error("nodes not ready after replacement of a node")
			return
		}
	}
}
