package entry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/snapshot"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
)

// IssueTicket issues a ticket that is bound to this incarnation.
func (e *Entry) IssueTicket() (string, *api.Error) {
	token, err := e.deps.Issuer.Issue(time.Now())
	if err != nil {
		e.deps.Log.WithError(err).Error("cannot issue a ticket")
		return "", api.NewRefusal(api.CodeInternal, "", "cannot issue a ticket")
	}
	return token, nil
}

// Command runs a command under a ticket: in this process if this incarnation issued the ticket, otherwise on the node
// that did.
func (e *Entry) Command(ctx context.Context, token string, c api.Command, budget time.Duration) (api.CommandResult, *api.Error) {
	ctx, span := e.deps.Tracing.Start(ctx, "entry.command", attribute.String("request_id", c.RequestID), attribute.String("group", c.Group))
	defer span.End()
	t, err := ticket.Parse(token)
	if err != nil {
		return api.CommandResult{}, api.NewRefusal(api.CodeTicketInvalid, "Medlarshunt-Ticket", "this is not a ticket; send the command without one to get a ticket")
	}
	if t.NodeID == e.cfg.NodeID && t.Incarnation.String() == e.cfg.Incarnation {
		return e.RunTicket(ctx, token, c, budget)
	}
	return e.forward(ctx, t, token, c, budget)
}

// unknownOutcome returns the error for a command of which this node cannot prove whether it ran. The ticket may have
// been presented before, so even a forward that was not sent does not prove that the command did not run.
func unknownOutcome(code api.Code, message string) *api.Error {
	return &api.Error{Code: code, Message: message, Outcome: api.OutcomeUnknown}
}

// forward sends the command to the incarnation that issued the ticket. No other incarnation may run it.
func (e *Entry) forward(ctx context.Context, t ticket.Ticket, token string, c api.Command, budget time.Duration) (api.CommandResult, *api.Error) {
	address, incarnation, ok := e.deps.Directory.Node(t.NodeID)
	if !ok || incarnation != t.Incarnation.String() {
		return api.CommandResult{}, unknownOutcome(api.CodeOwnerGone, "the node that issued the ticket is gone; ask the group whether the command took effect before you send it again")
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	req := peer.TicketRunRequest{Ticket: token, Command: c}
	req.TimeoutMS = (budget - answerReserve).Milliseconds()
	req.Traceparent = e.deps.Tracing.Inject(ctx)
	var result peer.TicketRunResult
	if err := e.deps.Peers.Call(ctx, address, peer.MethodTicketRun, req, &result, peer.Confirmed); err != nil {
		e.deps.Log.WithField("request_id", c.RequestID).WithField("owner", t.NodeID).WithError(err).Warn("cannot reach the owner of a ticket")
		return api.CommandResult{}, unknownOutcome(api.CodeUnreachable, "the node that issued the ticket did not answer; send the command again with the same ticket")
	}
	switch {
	case result.Refusal != nil:
		return api.CommandResult{}, result.Refusal
	case result.Result == nil:
		return api.CommandResult{}, unknownOutcome(api.CodeInternal, "the node that issued the ticket gave no result; send the command again with the same ticket")
	default:
		return *result.Result, nil
	}
}

// RunTicket runs a command whose ticket this incarnation issued, at most once.
func (e *Entry) RunTicket(ctx context.Context, token string, c api.Command, budget time.Duration) (api.CommandResult, *api.Error) {
	t, err := e.deps.Issuer.Verify(token)
	if err != nil {
		return api.CommandResult{}, ticketError(err)
	}
	d := e.deps.Tickets.Begin(t, ticket.HashCommand(c), time.Now())
	switch d.Action {
	case ticket.Run:
		return e.runOnce(ctx, t, c, budget), nil
	case ticket.Wait, ticket.Recorded:
		return e.awaitOutcome(ctx, d.Entry, budget)
	case ticket.Reused:
		return api.CommandResult{}, &api.Error{Code: api.CodeTicketReused, Field: "body", Outcome: d.Outcome,
			Message: "the ticket was used with another command; this one was not run, the other may have been"}
	case ticket.Expired:
		return api.CommandResult{}, &api.Error{Code: api.CodeTicketExpired, Outcome: d.Outcome, Message: "the ticket has expired; get a new one"}
	default:
		return api.CommandResult{}, api.NewRefusal(api.CodeOverloaded, "", "this node holds too many commands").WithRetryAfter(ticket.Validity)
	}
}

func ticketError(err error) *api.Error {
	var bad *ticket.Error
	if errors.As(err, &bad) && bad.Kind == ticket.KindForeign {
		return unknownOutcome(api.CodeOwnerGone, "the ticket belongs to another incarnation of this node")
	}
	return api.NewRefusal(api.CodeTicketInvalid, "Medlarshunt-Ticket", "the ticket was not issued by this node")
}

// runOnce runs the command and records the outcome. It is not cancelled when the caller's connection closes: the
// outcome has to be recorded for a caller that retries with the same ticket.
func (e *Entry) runOnce(ctx context.Context, t ticket.Ticket, c api.Command, budget time.Duration) api.CommandResult {
	ctx = context.WithoutCancel(ctx)
	result := api.CommandResult{RequestID: c.RequestID, Outcome: api.OutcomeUnknown, Code: api.CodeInternal}
	defer func() { e.deps.Tickets.Finish(t, result, time.Now()) }()
	result = e.dispatch(ctx, c, budget)
	e.metrics.countCommand(result.Outcome)
	return result
}

// awaitOutcome waits for the outcome of a command that was started by an earlier request with the same ticket.
func (e *Entry) awaitOutcome(ctx context.Context, entry *ticket.Entry, budget time.Duration) (api.CommandResult, *api.Error) {
	timer := time.NewTimer(budget - answerReserve)
	defer timer.Stop()
	select {
	case <-entry.Done():
		return entry.Result(), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return api.CommandResult{}, unknownOutcome(api.CodeTimeout, "the command is still running; send it again with the same ticket")
}

// dispatch sends the command to one relay. It tries the next relay only while it is proven that the command was sent to
// no target.
func (e *Entry) dispatch(ctx context.Context, c api.Command, budget time.Duration) api.CommandResult {
	deadline := time.Now().Add(budget - answerReserve)
	service, refusal := e.serviceForKey(c)
	if refusal != nil {
		return api.CommandResult{RequestID: c.RequestID, Outcome: api.OutcomeNotRun, Code: refusal.Code, Message: refusal.Message}
	}
	last := api.CommandResult{RequestID: c.RequestID, Outcome: api.OutcomeNotRun, Code: api.CodeUnreachable, Message: "no relay can be reached", Service: service}
	for _, relay := range e.deps.Directory.Relays(c.Group) {
		remaining := time.Until(deadline)
		if remaining < api.MinAttemptBudget {
			break
		}
		req := peer.CommandRequest{Command: c, Service: service, DeadlineUnixMS: time.Now().Add(remaining).UnixMilli()}
		req.TimeoutMS = remaining.Milliseconds()
		last = e.sendCommand(ctx, relay, req, deadline)
		if last.Outcome != api.OutcomeNotRun || last.Code != api.CodeUnreachable && last.Code != api.CodeUnknownGroup {
			break
		}
	}
	return last
}

func (e *Entry) sendCommand(ctx context.Context, relay Relay, req peer.CommandRequest, deadline time.Time) api.CommandResult {
	if relay.Self && e.deps.Local != nil {
		return e.deps.Local.RunCommand(ctx, req, false)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	req.Traceparent = e.deps.Tracing.Inject(ctx)
	var result api.CommandResult
	err := e.deps.Peers.Call(ctx, relay.Address, peer.MethodCommand, req, &result, peer.Confirmed)
	if err == nil {
		return result
	}
	result = api.CommandResult{RequestID: req.Command.RequestID, Service: req.Service, Outcome: api.OutcomeUnknown, Code: api.CodeUnreachable,
		Message: "the relay was lost after the command was handed to it"}
	var failed *peer.Error
	if errors.As(err, &failed) && failed.Kind == peer.FailureNotSent {
		result.Outcome, result.Message = api.OutcomeNotRun, "the relay could not be reached"
	}
	return result
}

// serviceForKey returns the service that holds the command's key in the newest snapshot.
func (e *Entry) serviceForKey(c api.Command) (string, *api.Error) {
	chooser, ok := e.deps.Topology.View().Chooser(c.Group)
	if !ok {
		return "", api.NewRefusal(api.CodeUnknownGroup, "group", "the group is not configured")
	}
	key := api.KeyRange{From: c.Key, To: c.Key + 1}
	choice, ok := chooser.Choose(snapshot.Query{Range: &key}, time.Now())
	if !ok {
		return "", api.NewRefusal(api.CodeNoSnapshot, "key", "no service holds this key")
	}
	if len(choice.Assigned) > 0 {
		return choice.Assigned[0].Service, nil
	}
	return "", api.NewRefusal(api.CodeNoSnapshot, "key", "no service holds this key")
}

// acceptsCommands reports whether the group takes commands.
func acceptsCommands(g *config.Group) bool { return g.Commands }
