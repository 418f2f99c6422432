package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/creachadair/jrpc2/handler"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/published"
)

// exchanges carries membership messages over the peer connections.
type exchanges struct{ peers *peer.Pool }

// Exchange implements membership.Transport.
func (x exchanges) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
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

var errNoPeer = eris.New("no live peer holds a newer state")

// Ahead implements published.Peers.
func (p *statePeers) Ahead() (revision, version uint64) {
	known := p.members.Known()
	return known.Catalogue.Number, known.Config.Number
}

// Fetch implements published.Peers. It asks a peer of the own failure domain where there is one.
func (p *statePeers) Fetch(ctx context.Context, revision, version uint64) (published.Snapshot, error) {
	var s published.Snapshot
	address, ok := p.choose(revision, version)
	if !ok {
		return s, errNoPeer
	}
	err := p.peers.Call(ctx, address, peer.MethodFetchState, struct{}{}, &s)
	return s, err
}

func (p *statePeers) choose(revision, version uint64) (string, bool) {
	var near, far []string
	own := p.members.Self().Domain
	for _, domain := range p.members.Domains() {
		for _, m := range p.members.Members(domain) {
			newer := m.Held.Catalogue.Number > revision || m.Held.Config.Number > version
			if m.ID == p.self || m.Status != membership.Alive || !newer {
				continue
			}
			if domain == own {
				near = append(near, m.Address)
			} else {
				far = append(far, m.Address)
			}
		}
	}
	for _, list := range [][]string{near, far} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))], true
		}
	}
	return "", false
}

// peerMethods are the calls of other nodes that this one answers.
func (c *core) peerMethods() handler.Map {
	return handler.Map{
		peer.MethodExchange: handler.New(func(_ context.Context, m membership.Message) (membership.Message, error) {
			return c.members.Handle(m), nil
		}),
		peer.MethodFetchState: handler.New(func(context.Context) (published.Snapshot, error) {
			return c.follower.Snapshot(), nil
		}),
	}
}
