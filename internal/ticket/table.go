package ticket

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// Retention is how long a record is kept after its ticket has expired, so that a late retry still gets the recorded
// outcome.
const Retention = 5 * time.Minute

// Limits bound the table. When it is full of records whose tickets are still valid, Begin returns Full for new tickets.
type Limits struct {
	Records       int   // number of running and finished commands
	ResponseBytes int64 // total size of the recorded responses
}

// DefaultLimits fit the 64 MB of memory that a node may use for control work.
var DefaultLimits = Limits{Records: 20_000, ResponseBytes: 16 << 20}

// Action says what to do with a presented ticket.
type Action string

// Actions of Begin.
const (
	Run      Action = "run"      // run the command now, then call Finish in every case
	Wait     Action = "wait"     // the command is running: wait for Entry.Done
	Recorded Action = "recorded" // the command finished: answer with Entry.Result
	Reused   Action = "reused"   // the ticket was presented with another command: refuse
	Expired  Action = "expired"  // the ticket has expired and has no record: refuse with Decision.Outcome
	Full     Action = "full"     // no room for a record: refuse, the command was not run
)

// Decision is the result of Begin. Entry is set for Run, Wait and Recorded.
type Decision struct {
	Action Action
	Entry  *Entry
	// Outcome states, for a refused command, whether it ran: OutcomeNotRun for Full and for an expired ticket whose record
	// would still exist; OutcomeUnknown for Reused, and for an expired ticket whose record may have been removed. For Recorded
	// it is the recorded outcome.
	Outcome api.Outcome
}

// Entry is the record of one ticket. Its fields are guarded by the Table's mutex; result may be read without it after
// done is closed, since it does not change any more.
type Entry struct {
	id         uuid.UUID
	hash       CommandHash
	expires    time.Duration
	done       chan struct{}
	isFinished bool
	result     api.CommandResult
}

// Done returns a channel that is closed when the command has finished.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Result returns the recorded result. It must be called only after Done is closed.
func (e *Entry) Result() api.CommandResult { return e.result }

// Table records the tickets that were presented to this incarnation and the outcome of their commands. It is safe for
// concurrent use.
type Table struct {
	clock  *Clock
	limits Limits

	mu               panics.Mutex // guards all fields below
	entries          map[uuid.UUID]*Entry
	finishedByExpiry expiryHeap    // finished entries, first expiry first
	responseBytes    int64         // total size of the recorded responses
	maxRemovedExpiry time.Duration // latest expiry of a ticket whose record was removed
}

// NewTable returns an empty table. The clock must be the one of the Issuer.
func NewTable(clock *Clock, limits Limits) *Table {
	return &Table{clock: clock, limits: limits, entries: make(map[uuid.UUID]*Entry)}
}

// Begin decides what to do with a presented ticket, which must have passed Issuer.Verify. It returns Run at most once
// per ticket. A record takes precedence over expiry.
func (t *Table) Begin(ticket Ticket, hash CommandHash, now time.Time) Decision {
	elapsed := t.clock.Since(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(elapsed)
	if e, ok := t.entries[ticket.ID]; ok {
		return e.decide(hash)
	}
	if elapsed >= ticket.Expires {
		return Decision{Action: Expired, Outcome: t.outcomeWithoutRecord(ticket)}
	}
	if !t.evictForNew(elapsed) {
		return Decision{Action: Full, Outcome: api.OutcomeNotRun}
	}
	e := &Entry{id: ticket.ID, hash: hash, expires: ticket.Expires, done: make(chan struct{})}
	t.entries[ticket.ID] = e
	return Decision{Action: Run, Entry: e}
}

func (e *Entry) decide(hash CommandHash) Decision {
	switch {
	case e.hash != hash:
		return Decision{Action: Reused, Outcome: api.OutcomeUnknown}
	case e.isFinished:
		return Decision{Action: Recorded, Entry: e, Outcome: e.result.Outcome}
	default:
		return Decision{Action: Wait, Entry: e}
	}
}

// outcomeWithoutRecord returns what is known about a ticket that has no record: OutcomeNotRun when its record would still
// exist, and OutcomeUnknown when it may have been removed.
func (t *Table) outcomeWithoutRecord(ticket Ticket) api.Outcome {
	if ticket.Expires <= t.maxRemovedExpiry {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// Finish records the result of a command for which Begin returned Run and closes Done. A second call for the same ticket
// changes nothing and returns false.
func (t *Table) Finish(ticket Ticket, result api.CommandResult, now time.Time) bool {
	elapsed := t.clock.Since(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[ticket.ID]
	if !ok || e.isFinished {
		return false
	}
	e.isFinished, e.result = true, result
	t.responseBytes += int64(len(result.Response))
	heap.Push(&t.finishedByExpiry, e)
	close(e.done)
	t.removeExpired(elapsed)
	return true
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// removeExpired removes finished records whose retention has passed.
func (t *Table) removeExpired(elapsed time.Duration) {
	for len(t.finishedByExpiry) > 0 && elapsed >= t.finishedByExpiry[0].expires+Retention {
		t.removeFirstToExpire()
	}
}

// evictForNew makes room for a new record by removing records of expired tickets before the end of their retention. It
// reports whether a record fits. Records of valid tickets stay: without one, its command could run again.
func (t *Table) evictForNew(elapsed time.Duration) bool {
	for t.isFull() && len(t.finishedByExpiry) > 0 && elapsed >= t.finishedByExpiry[0].expires {
		t.removeFirstToExpire()
	}
	return !t.isFull()
}

func (t *Table) isFull() bool {
	return len(t.entries) >= t.limits.Records || t.responseBytes >= t.limits.ResponseBytes
}

func (t *Table) removeFirstToExpire() {
	e := heap.Pop(&t.finishedByExpiry).(*Entry)
	delete(t.entries, e.id)
	t.responseBytes -= int64(len(e.result.Response))
	t.maxRemovedExpiry = max(t.maxRemovedExpiry, e.expires)
}

// expiryHeap orders entries by expiry.
type expiryHeap []*Entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
