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
	// heartbeat is the interval between heartbeats. Nothing urgent depends on it: versions, strikes and leaving nodes are
	// announced at once.
	heartbeat = time.Second
	// fanout is the number of nodes of the own failure domain per heartbeat, domainFanout that of each other one.
	fanout       = 2
	domainFanout = 1
	// domainEvery is the number of heartbeats between those that reach other failure domains, where bytes have a price.
	domainEvery = 3
	// upkeepInterval is how often connections are trimmed and caps follow the number of nodes.
	upkeepInterval = time.Second
	// strikeInterval is how often strikes that peers told are applied.
	strikeInterval = 250 * time.Millisecond
	// firstStartDelay is how long a node looks for a node to follow before it reads the store when the whole system
	// starts: membership takes some heartbeats. A node that is started again reads at once, because callers wait for it.
	firstStartDelay = 2500 * time.Millisecond
	// heapShare is the part of the memory limit at which the runtime collects garbage harder.
	heapShare = 0.7
)

// core owns the components that do the work of the process and their background loops.
type core struct {
	cfg      Config
	env      Env
	engine   *query.Engine
	follower *published.Follower
	members  *membership.Loop // nil without peers
	peers    *peer.Pool
	strikes  *quarantine.Strikes
	evidence *evidence
	life     *statechart.Machine[statechart.NodeState, statechart.NodeEvent]

	mostNodes atomic.Int64 // largest number of live nodes seen together

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func newCore(cfg Config, env Env) (*core, error) {
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.Memory)))
	}
	charts, err := statechart.NewCharts(env.Set)
	if err != nil {
		return nil, eris.Wrap(err, "load state charts")
	}
	c := &core{cfg: cfg, env: env, strikes: quarantine.NewStrikes(), peers: peer.NewPool(env.DialPeer), life: charts.Node.NewMachine()}
	c.engine = query.New(query.Config{Domain: cfg.Domain, Regions: cfg.Regions, Budget: cfg.Budget, FirstStart: cfg.FirstStart}, query.Deps{
		Codec: env.Codec, Strikes: c.strikes, Charts: charts, Log: env.Log, Metrics: env.Set, Nodes: c.nodes, OnStrike: c.tellStrike,
	})
	c.evidence = newEvidence(c)
	deps := published.Deps{Source: env.Source, Log: env.Log, Metrics: env.Set, Changed: c.publishedChanged}
	if env.Peers != nil {
		if err := c.newMembers(); err != nil {
			return nil, err
		}
		deps.Peers = &statePeers{members: c.members, peers: c.peers, self: cfg.Node, regions: cfg.Regions}
	}
	fc := published.DefaultConfig()
	if cfg.Apply > 0 {
		fc.Wait = cfg.Apply / 2
	}
	if cfg.FirstStart {
		fc.StartDelay = firstStartDelay
	}
	c.follower = published.NewFollower(fc, deps)
	return c, nil
}

func (c *core) newMembers() error {
	id, err := uuid.NewRandom()
	if err != nil {
		return eris.Wrap(err, "make incarnation")
	}
	mc := membership.DefaultConfig()
	mc.Seeds, mc.Heartbeat, mc.Fanout = c.cfg.Seeds, heartbeat, fanout
	mc.DomainFanout, mc.DomainEvery = domainFanout, domainEvery
	self := membership.Record{
		ID: c.cfg.Node, Incarnation: id.String(), Region: c.cfg.Regions[c.cfg.Domain], Domain: c.cfg.Domain,
		Roles: []membership.Role{membership.RoleEntry, membership.RoleRelay}, Address: c.env.Peers.Addr().String(), Life: statechart.NodeStarting,
	}
	c.members, err = membership.NewLoop(mc, self, membership.Deps{
		Transport: exchanges{c.peers}, Clock: membership.SystemClock(), Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 1)),
		Metrics: c.env.Set, Log: c.env.Log, Hooks: membership.Hooks{Paused: c.paused},
	})
	return eris.Wrap(err, "set up membership")
}

// nodes is the largest number of nodes that were alive together: those that are cut off hold connections and spend
// budget too.
func (c *core) nodes() int {
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
		most := c.mostNodes.Load()
		if alive <= most || c.mostNodes.CompareAndSwap(most, alive) {
			return int(max(alive, most))
		}
	}
}

// publishedChanged puts a new view in force and tells the peers which one it is.
func (c *core) publishedChanged(v *published.View) {
	c.engine.Update(v)
	if v.Table != nil && c.life.State() == statechart.NodeSyncing {
		c.fire(statechart.NodeSynced)
	}
	if c.members != nil {
		c.members.Hold(membership.Versions{Config: config.Version{Number: v.Version()}, Catalogue: config.Version{Number: v.Revision}})
	}
}

func (c *core) fire(event statechart.NodeEvent) {
	before := c.life.State()
	after, err := c.life.Fire(event)
	if err != nil {
		c.env.Log.WithError(err).Debug("event is not allowed in this state")
		return
	}
	if before != after {
		c.env.Log.WithField("from", before).WithField("to", after).WithField("event", event).Info("node state changed")
	}
}

// ready reports whether the process takes requests.
func (c *core) ready() bool { return c.life.State() == statechart.NodeReady }

func (c *core) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.fire(statechart.NodeStarted)
	c.loops.Go(func() { c.follower.Run(ctx) })
	c.loops.Go(func() { c.upkeep(ctx) })
	if c.members != nil {
		c.loops.Go(func() { c.members.Run(ctx) })
		c.loops.Go(func() { c.applyStrikes(ctx) })
		c.loops.Go(func() { c.evidence.run(ctx) })
	}
	return nil
}

// stop ends the components after the servers have drained.
func (c *core) stop(context.Context) error {
	c.fire(statechart.NodeStop)
	c.cancel()
	c.engine.Close()
	c.peers.Close()
	c.loops.Wait()
	return nil
}

func (c *core) upkeep(ctx context.Context) {
	tick := time.NewTicker(upkeepInterval)
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

// paused is called after the process did not run for a while: the state may be old, and a watch may have died meanwhile.
func (c *core) paused(gap time.Duration) {
	c.env.Log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused; asking the store again")
	c.follower.Restart()
}

// tellStrike passes a request that crashed a target on to the peers.
func (c *core) tellStrike(r quarantine.StrikeRecord) {
	if c.members == nil {
		return
	}
	payload, err := json.Marshal(r)
	if err != nil {
		c.env.Log.WithError(err).Error("cannot encode a strike")
		return
	}
	c.members.SetQuarantine(membership.QuarantineEntry{
		Key: c.cfg.Node + "/" + r.Fingerprint.String(), Revision: uint64(len(r.Attempts) + 2*len(r.Cleared)),
		ExpiresMS: time.Now().UnixMilli() + r.LeftMS, Payload: payload,
	})
}

// applyStrikes takes over what peers told of requests that crash targets.
func (c *core) applyStrikes(ctx context.Context) {
	tick := time.NewTicker(strikeInterval)
	defer tick.Stop()
	var applied uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := c.members.Changes()
		if now == applied {
			continue
		}
		applied = now
		for _, entry := range c.members.Quarantine() {
			var r quarantine.StrikeRecord
			if err := json.Unmarshal(entry.Payload, &r); err != nil {
				c.env.Log.WithError(err).Warn("a peer sent a strike that cannot be decoded")
				continue
			}
			c.strikes.Merge(r, time.Now())
		}
	}
}
