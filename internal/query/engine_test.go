package query_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

const (
	shards      = 4
	replicas    = 2
	host        = "x.example"
	serviceTime = 2 * time.Millisecond
	headerLimit = 4000
)

// fixture is an engine with simulated targets.
type fixture struct {
	t            testing.TB
	g            *WithT
	engine       *query.Engine
	crashCounter *quarantine.CrashCounter
	log          *bytes.Buffer
	stopped      chan struct{}               // closed when a panic stops the process
	targets      map[string]*shardsim.Target // by id
	view         *published.View
	sent         int

	dialsMu sync.Mutex // guards dials
	dials   map[string]int
}

// dial connects to a target and counts the connections to each address.
func (f *fixture) dial(ctx context.Context, address string) (net.Conn, error) {
	f.dialsMu.Lock()
	f.dials[address]++
	f.dialsMu.Unlock()
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// maxDials returns the largest number of connections that were opened to one target.
func (f *fixture) maxDials() (most int) {
	f.dialsMu.Lock()
	defer f.dialsMu.Unlock()
	for _, n := range f.dials {
		most = max(most, n)
	}
	return most
}

func newFixture(t testing.TB, change func(*routing.Configuration)) *fixture {
	f := &fixture{t: t, g: NewWithT(t), crashCounter: quarantine.NewCrashCounter(), log: &bytes.Buffer{}, stopped: make(chan struct{}), targets: map[string]*shardsim.Target{}, dials: map[string]int{}}
	set := metrics.NewSet()
	charts, err := statechart.NewCharts(set)
	f.g.Expect(err).NotTo(HaveOccurred())
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(t.Output())
	}
	f.engine = query.New(query.Config{
		Domain: "north", Regions: map[string]string{"north": "r", "south": "s"}, Budget: query.RetryBudget{Ratio: 0.5, Slack: 50},
		ResponseMemoryBytes: 8 << 20,
	}, query.Deps{Codec: markedCodec{}, Panics: panics.New(logrus.NewEntry(log), set, func() { close(f.stopped) }), CrashCounter: f.crashCounter, Charts: charts, Log: logrus.NewEntry(log), Metrics: set, Dial: f.dial})
	t.Cleanup(f.engine.Close)
	c := configuration()
	if change != nil {
		change(c)
	}
	f.g.Expect(c.Validate()).To(Succeed())
	f.view = &published.View{Table: routing.NewTable(c), Targets: map[string][]published.Target{}}
	for _, s := range c.Services {
		for i := range replicas {
			f.addTarget(s.Name, i)
		}
	}
	f.engine.Update(f.view)
	return f
}

// configuration returns a configuration with a gathering route, an idempotent and a non-idempotent route to one service, and
// a split.
func configuration() *routing.Configuration {
	c := &routing.Configuration{Version: 3, Limits: routing.Limits{BodyBytes: 1000, HeaderBytes: headerLimit}}
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	for _, name := range append(slices.Clone(names), "single", "other") {
		c.Services = append(c.Services, routing.Service{Name: name, MaxConnections: 20})
	}
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, MaxTargets: 2, Timeout: 2 * time.Second, LatencyGoal: 400 * time.Millisecond,
		}
	}
	all, one, book, split := route("all", routing.Idempotent), route("one", routing.Idempotent), route("book", routing.NonIdempotent), route("split", routing.NonIdempotent)
	all.Gather, all.TopK, all.MinShare = names, 5, 0.75
	one.Service, book.Service = "single", "single"
	split.Split = []routing.WeightedService{{Service: "single", Weight: 1}, {Service: "other", Weight: 1}}
	c.Routes = []routing.Route{all, one, book, split}
	return c
}

func targetID(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }

func (f *fixture) addTarget(service string, i int) {
	target := shardsim.New(shardsim.Config{ID: targetID(service, i), Service: service, Slots: 4, ServiceTime: serviceTime})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	go target.Serve(l)
	f.t.Cleanup(target.Close)
	f.targets[targetID(service, i)] = target
	f.view.Targets[service] = append(f.view.Targets[service], published.Target{
		ID: targetID(service, i), Service: service, Address: l.Addr().String(), Domain: []string{"north", "south"}[i], Slots: 4,
	})
}

func (f *fixture) request(path string) *query.Request {
	f.sent++
	return &query.Request{
		ID: fmt.Sprintf("r%d", f.sent), Method: "GET", Host: host, Path: path, URI: path + "?q=1",
		Header: map[string][]string{"X-Request-Id": {fmt.Sprintf("r%d", f.sent)}}, TimeLeft: 2500 * time.Millisecond, Arrived: time.Now(),
	}
}

func (f *fixture) serve(path string) (*query.Request, query.Answer) {
	r := f.request(path)
	return r, f.engine.Serve(context.Background(), r)
}

// mustServe sends n requests and expects each to be served. Their first attempts fill the retry budgets, which start empty.
func (f *fixture) mustServe(path string, n int) {
	for range n {
		_, a := f.serve(path)
		f.g.Expect(a.Status).To(Equal(query.Served), a.Reason)
	}
}

// runs returns how often a request has run on all targets together.
func (f *fixture) runs(requestID string) (n int) {
	for _, t := range f.targets {
		for _, run := range t.Runs() {
			if run.ID == requestID {
				n++
			}
		}
	}
	return n
}

// setServiceFaults sets the faults of all targets of a service.
func (f *fixture) setServiceFaults(service string, faults shardsim.Faults) {
	for i := range replicas {
		f.targets[targetID(service, i)].SetFaults(faults)
	}
}

// expectedBody returns the correct answer to a gathered request from the targets named by the signatures.
func (f *fixture) expectedBody(requestID string, signatures []string) string {
	var records []string
	for _, s := range signatures {
		name := strings.TrimSuffix(s, "."+requestID)
		body := f.targets[name].Body(requestID)
		for ; len(body) >= shardsim.RecordBytes; body = body[shardsim.RecordBytes:] {
			records = append(records, string(body[:shardsim.RecordBytes]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	return strings.Join(records[:min(5, len(records))], "")
}

// Guards against a gathered answer whose records are not the greatest of exactly the parts that it names.
func TestGatherReturnsTopRecordsOfItsParts(t *testing.T) {
	f := newFixture(t, nil)
	for range 20 {
		r, a := f.serve("/all/x")
		f.g.Expect(a.Status).To(Equal(query.Served))
		f.g.Expect(a.Gathered.Missing).To(BeZero())
		f.g.Expect(a.Gathered.Signatures).To(HaveLen(shards))
		f.g.Expect(string(a.Gathered.Body)).To(Equal(f.expectedBody(r.ID, a.Gathered.Signatures)))
	}
}

// Guards against requests that reach targets modified, with a deadline beyond the time that is left, or not at all.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	f := newFixture(t, nil)
	r := f.request("/book/a%20b")
	r.Method, r.Body = "POST", []byte("some body")
	a := f.engine.Serve(context.Background(), r)
	f.g.Expect(a.Status).To(Equal(query.Served))
	f.g.Expect(a.Reply.Signature).NotTo(BeEmpty())
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			f.g.Expect(run.URI).To(Equal("/book/a%20b?q=1"))
			f.g.Expect(run.Method + " " + run.Body).To(Equal("POST some body"))
			f.g.Expect(run.Deadline).To(MatchRegexp(`^(1\d\d\d|2000)$`), "the route's own limit is shorter than the caller's")
		}
	}
	f.g.Expect(f.runs(r.ID)).To(Equal(1))
}

// Guards against serving requests that the configuration does not allow, and against answering 404 while no configuration is
// known.
func TestUnservableRequestStatuses(t *testing.T) {
	f := newFixture(t, nil)
	_, a := f.serve("/none/x")
	f.g.Expect(a.Status).To(Equal(query.NoRoute))
	r := f.request("/one/x")
	r.Body = make([]byte, 1001)
	f.g.Expect(f.engine.Serve(context.Background(), r).Status).To(Equal(query.TooLarge))
	f.engine.Update(&published.View{})
	_, a = f.serve("/one/x")
	f.g.Expect(a.Status).To(Equal(query.Refused), "a node without configuration says so")
	f.g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against a slow target that delays every search: another target must be asked for its part.
func TestStragglerIsHedged(t *testing.T) {
	f := newFixture(t, nil)
	f.mustServe("/all/x", 40)
	f.targets["shard-1-0"].SetFaults(shardsim.Faults{Paused: true})
	for range 5 {
		_, a := f.serve("/all/x")
		f.g.Expect(a.Status).To(Equal(query.Served))
		f.g.Expect(a.Gathered.Missing).To(BeZero())
	}
}

// Guards against a search that waits beyond its goal for a shard without an answer, or fails because of it.
func TestUnavailableShardIsReportedMissing(t *testing.T) {
	for name, fault := range map[string]shardsim.Faults{"silent": {Paused: true}, "refusing": {Shed: true}, "failing": {Error: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.mustServe("/all/x", 20)
			f.setServiceFaults("shard-2", fault)
			r, a := f.serve("/all/x")
			f.g.Expect(a.Status).To(Equal(query.Served))
			f.g.Expect(a.Gathered.Missing).To(Equal(1))
			f.g.Expect(string(a.Gathered.Body)).To(Equal(f.expectedBody(r.ID, a.Gathered.Signatures)))
			f.setServiceFaults("shard-3", fault)
			r = f.request("/all/x")
			r.TimeLeft = 300 * time.Millisecond
			a = f.engine.Serve(context.Background(), r)
			f.g.Expect(a.Status).To(BeElementOf(query.Failed, query.TimedOut), "two of four shards are less than the minimum share")
		})
	}
}

// Guards against running a non-idempotent request twice, and against refusing a request that may have run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		fault  shardsim.Faults
		status query.Status
		runs   int
	}{
		"lost answer":       {shardsim.Faults{LoseAnswer: true}, query.Failed, 1},
		"truncated answer":  {shardsim.Faults{Truncate: true}, query.Failed, 1},
		"no answer":         {shardsim.Faults{Paused: true}, query.TimedOut, 0},
		"all refuse":        {shardsim.Faults{Shed: true}, query.Refused, 0},
		"target error":      {shardsim.Faults{Error: true}, query.Served, 1},
		"unproven refusal":  {shardsim.Faults{Busy: true}, query.Failed, 1},
		"duplicate reply":   {shardsim.Faults{ExtraAnswer: true}, query.Served, 1},
		"no content length": {shardsim.Faults{NoContentLength: true}, query.Served, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.mustServe("/book/x", 20)
			f.setServiceFaults("single", c.fault)
			r := f.request("/book/x")
			r.TimeLeft = 300 * time.Millisecond
			a := f.engine.Serve(context.Background(), r)
			f.g.Expect(a.Status).To(Equal(c.status), a.Reason)
			f.g.Expect(f.runs(r.ID)).To(Equal(c.runs))
			if a.Status == query.Served {
				f.g.Expect(a.Reply.Signature).To(HaveSuffix(r.ID))
			}
		})
	}
}

// Guards against a request that fails because one target refused it although another one would run it.
func TestRefusedRequestIsRetriedOnAnotherTarget(t *testing.T) {
	f := newFixture(t, nil)
	f.mustServe("/book/x", 20)
	f.targets["single-0"].SetFaults(shardsim.Faults{Shed: true})
	for range 5 {
		r, a := f.serve("/book/x")
		f.g.Expect(a.Status).To(Equal(query.Served))
		f.g.Expect(f.runs(r.ID)).To(Equal(1))
	}
}

// Guards against targets that keep running requests of a caller that has disconnected.
func TestCallerDisconnectCancelsAttempts(t *testing.T) {
	f := newFixture(t, func(c *routing.Configuration) {
		c.Routes[0].LatencyGoal, c.Routes[0].Timeout = time.Minute, time.Minute
	})
	f.mustServe("/all/x", 5)
	for _, target := range f.targets {
		target.SetFaults(shardsim.Faults{Paused: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := f.request("/all/x")
	r.TimeLeft = time.Minute
	done := make(chan query.Answer)
	go func() { done <- f.engine.Serve(ctx, r) }()
	time.Sleep(20 * time.Millisecond)
	cancel()
	f.g.Expect((<-done).Status).To(Equal(query.CallerGone))
	time.Sleep(200 * time.Millisecond) // for the targets to notice that the connections are closed
	for _, target := range f.targets {
		target.SetFaults(shardsim.Faults{})
	}
	f.g.Consistently(func() int { return f.runs(r.ID) }, 50*time.Millisecond).Should(BeZero())
}

// Guards against new requests to a draining target.
func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, nil)
	f.mustServe("/one/x", 10)
	next := &published.View{Table: f.view.Table, Targets: map[string][]published.Target{}}
	for name, list := range f.view.Targets {
		list = slices.Clone(list)
		list[0].Draining = true
		next.Targets[name] = list
	}
	f.engine.Update(next)
	before := len(f.targets["single-0"].Runs())
	f.mustServe("/one/x", 20)
	f.g.Expect(f.targets["single-0"].Runs()).To(HaveLen(before))
}

// Guards against a request that runs on a target of another service, which has taken over the address of a registered one.
func TestTargetAtReusedAddressRunsNothing(t *testing.T) {
	f := newFixture(t, nil)
	f.mustServe("/one/x", 10)
	next := &published.View{Table: f.view.Table, Targets: map[string][]published.Target{}}
	for name, list := range f.view.Targets {
		next.Targets[name] = slices.Clone(list)
	}
	next.Targets["single"][0].Address = f.view.Targets["other"][0].Address
	f.engine.Update(next)
	f.mustServe("/one/x", 20)
	f.g.Expect(f.targets["other-0"].Runs()).To(BeEmpty())
}

// Guards against a request that keeps crashing the targets that run it, no matter which caller sends it again.
func TestCrashingRequestIsRefusedAfterThreeAttempts(t *testing.T) {
	f := newFixture(t, nil)
	f.mustServe("/one/x", 40)
	for i := range replicas {
		f.restartAfterCrash("single", i)
	}
	for range 12 {
		_, _ = f.serve("/one/poison")
		time.Sleep(60 * time.Millisecond) // the crash check runs after the answer
	}
	_, a := f.serve("/one/poison")
	f.g.Expect(a.Status).To(Equal(query.Refused))
	crashes := 0
	for i := range replicas {
		crashes += f.targets[targetID("single", i)].Crashes()
	}
	f.g.Expect(crashes).To(BeNumerically(">", 0))
	f.g.Expect(crashes).To(BeNumerically("<=", quarantine.CrashesToRefuse*2), "each attempt may reach two targets")
	f.g.Eventually(func() query.Status { _, a := f.serve("/one/innocent"); return a.Status }, 5*time.Second, 50*time.Millisecond).Should(Equal(query.Served))
}

// restartAfterCrash makes a target crash on marked requests, and restarts it at its address 100 ms after each crash.
func (f *fixture) restartAfterCrash(service string, i int) {
	target := f.targets[targetID(service, i)]
	address := f.view.Targets[service][i].Address
	target.SetFaults(shardsim.Faults{CrashMarker: "poison"})
	target.OnCrash = func() {
		time.AfterFunc(100*time.Millisecond, func() {
			l, err := net.Listen("tcp", address)
			if err != nil {
				f.t.Errorf("restart target: %v", err)
				return
			}
			go target.Restart(l)
		})
	}
}

// Guards against extra attempts beyond the operators' retry budget when every target refuses requests.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	f := newFixture(t, nil)
	const n = 60
	f.mustServe("/one/x", n)
	f.setServiceFaults("single", shardsim.Faults{Shed: true})
	for range n {
		_, _ = f.serve("/one/x")
	}
	arrivals := 0
	for i := range replicas {
		arrivals += f.targets[targetID("single", i)].Rejected()
	}
	f.g.Expect(arrivals - n).To(BeNumerically("<=", int(0.5*n)+50))
	f.g.Expect(arrivals).To(BeNumerically(">", n), "some requests are retried")
}

// Guards against a node that knows no others yet and opens all connections that a target accepts. Targets then reset those of
// the other nodes, or the node's own while the connections of its previous process still count.
func TestLoneNodeLeavesConnectionsForOthers(t *testing.T) {
	const accepted, requests = 20, 60
	f := newFixture(t, nil)
	f.setServiceFaults("single", shardsim.Faults{Paused: true})
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range requests {
		r := f.request("/book/x")
		all.Go(func() { f.engine.Serve(ctx, r) })
	}
	f.g.Eventually(f.maxDials, 5*time.Second).Should(BeNumerically(">", 1))
	f.g.Consistently(f.maxDials, 300*time.Millisecond).Should(BeNumerically("<=", accepted/4))
	cancel()
	all.Wait()
}

// Guards against a split that sends its requests to one service only.
func TestSplitUsesAllServices(t *testing.T) {
	f := newFixture(t, nil)
	f.mustServe("/split/x", 40)
	got := map[string]int{}
	for _, service := range []string{"single", "other"} {
		for i := range replicas {
			got[service] += len(f.targets[targetID(service, i)].Runs())
		}
	}
	f.g.Expect(got).To(Equal(map[string]int{"single": 20, "other": 20}))
}
