package gateway

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

const (
	// heartbeatInterval is the time between heartbeats. It can be long, because versions, crash records and leaving nodes are
	// announced at once.
	heartbeatInterval = time.Second
	// localFanout is the number of nodes of the own failure domain that a heartbeat is sent to, remoteDomainFanout that of
	// each other failure domain.
	localFanout        = 2
	remoteDomainFanout = 1
	// remoteDomainHeartbeats is N if every Nth heartbeat also goes to other failure domains. Traffic to them has a cost per
	// byte.
	remoteDomainHeartbeats = 3
	// maintenanceInterval is how often connections are trimmed and connection limits are adapted to the number of nodes.
	maintenanceInterval = time.Second
	// crashMergeInterval is how often the crash records that peers announced are merged.
	crashMergeInterval = 250 * time.Millisecond
	// bootstrapDelay is how long a node looks for another node to follow before it reads the store when the whole system
	// starts for the first time: membership takes some heartbeats to form. A restarted node reads at once, because callers wait
	// for it.
	bootstrapDelay = 2500 * time.Millisecond
	// memoryLimitShare is the fraction of Config.MemoryLimitBytes that is set as the runtime's soft memory limit, near which
	// it collects garbage more often.
	memoryLimitShare = 0.7
	// responseMemoryShare is the fraction of Config.MemoryLimitBytes that responses of targets may occupy.
	responseMemoryShare = 0.2
)

// core owns the engine, the published state, membership and the crash counter of the process, and their background goroutines.
type core struct {
	cfg          Config
	deps         Deps
	engine       *query.Engine
	follower     *published.Follower
	members      *membership.Loop // nil without peers
	peers        *peer.Pool
	crashCounter *quarantine.CrashCounter
	evidence     *evidence
	lifecycle    *statechart.Machine[statechart.NodeState, statechart.NodeEvent]

	maxLiveNodes atomic.Int64 // largest number of nodes seen alive at the same time

	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newCore(cfg Config, deps Deps) (*core, error) {
	if cfg.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryLimitBytes)))
	}
	charts, err := statechart.NewCharts(deps.MetricsSet)
	if err != nil {
		return nil, eris.Wrap(err, "load state charts")
	}
	c := &core{cfg: cfg, deps: deps, crashCounter: quarantine.NewCrashCounter(), peers: peer.NewPool(peer.PoolConfig{Dial: deps.DialPeer, Metrics: deps.MetricsSet, Log: deps.Log}), lifecycle: charts.Node.NewMachine()}
	c.engine = query.New(query.Config{Domain: cfg.Domain, Regions: cfg.Regions, Budget: cfg.Budget, Bootstrap: cfg.Bootstrap,
		ResponseMemoryBytes: int64(responseMemoryShare * float64(cfg.MemoryLimitBytes)),
	}, query.Deps{
		Codec: deps.Codec, CrashCounter: c.crashCounter, Charts: charts, Log: deps.Log, Metrics: deps.MetricsSet, Panics: deps.Panics, Nodes: c.maxNodes, Dial: deps.DialTarget, OnCrashRecord: c.publishCrashRecord,
	})
	c.evidence = newEvidence(c)
	followerDeps := published.Deps{Source: deps.Source, Log: deps.Log, Panics: deps.Panics, Metrics: deps.MetricsSet, OnChange: c.applyView}
	if deps.PeerListener != nil {
		if err := c.newMembership(); err != nil {
			return nil, err
		}
		followerDeps.Peers = &statePeers{members: c.members, peers: c.peers, self: cfg.Node, regions: cfg.Regions}
	}
	followerConfig := published.DefaultConfig()
	if cfg.ApplyTimeout > 0 {
		followerConfig.WatchWait = cfg.ApplyTimeout / 2
		followerConfig.ContactLimit = cfg.ApplyTimeout * 2 / 3
	}
	if cfg.Bootstrap {
		followerConfig.StartDelay = bootstrapDelay
	}
	c.follower = published.NewFollower(followerConfig, followerDeps)
	return c, nil
}

func (c *core) newMembership() error {
	id, err := uuid.NewRandom()
	if err != nil {
		return eris.Wrap(err, "generate incarnation")
	}
	membershipConfig := membership.DefaultConfig()
	membershipConfig.Seeds, membershipConfig.Heartbeat, membershipConfig.Fanout = c.cfg.Seeds, heartbeatInterval, localFanout
	membershipConfig.RemoteFanout, membershipConfig.RemoteHeartbeatEvery = remoteDomainFanout, remoteDomainHeartbeats
	address := c.cfg.AdvertisedPeerAddress
	if address == "" {
		address = c.deps.PeerListener.Addr().String()
	}
	self := membership.Record{
		ID: c.cfg.Node, Incarnation: id.String(), Region: c.cfg.Regions[c.cfg.Domain], Domain: c.cfg.Domain,
		Roles: []membership.Role{membership.RoleEntry, membership.RoleRelay}, Address: address, State: statechart.NodeStarting,
	}
	c.members, err = membership.NewLoop(membershipConfig, self, membership.Deps{
		Transport: membershipTransport{c.peers}, Clock: membership.SystemClock(), Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 1)),
		Metrics: c.deps.MetricsSet, Log: c.deps.Log, Panics: c.deps.Panics, Hooks: membership.Hooks{Paused: c.resumeAfterPause},
	})
	return eris.Wrap(err, "set up membership")
}

// maxNodes returns the largest number of nodes that were alive at the same time. Nodes that are cut off count, because they
// hold connections and spend retry budget too.
func (c *core) maxNodes() int {
	if c.members == nil {
		return 1
	}
	alive := int64(0)
	for _, domain := range c.members.Domains() {
		for _, m := range c.members.Members(domain) {
			if m.Status != membership.Dead {
				alive++
			}
		}
	}
	for {
		most := c.maxLiveNodes.Load()
		if alive <= most || c.maxLiveNodes.CompareAndSwap(most, alive) {
			return int(max(alive, most))
		}
	}
}

// applyView applies a new view of the published state and announces its versions to the peers.
func (c *core) applyView(v *published.View) {
	c.engine.Update(v)
	if v.Table != nil && c.lifecycle.State() == statechart.NodeSyncing {
		c.fire(statechart.NodeSynced)
	}
	if c.members != nil {
		c.members.SetHeldLater(membership.Versions{Config: config.Version{Number: v.Version()}, Catalogue: config.Version{Number: v.Revision}})
	}
}

func (c *core) fire(event statechart.NodeEvent) {
	before := c.lifecycle.State()
	after, err := c.lifecycle.Fire(event)
	if err != nil {
		c.deps.Log.WithError(err).Debug("node state machine rejected an event")
		return
	}
	if before != after {
		c.deps.Log.WithField("from", before).WithField("to", after).WithField("event", event).Info("node state changed")
	}
}

// ready reports whether the process accepts requests.
func (c *core) ready() bool { return c.lifecycle.State() == statechart.NodeReady }

func (c *core) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.fire(statechart.NodeStarted)
	c.background.Go(func() { c.follower.Run(ctx) })
	loops := map[string]func(context.Context){"maintenance": c.maintain}
	if c.members != nil {
		loops["membership"], loops["crash records"], loops["evidence"] = c.members.Run, c.mergeCrashRecords, c.evidence.run
	}
	for name, run := range loops {
		c.background.Go(func() { c.deps.Panics.Loop(ctx, name, run) })
	}
	return nil
}

// stop ends the components after the servers have drained.
func (c *core) stop(context.Context) error {
	c.fire(statechart.NodeStop)
	c.cancel()
	c.engine.Close()
	c.peers.Close()
	c.background.Wait()
	return nil
}

func (c *core) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			c.engine.Maintain(now)
		}
	}
}

// resumeAfterPause is called after the process did not run for a while. The state may be stale, and a watch may have been
// lost meanwhile.
func (c *core) resumeAfterPause(gap time.Duration) {
	c.deps.Log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused; reading the store again")
	c.follower.Restart()
}

// publishCrashRecord announces to the peers the crashes of a request that crashed targets.
func (c *core) publishCrashRecord(r quarantine.CrashRecord) {
	if c.members == nil {
		return
	}
	payload, err := json.Marshal(r)
	if err != nil {
		c.deps.Log.WithError(err).Error("cannot encode crash record")
		return
	}
	// Cleared attempts count twice, so that the revision also grows when an attempt moves from Attempts to Cleared.
	c.members.SetQuarantine(membership.QuarantineEntry{
		Key: c.cfg.Node + "/" + r.Fingerprint.String(), Revision: uint64(len(r.Attempts) + 2*len(r.Cleared)),
		ExpiresMS: time.Now().UnixMilli() + r.LeftMS, Payload: payload,
	})
}

// mergeCrashRecords merges the crash records that peers announced, until ctx ends.
func (c *core) mergeCrashRecords(ctx context.Context) {
	tick := time.NewTicker(crashMergeInterval)
	defer tick.Stop()
	var mergedChanges uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		changes := c.members.ChangeSeq()
		if changes == mergedChanges {
			continue
		}
		mergedChanges = changes
		for _, entry := range c.members.Quarantine() {
			var r quarantine.CrashRecord
			if err := json.Unmarshal(entry.Payload, &r); err != nil {
				c.deps.Log.WithError(err).Warn("cannot decode crash record of a peer")
				continue
			}
			c.crashCounter.Merge(r, time.Now())
		}
	}
}
