package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/ownership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// members is the part of membership.Loop that the directory reads.
type members interface {
	Self() membership.Record
	Members(domain string) []membership.Member
	Member(id string) (membership.Member, bool)
	Domains() []string
}

// remoteHomesTTL is how long the home relays of a group in other failure domains are cached. A stale entry does little
// harm: they are used only when the home and spare of the local failure domain are lost, and a relay that has just left
// refuses the leg, which then goes to the next one.
const remoteHomesTTL = 100 * time.Millisecond

// directory derives the relays of a group from the membership view. It implements entry.Directory and relay.Remotes. mu
// guards remote.
type directory struct {
	members  members
	topology *topology.Holder
	peers    *peer.Pool

	mu     sync.Mutex
	remote map[string]remoteHomes // cache, by group
}

// remoteHomes is a cache entry: the home relays of a group in the other failure domains.
type remoteHomes struct {
	relays  []entry.Relay
	foundAt time.Time
}

// Relays implements entry.Directory: home and spare of the local failure domain, then the homes of the others.
func (d *directory) Relays(group string) []entry.Relay {
	return append(d.Owners(d.members.Self().Domain, group), d.remoteHomes(group)...)
}

// remoteHomes returns the home relays of the group in the other failure domains. They are cached because computing them
// for each search would cost 2 ms of CPU time at the planned size.
func (d *directory) remoteHomes(group string) []entry.Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cached, ok := d.remote[group]; ok && time.Since(cached.foundAt) < remoteHomesTTL {
		return cached.relays
	}
	homes := remoteHomes{foundAt: time.Now()}
	local := d.members.Self().Domain
	for _, domain := range d.members.Domains() {
		if domain == local {
			continue
		}
		if owners := d.Owners(domain, group); len(owners) > 0 {
			homes.relays = append(homes.relays, owners[0])
		}
	}
	if d.remote == nil {
		d.remote = map[string]remoteHomes{}
	}
	d.remote[group] = homes
	return homes.relays
}

// Owners returns the home relay of the group in a failure domain and its spare, as far as they are live.
func (d *directory) Owners(domain, group string) []entry.Relay {
	view := d.topology.View()
	if view == nil {
		return nil
	}
	fd, ok := view.Domain(domain)
	if !ok {
		return nil
	}
	live := map[string]membership.Member{}
	var candidates []ownership.Relay
	for _, m := range d.members.Members(domain) {
		if acceptsLegs(m) {
			live[m.ID] = m
			candidates = append(candidates, ownership.Relay{ID: m.ID, Ordinal: m.Ordinal})
		}
	}
	owners := ownership.OrdinalSpaceOf(fd.MaxRelays).Owners(group, candidates)
	var relays []entry.Relay
	for _, id := range []string{owners.Home, owners.Spare} {
		if m, ok := live[id]; ok {
			relays = append(relays, entry.Relay{NodeID: id, Address: m.Address, Self: id == d.members.Self().ID})
		}
	}
	return relays
}

// IsReachable implements relay.Remotes.
func (d *directory) IsReachable(domain string) bool {
	return slices.ContainsFunc(d.members.Members(domain), acceptsLegs)
}

// acceptsLegs reports whether a node may be sent new legs. A node that is draining or was paused takes no new work.
func acceptsLegs(m membership.Member) bool {
	return m.HasRole(membership.RoleRelay) && m.Status == membership.Alive && m.State == statechart.NodeReady
}

// Node implements entry.Directory. A suspect node may still hold the outcome of its tickets, so it is returned too.
func (d *directory) Node(id string) (address, incarnation string, ok bool) {
	m, ok := d.members.Member(id)
	if !ok || m.Status == membership.Dead {
		return "", "", false
	}
	return m.Address, m.Incarnation, true
}

// Owns implements relay.Remotes.
func (d *directory) Owns(group string) bool {
	return slices.ContainsFunc(d.Owners(d.members.Self().Domain, group), func(r entry.Relay) bool { return r.Self })
}

// Attempt implements relay.Remotes.
func (d *directory) Attempt(ctx context.Context, domain string, req peer.AttemptRequest) (peer.AttemptResult, error) {
	var result peer.AttemptResult
	address, err := d.homeAddress(domain, req.Search.Group, peer.MethodAttempt)
	if err == nil {
		err = d.peers.Call(ctx, address, peer.MethodAttempt, req, &result, peer.FailWhenSilent)
	}
	return result, err
}

// Command implements relay.Remotes.
func (d *directory) Command(ctx context.Context, domain string, req peer.CommandRequest) (api.CommandResult, error) {
	var result api.CommandResult
	address, err := d.homeAddress(domain, req.Command.Group, peer.MethodCommand)
	if err == nil {
		err = d.peers.Call(ctx, address, peer.MethodCommand, req, &result, peer.Confirmed)
	}
	return result, err
}

// homeAddress returns the peer address of the group's first live owner in a failure domain.
func (d *directory) homeAddress(domain, group, method string) (string, error) {
	relays := d.Owners(domain, group)
	if len(relays) == 0 {
		return "", &peer.Error{Kind: peer.FailureNotSent, Method: method, Err: errNoRelay}
	}
	return relays[0].Address, nil
}
