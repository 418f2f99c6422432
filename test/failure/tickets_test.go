package failure_test

import (
	"encoding/json"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
)

// booking is a command of one caller with its ticket.
type booking struct {
	client demo.Client
	body   entry.CommandBody
	ticket string
}

// book gets a ticket from a node and sends the command under it.
func (h *harness) book(m *demo.Member, name string) *booking {
	key := uint64(7)
	b := &booking{client: demo.Client{HTTP: h.callers, Key: fleet.DemoKey},
		body: entry.CommandBody{Key: &key, Body: json.RawMessage(`{"book":"` + name + `"}`)}}
	_, err := b.client.Command(h.t.Context(), m.URL, group, "", b.body, timeout)
	var offered *api.Error
	h.g.Expect(errors.As(err, &offered)).To(BeTrue(), "%v", err)
	b.ticket = offered.Ticket
	h.g.Expect(b.present(h, m)).To(Equal(api.Ran))
	return b
}

// present sends the command under its ticket and returns what the caller is told.
func (b *booking) present(h *harness, m *demo.Member) api.Outcome {
	r, err := b.client.Command(h.t.Context(), m.URL, group, b.ticket, b.body, timeout)
	var refused *api.Error
	switch {
	case errors.As(err, &refused):
		return refused.Ran
	case err != nil:
		return api.Unknown // the connection was lost
	}
	return r.Outcome
}

// Guards against "not run" for a command that ran: its caller presents the ticket again, to a node that takes no new
// work and has not asked the owner of the ticket (R4). The caller would take a new ticket and book twice.
func TestRepeatedCommandAtDrainingNode(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		m, owner := h.member("north", 0), h.member("east", 0)
		own, foreign := h.book(m, "own"), h.book(owner, "foreign")
		stopped := make(chan error, 1)
		go func() { stopped <- h.d.Stop(h.t.Context(), m) }()
		h.eventually(func() bool { return !m.Ready() }, "the node drains")
		h.g.Expect(own.present(h, m)).To(Equal(api.Ran), "the draining node owns the ticket")
		h.g.Expect(foreign.present(h, m)).To(Equal(api.Ran), "another node owns the ticket")
		h.g.Expect(<-stopped).NotTo(HaveOccurred())
		h.g.Expect(own.present(h, owner)).To(Equal(api.Unknown), "the owner is gone")
		h.verifyClean()
	})
}

// Guards against "not run" for a command that ran, when the caller is taken out of the configuration in between (R4).
func TestRepeatedCommandOfRemovedCaller(t *testing.T) {
	deploy(t, 1, func(h *harness) {
		b := h.book(h.member("north", 0), "removed")
		h.publish(addCaller)
		h.expectInForce(2, configBound)
		d := h.publish(removeFirstCaller)
		h.expectInForce(int(d.Version.Number), configBound)
		h.traffic.Stop()
		h.g.Expect(b.present(h, h.member("north", 0))).NotTo(Equal(api.NotRun))
	})
}
