package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// core owns the components of the node apart from its listeners, and their background loops.
type core struct {
	cfg      Config
	deps     Deps
	log      *logrus.Entry
	identity identity

	lifecycle *lifecycle
	topology  *topology.Holder
	members   *membership.Loop
	peers     *peer.Pool
	directory *directory
	guard     *quarantine.Guard
	relay     *relay.Relay // nil without the relay role
	entry     *entry.Entry
	syncer    *configsync.Syncer
	instances *instancePoller

	loopCtx   context.Context
	stopLoops context.CancelFunc

	exportMu       sync.Mutex // guards exportedChange
	exportedChange uint64     // last change of the quarantine that was handed to the membership
	loops          sync.WaitGroup
}

func newCore(cfg Config, deps Deps, id identity) (*core, error) {
	c := &core{
		cfg: cfg, deps: deps, identity: id,
		log:      deps.Log.WithFields(logrus.Fields{"node": cfg.ID, "domain": cfg.Domain}),
		topology: topology.NewHolder(), peers: peer.NewPool(peer.PoolConfig{Dial: deps.DialPeer, Metrics: deps.Metrics, Log: deps.Log.WithField("node", cfg.ID)}), guard: quarantine.NewGuard(0),
	}
	charts, err := statechart.NewCharts(deps.Metrics)
	if err != nil {
		return nil, eris.Wrap(err, "load state charts")
	}
	if err := c.newMembers(); err != nil {
		return nil, err
	}
	c.lifecycle = newLifecycle(charts, c.log, c.members.SetState)
	dir := &directory{members: c.members, topology: c.topology, peers: c.peers}
	c.directory = dir
	if err := c.newSyncer(dir, charts); err != nil {
		return nil, err
	}
	c.instances = &instancePoller{
		source: deps.ConfigService, members: c.members, onList: c.applyInstanceList, log: c.log,
		jitter: time.Duration(mathrand.Int64N(int64(instanceJitter))),
	}
	if c.hasRole(membership.RoleRelay) {
		c.relay = c.newRelay(dir, charts)
	}
	return c, c.newEntry(dir)
}

func (c *core) hasRole(r membership.Role) bool { return c.members.Self().HasRole(r) }

func (c *core) newMembers() error {
	mc := membership.DefaultConfig()
	mc.Seeds = c.cfg.Seeds
	if c.cfg.Heartbeat > 0 {
		mc.Heartbeat = c.cfg.Heartbeat
	}
	self := membership.Record{
		ID: c.cfg.ID, Incarnation: c.identity.incarnation.String(), Ordinal: c.cfg.Ordinal, Region: c.cfg.Region,
		Domain: c.cfg.Domain, Roles: c.cfg.Roles, Address: c.cfg.Advertise, State: statechart.NodeStarting,
	}
	loop, err := membership.NewLoop(mc, self, membership.Deps{
		Transport: transport{c.peers}, Clock: membership.SystemClock(), Rand: mathrand.New(mathrand.NewPCG(c.seed(), 1)),
		Metrics: c.deps.Metrics, Log: c.log, Panics: c.deps.Panics, Hooks: membership.Hooks{Paused: c.handlePause, Superseded: c.handleSuperseded},
	})
	c.members = loop
	return eris.Wrap(err, "set up membership")
}

func (c *core) newRelay(dir *directory, charts *statechart.Charts) *relay.Relay {
	return relay.New(relay.Config{Domain: c.cfg.Domain, Ordinal: c.cfg.Ordinal, Seed: c.cfg.RandomSeed, Baseline: c.cfg.Baseline}, relay.Deps{
		Topology: c.topology, Remotes: dir, Guard: c.guard, Dial: c.deps.DialTarget, Charts: charts, Log: c.log, Tracing: c.deps.Tracing,
		Metrics: c.deps.Metrics, Panics: c.deps.Panics, OnTargetLeaving: c.markLeaving, OnQuarantine: c.quarantineChanged,
	})
}

func (c *core) newEntry(dir *directory) error {
	clock := ticket.NewClock(time.Now())
	issuer, err := ticket.NewIssuer(c.cfg.ID, c.identity.incarnation, rand.Reader, clock)
	if err != nil {
		return eris.Wrap(err, "set up tickets")
	}
	deps := entry.Deps{
		Topology: c.topology, Directory: dir, Peers: c.peers, Issuer: issuer, Tickets: ticket.NewTable(clock, ticket.DefaultLimits),
		Ready: c.lifecycle.Ready, AnswersTickets: c.lifecycle.AnswersTickets, Log: c.log, Tracing: c.deps.Tracing, Metrics: c.deps.Metrics, Panics: c.deps.Panics,
	}
	if c.relay != nil {
		deps.Local = c.relay
	}
	c.entry = entry.New(entry.Config{NodeID: c.cfg.ID, Incarnation: c.identity.incarnation.String()}, deps)
	return nil
}

// start starts the background loops.
func (c *core) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.loopCtx, c.stopLoops = ctx, cancel
	loop := func(place string, run func(context.Context)) {
		c.loops.Go(func() { c.deps.Panics.Loop(ctx, place, run) })
	}
	loop("membership", c.members.Run)
	loop("configuration", c.syncer.Run)
	loop("list of instances", c.instances.run)
	loop("readiness", c.watchReadiness)
	loop("pause detection", func(ctx context.Context) { c.lifecycle.pause.run(ctx, c.handlePause) })
	loop("updates of peers", c.runPeerUpdates)
	c.lifecycle.fire(statechart.NodeStarted)
	return nil
}

// stop stops the loops and closes the components after the servers have drained.
func (c *core) stop(ctx context.Context) error {
	c.lifecycle.fire(statechart.NodeStop)
	c.stopLoops()
	c.loops.Wait()
	if c.relay != nil {
		c.relay.Close(ctx)
	}
	c.peers.Close()
	return eris.Wrap(c.deps.Tracing.Shutdown(ctx), "stop tracing")
}

func (c *core) newSyncer(dir *directory, charts *statechart.Charts) error {
	var err error
	c.syncer, err = configsync.New(configsync.DefaultConfig(), configsync.Deps{
		Source: c.deps.ConfigService, IsNoChange: func(err error) bool { return errors.Is(err, configservice.ErrNoChange) },
		Peers: configPeers{peers: c.peers, directory: dir}, Members: c.members, Checker: &configChecker{}, Charts: charts,
		Rand: mathrand.New(mathrand.NewPCG(c.seed(), 2)), Metrics: c.deps.Metrics, Log: c.log, Panics: c.deps.Panics, OnChange: c.applyConfig,
	})
	return eris.Wrap(err, "set up configuration")
}

// seed returns the configured random seed, or a random one if none is set.
func (c *core) seed() uint64 {
	if c.cfg.RandomSeed != 0 {
		return c.cfg.RandomSeed
	}
	return mathrand.Uint64()
}

// applyConfig puts an accepted document or catalogue in force.
func (c *core) applyConfig(current configsync.Current) {
	view := c.topology.View()
	if current.Document != nil && (view == nil || view.Version() != current.Document.Version) {
		if err := c.topology.SetDocument(*current.Document); err != nil {
			c.log.WithError(err).Error("a group's catalogue is invalid; its last good one stays in force")
		}
	}
	if current.Catalogue != nil && c.topology.CatalogueVersion() != current.Catalogue.Version {
		if err := c.topology.SetCatalogue(*current.Catalogue); err != nil {
			c.log.WithError(err).Error("a group's catalogue is invalid; its last good one stays in force")
		}
	}
}

// readinessInterval is the interval at which the node checks whether its configuration allows it to take work.
const readinessInterval = 50 * time.Millisecond

// watchReadiness fires events on the node's lifecycle when its configuration starts or ceases to allow it to take work.
func (c *core) watchReadiness(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		ready := c.syncer.Readiness().Ready
		switch state := c.lifecycle.State(); {
		case ready && state == statechart.NodeSyncing:
			c.lifecycle.fire(statechart.NodeSynced)
		case !ready && state == statechart.NodeReady:
			c.lifecycle.fire(statechart.NodeResync)
		}
	}
}

// handlePause is called after this process did not run for a while. Its view of the peers and of the configuration may
// be stale, so it is refreshed before the node takes new work.
func (c *core) handlePause(gap time.Duration) {
	c.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused; refreshing before new work is taken")
	c.lifecycle.fire(statechart.NodePauseDetected)
	c.members.HeartbeatNow()
	c.loops.Go(func() {
		defer c.deps.Panics.Contain("refresh after a pause", nil)
		ctx, cancel := context.WithTimeout(c.loopCtx, refreshTimeout)
		defer cancel()
		c.syncer.Refresh(ctx)
		// Not before Refresh: until it has begun, the readiness is still the one from before the pause.
		c.lifecycle.fire(statechart.NodeRefresh)
	})
}

// refreshTimeout bounds the refresh after a pause.
const refreshTimeout = 5 * time.Second

// handleSuperseded is called when a later incarnation of this node ID is running: this one must take no more work.
func (c *core) handleSuperseded() {
	c.log.Error("a later incarnation of this node id is running; draining")
	c.lifecycle.fire(statechart.NodeDrain)
}

// markLeaving announces to the peers that a target signalled that it is leaving.
func (c *core) markLeaving(targetID, incarnation string) {
	c.members.MarkLeaving(targetID, incarnation, membership.LeavingBySignal)
}

// quarantineChanged sends new states of fingerprints to the peers without delay.
func (c *core) quarantineChanged([]quarantine.Change) { c.exportQuarantine() }

const (
	// peerUpdateInterval is the interval at which leaving marks and quarantine records of peers are applied.
	peerUpdateInterval = 100 * time.Millisecond
	// quarantineExportLimit is the largest number of records that one export hands to the membership.
	quarantineExportLimit = 256
)

// runPeerUpdates applies the updates that peers sent: marks of leaving targets and records of requests that crash
// targets.
func (c *core) runPeerUpdates(ctx context.Context) {
	tick := time.NewTicker(peerUpdateInterval)
	defer tick.Stop()
	var applied uint64
	repeat := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// Marks are listed only after a change, or if one has to be passed again: listing the 800 marks of a day ten
		// times a second would take a third of the CPU time for control work.
		if changes := c.members.ChangeSeq(); changes != applied || repeat {
			applied = changes
			repeat = c.applyLeavingMarks()
			c.mergeQuarantine()
		}
	}
}

// applyLeavingMarks passes the marks of leaving targets to the relay. It reports whether a mark names no incarnation:
// such a mark applies to the incarnation that the target reports later, so it must be passed again.
func (c *core) applyLeavingMarks() (repeat bool) {
	if c.relay == nil {
		return false
	}
	for _, m := range c.members.Marks() {
		c.relay.MarkLeaving(m.Target, m.Incarnation)
		repeat = repeat || m.Incarnation == ""
	}
	return repeat
}

// exportQuarantine hands the changed records of the guard to the membership, which sends them to the peers.
func (c *core) exportQuarantine() {
	c.exportMu.Lock()
	defer c.exportMu.Unlock()
	var records []quarantine.Record
	records, c.exportedChange = c.guard.Export(c.exportedChange, quarantineExportLimit, time.Now())
	for _, r := range records {
		payload, err := json.Marshal(r)
		if err != nil {
			c.log.WithError(err).Error("cannot encode a quarantine record")
			continue
		}
		c.members.SetQuarantine(membership.QuarantineEntry{
			Key:       r.Service + "/" + r.Fingerprint.String(),
			Revision:  r.Revision(),
			ExpiresMS: time.Now().UnixMilli() + r.LeftMS,
			Payload:   payload,
		})
	}
}

// mergeQuarantine merges the quarantine records of the peers into the guard.
func (c *core) mergeQuarantine() {
	now := time.Now()
	entries := c.members.Quarantine()
	records := make([]quarantine.Record, 0, len(entries))
	for _, e := range entries {
		var r quarantine.Record
		if err := json.Unmarshal(e.Payload, &r); err != nil {
			c.log.WithError(err).Warn("a peer sent a quarantine record that cannot be decoded")
			continue
		}
		records = append(records, r.Aged(e.ExpiresMS-now.UnixMilli()))
	}
	c.guard.Merge(records, now)
}

// applyInstanceList applies the platform's published list of instances: it marks targets that are not live as leaving
// and adds the addresses of live nodes as seeds.
func (c *core) applyInstanceList(list configservice.InstanceList) {
	var seeds []string
	for _, in := range list.Instances {
		switch {
		case in.Kind == configservice.KindTarget && in.State != configservice.InstanceLive:
			c.members.MarkLeaving(in.ID, in.Incarnation, membership.LeavingByList)
		case in.Kind == configservice.KindNode && in.State == configservice.InstanceLive && in.Address != "":
			seeds = append(seeds, in.Address)
		}
	}
	c.members.AddSeeds(seeds)
}
