package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/creachadair/jrpc2/handler"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// membershipTransport sends membership messages over the peer connections.
type membershipTransport struct{ peers *peer.Pool }

// Exchange implements membership.Transport.
func (x membershipTransport) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	var reply membership.Message
	err := x.peers.Call(ctx, address, peer.MethodExchange, m, &reply)
	return reply, err
}

// statePeers fetches the published state from other nodes. It implements published.Peers.
type statePeers struct {
	members *membership.Loop
	peers   *peer.Pool
	self    string
	regions map[string]string
}

var errNoPeer = eris.New("no live peer has a newer state")

// HighestVersions implements published.Peers.
func (p *statePeers) HighestVersions() (revision, version uint64) {
	known := p.members.Known()
	return known.Catalogue.Number, known.Config.Number
}

// Fetch implements published.Peers. It prefers a peer of the own failure domain.
func (p *statePeers) Fetch(ctx context.Context, revision, version uint64) (published.Snapshot, error) {
	var s published.Snapshot
	address, ok := p.choosePeer(revision, version)
	if !ok {
		return s, errNoPeer
	}
	err := p.peers.Call(ctx, address, peer.MethodFetchState, nil, &s) // the method takes no parameters, not even an empty object
	return s, err
}

func (p *statePeers) choosePeer(revision, version uint64) (string, bool) {
	var local, remote []string
	ownDomain := p.members.Self().Domain
	for _, domain := range p.members.Domains() {
		for _, m := range p.members.Members(domain) {
			newer := m.Held.Catalogue.Number > revision || m.Held.Config.Number > version
			if m.ID == p.self || m.Status == membership.Dead || !newer {
				continue
			}
			if domain == ownDomain {
				local = append(local, m.Address)
			} else {
				remote = append(remote, m.Address)
			}
		}
	}
	for _, list := range [][]string{local, remote} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))], true
		}
	}
	return "", false
}

// Reader implements published.Peers. All nodes of a failure domain compute the same ranking, so they agree on the reader as
// far as they agree on which nodes are dead or draining.
func (p *statePeers) Reader(skip func(id string) bool) (string, bool) {
	self := p.members.Self()
	candidates := map[string]bool{}
	for _, m := range p.members.Members(self.Domain) {
		if m.ID == self.ID || m.Status != membership.Dead && m.State != statechart.NodeDraining && !skip(m.ID) {
			candidates[m.ID] = true
		}
	}
	ids := slices.Sorted(maps.Keys(candidates))
	if len(ids) < 2 {
		return "", false
	}
	first := ownership.Rank(readerRankPrefix+self.Domain, ids)[0]
	return first, first != self.ID
}

// readerRankPrefix makes the ranking of readers independent of other rankings of the same nodes.
const readerRankPrefix = "reader "

// watchRequest asks a node for the changes after a revision, and to wait for one if there is none.
type watchRequest struct {
	Revision uint64 `json:"revision"`
	WaitMS   int64  `json:"wait_ms"`
}

// Watch implements published.Peers.
func (p *statePeers) Watch(ctx context.Context, id string, revision uint64, wait time.Duration) (published.Delta, error) {
	var d published.Delta
	m, ok := p.members.Member(id)
	if !ok {
		return d, errNoPeer
	}
	err := p.peers.Call(ctx, m.Address, peer.MethodWatchState, watchRequest{Revision: revision, WaitMS: wait.Milliseconds()}, &d, peer.Confirmed)
	return d, err
}

// peerMethods returns the handlers of the RPC methods that other nodes call.
func (c *core) peerMethods() handler.Map {
	return handler.Map{
		peer.MethodExchange: handler.New(func(_ context.Context, m membership.Message) (membership.Message, error) {
			return c.members.Handle(m), nil
		}),
		peer.MethodFetchState: handler.New(func(context.Context) (published.Snapshot, error) {
			return c.follower.Snapshot(), nil
		}),
		peer.MethodEvidence: handler.New(func(_ context.Context, observations []query.ServiceEvidence) (struct{}, error) {
			c.evidence.receive(observations)
			return struct{}{}, nil
		}),
		peer.MethodWatchState: handler.New(func(ctx context.Context, r watchRequest) (published.Delta, error) {
			return c.follower.WaitForDelta(ctx, r.Revision, time.Duration(r.WaitMS)*time.Millisecond), nil
		}),
	}
}
