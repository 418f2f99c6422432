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

// widths are the numbers of services of one search.
func (o Options) widths() []int { return o.sizes(10, 25, 50, 100, 250, 500) }

// perWidth is the number of searches of one measurement: fewer of the wide ones.
func (o Options) perWidth(width int) int { return max(2, 20*o.Count/width) }

func hits(n int, r api.KeyRange) []api.Hit {
	out := make([]api.Hit, n)
	for i := range out {
		out[i] = api.Hit{ID: fmt.Sprintf("document-%d-%d", r.From, i), Key: r.From + uint64(i), Score: 1 / float64(i+1),
			Doc: json.RawMessage(`{"name":"a document of usual size","day":"2026-01-01","state":"open"}`)}
	}
	return out
}

// answered is the part that a service answers in full.
func answered(a peer.Assignment) api.Part {
	return api.Part{Service: a.Service, Snapshot: api.Snapshot{IndexVersion: 1, MapVersion: 1}, Ranges: a.Ranges,
		Trace: api.PartTrace{Service: a.Service, Target: a.Service + "-north", Attempts: 1, Millis: 5}}
}

// fakeRelay answers a leg at once.
type fakeRelay struct{}

// RunLeg implements entry.LocalRelay.
func (fakeRelay) RunLeg(_ context.Context, req peer.LegRequest) peer.LegResult {
	r := peer.LegResult{Parts: make([]api.Part, len(req.Assignments)), Hits: hits(wantedHits, api.KeyRange{})}
	for i, a := range req.Assignments {
		r.Parts[i] = answered(a)
	}
	return r
}

// RunCommand implements entry.LocalRelay.
func (fakeRelay) RunCommand(context.Context, peer.CommandRequest, bool) api.CommandResult {
	return api.CommandResult{Outcome: api.NotRun}
}

// oneRelay is a directory with this process as the only relay.
type oneRelay struct{}

// Relays implements entry.Directory.
func (oneRelay) Relays(string) []entry.Relay { return []entry.Relay{{NodeID: "self", Self: true}} }

// Node implements entry.Directory.
func (oneRelay) Node(string) (string, string, bool) { return "", "", false }

// inForce returns the topology of the scenario at a width. The latency goal of its group is long, as the measured
// searches must be complete.
func inForce(width int) (*topology.Holder, config.Document, config.PartitionMap, error) {
	d, c := fleet.Scenario(width)
	d.Groups[0].Canary = config.CanaryOff
	h := topology.NewHolder()
	if err := h.SetDocument(d); err != nil {
		return nil, d, config.PartitionMap{}, err
	}
	return h, d, c.Groups[0].Maps[0], h.SetCatalogue(c)
}

func entrySearch(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("services of the search")
	err := o.each(ctx, o.widths(), func(width int) error {
		h, _, _, err := inForce(width)
		if err != nil {
			return err
		}
		tracing, err := telemetry.NewTracing(ctx, telemetry.TraceOff, "", "", nil)
		if err != nil {
			return err
		}
		e := entry.New(entry.Config{NodeID: "self"}, entry.Deps{
			Topology: h, Directory: oneRelay{}, Local: fakeRelay{}, Ready: func() bool { return true },
			Log: logrus.NewEntry(quiet()), Tracing: tracing, Metrics: metrics.NewSet(),
		})
		handler, status := e.Handler(), 0
		t.addCost(width, "entry: one search", repeat(o.perWidth(width), func() {
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

// fakeTarget answers at once, or when hold is closed.
type fakeTarget struct {
	id   string
	hold <-chan struct{}
	hits []api.Hit // made once, so that their cost does not count as the relay's
}

// Search implements target.Caller.
func (f fakeTarget) Search(ctx context.Context, c target.SearchCall) (target.SearchReply, error) {
	if f.hold != nil {
		select {
		case <-f.hold:
		case <-ctx.Done():
			return target.SearchReply{}, &target.Error{Kind: target.FailureTimeout, Outcome: api.Unknown, Err: ctx.Err()}
		}
	}
	return target.SearchReply{RequestID: c.RequestID, AttemptID: c.AttemptID, Service: c.Service, Snapshot: c.Snapshot,
		Ranges: c.Ranges, Hits: f.hits, Load: target.Load{Incarnation: f.id, IndexVersions: []uint64{1}}}, nil
}

// Command implements target.Caller.
func (f fakeTarget) Command(context.Context, target.CommandCall) (target.CommandReply, error) {
	return target.CommandReply{}, &target.Error{Kind: target.FailureNotSent, Outcome: api.NotRun}
}

// Health implements target.Caller.
func (f fakeTarget) Health(context.Context) (target.Health, error) {
	return target.Health{Ready: true, Load: target.Load{Incarnation: f.id, IndexVersions: []uint64{1}}}, nil
}

// Connections implements target.Caller.
func (f fakeTarget) Connections() int { return 1 }

// Close implements target.Caller.
func (f fakeTarget) Close(context.Context) error { return nil }

// noRemotes has no relay in another failure domain.
type noRemotes struct{}

// Attempt implements relay.Remotes.
func (noRemotes) Attempt(context.Context, string, peer.AttemptRequest) (peer.AttemptResult, error) {
	return peer.AttemptResult{}, &peer.Error{Kind: peer.FailureNotSent, Method: peer.MethodAttempt}
}

// Command implements relay.Remotes.
func (noRemotes) Command(context.Context, string, peer.CommandRequest) (api.CommandResult, error) {
	return api.CommandResult{}, &peer.Error{Kind: peer.FailureNotSent, Method: peer.MethodCommand}
}

// Owns implements relay.Remotes.
func (noRemotes) Owns(string) bool { return false }

func (noRemotes) Reaches(string) bool { return false }

// usualReplicas is the number of targets of a service where it does not vary.
const usualReplicas = 3

// newRelay makes a relay over fake targets, all in its own failure domain.
func newRelay(ctx context.Context, width, replicas int, hold <-chan struct{}) (*relay.Relay, []peer.Assignment, error) {
	h, d, m, err := inForce(width)
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
	d.Groups[0].SlotsPerTarget = 1000 // the cost of waiting for a slot belongs to the load, not to a leg
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
	found := map[string][]api.Hit{}
	for i, a := range m.Assignments {
		for _, t := range d.Groups[0].Services[i].Targets {
			found[t.ID] = hits(hitsPerPart, a.Range)
		}
	}
	r := relay.New(relay.Config{Domain: "north", Seed: 1}, relay.Deps{
		Charts: charts, Topology: h, Remotes: noRemotes{}, Guard: quarantine.NewGuard(0), Log: logrus.NewEntry(quiet()), Tracing: tracing,
		Metrics: metrics.NewSet(), Dial: func(c target.Config) (target.Caller, error) { return fakeTarget{c.ID, hold, found[c.ID]}, nil },
	})
	var assigned []peer.Assignment
	for _, a := range coverage.Assign(m, nil) {
		assigned = append(assigned, peer.Assignment{Service: a.Service, Ranges: a.Ranges})
	}
	return r, assigned, nil
}

func legRequest(assigned []peer.Assignment, n int) peer.LegRequest {
	return peer.LegRequest{
		Meta: peer.Meta{TimeoutMS: 10_000},
		Search: api.Search{RequestID: fmt.Sprint("request-", n), Caller: "demo-caller", Group: "records",
			Query: json.RawMessage(fmt.Sprintf(`{"q":"word-%d"}`, n)), Limit: wantedHits},
		Snapshot: api.Snapshot{IndexVersion: 1, MapVersion: 1}, Assignments: assigned,
	}
}

func relayLeg(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("services of the leg")
	err := o.each(ctx, o.widths(), func(width int) error { return measureLeg(ctx, o, t, width, width, usualReplicas) })
	return t.result(), err
}

// replicasWidth is the width at which the number of targets of a service varies.
const replicasWidth = 25

func relayReplicas(ctx context.Context, o Options) ([]Series, error) {
	t := newTable(fmt.Sprintf("targets of each of %d services", replicasWidth))
	err := o.each(ctx, o.sizes(1, 3, 6, 12, 22), func(size int) error { return measureLeg(ctx, o, t, size, replicasWidth, size) })
	return t.result(), err
}

func measureLeg(ctx context.Context, o Options, t *table, size, width, replicas int) error {
	r, assigned, err := newRelay(ctx, width, replicas, nil)
	if err != nil {
		return err
	}
	defer r.Close(ctx)
	n, incomplete := 0, 0
	t.addCost(size, "relay: one leg", repeat(o.perWidth(width), func() {
		res := r.RunLeg(ctx, legRequest(assigned, n))
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

// relayAttempt measures one attempt that another failure domain asks for.
func relayAttempt(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("services of the group")
	err := o.each(ctx, o.widths(), func(width int) error {
		r, assigned, err := newRelay(ctx, width, usualReplicas, nil)
		if err != nil {
			return err
		}
		defer r.Close(ctx)
		leg, failed := legRequest(assigned, 0), 0
		t.addCost(width, "relay: one attempt for another failure domain", repeat(o.Count, func() {
			res := r.RunAttempt(ctx, peer.AttemptRequest{
				Meta: leg.Meta, Search: leg.Search, Snapshot: leg.Snapshot, AttemptID: "attempt", Service: assigned[0].Service,
				Target: assigned[0].Service + "-0", Ranges: assigned[0].Ranges,
			})
			if res.Failure != "" {
				failed++
			}
		}))
		if failed > 0 {
			return eris.Errorf("%d attempts failed", failed)
		}
		return nil
	})
	return t.result(), err
}

// callTimeout is the time limit of the calls of the measurements.
const callTimeout = 10 * time.Second
