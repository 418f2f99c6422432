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

// ticketedCommand is a command of one caller with its ticket.
type ticketedCommand struct {
	client demo.Client
	body   entry.CommandBody
	ticket string
}

// sendTicketedCommand gets a ticket from a node and sends a command under it.
func (h *harness) sendTicketedCommand(m *demo.Member, name string) *ticketedCommand {
	key := uint64(7)
	b := &ticketedCommand{client: demo.Client{HTTP: h.httpClient, Key: fleet.DemoKey},
		body: entry.CommandBody{Key: &key, Body: json.RawMessage(`{"book":"` + name + `"}`)}}
	_, err := b.client.Command(h.t.Context(), m.CallerURL, groupName, "", b.body, requestTimeout)
	var offered *api.Error
	h.g.Expect(errors.As(err, &offered)).To(BeTrue(), "%v", err)
	b.ticket = offered.Ticket
	h.g.Expect(b.present(h, m)).To(Equal(api.OutcomeRan))
	return b
}

// present sends the command under its ticket and returns the outcome that the caller is told.
func (b *ticketedCommand) present(h *harness, m *demo.Member) api.Outcome {
	r, err := b.client.Command(h.t.Context(), m.CallerURL, groupName, b.ticket, b.body, requestTimeout)
	var refused *api.Error
	switch {
	case errors.As(err, &refused):
		return refused.Outcome
	case err != nil:
		return api.OutcomeUnknown // the connection was lost
	}
	return r.Outcome
}

// Guards against "not run" for a command that ran (R4): its caller presents the ticket again to a node that takes no new
// work and has not asked the owner of the ticket. The caller would then take a new ticket and run the command twice.
func TestRepeatedCommandAtDrainingNode(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		m, owner := h.member("north", 0), h.member("east", 0)
		ownCommand, otherCommand := h.sendTicketedCommand(m, "own"), h.sendTicketedCommand(owner, "foreign")
		stopped := make(chan error, 1)
		go func() { stopped <- h.deployment.Stop(h.t.Context(), m) }()
		h.eventually(func() bool { return !m.Ready() }, "the node drains")
		h.g.Expect(ownCommand.present(h, m)).To(Equal(api.OutcomeRan), "the draining node owns the ticket")
		h.g.Expect(otherCommand.present(h, m)).To(Equal(api.OutcomeRan), "another node owns the ticket")
		h.g.Expect(<-stopped).NotTo(HaveOccurred())
		h.g.Expect(ownCommand.present(h, owner)).To(Equal(api.OutcomeUnknown), "the owner of the ticket has stopped")
		h.verifyNoFailures()
	})
}

// Guards against "not run" for a command that ran, when its caller is removed from the configuration before it presents the
// ticket again (R4).
func TestRepeatedCommandOfRemovedCaller(t *testing.T) {
	withDeployment(t, 1, func(h *harness) {
		b := h.sendTicketedCommand(h.member("north", 0), "removed")
		h.publish(addCaller)
		h.expectVersionInForce(2, configApplyBound)
		d := h.publish(removeFirstCaller)
		h.expectVersionInForce(int(d.Version.Number), configApplyBound)
		h.traffic.Stop()
		h.g.Expect(b.present(h, h.member("north", 0))).NotTo(Equal(api.OutcomeNotRun))
	})
}
