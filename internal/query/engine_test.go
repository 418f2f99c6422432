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

	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/platform"
)

const (
	shards   = 4
	replicas = 2
	host     = "x.example"
	work     = 2 * time.Millisecond
)

// bench is an engine over stand-in targets.
type bench struct {
	t       testing.TB
	g       *WithT
	engine  *query.Engine
	strikes *quarantine.Strikes
	log     *bytes.Buffer
	targets map[string]*shardsim.Target // by id
	view    *published.View
	sent    int

	dialsMu sync.Mutex // guards dials
	dials   map[string]int
}

// dial connects to a target and counts the connections to each address.
func (b *bench) dial(ctx context.Context, address string) (net.Conn, error) {
	b.dialsMu.Lock()
	b.dials[address]++
	b.dialsMu.Unlock()
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// mostDials is the number of connections to the target that got most.
func (b *bench) mostDials() (most int) {
	b.dialsMu.Lock()
	defer b.dialsMu.Unlock()
	for _, n := range b.dials {
		most = max(most, n)
	}
	return most
}

func newBench(t testing.TB, change func(*routing.Configuration)) *bench {
	b := &bench{t: t, g: NewWithT(t), strikes: quarantine.NewStrikes(), log: &bytes.Buffer{}, targets: map[string]*shardsim.Target{}, dials: map[string]int{}}
	set := metrics.NewSet()
	charts, err := statechart.NewCharts(set)
	b.g.Expect(err).NotTo(HaveOccurred())
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(t.Output())
	}
	b.engine = query.New(query.Config{
		Domain: "north", Regions: map[string]string{"north": "r", "south": "s"}, Budget: query.BudgetRule{Share: 0.5, Slack: 50},
	}, query.Deps{Codec: platform.Codec{}, Strikes: b.strikes, Charts: charts, Log: logrus.NewEntry(log), Metrics: set, Dial: b.dial})
	t.Cleanup(b.engine.Close)
	c := configuration()
	if change != nil {
		change(c)
	}
	b.g.Expect(c.Validate()).To(Succeed())
	b.view = &published.View{Table: routing.NewTable(c), Targets: map[string][]published.Target{}}
	for _, s := range c.Services {
		for i := range replicas {
			b.addTarget(s.Name, i)
		}
	}
	b.engine.Update(b.view)
	return b
}

// configuration has a route that gathers, one for single requests that may be repeated, one for those that may not, and
// a split.
func configuration() *routing.Configuration {
	c := &routing.Configuration{Version: 3, Limits: routing.Limits{BodyBytes: 1000}}
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	for _, name := range append(slices.Clone(names), "single", "other") {
		c.Services = append(c.Services, routing.Service{Name: name, MaxConnections: 20})
	}
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Attempts: 2, Timeout: 2 * time.Second, Goal: 400 * time.Millisecond,
		}
	}
	all, one, book, split := route("all", routing.Idempotent), route("one", routing.Idempotent), route("book", routing.NonIdempotent), route("split", routing.NonIdempotent)
	all.Gather, all.TopK, all.MinShare = names, 5, 0.75
	one.Service, book.Service = "single", "single"
	split.Split = []routing.Share{{Service: "single", Weight: 1}, {Service: "other", Weight: 1}}
	c.Routes = []routing.Route{all, one, book, split}
	return c
}

func id(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }

func (b *bench) addTarget(service string, i int) {
	target := shardsim.New(shardsim.Config{ID: id(service, i), Service: service, Slots: 4, Work: work})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.g.Expect(err).NotTo(HaveOccurred())
	go target.Serve(l)
	b.t.Cleanup(target.Close)
	b.targets[id(service, i)] = target
	b.view.Targets[service] = append(b.view.Targets[service], published.Target{
		ID: id(service, i), Service: service, Address: l.Addr().String(), Domain: []string{"north", "south"}[i], Slots: 4,
	})
}

func (b *bench) request(path string) *query.Request {
	b.sent++
	return &query.Request{
		ID: fmt.Sprintf("r%d", b.sent), Method: "GET", Host: host, Path: path, URI: path + "?q=1",
		Header: map[string][]string{"X-Request-Id": {fmt.Sprintf("r%d", b.sent)}}, Left: 2500 * time.Millisecond, Arrived: time.Now(),
	}
}

func (b *bench) serve(path string) (*query.Request, query.Answer) {
	r := b.request(path)
	return r, b.engine.Serve(context.Background(), r)
}

// warm fills the retry budgets, which start empty.
func (b *bench) warm(path string, n int) {
	for range n {
		_, a := b.serve(path)
		b.g.Expect(a.Status).To(Equal(query.Served), a.Reason)
	}
}

// runs counts the runs of a request at all targets.
func (b *bench) runs(requestID string) (n int) {
	for _, t := range b.targets {
		for _, run := range t.Runs() {
			if run.ID == requestID {
				n++
			}
		}
	}
	return n
}

// eachOf sets the faults of all targets of a service.
func (b *bench) eachOf(service string, f shardsim.Faults) {
	for i := range replicas {
		b.targets[id(service, i)].SetFaults(f)
	}
}

// expected is the true answer to a gathered request: the signatures name the targets that are in it.
func (b *bench) expected(requestID string, signatures []string) string {
	var records []string
	for _, s := range signatures {
		name := strings.TrimSuffix(s, "."+requestID)
		body := b.targets[name].Body(requestID)
		for ; len(body) >= shardsim.RecordBytes; body = body[shardsim.RecordBytes:] {
			records = append(records, string(body[:shardsim.RecordBytes]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	return strings.Join(records[:min(5, len(records))], "")
}

// Guards against a gathered answer that is not the greatest records of exactly the parts that it names.
func TestGatherIsTheGreatestOfItsParts(t *testing.T) {
	b := newBench(t, nil)
	for range 20 {
		r, a := b.serve("/all/x")
		b.g.Expect(a.Status).To(Equal(query.Served))
		b.g.Expect(a.Gathered.Missing).To(BeZero())
		b.g.Expect(a.Gathered.Signatures).To(HaveLen(shards))
		b.g.Expect(string(a.Gathered.Body)).To(Equal(b.expected(r.ID, a.Gathered.Signatures)))
	}
}

// Guards against requests that reach targets changed, with more time than is left, or not at all.
func TestRequestsArePassedOnUnchanged(t *testing.T) {
	b := newBench(t, nil)
	r := b.request("/book/a%20b")
	r.Method, r.Body = "POST", []byte("some body")
	a := b.engine.Serve(context.Background(), r)
	b.g.Expect(a.Status).To(Equal(query.Served))
	b.g.Expect(a.Reply.Signature).NotTo(BeEmpty())
	for _, target := range b.targets {
		for _, run := range target.Runs() {
			b.g.Expect(run.URI).To(Equal("/book/a%20b?q=1"))
			b.g.Expect(run.Method + " " + run.Body).To(Equal("POST some body"))
			b.g.Expect(run.Deadline).To(MatchRegexp(`^(1\d\d\d|2000)$`), "the route's own limit is shorter than the caller's")
		}
	}
	b.g.Expect(b.runs(r.ID)).To(Equal(1))
}

// Guards against answers to requests that the configuration does not allow, and 404 while none is known.
func TestRequestsWithoutRoute(t *testing.T) {
	b := newBench(t, nil)
	_, a := b.serve("/none/x")
	b.g.Expect(a.Status).To(Equal(query.NoRoute))
	r := b.request("/one/x")
	r.Body = make([]byte, 1001)
	b.g.Expect(b.engine.Serve(context.Background(), r).Status).To(Equal(query.TooLarge))
	b.engine.Update(&published.View{})
	_, a = b.serve("/one/x")
	b.g.Expect(a.Status).To(Equal(query.Refused), "a node without configuration says so")
	b.g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against a straggler that every search waits for: its part is asked of another target.
func TestStragglerIsHedged(t *testing.T) {
	b := newBench(t, nil)
	b.warm("/all/x", 40)
	b.targets["shard-1-0"].SetFaults(shardsim.Faults{Paused: true})
	for range 5 {
		_, a := b.serve("/all/x")
		b.g.Expect(a.Status).To(Equal(query.Served))
		b.g.Expect(a.Gathered.Missing).To(BeZero())
	}
}

// Guards against a search that waits beyond its goal for a shard that does not answer, or fails because of it.
func TestLostShardIsStatedMissing(t *testing.T) {
	for name, fault := range map[string]shardsim.Faults{"silent": {Paused: true}, "refusing": {Shed: true}, "failing": {Error: true}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.warm("/all/x", 20)
			b.eachOf("shard-2", fault)
			r, a := b.serve("/all/x")
			b.g.Expect(a.Status).To(Equal(query.Served))
			b.g.Expect(a.Gathered.Missing).To(Equal(1))
			b.g.Expect(string(a.Gathered.Body)).To(Equal(b.expected(r.ID, a.Gathered.Signatures)))
			b.eachOf("shard-3", fault)
			r = b.request("/all/x")
			r.Left = 300 * time.Millisecond
			a = b.engine.Serve(context.Background(), r)
			b.g.Expect(a.Status).To(BeElementOf(query.Failed, query.TimedOut), "two of four shards are less than the least share")
		})
	}
}

// Guards against a request that is run twice although it must not be, and against a refusal that is not true.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		fault  shardsim.Faults
		status query.Status
		runs   int
	}{
		"lost answer":    {shardsim.Faults{LoseAnswer: true}, query.Failed, 1},
		"cut answer":     {shardsim.Faults{Truncate: true}, query.Failed, 1},
		"no answer":      {shardsim.Faults{Paused: true}, query.TimedOut, 0},
		"all refuse":     {shardsim.Faults{Shed: true}, query.Refused, 0},
		"own error":      {shardsim.Faults{Error: true}, query.Served, 1},
		"busy, unproved": {shardsim.Faults{Busy: true}, query.Failed, 1},
		"second reply":   {shardsim.Faults{Extra: true}, query.Served, 1},
		"no length":      {shardsim.Faults{Unframed: true}, query.Served, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.warm("/book/x", 20)
			b.eachOf("single", c.fault)
			r := b.request("/book/x")
			r.Left = 300 * time.Millisecond
			a := b.engine.Serve(context.Background(), r)
			b.g.Expect(a.Status).To(Equal(c.status), a.Reason)
			b.g.Expect(b.runs(r.ID)).To(Equal(c.runs))
			if a.Status == query.Served {
				b.g.Expect(a.Reply.Signature).To(HaveSuffix(r.ID))
			}
		})
	}
}

// Guards against a refusal by one target that fails the request although another would run it.
func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	b := newBench(t, nil)
	b.warm("/book/x", 20)
	b.targets["single-0"].SetFaults(shardsim.Faults{Shed: true})
	for range 5 {
		r, a := b.serve("/book/x")
		b.g.Expect(a.Status).To(Equal(query.Served))
		b.g.Expect(b.runs(r.ID)).To(Equal(1))
	}
}

// Guards against work at targets for a caller that has left.
func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	b := newBench(t, func(c *routing.Configuration) { c.Routes[0].Goal, c.Routes[0].Timeout = time.Minute, time.Minute })
	b.warm("/all/x", 5)
	for _, target := range b.targets {
		target.SetFaults(shardsim.Faults{Paused: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := b.request("/all/x")
	r.Left = time.Minute
	done := make(chan query.Answer)
	go func() { done <- b.engine.Serve(ctx, r) }()
	time.Sleep(20 * time.Millisecond)
	cancel()
	b.g.Expect((<-done).Status).To(Equal(query.CallerGone))
	time.Sleep(200 * time.Millisecond) // the targets notice the end of the connections
	for _, target := range b.targets {
		target.SetFaults(shardsim.Faults{})
	}
	b.g.Consistently(func() int { return b.runs(r.ID) }, 50*time.Millisecond).Should(BeZero())
}

// Guards against new work for a target that drains or is gone.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	b := newBench(t, nil)
	b.warm("/one/x", 10)
	next := &published.View{Table: b.view.Table, Targets: map[string][]published.Target{}}
	for name, list := range b.view.Targets {
		list = slices.Clone(list)
		list[0].Draining = true
		next.Targets[name] = list
	}
	b.engine.Update(next)
	before := len(b.targets["single-0"].Runs())
	b.warm("/one/x", 20)
	b.g.Expect(b.targets["single-0"].Runs()).To(HaveLen(before))
}

// Guards against a request that runs at the service of another target, which took over the address.
func TestReusedAddressRunsNothing(t *testing.T) {
	b := newBench(t, nil)
	b.warm("/one/x", 10)
	next := &published.View{Table: b.view.Table, Targets: map[string][]published.Target{}}
	for name, list := range b.view.Targets {
		next.Targets[name] = slices.Clone(list)
	}
	next.Targets["single"][0].Address = b.view.Targets["other"][0].Address
	b.engine.Update(next)
	b.warm("/one/x", 20)
	b.g.Expect(b.targets["other-0"].Runs()).To(BeEmpty())
}

// Guards against a request that goes on crashing the targets that run it, whoever sends it again.
func TestCrashingRequestIsRefusedAfterThreeAttempts(t *testing.T) {
	b := newBench(t, nil)
	b.warm("/one/x", 40)
	for i := range replicas {
		b.supervise("single", i)
	}
	for range 12 {
		_, _ = b.serve("/one/poison")
		time.Sleep(60 * time.Millisecond) // the crash check runs after the answer
	}
	_, a := b.serve("/one/poison")
	b.g.Expect(a.Status).To(Equal(query.Refused))
	crashes := 0
	for i := range replicas {
		crashes += b.targets[id("single", i)].Crashes()
	}
	b.g.Expect(crashes).To(BeNumerically(">", 0))
	b.g.Expect(crashes).To(BeNumerically("<=", quarantine.StrikesToRefuse*2), "each attempt may reach two targets")
	b.g.Eventually(func() query.Status { _, a := b.serve("/one/innocent"); return a.Status }, 5*time.Second, 50*time.Millisecond).Should(Equal(query.Served))
}

// supervise restarts a target at its address some time after a marked request crashed it.
func (b *bench) supervise(service string, i int) {
	target := b.targets[id(service, i)]
	address := b.view.Targets[service][i].Address
	target.SetFaults(shardsim.Faults{CrashMarker: "poison"})
	target.OnCrash = func() {
		time.AfterFunc(100*time.Millisecond, func() {
			l, err := net.Listen("tcp", address)
			if err != nil {
				b.t.Errorf("restart a target: %v", err)
				return
			}
			go target.Restart(l)
		})
	}
}

// Guards against extra attempts beyond the operators' share of the requests, however bad the targets are.
func TestExtraAttemptsStayInTheBudget(t *testing.T) {
	b := newBench(t, nil)
	const n = 60
	b.warm("/one/x", n)
	b.eachOf("single", shardsim.Faults{Shed: true})
	for range n {
		_, _ = b.serve("/one/x")
	}
	arrivals := 0
	for i := range replicas {
		arrivals += b.targets[id("single", i)].Rejected()
	}
	b.g.Expect(arrivals - n).To(BeNumerically("<=", int(0.5*n)+50))
	b.g.Expect(arrivals).To(BeNumerically(">", n), "some are tried again")
}

// Guards against a node that knows no others yet and takes all connections that a target accepts: the targets reset those
// of the other nodes, or its own while they still count the connections of its last process.
func TestLoneNodeLeavesConnectionsToOthers(t *testing.T) {
	const accepted, requests = 20, 60
	b := newBench(t, nil)
	b.eachOf("single", shardsim.Faults{Paused: true})
	ctx, leave := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range requests {
		r := b.request("/book/x")
		all.Go(func() { b.engine.Serve(ctx, r) })
	}
	b.g.Eventually(b.mostDials, 5*time.Second).Should(BeNumerically(">", 1))
	b.g.Consistently(b.mostDials, 300*time.Millisecond).Should(BeNumerically("<=", accepted/4))
	leave()
	all.Wait()
}

// Guards against a split whose requests go to one service only.
func TestSplitUsesAllItsServices(t *testing.T) {
	b := newBench(t, nil)
	b.warm("/split/x", 40)
	got := map[string]int{}
	for _, service := range []string{"single", "other"} {
		for i := range replicas {
			got[service] += len(b.targets[id(service, i)].Runs())
		}
	}
	b.g.Expect(got).To(Equal(map[string]int{"single": 20, "other": 20}))
}
