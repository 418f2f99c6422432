package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/medlarshunt/medlarshunt/internal/ownership"
)

// linkNodesPerDomain is the number of nodes of a failure domain that exchange digests with another failure domain.
const linkNodesPerDomain = 2

// seedsPerHeartbeat is the number of seed addresses without a known node that are tried per heartbeat.
const seedsPerHeartbeat = 2

// peerEndpoint is a peer to exchange messages with. id is empty for a seed.
type peerEndpoint struct {
	id      string
	address string
}

// selectPeers chooses the peers of one heartbeat.
func (v *View) selectPeers(cfg Config, seeds []string, rng *rand.Rand) []peerEndpoint {
	out := v.selectLocalPeers(cfg.Fanout, rng)
	alive := v.aliveLocalNodes()
	for _, domain := range v.Domains() {
		if domain != v.localDomain && v.isLinkNode(domain, alive) {
			out = append(out, v.selectRemotePeers(domain, cfg.RemoteFanout, rng)...)
		}
	}
	return append(out, v.selectSeeds(seeds, len(out) == 0, cfg.Fanout, rng)...)
}

// selectLocalPeers chooses nodes of the local failure domain, and one dead node so that a restored connection is noticed.
func (v *View) selectLocalPeers(fanout int, rng *rand.Rand) []peerEndpoint {
	var live, dead []peerEndpoint
	for _, m := range v.Members(v.localDomain) {
		switch {
		case m.ID == v.selfID:
		case m.Status == Dead:
			dead = append(dead, peerEndpoint{m.ID, m.Address})
		default:
			live = append(live, peerEndpoint{m.ID, m.Address})
		}
	}
	return append(sample(live, fanout, rng), sample(dead, 1, rng)...)
}

// aliveLocalNodes lists the ids of the nodes of the local failure domain that are alive.
func (v *View) aliveLocalNodes() []string {
	ids := make([]string, 0, len(v.idsByDomain[v.localDomain]))
	for id := range v.idsByDomain[v.localDomain] {
		if v.status(v.nodes[id]) == Alive {
			ids = append(ids, id)
		}
	}
	return ids
}

// isLinkNode reports whether this node is one of the linkNodesPerDomain nodes, of those alive in its failure domain, that
// exchange digests with the other failure domain.
func (v *View) isLinkNode(domain string, alive []string) bool {
	pair := []string{v.localDomain, domain}
	slices.Sort(pair)
	return ownership.IsInTopN(strings.Join(pair, "|"), v.selfID, alive, linkNodesPerDomain)
}

// selectRemotePeers chooses nodes of another failure domain, dead ones only when there are not enough others.
func (v *View) selectRemotePeers(domain string, count int, rng *rand.Rand) []peerEndpoint {
	var live, dead []peerEndpoint
	for _, m := range v.Members(domain) {
		if m.Status == Dead {
			dead = append(dead, peerEndpoint{m.ID, m.Address})
		} else {
			live = append(live, peerEndpoint{m.ID, m.Address})
		}
	}
	chosen := sample(live, count, rng)
	return append(chosen, sample(dead, count-len(chosen), rng)...)
}

// selectSeeds chooses seeds at whose address no node is known, or only a dead one. A node without other peers tries more of
// them at once.
func (v *View) selectSeeds(seeds []string, noPeers bool, fanout int, rng *rand.Rand) []peerEndpoint {
	known := map[string]bool{v.Self().Address: true}
	for _, n := range v.nodes {
		if v.status(n) != Dead {
			known[n.record.Address] = true
		}
	}
	var candidates []peerEndpoint
	for _, address := range seeds {
		if !known[address] {
			candidates = append(candidates, peerEndpoint{address: address})
		}
	}
	if !noPeers {
		fanout = seedsPerHeartbeat
	}
	return sample(candidates, fanout, rng)
}

// sample returns up to count endpoints at random.
func sample(endpoints []peerEndpoint, count int, rng *rand.Rand) []peerEndpoint {
	slices.SortFunc(endpoints, func(a, b peerEndpoint) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.address, b.address))
	})
	rng.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:max(min(len(endpoints), count), 0)]
}
