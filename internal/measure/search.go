package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

const (
	hitsPerPart = 5
	wantedHits  = 10
)

// searchWidths returns the widths to measure. The width of a search is the number of services that it covers.
func (o Options) searchWidths() []int { return o.sizes(10, 25, 50, 100, 250, 500) }

// searchesPerRun returns the number of searches of one measurement, which falls as the width grows.
func (o Options) searchesPerRun(width int) int { return max(2, 20*o.Count/width) }

func makeHits(n int, r api.KeyRange) []api.Hit {
	out := make([]api.Hit, n)
	for i := range out {
		out[i] = api.Hit{ID: fmt.Sprintf("document-%d-%d", r.From, i), Key: r.From + uint64(i), Score: 1 / float64(i+1),
			Doc: json.RawMessage(`{"name":"a document of usual size","day":"2026-01-01","state":"open"}`)}
	}
	return out
}

// answeredPart returns the part of a service that answered its whole assignment.
func answeredPart(a peer.Assignment) api.Part {
	return api.Part{Service: a.Service, Snapshot: api.Snapshot{IndexVersion: 1, MapVersion: 1}, Ranges: a.Ranges,
		Trace: api.PartTrace{Service: a.Service, Target: a.Service + "-north", Attempts: 1, Millis: 5}}
}

// fakeRelay answers every leg immediately and in full, and runs no commands.
type fakeRelay struct{}

// RunLeg implements entry.LocalRelay.
func (fakeRelay) RunLeg(_ context.Context, req peer.LegRequest) peer.LegResult {
	r := peer.LegResult{Parts: make([]api.Part, len(req.Assignments)), Hits: makeHits(wantedHits, api.KeyRange{})}
	for i, a := range req.Assignments {
		r.Parts[i] = answeredPart(a)
	}
	return r
}

// RunCommand implements entry.LocalRelay.
func (fakeRelay) RunCommand(context.Context, peer.CommandRequest, bool) api.CommandResult {
	return api.CommandResult{Outcome: api.OutcomeNotRun}
}

// singleRelayDirectory is a directory whose only relay is this process.
type singleRelayDirectory struct{}

// Relays implements entry.Directory.
func (singleRelayDirectory) Relays(string) []entry.Relay {
	return []entry.Relay{{NodeID: "self", Self: true}}
}

// Node implements entry.Directory.
func (singleRelayDirectory) Node(string) (string, string, bool) { return "", "", false }

// newTopology returns a topology with the scenario of the given width in force, its document without a canary, and its
// partition map. The latency goal of the scenario's group is long enough for the measured searches, which must be complete.
func newTopology(width int) (*topology.Holder, config.Document, config.PartitionMap, error) {
	d, c := fleet.SmallDeployment(width)
	d.Groups[0].Canary = config.CanaryOff
	h := topology.NewHolder()
	if err := h.SetDocument(d); err != nil {
		return nil, d, config.PartitionMap{}, err
	}
	return h, d, c.Groups[0].Maps[0], h.SetCatalogue(c)
}

func measureEntrySearch(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("services of the search")
	err := o.forEachSize(ctx, o.searchWidths(), func(width int) error {
		h, _, _, err := newTopology(width)
		if err != nil {
			return err
		}
		tracing, err := telemetry.NewTracing(ctx, telemetry.TraceOff, "", "", nil)
		if err != nil {
			return err
		}
		e := entry.New(entry.Config{NodeID: "self"}, entry.Deps{
			Topology: h, Directory: singleRelayDirectory{}, Local: fakeRelay{}, Ready: func() bool { return true },
			Log: logrus.NewEntry(discardLogger()), Tracing: tracing, Metrics: metrics.NewSet(),
		})
		handler, status := e.Handler(), 0
		t.addCost(width, "entry: one search", measureRepeated(o.searchesPerRun(width), func() {
			r := httptest.NewRequest(http.MethodPost, "/v1/groups/records/search", strings.NewReader(`{"query":{"q":"word"},"limit":10}`))
			r.Header.Set("Authorization", "Bearer "+fleet.DemoKey)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			status = w.Code
		}))
		if status != http.StatusOK {
			return eris.Errorf("the search was answered %d", status)
		}
		return nil
	})
	return t.result(), err
}

// fakeTarget answers immediately, or when release is closed if release is not nil.
type fakeTarget struct {
	id      string
	release <-chan struct{}
	hits    []api.Hit // created once, so that their cost does not count as the relay's
}

// Search implements target.Caller.
func (f fakeTarget) Search(ctx context.Context, c target.SearchCall) (target.SearchReply, error) {
	if f.release != nil {
		select {
		case <-f.release:
		case <-ctx.Done():
			return target.SearchReply{}, &target.Error{Kind: target.FailureTimeout, Outcome: api.OutcomeUnknown, Err: ctx.Err()}
		}
	}
	return target.SearchReply{RequestID: c.RequestID, AttemptID: c.AttemptID, Service: c.Service, Snapshot: c.Snapshot,
		Ranges: c.Ranges, Hits: f.hits, Load: target.Load{Incarnation: f.id, IndexVersions: []uint64{1}}}, nil
}

// Command implements target.Caller.
func (f fakeTarget) Command(context.Context, target.CommandCall) (target.CommandReply, error) {
	return target.CommandReply{}, &target.Error{Kind: target.FailureNotSent, Outcome: api.OutcomeNotRun}
}

// Health implements target.Caller.
func (f fakeTarget) Health(context.Context) (target.Health, error) {
	return target.Health{Ready: true, Load: target.Load{Incarnation: f.id, IndexVersions: []uint64{1}}}, nil
}

// Connections implements target.Caller.
func (f fakeTarget) Connections() int { return 1 }

// Close implements target.Caller.
func (f fakeTarget) Close(context.Context) error { return nil }

// noRemoteRelays implements relay.Remotes for a deployment without relays in other failure domains.
type noRemoteRelays struct{}

// Attempt implements relay.Remotes.
func (noRemoteRelays) Attempt(context.Context, string, peer.AttemptRequest) (peer.AttemptResult, error) {
	return peer.AttemptResult{}, &peer.Error{Kind: peer.FailureNotSent, Method: peer.MethodAttempt}
}

// Command implements relay.Remotes.
func (noRemoteRelays) Command(context.Context, string, peer.CommandRequest) (api.CommandResult, error) {
	return api.CommandResult{}, &peer.Error{Kind: peer.FailureNotSent, Method: peer.MethodCommand}
}

// Owns implements relay.Remotes.
func (noRemoteRelays) Owns(string) bool { return false }

// IsReachable implements relay.Remotes.
func (noRemoteRelays) IsReachable(string) bool { return false }

// defaultReplicas is the number of targets of a service in subjects that do not vary it.
const defaultReplicas = 3

// newRelay returns a relay over fake targets, all in its own failure domain, and the assignments of a leg over all
// services. The targets answer when release is closed, or at once if it is nil.
func newRelay(ctx context.Context, width, replicas int, release <-chan struct{}) (*relay.Relay, []peer.Assignment, error) {
	h, d, m, err := newTopology(width)
	if err != nil {
		return nil, nil, err
	}
	for i := range d.Groups[0].Services {
		service := &d.Groups[0].Services[i]
		service.Targets = nil
		for j := range replicas {
			service.Targets = append(service.Targets, config.Target{
				ID: fmt.Sprintf("%s-%d", service.Name, j), Domain: "north", Address: "127.0.0.1:1"})
		}
	}
	d.Groups[0].SlotsPerTarget = 1000 // waiting for a slot depends on the load and is not part of the cost of a leg
	if err := h.SetDocument(d); err != nil {
		return nil, nil, err
	}
	tracing, err := telemetry.NewTracing(ctx, telemetry.TraceOff, "", "", nil)
	if err != nil {
		return nil, nil, err
	}
	charts, err := statechart.NewCharts(metrics.NewSet())
	if err != nil {
		return nil, nil, err
	}
	hitsByTarget := map[string][]api.Hit{}
	for i, a := range m.Assignments {
		for _, t := range d.Groups[0].Services[i].Targets {
			hitsByTarget[t.ID] = makeHits(hitsPerPart, a.Range)
		}
	}
	r := relay.New(relay.Config{Domain: "north", Seed: 1}, relay.Deps{
		Charts: charts, Topology: h, Remotes: noRemoteRelays{}, Guard: quarantine.NewGuard(0), Log: logrus.NewEntry(discardLogger()), Tracing: tracing,
		Metrics: metrics.NewSet(), Dial: func(c target.Config) (target.Caller, error) {
			return fakeTarget{c.ID, release, hitsByTarget[c.ID]}, nil
		},
	})
	var assignments []peer.Assignment
	for _, a := range coverage.Assign(m, nil) {
		assignments = append(assignments, peer.Assignment{Service: a.Service, Ranges: a.Ranges})
	}
	return r, assignments, nil
}

func legRequest(assignments []peer.Assignment, n int) peer.LegRequest {
	return peer.LegRequest{
		Meta: peer.Meta{TimeoutMS: 10_000},
		Search: api.Search{RequestID: fmt.Sprint("request-", n), Caller: "demo-caller", Group: "records",
			Query: json.RawMessage(fmt.Sprintf(`{"q":"word-%d"}`, n)), Limit: wantedHits},
		Snapshot: api.Snapshot{IndexVersion: 1, MapVersion: 1}, Assignments: assignments,
	}
}

func measureRelayLeg(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("services of the leg")
	err := o.forEachSize(ctx, o.searchWidths(), func(width int) error { return measureLeg(ctx, o, t, width, width, defaultReplicas) })
	return t.result(), err
}

// replicasWidth is the number of services of a leg in the subject that varies the number of targets per service.
const replicasWidth = 25

func measureRelayReplicas(ctx context.Context, o Options) ([]Series, error) {
	t := newTable(fmt.Sprintf("targets of each of %d services", replicasWidth))
	err := o.forEachSize(ctx, o.sizes(1, 3, 6, 12, 22), func(size int) error { return measureLeg(ctx, o, t, size, replicasWidth, size) })
	return t.result(), err
}

func measureLeg(ctx context.Context, o Options, t *table, size, width, replicas int) error {
	r, assignments, err := newRelay(ctx, width, replicas, nil)
	if err != nil {
		return err
	}
	defer r.Close(ctx)
	n, incomplete := 0, 0
	t.addCost(size, "relay: one leg", measureRepeated(o.searchesPerRun(width), func() {
		res := r.RunLeg(ctx, legRequest(assignments, n))
		n++
		if res.Refusal != nil || len(res.Hits) != wantedHits {
			incomplete++
		}
	}))
	if incomplete > 0 {
		return eris.Errorf("%d legs were not answered in full", incomplete)
	}
	return nil
}

// measureRelayAttempt measures one attempt that a relay runs for another failure domain.
func measureRelayAttempt(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("services of the group")
	err := o.forEachSize(ctx, o.searchWidths(), func(width int) error {
		r, assignments, err := newRelay(ctx, width, defaultReplicas, nil)
		if err != nil {
			return err
		}
		defer r.Close(ctx)
		leg, failures := legRequest(assignments, 0), 0
		t.addCost(width, "relay: one attempt for another failure domain", measureRepeated(o.Count, func() {
			res := r.RunAttempt(ctx, peer.AttemptRequest{
				Meta: leg.Meta, Search: leg.Search, Snapshot: leg.Snapshot, AttemptID: "attempt", Service: assignments[0].Service,
				Target: assignments[0].Service + "-0", Ranges: assignments[0].Ranges,
			})
			if res.Failure != "" {
				failures++
			}
		}))
		if failures > 0 {
			return eris.Errorf("%d attempts failed", failures)
		}
		return nil
	})
	return t.result(), err
}

// callTimeout is the timeout of measured calls to a target.
const callTimeout = 10 * time.Second
