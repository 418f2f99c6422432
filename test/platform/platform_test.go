// Package platform_test runs the real program on stand-ins of the users' platform: a store, targets, and callers that keep
// their connections. Each process is the binary as it is deployed.
package platform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/kvsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
)

const (
	shards  = 3
	host    = "x.example"
	settled = 30 * time.Second
	poll    = 20 * time.Millisecond
)

var binary string

// TestMain builds the program once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "medlarshunt")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "medlarshunt")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/medlarshunt").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// site is a deployment of stand-ins and processes.
type site struct {
	t         *testing.T
	g         *WithT
	store     *kvsim.Store
	address   string
	targets   map[string]*shardsim.Target
	addresses map[string]string // by target
	nodes     []*process
	seeds     string
	version   int
}

// process is one running node.
type process struct {
	name, front, ready, control, metrics string
	settings                             string
	restarting                           sync.Mutex // held by the one that ends and starts the process

	mu  sync.Mutex // guards the fields below
	cmd *exec.Cmd
	log *lines
}

// command is the present run of the process.
func (p *process) command() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// lines keeps what a process writes. mu guards text.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func listen(g *WithT) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return l
}

// free returns addresses that nobody listens on. All are held until the last is chosen, so that none comes twice.
func free(g *WithT, n int) []string {
	var addresses []string
	for range n {
		l := listen(g)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func newSite(t *testing.T, nodes int) *site {
	s := &site{t: t, g: NewWithT(t), store: kvsim.New(), targets: map[string]*shardsim.Target{}, addresses: map[string]string{}}
	l := listen(s.g)
	s.address = l.Addr().String()
	go s.store.Serve(l)
	t.Cleanup(s.store.Close)
	for _, service := range append(s.shards(), "desk") {
		for i := range 2 {
			s.addTarget(service, i)
		}
	}
	s.configure("/desk/")
	addresses := free(s.g, 4*nodes)
	for i := range nodes {
		own := addresses[4*i : 4*i+4]
		p := &process{
			name: fmt.Sprintf("node-%d", i), front: own[0], ready: own[1], control: own[2], metrics: own[3],
			settings: filepath.Join(t.TempDir(), "boot.toml"),
		}
		s.nodes = append(s.nodes, p)
	}
	s.seeds = fmt.Sprintf("%q", s.nodes[0].control)
	for _, p := range s.nodes {
		s.start(p, true)
	}
	for _, p := range s.nodes {
		s.g.Eventually(func() bool { return isReady(p) }, settled, poll).Should(BeTrue(), p.name)
	}
	return s
}

func (s *site) shards() []string {
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

func (s *site) addTarget(service string, i int) {
	id := fmt.Sprintf("i-%s-%d", service, i)
	target := shardsim.New(shardsim.Config{ID: id, Service: service, Slots: 4, Work: 2 * time.Millisecond})
	l := listen(s.g)
	go target.Serve(l)
	s.t.Cleanup(target.Close)
	s.targets[id], s.addresses[id] = target, l.Addr().String()
	s.register(id, service, l.Addr().String(), "ready")
}

func (s *site) register(id, service, address, state string) (revision uint64) {
	return s.store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1,
	})
}

// configure publishes the next version, with the single requests under some prefixes.
func (s *site) configure(prefixes ...string) {
	s.version += 3
	var services []map[string]any
	for _, name := range append(s.shards(), "desk") {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 20})
	}
	s.store.Put("op/config", map[string]any{
		"version": s.version, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 10000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": append(deskRoutes(prefixes), map[string]any{
			"name": "all", "host": host, "prefix": "/all/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "attempts": 2,
			"priority": 1, "gather": s.shards(), "top_k": 4, "min_success_share": 0.6,
		}),
	})
}

// deskRoutes are routes for single requests that must not run twice.
func deskRoutes(prefixes []string) (routes []map[string]any) {
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": "desk" + prefix, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500,
			"attempts": 2, "priority": 2, "service": "desk",
		})
	}
	return routes
}

// start starts a node; first is the platform's word that the whole system starts.
func (s *site) start(p *process, first bool) {
	text := fmt.Sprintf(`node = %q
zone = "a"
region = "r"
ip = "127.0.0.1"
serves = ["front", "control"]
seeds = [%s]
bootstrap = %t
[zones]
a = "r"
[listen]
front = %q
ready = %q
control = %q
[bounds]
grace_s = 6
config_apply_ms = 3000
retry_budget_ratio = 0.2
retry_budget_slack = 58
[platform]
address = %q
`, p.name, s.seeds, first, p.front, p.ready, p.control, s.address)
	s.g.Expect(os.WriteFile(p.settings, []byte(text), 0o600)).To(Succeed())
	log := &lines{}
	cmd := exec.Command(binary, "serve", "--metrics-listen", p.metrics)
	cmd.Env = append(os.Environ(), "MEDLARSHUNT_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	s.g.Expect(cmd.Start()).To(Succeed())
	p.mu.Lock()
	p.cmd, p.log = cmd, log
	p.mu.Unlock()
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, log)
		}
	})
}

func isReady(p *process) bool {
	resp, err := http.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// caller is a client with kept connections.
type caller struct {
	http *http.Client
	sent int
	name string
}

func newCaller(name string) *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{}}, name: name}
}

func (c *caller) send(p *process, method, path string) (*http.Response, string, string, error) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	req, err := http.NewRequest(method, "http://"+p.front+path, nil)
	if err != nil {
		return nil, id, "", err
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, id, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, id, string(body), err
}

// Guards against a program that is not wired as its parts are tested: whole answers with their signatures, 404, metrics
// and one log line for each request.
func TestProgramServesThePlatform(t *testing.T) {
	s := newSite(t, 2)
	c := newCaller("c")
	for _, p := range s.nodes {
		s.g.Eventually(func() string {
			resp, _, _, err := c.send(p, "GET", "/all/x")
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Missing-Parts"))
		}, settled, poll).Should(Equal("200 0"))
		resp, id, body, err := c.send(p, "POST", "/desk/x")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.Header.Get("X-Server-Stamp")).To(HaveSuffix(id))
		s.g.Expect(body).NotTo(BeEmpty())
		resp, _, _, err = c.send(p, "GET", "/none/x")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		s.g.Eventually(p.log.String, settled, poll).Should(ContainSubstring(`"request_id":"` + id + `"`))
		metrics, err := http.Get("http://" + p.metrics + "/metrics")
		s.g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(metrics.Body)
		s.g.Expect(err).NotTo(HaveOccurred())
		metrics.Body.Close()
		s.g.Expect(string(text)).To(ContainSubstring(`medlarshunt_requests_total{status="served"}`))
		s.g.Expect(string(text)).To(ContainSubstring("medlarshunt_request_seconds_bucket"))
	}
}

// Guards against requests that are lost while a node is stopped: callers use its kept connections until it is gone, and
// every request that it read is answered.
func TestStopLosesNoRequest(t *testing.T) {
	s := newSite(t, 1)
	p := s.nodes[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	for i := range 4 {
		wg.Go(func() {
			c := newCaller(fmt.Sprintf("stop%d", i))
			for {
				select {
				case <-stop:
					return
				default:
				}
				_, id, _, err := c.send(p, "POST", "/desk/x")
				if err != nil && s.ran(id) > 0 {
					mu.Lock()
					lost = append(lost, id+": "+err.Error())
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	s.g.Expect(p.cmd.Wait()).To(Succeed(), "the process ends by itself")
	close(stop)
	wg.Wait()
	s.g.Expect(lost).To(BeEmpty())
	s.g.Expect(p.log.String()).To(ContainSubstring("process stopped"))
}

func (s *site) ran(id string) (n int) {
	for _, t := range s.targets {
		for _, run := range t.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// Guards against a process that is ended by a signal to reload which arrives while it stops (soak seed 122).
func TestReloadDuringStopDoesNotEndTheProcess(t *testing.T) {
	s := newSite(t, 1)
	p := s.nodes[0]
	s.g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	s.g.Eventually(p.log.String, settled, poll).Should(ContainSubstring("stop: no longer ready"))
	s.g.Expect(p.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	s.g.Expect(p.cmd.Wait()).To(Succeed(), "the process ends by itself")
	s.g.Expect(p.log.String()).To(ContainSubstring("process stopped"))
}

// Guards against a node that the store turns away, or that is killed and started again: it learns the newest
// configuration from the others and serves.
func TestNodesLearnFromEachOther(t *testing.T) {
	s := newSite(t, 3)
	s.store.SetMode(kvsim.Busy, nil)
	time.Sleep(100 * time.Millisecond)
	victim := s.nodes[2]
	s.g.Expect(victim.cmd.Process.Kill()).To(Succeed())
	_ = victim.cmd.Wait() // killed
	s.start(victim, false)
	c := newCaller("learn")
	s.g.Eventually(func() int { return status(c.send(victim, "POST", "/desk/x")) }, settled, poll).Should(Equal(http.StatusOK))
	s.store.SetMode(kvsim.Serving, nil)
	s.configure("/moved/")
	for _, p := range s.nodes {
		s.g.Eventually(func() int { return status(c.send(p, "POST", "/moved/x")) }, settled, poll).Should(Equal(http.StatusOK))
		s.g.Expect(status(c.send(p, "POST", "/desk/x"))).To(Equal(http.StatusNotFound), "an older version never comes back")
	}
}

func status(resp *http.Response, _, _ string, err error) int {
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a process that starts with settings that it cannot use: it ends with one line that names the field.
func TestFaultySettingsEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "boot.toml")
	g.Expect(os.WriteFile(path, []byte("node = \"n\"\nzone = \"a\"\nserves = [\"front\"]\n"), 0o600)).To(Succeed())
	cmd := exec.Command(binary, "serve")
	cmd.Env = append(os.Environ(), "MEDLARSHUNT_CONFIG="+path)
	out, err := cmd.CombinedOutput()
	g.Expect(err).To(HaveOccurred())
	g.Expect(strings.Count(string(out), "\n")).To(Equal(1))
	g.Expect(string(out)).To(ContainSubstring("listen.front"))
}

// Guards against log lines that are not one JSON object each, without time, level and node.
func TestLogLinesAreJSON(t *testing.T) {
	s := newSite(t, 1)
	c := newCaller("log")
	_, _, _, err := c.send(s.nodes[0], "GET", "/all/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(s.nodes[0].cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	s.g.Expect(s.nodes[0].cmd.Wait()).To(Succeed())
	for _, line := range strings.Split(strings.TrimSpace(s.nodes[0].log.String()), "\n") {
		var fields map[string]any
		s.g.Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed(), line)
		for _, name := range []string{"time", "level", "msg", "node"} {
			s.g.Expect(fields).To(HaveKey(name))
		}
	}
}
