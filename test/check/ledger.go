package check

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Ledger records the outcomes that callers were told for their requests. mu guards both maps.
type Ledger struct {
	mu       sync.Mutex
	commands map[string][]CommandReply // by request id
	refused  map[string]api.Code       // searches that were refused as not run, by request id
}

// CommandReply is one reply to a command that was sent under its ticket.
type CommandReply struct {
	Outcome api.Outcome
	Code    api.Code
	Target  string // the target that ran the command, when the reply names one
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{commands: map[string][]CommandReply{}, refused: map[string]api.Code{}}
}

// RecordCommand records a reply to a command. A command that is sent again under its ticket keeps its request id.
func (l *Ledger) RecordCommand(requestID string, r CommandReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands[requestID] = append(l.commands[requestID], r)
}

// RecordRefusedSearch records a search whose refusal says that it was not run.
func (l *Ledger) RecordRefusedSearch(requestID string, code api.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[requestID] = code
}

// Verify compares the recorded outcomes with the runs at all targets and returns each violation of R4 and R5. lostTargets
// are the ids of targets whose process ended and took its run counts with it: a command that one of them answered counts as
// one run there.
func (l *Ledger) Verify(runs func(requestID string) int, lostTargets ...string) []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var violations []error
	for id, replies := range l.commands {
		if err := verifyCommand(replies, runs(id)+runsAtLostTargets(replies, lostTargets)); err != nil {
			violations = append(violations, eris.Wrapf(err, "command %s", id))
		}
	}
	for id, code := range l.refused {
		if n := runs(id); n > 0 {
			violations = append(violations, eris.Errorf("R4: search %s was refused as not run (%s) and has %d runs", id, code, n))
		}
	}
	return violations
}

// runsAtLostTargets returns 1 when one of the lost targets ran the command, otherwise 0.
func runsAtLostTargets(replies []CommandReply, lostTargets []string) int {
	for _, t := range replies {
		if t.Outcome == api.OutcomeRan && slices.Contains(lostTargets, t.Target) {
			return 1
		}
	}
	return 0
}

// verifyCommand checks one command. The callers of the tests send a command again under its ticket, so a later "not run" is
// about the same command as an earlier "unknown".
func verifyCommand(replies []CommandReply, runs int) error {
	if runs > 1 {
		return eris.Errorf("R5: command ran %d times; replies %v", runs, replies)
	}
	for _, t := range replies {
		switch {
		case t.Outcome == api.OutcomeRan && runs != 1:
			return eris.Errorf("R4: caller was told that the command ran, it has %d runs; replies %v", runs, replies)
		case t.Outcome == api.OutcomeNotRun && runs != 0:
			return eris.Errorf("R4: caller was told that the command was not run, it has %d runs; replies %v", runs, replies)
		}
	}
	return nil
}
