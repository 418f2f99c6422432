package relay_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// fakeTarget is a target in virtual time. mu guards the fields below it.
type fakeTarget struct {
	id string

	mu           sync.Mutex
	latency      time.Duration
	failure      *target.Error // result of each call after latency
	indexVersion uint64        // index version of the replies; 0 for the one asked for
	crashes      bool          // the next call crashes the target
	panics       bool          // calls panic in this process
	fakeCounts
}

type fakeCounts struct{ searches, commands, cancelled, inFlight, crashed int }

func (f *fakeTarget) counts() fakeCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fakeCounts
}

var errConnectionRefused = &target.Error{Kind: target.FailureNotSent, Outcome: api.OutcomeNotRun, Err: syscall.ECONNREFUSED}

func (f *fakeTarget) update(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTarget) begin(count *int) (time.Duration, *target.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil && f.failure.Kind == target.FailureNotSent {
		return 0, f.failure
	}
	*count++
	f.inFlight++
	// The latency varies a little; a constant one would equal the hedge delay.
	jitter := time.Duration(*count%5) * fakeJitter
	return f.latency + jitter, f.failure
}

func (f *fakeTarget) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}

func (f *fakeTarget) isPanicking() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.panics
}

func (f *fakeTarget) run(ctx context.Context, count *int) error {
	latency, failure := f.begin(count)
	if failure != nil && failure.Kind == target.FailureNotSent {
		return failure
	}
	defer f.end()
	if f.isPanicking() {
		panic("fake target")
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		f.update(func(f *fakeTarget) { f.cancelled++ })
		return &target.Error{Kind: target.FailureTimeout, Outcome: api.OutcomeUnknown, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.crashes:
		f.failure = errConnectionRefused
		f.crashed++
		return &target.Error{Kind: target.FailureConnectionLost, Outcome: api.OutcomeUnknown}
	case f.failure != nil:
		return f.failure
	}
	return nil
}

func (f *fakeTarget) load() target.Load {
	return target.Load{Incarnation: f.id + "-1"}
}

func (f *fakeTarget) Search(ctx context.Context, c target.SearchCall) (target.SearchReply, error) {
	if err := f.run(ctx, &f.searches); err != nil {
		return target.SearchReply{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot := c.Snapshot
	if f.indexVersion != 0 {
		snapshot.IndexVersion = f.indexVersion
	}
	hit := api.Hit{ID: c.Service, Key: c.Ranges[0].From, Score: 1}
	return target.SearchReply{RequestID: c.RequestID, AttemptID: c.AttemptID, Service: c.Service, Snapshot: snapshot, Ranges: c.Ranges, Hits: []api.Hit{hit}, Load: f.load()}, nil
}

func (f *fakeTarget) Command(ctx context.Context, c target.CommandCall) (target.CommandReply, error) {
	if err := f.run(ctx, &f.commands); err != nil {
		return target.CommandReply{}, err
	}
	return target.CommandReply{RequestID: c.RequestID, AttemptID: c.AttemptID, Service: c.Service, Response: json.RawMessage(`{}`), Load: f.load()}, nil
}

func (f *fakeTarget) Health(context.Context) (target.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil && f.failure.Kind == target.FailureNotSent {
		return target.Health{}, f.failure
	}
	return target.Health{Ready: true, Load: f.load()}, nil
}

func (f *fakeTarget) Connections() int              { return 1 }
func (f *fakeTarget) Close(_ context.Context) error { return nil }

// fakeRemotes calls the targets of other failure domains as a relay there would.
type fakeRemotes struct {
	harness *harness
	hop     time.Duration
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r fakeRemotes) Attempt(ctx context.Context, _ string, req peer.AttemptRequest) (peer.AttemptResult, error) {
	sleep(ctx, r.hop)
	reply, err := r.harness.targets[req.Target].Search(ctx, target.SearchCall{
		RequestID: req.Search.RequestID, AttemptID: req.AttemptID, Service: req.Service, Snapshot: req.Snapshot, Ranges: req.Ranges,
	})
	sleep(ctx, r.hop)
	if ctx.Err() != nil {
		return peer.AttemptResult{}, &peer.Error{Kind: peer.FailureTimeout, Method: peer.MethodAttempt, Err: ctx.Err()}
	}
	if err != nil {
		failed := err.(*target.Error)
		died := failed.Kind == target.FailureConnectionLost && r.harness.targets[req.Target].crashes
		return peer.AttemptResult{Failure: peer.Failure(failed.Kind), Outcome: failed.Outcome, Died: died}, nil
	}
	return peer.AttemptResult{Outcome: api.OutcomeRan, Snapshot: reply.Snapshot, Ranges: reply.Ranges, Hits: reply.Hits, Load: &reply.Load}, nil
}

func (r fakeRemotes) Command(ctx context.Context, _ string, req peer.CommandRequest) (api.CommandResult, error) {
	for _, s := range r.harness.document.Groups[0].Services {
		for _, t := range s.Targets {
			if s.Name == req.Service && t.Domain == "east" {
				if _, err := r.harness.targets[t.ID].Command(ctx, target.CommandCall{Service: req.Service}); err != nil {
					return api.CommandResult{Outcome: err.(*target.Error).Outcome, Code: api.CodeUnreachable}, nil
				}
				return api.CommandResult{Outcome: api.OutcomeRan, Target: t.ID}, nil
			}
		}
	}
	return api.CommandResult{Outcome: api.OutcomeNotRun, Code: api.CodeUnreachable}, nil
}

func (fakeRemotes) Owns(string) bool { return true }

func (fakeRemotes) IsReachable(string) bool { return true }

// harness is a relay in failure domain north with fake targets.
type harness struct {
	g            *WithT
	document     config.Document
	partitionMap config.PartitionMap
	targets      map[string]*fakeTarget
	relay        *relay.Relay
	guard        *quarantine.Guard
	holder       *topology.Holder
	chartMetrics *metrics.Set
}

const (
	fakeLatency  = 5 * time.Millisecond
	fakeHopDelay = 4 * time.Millisecond
	fakeJitter   = 100 * time.Microsecond
)

func newHarness(t *testing.T, services int, change func(*config.Group), options ...func(*relay.Deps)) *harness {
	h := &harness{g: NewWithT(t), targets: map[string]*fakeTarget{}, guard: quarantine.NewGuard(0), holder: topology.NewHolder()}
	d, c := fleet.SmallDeployment(services)
	if change != nil {
		change(&d.Groups[0])
	}
	h.document, h.partitionMap = d, c.Groups[0].Maps[0]
	for _, s := range d.Groups[0].Services {
		for _, t := range s.Targets {
			h.targets[t.ID] = &fakeTarget{id: t.ID, latency: fakeLatency}
		}
	}
	h.g.Expect(h.holder.SetDocument(d)).To(Succeed())
	h.g.Expect(h.holder.SetCatalogue(c)).To(Succeed())
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.chartMetrics = metrics.NewSet()
	charts, err := statechart.NewCharts(h.chartMetrics)
	h.g.Expect(err).NotTo(HaveOccurred())
	tracing, err := telemetry.NewTracing(t.Context(), telemetry.TraceOff, "", "", nil)
	h.g.Expect(err).NotTo(HaveOccurred())
	deps := relay.Deps{
		Charts: charts, Topology: h.holder, Remotes: fakeRemotes{h, fakeHopDelay}, Guard: h.guard, Log: logrus.NewEntry(log), Tracing: tracing, Metrics: metrics.NewSet(),
		Dial: func(c target.Config) (target.Caller, error) { return h.targets[c.ID], nil },
	}
	for _, option := range options {
		option(&deps)
	}
	h.relay = relay.New(relay.Config{Domain: "north", Seed: 1}, deps)
	return h
}

func (h *harness) close() { h.relay.Close(context.Background()) }

func (h *harness) leg(query string, timeout time.Duration) peer.LegRequest {
	req := peer.LegRequest{
		Search:   api.Search{RequestID: "r", Caller: "demo-caller", Group: "records", Query: json.RawMessage(query), Limit: 100},
		Snapshot: api.Snapshot{IndexVersion: 1, MapVersion: 1},
	}
	req.TimeoutMS = timeout.Milliseconds()
	for _, a := range coverage.Assign(h.partitionMap, nil) {
		req.Assignments = append(req.Assignments, peer.Assignment{Service: a.Service, Ranges: a.Ranges})
	}
	return req
}

// warmUp runs searches until the latency estimators have enough samples.
func (h *harness) warmUp() {
	for range 30 {
		res := h.relay.RunLeg(context.Background(), h.leg(`"warm"`, time.Second))
		h.g.Expect(res.Refusal).To(BeNil())
	}
}

func missing(res peer.LegResult) map[string]api.MissingReason {
	found := map[string]api.MissingReason{}
	for _, p := range res.Parts {
		if !p.Answered() {
			found[p.Service] = p.Reason
		}
	}
	return found
}

func (h *harness) command(timeout time.Duration) api.CommandResult {
	req := peer.CommandRequest{Command: api.Command{RequestID: "c", Group: "records", Key: 1, Body: json.RawMessage(`"book"`)}, Service: "records-00"}
	req.TimeoutMS = timeout.Milliseconds()
	req.DeadlineUnixMS = time.Now().Add(timeout).UnixMilli()
	return h.relay.RunCommand(context.Background(), req, false)
}

// crashed returns the number of targets that crashed.
func (h *harness) crashed() (n int) {
	for _, f := range h.targets {
		n += f.counts().crashed
	}
	return n
}

func (h *harness) commandRuns() int {
	n := 0
	for _, t := range h.targets {
		n += t.counts().commands
	}
	return n
}
