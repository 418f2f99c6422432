package node

import (
	"context"
	"time"

	"github.com/creachadair/jrpc2/handler"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/relay"
)

// membershipHandler answers membership messages.
type membershipHandler interface {
	Handle(membership.Message) membership.Message
}

// configServer answers requests of peers for configuration.
type configServer interface {
	HandleFetch(configsync.Request) configsync.Offer
}

// peerMethods implements the methods that peers call on this node. relay is nil on a node without the relay role.
type peerMethods struct {
	lifecycle *lifecycle
	entry     *entry.Entry
	relay     *relay.Relay
	members   membershipHandler
	config    configServer
}

// handlers returns the methods by name. Those of the relay are absent on a node without the relay role.
func (p *peerMethods) handlers() handler.Map {
	methods := handler.Map{
		peer.MethodTicketRun:   handler.New(p.runTicket),
		peer.MethodExchange:    handler.New(p.exchange),
		peer.MethodFetchConfig: handler.New(p.fetchConfig),
	}
	if p.relay != nil {
		methods[peer.MethodSearch] = handler.New(p.search)
		methods[peer.MethodAttempt] = handler.New(p.attempt)
		methods[peer.MethodCommand] = handler.New(p.command)
	}
	return methods
}

func (p *peerMethods) search(ctx context.Context, req peer.LegRequest) (peer.LegResult, error) {
	done, ok := p.lifecycle.beginCall()
	if !ok {
		return peer.LegResult{Refusal: notReadyError()}, nil
	}
	defer done()
	return p.relay.RunLeg(ctx, req), nil
}

func notReadyError() *api.Error {
	return api.NewRefusal(api.CodeNotReady, "", "this node takes no new work").WithRetryAfter(time.Second)
}

func (p *peerMethods) attempt(ctx context.Context, req peer.AttemptRequest) (peer.AttemptResult, error) {
	done, ok := p.lifecycle.beginCall()
	if !ok {
		return peer.AttemptResult{Failure: peer.FailureNotServed, Outcome: api.OutcomeNotRun, Message: "this node takes no new work"}, nil
	}
	defer done()
	return p.relay.RunAttempt(ctx, req), nil
}

func (p *peerMethods) command(ctx context.Context, req peer.CommandRequest) (api.CommandResult, error) {
	done, ok := p.lifecycle.beginCall()
	if !ok {
		return api.CommandResult{RequestID: req.Command.RequestID, Outcome: api.OutcomeNotRun, Code: api.CodeUnreachable, Message: "the relay takes no new work"}, nil
	}
	defer done()
	// The outcome is recorded under the caller's ticket, so the command is not cancelled when the connection that
	// carried it closes.
	return p.relay.RunCommand(context.WithoutCancel(ctx), req, req.NoForward), nil
}

// runTicket runs a command under a ticket that this node issued. It works while the node drains too: it reports the
// outcomes of commands that the node ran, and it runs new commands under the node's tickets because no other node may.
func (p *peerMethods) runTicket(ctx context.Context, req peer.TicketRunRequest) (peer.TicketRunResult, error) {
	done := p.lifecycle.beginTicketCall()
	defer done()
	result, refusal := p.entry.RunTicket(ctx, req.Ticket, req.Command, time.Duration(req.TimeoutMS)*time.Millisecond)
	if refusal != nil {
		return peer.TicketRunResult{Refusal: refusal}, nil
	}
	return peer.TicketRunResult{Result: &result}, nil
}

func (p *peerMethods) exchange(_ context.Context, m membership.Message) (membership.Message, error) {
	return p.members.Handle(m), nil
}

func (p *peerMethods) fetchConfig(_ context.Context, req configsync.Request) (configsync.Offer, error) {
	return p.config.HandleFetch(req), nil
}

// transport sends membership messages over the peer connections.
type transport struct{ peers *peer.Pool }

// Exchange implements membership.Transport.
func (t transport) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	var reply membership.Message
	err := t.peers.Call(ctx, address, peer.MethodExchange, m, &reply)
	return reply, err
}

// configPeers fetches configuration from other nodes.
type configPeers struct {
	peers     *peer.Pool
	directory *directory
}

// FetchConfig implements configsync.Peers.
func (c configPeers) FetchConfig(ctx context.Context, node string, since configsync.Request) (configsync.Offer, error) {
	var offer configsync.Offer
	address, _, ok := c.directory.Node(node)
	if !ok {
		return offer, &peer.Error{Kind: peer.FailureNotSent, Method: peer.MethodFetchConfig, Err: errUnknownNode}
	}
	err := c.peers.Call(ctx, address, peer.MethodFetchConfig, since, &offer)
	return offer, err
}
