package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// fakeMembers maps each failure domain to its only relay.
type fakeMembers map[string]membership.Member

func (f fakeMembers) Self() membership.Record { return f["north"].Record }
func (f fakeMembers) Members(domain string) []membership.Member {
	return []membership.Member{f[domain]}
}
func (f fakeMembers) Member(string) (m membership.Member, _ bool) { return m, false }
func (f fakeMembers) Domains() []string                           { return []string{"east", "north", "south"} }

func (f fakeMembers) set(domain string, state statechart.NodeState) {
	f[domain] = membership.Member{Status: membership.Alive, Record: membership.Record{
		ID: "node-" + domain, Domain: domain, State: state, Roles: []membership.Role{membership.RoleRelay}}}
}

// Guards against legs that are still sent to a relay that takes no work. A relay of the local failure domain must be
// dropped at once, one of another failure domain after the time for which remote homes are cached.
func TestRelaysFollowTheMembership(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		members := fakeMembers{}
		for _, domain := range members.Domains() {
			members.set(domain, statechart.NodeReady)
		}
		document, _ := fleet.SmallDeployment(2)
		d := &directory{members: members, topology: topology.NewHolder()}
		g.Expect(d.topology.SetDocument(document)).To(Succeed())
		ids := func() (out []string) {
			for _, r := range d.Relays("records") {
				out = append(out, r.NodeID)
			}
			return out
		}
		g.Expect(ids()).To(Equal([]string{"node-north", "node-east", "node-south"}))
		g.Expect(d.Relays("records")[0]).To(Equal(entry.Relay{NodeID: "node-north", Self: true}))
		members.set("north", statechart.NodeDraining)
		members.set("east", statechart.NodeDraining)
		g.Expect(ids()).To(Equal([]string{"node-east", "node-south"}))
		time.Sleep(remoteHomesTTL)
		g.Expect(ids()).To(Equal([]string{"node-south"}))
	})
}
