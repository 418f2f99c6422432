package check

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/entry"
)

// Options describe the callers of a test.
type Options struct {
	Dataset *Dataset
	// NodeURLs returns the URLs of the nodes to which the platform's load balancer would send requests now.
	NodeURLs       func() []string
	Key            string
	Group          string
	Timeout        time.Duration // time budget of each request
	Searchers      int
	CommandSenders int // callers that send commands
	HitLimit       int // maximum number of hits of a search
	Seed           uint64
	// RequestIDPrefix starts each request id, so that several Traffic values of one test do not share ids.
	RequestIDPrefix string
	// Pause is the time that a caller waits between two requests; 0 selects defaultPause.
	Pause time.Duration
	// Dial opens the callers' connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Traffic sends searches and commands until it is stopped and checks every answer. mu guards violations and failures.
type Traffic struct {
	opts              Options
	client            *http.Client
	ledger            *Ledger
	stop              context.CancelFunc
	wg                sync.WaitGroup
	lastRequestNumber atomic.Int64

	CompleteSearches atomic.Int64 // searches with complete coverage
	PartialSearches  atomic.Int64 // searches with incomplete coverage
	CommandsRun      atomic.Int64 // commands that ran
	NotReadyRefusals atomic.Int64 // requests that a node refused as not ready; not counted as failures

	mu         sync.Mutex
	violations []error
	failures   []string // requests that were not answered: allowed only under some failures
}

const defaultPause = 5 * time.Millisecond

// transportGrace is how much longer than its time budget a request may take before the caller gives up.
const transportGrace = 3 * time.Second

// StartTraffic starts the callers.
func StartTraffic(opts Options) *Traffic {
	if opts.Pause <= 0 {
		opts.Pause = defaultPause
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Traffic{opts: opts, stop: cancel, ledger: NewLedger(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DialContext: opts.Dial}}}
	for i := range opts.Searchers {
		t.wg.Go(func() { t.runCaller(ctx, uint64(i), t.search) })
	}
	for i := range opts.CommandSenders {
		t.wg.Go(func() { t.runCaller(ctx, uint64(1000+i), t.command) })
	}
	return t
}

// runCaller sends requests until ctx ends. Each stream has its own sequence of random numbers.
func (t *Traffic) runCaller(ctx context.Context, stream uint64, send func(*rand.Rand)) {
	rnd := rand.New(rand.NewPCG(t.opts.Seed, stream))
	for ctx.Err() == nil {
		if len(t.opts.NodeURLs()) > 0 {
			send(rnd)
		}
		select {
		case <-time.After(t.opts.Pause):
		case <-ctx.Done():
		}
	}
}

// Stop ends the callers after their current request.
func (t *Traffic) Stop() {
	t.stop()
	t.wg.Wait()
	t.client.CloseIdleConnections()
}

// Verify returns all violations of R1 to R5. Call it after Stop. Ledger.Verify describes the parameters.
func (t *Traffic) Verify(runs func(requestID string) int, lostTargets ...string) []error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(t.violations, t.ledger.Verify(runs, lostTargets...)...)
}

// Failures returns the requests that failed or whose outcome stayed unknown.
func (t *Traffic) Failures() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.failures...)
}

func (t *Traffic) addViolation(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, err)
}

func (t *Traffic) addFailure(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

func (t *Traffic) pickNode(rnd *rand.Rand) string {
	nodes := t.opts.NodeURLs()
	if len(nodes) == 0 {
		return "http://127.0.0.1:1" // nothing listens there: the request fails, as with a load balancer without nodes
	}
	return nodes[rnd.IntN(len(nodes))]
}

// smallHitLimit is the hit limit of every third search. Most of these searches have more hits, so that the merge and the
// truncated flag are checked too.
const smallHitLimit = 20

func (t *Traffic) search(rnd *rand.Rand) {
	n := t.lastRequestNumber.Add(1)
	s := SearchRequest{RequestID: fmt.Sprintf("%s-s%d", t.opts.RequestIDPrefix, n), Limit: t.opts.HitLimit,
		Query: json.RawMessage(fmt.Sprintf(`{"q":"%s-%d"}`, t.opts.RequestIDPrefix, n))}
	if n%3 == 0 {
		s.Limit = min(s.Limit, smallHitLimit)
	}
	if n%4 == 0 { // a search of a part of the key space that spans services
		from := rnd.Uint64N(api.KeySpaceEnd / 2)
		s.Range = &api.KeyRange{From: from, To: from + 1 + rnd.Uint64N(api.KeySpaceEnd/2)}
	}
	body := entry.SearchBody{Query: s.Query, Limit: &s.Limit, Range: s.Range}
	var a api.Answer
	err := t.post(t.pickNode(rnd)+"/v1/groups/"+t.opts.Group+"/search", s.RequestID, "", body, &a)
	var refused *api.Error
	switch {
	case errors.As(err, &refused):
		if refused.Outcome == api.OutcomeNotRun {
			t.ledger.RecordRefusedSearch(s.RequestID, refused.Code)
		}
		if refused.Code == api.CodeNotReady {
			t.NotReadyRefusals.Add(1) // the next search of this caller replaces it
			return
		}
		t.addFailure("search %s refused: %v", s.RequestID, refused)
	case err != nil:
		t.addFailure("search %s failed: %v", s.RequestID, err)
	default:
		if err := t.opts.Dataset.CheckAnswer(s, a); err != nil {
			t.addViolation(eris.Wrapf(err, "search %s, snapshot %+v, coverage %+v", s.RequestID, a.Snapshot, a.Coverage))
		}
		if a.Coverage.Complete {
			t.CompleteSearches.Add(1)
		} else {
			t.PartialSearches.Add(1)
		}
	}
}

// maxPresentations is how many times a caller sends a command under its ticket while the outcome is unknown.
const maxPresentations = 3

func (t *Traffic) command(rnd *rand.Rand) {
	n := t.lastRequestNumber.Add(1)
	id := fmt.Sprintf("%s-c%d", t.opts.RequestIDPrefix, n)
	key := rnd.Uint64N(api.KeySpaceEnd)
	body := entry.CommandBody{Key: &key, Body: json.RawMessage(fmt.Sprintf(`{"c":"%s"}`, id))}
	path := "/v1/groups/" + t.opts.Group + "/commands"
	var offered *api.Error
	err := t.post(t.pickNode(rnd)+path, id, "", body, nil)
	if errors.As(err, &offered) && offered.Code == api.CodeNotReady {
		t.NotReadyRefusals.Add(1)
		return
	}
	if offered == nil || offered.Ticket == "" {
		t.addFailure("no ticket for command %s: %v", id, err)
		return
	}
	for range maxPresentations {
		reply, text := t.present(t.pickNode(rnd)+path, id, offered.Ticket, body)
		t.ledger.RecordCommand(id, reply)
		if reply.Outcome == api.OutcomeRan {
			t.CommandsRun.Add(1)
			return
		}
		if reply.Outcome == api.OutcomeNotRun {
			t.addFailure("command %s not run: %s", id, text)
			return
		}
		t.addFailure("command %s unknown: %s", id, text)
		time.Sleep(20 * time.Millisecond)
	}
}

// present sends a command under its ticket and returns the reply and its message. A lost connection leaves the outcome
// unknown.
func (t *Traffic) present(url, id, ticket string, body entry.CommandBody) (CommandReply, string) {
	var r api.CommandResult
	err := t.post(url, id, ticket, body, &r)
	var refused *api.Error
	switch {
	case errors.As(err, &refused):
		return CommandReply{Outcome: refused.Outcome, Code: refused.Code}, refused.Error()
	case err != nil:
		return CommandReply{Outcome: api.OutcomeUnknown}, err.Error()
	}
	var done struct{ Done string }
	if json.Unmarshal(r.Response, &done) != nil || r.RequestID != id || done.Done != id {
		t.addViolation(eris.Errorf("R3: command %s got the response %s of request %s", id, r.Response, r.RequestID))
	}
	return CommandReply{Outcome: r.Outcome, Code: r.Code, Target: r.Target}, r.Message
}

// post sends one request. The error is an *api.Error when the tier refused it.
func (t *Traffic) post(url, requestID, ticket string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.opts.Timeout+transportGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+t.opts.Key)
	req.Header.Set(entry.HeaderTimeout, strconv.FormatInt(t.opts.Timeout.Milliseconds(), 10))
	req.Header.Set(entry.HeaderRequestID, requestID)
	if ticket != "" {
		req.Header.Set(entry.HeaderTicket, ticket)
	}
	req.GetBody = nil // prevents net/http from retrying the request
	resp, err := t.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refused := &api.Error{}
		if err := json.NewDecoder(resp.Body).Decode(refused); err != nil {
			return eris.Wrapf(err, "decode status %d", resp.StatusCode)
		}
		return refused
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode answer")
}
