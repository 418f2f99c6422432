package platform_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/kvsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
)

// The soak runs the built program as processes and injects faults from outside: proxies before the store and each target,
// signals, faults of the stand-ins and changes of configuration, in overlapping series. It checks the promises of the
// platform's pages from what callers and targets see. Not covered: steps of the clock, which need another clock than the
// machine's, and faults between nodes, whose addresses are their own.
//
//	MEDLARSHUNT_SOAK_SEEDS=50 go test ./test/platform -run TestSoak -timeout 60m
//
// runs seeds 1 to 50; MEDLARSHUNT_SOAK_SEED=N one seed, MEDLARSHUNT_SOAK_NODES and MEDLARSHUNT_SOAK_SECONDS set the size.

const (
	soakNodes   = 3
	soakSeconds = 6
	soakCallers = 6
	soakPace    = 15 * time.Millisecond
	// retryShare, retrySlack and retryWindow are the bound on extra arrivals that the settings of the nodes state.
	retryShare  = 0.2
	retrySlack  = 58
	retryWindow = 10 * time.Second
)

// regressions are seeds that once failed, with the cause.
var regressions = map[uint64]string{
	135: "a stop ended while connections that had just been used were open, and a request on one of them was lost",
	122: "a signal to reload that came while the process stopped ended it: the handler had been taken back",
}

// fixedSeeds are the seeds of a short run.
var fixedSeeds = []uint64{1, 2}

func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func soakSeeds(t *testing.T) []uint64 {
	if one := setting("MEDLARSHUNT_SOAK_SEED", 0); one > 0 {
		return []uint64{uint64(one)}
	}
	seeds := append([]uint64(nil), fixedSeeds...)
	for seed, cause := range regressions {
		t.Logf("seed %d: %s", seed, cause)
		seeds = append(seeds, seed)
	}
	for n := 1; n <= setting("MEDLARSHUNT_SOAK_SEEDS", 0); n++ {
		seeds = append(seeds, uint64(n))
	}
	return seeds
}

func setting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// soak is one seeded run. mu guards the fields below it.
type soak struct {
	*site
	rnd     *rand.Rand
	proxies map[string]*proxy // by target id; "store" is that of the store
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	sent     []sent
	killed   map[string][]time.Time // by node: kills
	versions []int                  // published, with their routes
	faults   []string
}

// sent is one request and its end, as its caller saw it.
type sent struct {
	id, node, path string
	start, end     time.Time
	code           int // 0 when the connection ended without an answer
	err            error
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		site: newSite(t, setting("MEDLARSHUNT_SOAK_NODES", soakNodes)), rnd: rand.New(rand.NewPCG(seed, seed)),
		proxies: map[string]*proxy{}, stop: make(chan struct{}), killed: map[string][]time.Time{},
	}
	for id := range s.targets {
		l := listen(s.g)
		s.proxies[id] = newProxy(l, s.addresses[id])
		t.Cleanup(s.proxies[id].close)
		s.register(id, serviceOf(id), l.Addr().String(), "ready")
	}
	l := listen(s.g)
	s.proxies["store"] = newProxy(l, s.address)
	t.Cleanup(s.proxies["store"].close)
	s.address = l.Addr().String()
	for _, p := range s.nodes { // they learn the address of the store's proxy
		s.restart(p, syscall.SIGKILL)
	}
	for _, p := range s.nodes {
		s.g.Eventually(func() bool { return isReady(p) }, settled, poll).Should(BeTrue())
	}
	return s
}

func serviceOf(id string) string { return strings.TrimPrefix(id[:strings.LastIndex(id, "-")], "i-") }

func (s *soak) run() {
	for i := range soakCallers {
		s.wg.Go(func() { s.call(fmt.Sprintf("s%d", i), rand.New(rand.NewPCG(uint64(i), 7))) })
	}
	for _, p := range s.nodes {
		s.wg.Go(func() { s.followVersions(p) })
	}
	end := time.Now().Add(time.Duration(setting("MEDLARSHUNT_SOAK_SECONDS", soakSeconds)) * time.Second)
	var series sync.WaitGroup
	for range 3 {
		rnd := rand.New(rand.NewPCG(s.rnd.Uint64(), 1))
		series.Go(func() {
			for time.Now().Before(end) {
				s.strike(rnd)
				time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
			}
		})
	}
	series.Wait()
	s.recover()
	s.drainOne()
	close(s.stop)
	s.wg.Wait()
	s.check()
}

// strike injects one fault and takes it back after a while.
func (s *soak) strike(rnd *rand.Rand) {
	hold := time.Duration(200+rnd.IntN(1500)) * time.Millisecond
	p := s.nodes[rnd.IntN(len(s.nodes))]
	ids := make([]string, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	id := ids[rnd.IntN(len(ids))]
	proxyFaults := []proxyFault{delaying, refusing, halfCut, silent}
	targetFaults := []shardsim.Faults{{Paused: true}, {Shed: true}, {Error: true}, {Extra: true}, {Unframed: true}, {Truncate: true}, {LoseAnswer: true}}
	storeModes := []kvsim.Mode{kvsim.Busy, kvsim.Many, kvsim.Reset, kvsim.Silent}
	switch rnd.IntN(10) {
	case 0, 1:
		px := s.proxies[id]
		px.set(proxyFaults[rnd.IntN(len(proxyFaults))])
		time.Sleep(hold)
		px.set(passing)
		px.reset(1, rnd)
	case 2:
		s.proxies[id].reset(0.5, rnd)
	case 3, 4:
		s.targets[id].SetFaults(targetFaults[rnd.IntN(len(targetFaults))])
		time.Sleep(hold)
		s.targets[id].SetFaults(shardsim.Faults{})
	case 5:
		s.store.SetMode(storeModes[rnd.IntN(len(storeModes))], nil)
		time.Sleep(hold)
		s.store.SetMode(kvsim.Serving, nil)
	case 6:
		px := s.proxies["store"]
		px.set(proxyFaults[rnd.IntN(len(proxyFaults))])
		time.Sleep(hold)
		px.set(passing)
		s.store.DropHistory()
	case 7:
		s.nextVersion()
	case 8:
		s.signal(p, hold)
	default:
		s.restart(p, []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rnd.IntN(2)])
	}
}

// signal pauses a node for a while, or tells it that its settings changed.
func (s *soak) signal(p *process, hold time.Duration) {
	cmd := p.command()
	_ = cmd.Process.Signal(syscall.SIGHUP) // the process may be gone
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(hold)
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// restart ends a node and starts it again. One series at a time restarts a node.
func (s *soak) restart(p *process, sig syscall.Signal) {
	if !p.restarting.TryLock() {
		return
	}
	defer p.restarting.Unlock()
	cmd := p.command()
	if sig == syscall.SIGKILL {
		s.mu.Lock()
		s.killed[p.name] = append(s.killed[p.name], time.Now())
		s.mu.Unlock()
	}
	_ = cmd.Process.Signal(sig)
	_ = cmd.Wait() // the exit code of a killed process says nothing
	s.start(p, false)
}

// nextVersion publishes a configuration whose single requests have a route of their own.
func (s *soak) nextVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, s.version+3)
	s.configure(versionPath(s.version+3), "/desk/")
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// call sends requests on kept connections until the soak ends.
func (s *soak) call(name string, rnd *rand.Rand) {
	c := newCaller(name)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(soakPace):
		}
		p := s.nodes[rnd.IntN(len(s.nodes))]
		method, path := "GET", "/all/x"
		if rnd.IntN(3) == 0 {
			method, path = "POST", "/desk/x"
		}
		r := sent{node: p.name, path: path, start: time.Now()}
		resp, id, body, err := c.send(p, method, path)
		r.id, r.end, r.err = id, time.Now(), err
		if err == nil {
			r.code = resp.StatusCode
			s.checkAnswer(r, resp, body)
		}
		s.mu.Lock()
		s.sent = append(s.sent, r)
		s.mu.Unlock()
	}
}

func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// checkAnswer checks that an answer is whole and the caller's own.
func (s *soak) checkAnswer(r sent, resp *http.Response, body string) {
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode == http.StatusNotFound {
			s.fault("%s %s: 404 although every version has the route", r.id, r.path)
		}
		return
	}
	if r.path == "/desk/x" {
		target, ok := strings.CutSuffix(resp.Header.Get("X-Server-Stamp"), "."+r.id)
		if !ok || s.targets[target] == nil || body != string(s.targets[target].Body(r.id)) {
			s.fault("%s: answer with signature %q is not the target's whole answer to it", r.id, resp.Header.Get("X-Server-Stamp"))
		}
		return
	}
	var records []string
	services := map[string]bool{}
	for _, signature := range strings.Split(resp.Header.Get("X-Part-Stamps"), ", ") {
		target, ok := strings.CutSuffix(signature, "."+r.id)
		if !ok || s.targets[target] == nil || services[serviceOf(target)] {
			s.fault("%s: part %q is foreign or twice", r.id, signature)
			return
		}
		services[serviceOf(target)] = true
		part := string(s.targets[target].Body(r.id))
		for ; len(part) >= shardsim.RecordBytes; part = part[shardsim.RecordBytes:] {
			records = append(records, part[:shardsim.RecordBytes])
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	missing, _ := strconv.Atoi(resp.Header.Get("X-Missing-Parts"))
	if len(services)+missing != shards || len(services) < 2 {
		s.fault("%s: %d parts and %d missing of %d", r.id, len(services), missing, shards)
	}
	if body != strings.Join(records[:min(4, len(records))], "") {
		s.fault("%s: the body is not the greatest records of its parts", r.id)
	}
}

// followVersions watches that a node never serves a version that is older than one whose effect it showed.
func (s *soak) followVersions(p *process) {
	c := newCaller("v" + p.name)
	highest, incarnation := 0, p.command()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(10 * soakPace):
		}
		s.mu.Lock()
		versions := append([]int(nil), s.versions...)
		s.mu.Unlock()
		for _, version := range versions[max(0, len(versions)-3):] {
			resp, _, _, err := c.send(p, "POST", versionPath(version)+"x")
			if now := p.command(); now != incarnation {
				highest, incarnation = 0, now
				break
			}
			if err != nil || resp.StatusCode == http.StatusNotFound {
				continue
			}
			if resp.StatusCode == http.StatusOK && version < highest {
				s.fault("%s served version %d after version %d", p.name, version, highest)
			}
			if resp.StatusCode == http.StatusOK {
				highest = max(highest, version)
			}
		}
	}
}

// recover ends all faults and waits until every node serves whole answers.
func (s *soak) recover() {
	s.store.SetMode(kvsim.Serving, nil)
	for id, p := range s.proxies {
		p.set(passing)
		p.reset(1, s.rnd)
		if id != "store" {
			s.targets[id].SetFaults(shardsim.Faults{})
		}
	}
	c := newCaller("recover")
	for _, p := range s.nodes {
		s.g.Eventually(func() string {
			resp, _, _, err := c.send(p, "GET", "/all/x")
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Missing-Parts"))
		}, settled, poll).Should(Equal("200 0"), "%s recovers", p.name)
	}
}

var revisionMetric = regexp.MustCompile(`(?m)^medlarshunt_published_revision (\d+)`)

// drainOne takes a target out of service and checks that nodes that know it send it nothing any more.
func (s *soak) drainOne() {
	const id = "i-desk-0"
	revision := s.register(id, "desk", s.proxies[id].listener.Addr().String(), "draining")
	for _, p := range s.nodes {
		s.g.Eventually(func() uint64 { return revisionOf(p) }, settled, poll).Should(BeNumerically(">=", revision))
	}
	time.Sleep(50 * time.Millisecond) // calls that were written before
	before := len(s.targets[id].Arrivals())
	time.Sleep(500 * time.Millisecond)
	s.g.Expect(s.targets[id].Arrivals()).To(HaveLen(before), "work for a draining target")
}

func revisionOf(p *process) uint64 {
	resp, err := http.Get("http://" + p.metrics + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	found := revisionMetric.FindSubmatch(text)
	if found == nil {
		return 0
	}
	n, _ := strconv.ParseUint(string(found[1]), 10, 64)
	return n
}

// check checks what callers were told against the runs at the targets.
func (s *soak) check() {
	runs := map[string]int{}
	for _, t := range s.targets {
		for _, run := range t.Runs() {
			runs[run.ID]++
		}
	}
	served := 0
	for _, r := range s.sent {
		if r.code == http.StatusOK {
			served++
		}
		once := r.path == "/desk/x"
		if once && runs[r.id] > 1 {
			s.fault("%s ran %d times", r.id, runs[r.id])
		}
		if once && runs[r.id] > 0 && (r.code == http.StatusServiceUnavailable || r.code == http.StatusTooManyRequests) {
			s.fault("%s was refused with %d and has run", r.id, r.code)
		}
		if r.err != nil && runs[r.id] > 0 && !s.wasKilled(r) {
			s.fault("%s to %s was passed on and lost: %v", r.id, r.node, r.err)
		}
	}
	s.checkBudget()
	s.t.Logf("%d requests, %d served, %d versions", len(s.sent), served, len(s.versions))
	s.g.Expect(served).To(BeNumerically(">", 0))
	for _, f := range s.faults[:min(len(s.faults), 10)] {
		s.t.Error(f)
	}
}

// wasKilled reports whether the request's node was killed while the request was under way.
func (s *soak) wasKilled(r sent) bool {
	for _, at := range s.killed[r.node] {
		if at.After(r.start.Add(-time.Second)) && at.Before(r.end.Add(time.Second)) {
			return true
		}
	}
	return false
}

// checkBudget checks the bound on extra arrivals of each service in every window. All requests of the last two windows
// count as the requests for it.
func (s *soak) checkBudget() {
	requests := map[string][]time.Time{}
	for _, r := range s.sent {
		if r.path == "/desk/x" {
			requests["desk"] = append(requests["desk"], r.start)
			continue
		}
		for _, name := range s.shards() {
			requests[name] = append(requests[name], r.start)
		}
	}
	arrivals := map[string][]shardsim.Arrival{}
	for id, t := range s.targets {
		arrivals[serviceOf(id)] = append(arrivals[serviceOf(id)], t.Arrivals()...)
	}
	for service, list := range arrivals {
		sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
		seen := map[string]bool{}
		var extra []time.Time
		for _, a := range list {
			if seen[a.ID] {
				extra = append(extra, a.At)
			}
			seen[a.ID] = true
		}
		for _, end := range extra {
			within := func(times []time.Time, span time.Duration) (n float64) {
				for _, at := range times {
					if at.After(end.Add(-span)) && !at.After(end) {
						n++
					}
				}
				return n
			}
			if got, bound := within(extra, retryWindow), retryShare*within(requests[service], 2*retryWindow)+retrySlack; got > bound {
				s.fault("%s got %.0f extra arrivals in a window, bound %.0f", service, got, bound)
				return
			}
		}
	}
}
