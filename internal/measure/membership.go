package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// loopNetwork is an in-process transport between membership loops. It encodes and decodes each message once, as the wire
// does, and counts messages and bytes. The map loops, keyed by address, does not change after the first exchange.
type loopNetwork struct {
	loops    map[string]*membership.Loop
	bytes    atomic.Int64
	messages atomic.Int64
}

// Exchange implements membership.Transport.
func (n *loopNetwork) Exchange(_ context.Context, address string, m membership.Message) (membership.Message, error) {
	request, err := n.roundTrip(m)
	if err != nil {
		return request, err
	}
	peer, ok := n.loops[address]
	if !ok {
		return request, eris.Errorf("no node at %s", address)
	}
	return n.roundTrip(peer.Handle(request))
}

// roundTrip encodes a message, counts it, and returns the decoded copy.
func (n *loopNetwork) roundTrip(m membership.Message) (membership.Message, error) {
	var out membership.Message
	data, err := json.Marshal(m)
	if err != nil {
		return out, eris.Wrap(err, "encode message")
	}
	n.bytes.Add(int64(len(data)))
	n.messages.Add(1)
	return out, eris.Wrap(json.Unmarshal(data, &out), "decode message")
}

// newLoopNetwork creates the loops of all nodes: the given number of failure domains with the given number of nodes each.
func newLoopNetwork(domains, nodes int) (*loopNetwork, error) {
	n := &loopNetwork{loops: map[string]*membership.Loop{}}
	for i := range domains * nodes {
		self := membership.Record{
			ID: fmt.Sprintf("node-%04d", i), Incarnation: fmt.Sprintf("%032x", i), Ordinal: i % nodes,
			Region: "region-1", Domain: fmt.Sprintf("domain-%02d", i/nodes), Address: fmt.Sprintf("10.1.%d.%d:7000", i/200, i%200),
			Roles: []membership.Role{membership.RoleEntry, membership.RoleRelay}, State: statechart.NodeReady,
		}
		l, err := membership.NewLoop(membership.DefaultConfig(), self, membership.Deps{
			Transport: n, Clock: membership.SystemClock(), Metrics: metrics.NewSet(), Log: discardLogger(),
			Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		if err != nil {
			return nil, eris.Wrap(err, "create membership loop")
		}
		l.AddSeeds([]string{"10.1.0.0:7000", fmt.Sprintf("10.1.%d.%d:7000", i/nodes*nodes/200, i/nodes*nodes%200)})
		n.loops[self.Address] = l
	}
	return n, nil
}

// start runs all loops until stop is called.
func (n *loopNetwork) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, l := range n.loops {
		wg.Go(func() { l.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// measureLoops records the steady-state cost of membership for one node per second, and the memory per node.
func measureLoops(ctx context.Context, o Options, t *table, size, domains, nodes int) error {
	before := liveBytes()
	n, err := newLoopNetwork(domains, nodes)
	if err != nil {
		return err
	}
	stop := n.start(ctx)
	defer stop()
	time.Sleep(o.Settle)
	all := float64(domains * nodes)
	sent, messages, start := n.bytes.Load(), n.messages.Load(), time.Now()
	c := measureCost(1, func() { time.Sleep(o.Window) })
	perSecond := func(v float64) float64 { return v / all / time.Since(start).Seconds() }
	t.add(size, "membership: CPU per node", "us/s", perSecond(micros(c.cpu)))
	t.add(size, "membership: bytes sent per node", "B/s", perSecond(float64(n.bytes.Load()-sent)))
	t.add(size, "membership: messages sent per node", "1/s", perSecond(float64(n.messages.Load()-messages)))
	t.add(size, "membership: memory per node", "KB", (liveBytes()-before)/all/1e3)
	t.add(size, "membership: nodes known", "", float64(n.countKnownNodes())/all)
	return nil
}

// countKnownNodes returns the sum over all nodes of the live nodes that each knows. It shows whether membership had converged
// when it was measured.
func (n *loopNetwork) countKnownNodes() int {
	sum := 0
	for _, l := range n.loops {
		for _, d := range l.Domains() {
			for _, m := range l.Members(d) {
				if m.Status == membership.Alive {
					sum++
				}
			}
		}
	}
	return sum
}

func measureMembershipNodes(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("nodes in 1 failure domain")
	err := o.forEachSize(ctx, o.sizes(10, 25, 50, 100), func(size int) error { return measureLoops(ctx, o, t, size, 1, size) })
	return t.result(), err
}

// nodesPerDomain is small enough to run 18 failure domains in one process.
const nodesPerDomain = 10

func measureMembershipDomains(ctx context.Context, o Options) ([]Series, error) {
	t := newTable(fmt.Sprintf("failure domains of %d nodes", nodesPerDomain))
	err := o.forEachSize(ctx, o.sizes(2, 6, 12, 18), func(size int) error {
		return measureLoops(ctx, o, t, size, size, nodesPerDomain)
	})
	return t.result(), err
}

// measureOwners measures the work of a node's directory for each search and for each attempt in another failure domain: it
// lists the members of a failure domain and ranks the candidate owners of the group.
func measureOwners(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("nodes in the failure domain")
	err := o.forEachSize(ctx, o.sizes(10, 25, 50, 100), func(size int) error {
		n, err := newLoopNetwork(1, size)
		if err != nil {
			return err
		}
		first := n.loops["10.1.0.0:7000"]
		for _, l := range n.loops {
			first.Handle(membership.Message{From: l.Self().ID, Records: []membership.Record{l.Self()}})
		}
		space := ownership.OrdinalSpaceOf(size)
		t.addCost(size, "owners of a group in one failure domain", measureRepeated(o.Count, func() {
			var live []ownership.Relay
			for _, m := range first.Members("domain-00") {
				live = append(live, ownership.Relay{ID: m.ID, Ordinal: m.Ordinal})
			}
			space.Owners("records", live)
		}))
		return nil
	})
	return t.result(), err
}
