// Package platform_test runs the built program, as it is deployed, with stand-ins for the users' platform: a store, targets,
// and callers with persistent connections.
package platform_test

import (
	"bufio"
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
	"github.com/medlarshunt/medlarshunt/test/loopback"
)

const (
	shardCount    = 3
	requestHost   = "x.example"
	settleTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

var binary string

// TestMain builds the program once for all tests.
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

// deployment is a store and targets as stand-ins, and nodes as processes.
type deployment struct {
	t               *testing.T
	g               *WithT
	store           *kvsim.Store
	storeAddress    string
	targets         map[string]*shardsim.Target
	targetAddresses map[string]string // by target id
	nodes           []*process
	seedAddresses   string // TOML list elements
	configVersion   int
	limits          processLimits
}

// processLimits are the limits that the settings file states for a process. 0 leaves a limit out of the file.
type processLimits struct{ memoryMB, maxFDs int }

func (l processLimits) String() string {
	if l == (processLimits{}) {
		return ""
	}
	return fmt.Sprintf("[limits]\nmemory_mb = %d\nmax_fds = %d\n", l.memoryMB, l.maxFDs)
}

// process is one running node.
type process struct {
	name, frontAddress, readyAddress, controlAddress, metricsAddress string
	advertisedAddress                                                string // where other nodes reach this one
	settingsPath                                                     string
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex

	mu  sync.Mutex // guards the fields below
	cmd *exec.Cmd
	log *logBuffer
}

// currentCommand returns the command of the latest start of the process.
func (p *process) currentCommand() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

// logBuffer collects the output of a process. mu guards text.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func listen(g *WithT) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return l
}

func newDeployment(t *testing.T, nodes int) *deployment {
	return newLimitedDeployment(t, nodes, processLimits{})
}

func newLimitedDeployment(t *testing.T, nodes int, limits processLimits) *deployment {
	s := &deployment{t: t, g: NewWithT(t), store: kvsim.New(), targets: map[string]*shardsim.Target{},
		targetAddresses: map[string]string{}, limits: limits}
	l := listen(s.g)
	s.storeAddress = l.Addr().String()
	go s.store.Serve(l)
	t.Cleanup(s.store.Close)
	for _, service := range append(s.shards(), "desk") {
		for i := range 2 {
			s.addTarget(service, i)
		}
	}
	s.publishConfiguration("/desk/")
	addresses := loopback.Reserve(t, 4*nodes)
	for i := range nodes {
		own := addresses[4*i : 4*i+4]
		p := &process{
			name: fmt.Sprintf("node-%d", i), frontAddress: own[0], readyAddress: own[1], controlAddress: own[2], metricsAddress: own[3],
			settingsPath: filepath.Join(t.TempDir(), "boot.toml"),
		}
		p.advertisedAddress = p.controlAddress
		s.nodes = append(s.nodes, p)
	}
	s.seedAddresses = fmt.Sprintf("%q", s.nodes[0].controlAddress)
	for _, p := range s.nodes {
		s.startNode(p, true)
	}
	for _, p := range s.nodes {
		s.g.Eventually(func() bool { return isReady(p) }, settleTimeout, pollInterval).Should(BeTrue(), p.name)
	}
	return s
}

func (s *deployment) shards() []string {
	var names []string
	for i := range shardCount {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

func (s *deployment) addTarget(service string, i int) {
	id := fmt.Sprintf("i-%s-%d", service, i)
	target := shardsim.New(shardsim.Config{ID: id, Service: service, Slots: 4, ServiceTime: 2 * time.Millisecond})
	l := listen(s.g)
	go target.Serve(l)
	s.t.Cleanup(target.Close)
	s.targets[id], s.targetAddresses[id] = target, l.Addr().String()
	s.registerTarget(id, service, l.Addr().String(), "ready")
}

func (s *deployment) registerTarget(id, service, address, state string) (revision uint64) {
	return s.store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1,
	})
}

// publishConfiguration publishes the next version, with a route for single requests for each prefix.
func (s *deployment) publishConfiguration(prefixes ...string) {
	s.configVersion += 3
	var services []map[string]any
	for _, name := range append(s.shards(), "desk") {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 20})
	}
	s.store.Put("op/config", map[string]any{
		"version": s.configVersion, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": s.maxBodyBytes(), "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": append(deskRoutes(prefixes), map[string]any{
			"name": "all", "host": requestHost, "prefix": "/all/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500,
			"attempts": 2, "priority": 1, "gather": s.shards(), "top_k": 4, "min_success_share": 0.6,
		}),
	})
}

// maxBodyBytes is the published limit of bodies.
func (s *deployment) maxBodyBytes() int {
	if s.limits == (processLimits{}) {
		return 10000
	}
	return crowdBodyBytes
}

// deskRoutes returns a route for single requests that must not run twice for each prefix.
func deskRoutes(prefixes []string) (routes []map[string]any) {
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": "desk" + prefix, "host": requestHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 2000,
			"target_latency_ms": 500, "attempts": 2, "priority": 2, "service": "desk",
		})
	}
	return routes
}

// startNode starts a node. bootstrap is the platform's statement that the whole system is starting.
func (s *deployment) startNode(p *process, bootstrap bool) {
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
%s`, p.name, s.seedAddresses, bootstrap, p.frontAddress, p.readyAddress, p.controlAddress, s.storeAddress, s.limits)
	s.g.Expect(os.WriteFile(p.settingsPath, []byte(text), 0o600)).To(Succeed())
	log := &logBuffer{}
	cmd := exec.Command(binary, "serve", "--metrics-listen", p.metricsAddress, "--advertise-peer", p.advertisedAddress)
	cmd.Env = append(os.Environ(), "MEDLARSHUNT_CONFIG="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	s.g.Expect(cmd.Start()).To(Succeed())
	p.mu.Lock()
	p.cmd, p.log = cmd, log
	p.mu.Unlock()
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill() // the process may have ended already
		_ = cmd.Wait()
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, log)
		}
	})
}

func isReady(p *process) bool {
	resp, err := http.Get("http://" + p.readyAddress + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// nodeInID comes before the name of the node in the id of a request.
const nodeInID = "-to-"

// nodeOfRequest returns the name of the node that a request was sent to.
func nodeOfRequest(id string) string {
	_, node, _ := strings.Cut(id, nodeInID)
	return node
}

// caller is an HTTP client with persistent connections.
type caller struct {
	http      *http.Client
	sentCount int
	name      string
}

func newCaller(name string) *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{}}, name: name}
}

// send sends a request with a new request id, which names the node, and returns the response, the id and the body.
func (c *caller) send(p *process, method, path string) (*http.Response, string, string, error) {
	c.sentCount++
	id := fmt.Sprintf("%s-%d%s%s", c.name, c.sentCount, nodeInID, p.name)
	req, err := http.NewRequest(method, "http://"+p.frontAddress+path, nil)
	if err != nil {
		return nil, id, "", err
	}
	req.Host = requestHost
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

// Guards against a program whose parts work in their own tests but are wired wrongly: it must serve complete answers with
// their stamps, status 404, metrics and one log line for each request.
func TestProgramServesRequests(t *testing.T) {
	s := newDeployment(t, 2)
	c := newCaller("c")
	for _, p := range s.nodes {
		s.g.Eventually(func() string {
			resp, _, _, err := c.send(p, "GET", "/all/x")
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Missing-Parts"))
		}, settleTimeout, pollInterval).Should(Equal("200 0"))
		resp, id, body, err := c.send(p, "POST", "/desk/x")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.Header.Get("X-Server-Stamp")).To(HaveSuffix(id))
		s.g.Expect(body).NotTo(BeEmpty())
		resp, _, _, err = c.send(p, "GET", "/none/x")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		s.g.Eventually(p.log.String, settleTimeout, pollInterval).Should(ContainSubstring(`"request_id":"` + id + `"`))
		metrics, err := http.Get("http://" + p.metricsAddress + "/metrics")
		s.g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(metrics.Body)
		s.g.Expect(err).NotTo(HaveOccurred())
		metrics.Body.Close()
		s.g.Expect(string(text)).To(ContainSubstring(`medlarshunt_requests_total{status="served"}`))
		s.g.Expect(string(text)).To(ContainSubstring("medlarshunt_request_seconds_bucket"))
	}
}

// Guards against requests that are lost while a node stops: callers use their persistent connections until the node is
// gone, and the node must answer every request that it read.
func TestStopLosesNoRequest(t *testing.T) {
	s := newDeployment(t, 1)
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
				if err != nil && s.runCount(id) > 0 {
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

// runCount returns the number of runs of a request at all targets.
func (s *deployment) runCount(id string) (n int) {
	for _, t := range s.targets {
		for _, run := range t.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// Guards against a process that is ended by a reload signal (SIGHUP) that arrives during its graceful stop (soak seed 122).
func TestReloadDuringStopDoesNotEndTheProcess(t *testing.T) {
	s := newDeployment(t, 1)
	p := s.nodes[0]
	s.g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	s.g.Eventually(p.log.String, settleTimeout, pollInterval).Should(ContainSubstring("stop: no longer ready"))
	s.g.Expect(p.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	s.g.Expect(p.cmd.Wait()).To(Succeed(), "the process ends by itself")
	s.g.Expect(p.log.String()).To(ContainSubstring("process stopped"))
}

// Guards against a node that needs the store to start or to serve: when the store refuses it, or when it was killed and
// started again, it must get the newest configuration from the other nodes and serve.
func TestNodesGetConfigurationFromEachOther(t *testing.T) {
	s := newDeployment(t, 3)
	s.store.SetMode(kvsim.Unavailable, nil)
	time.Sleep(100 * time.Millisecond)
	restarted := s.nodes[2]
	s.g.Expect(restarted.cmd.Process.Kill()).To(Succeed())
	_ = restarted.cmd.Wait() // the exit status of a killed process is an error
	s.startNode(restarted, false)
	c := newCaller("learn")
	s.g.Eventually(func() int { return statusOf(c.send(restarted, "POST", "/desk/x")) }, settleTimeout, pollInterval).
		Should(Equal(http.StatusOK))
	s.store.SetMode(kvsim.Healthy, nil)
	s.publishConfiguration("/moved/")
	for _, p := range s.nodes {
		s.g.Eventually(func() int { return statusOf(c.send(p, "POST", "/moved/x")) }, settleTimeout, pollInterval).
			Should(Equal(http.StatusOK))
		s.g.Expect(statusOf(c.send(p, "POST", "/desk/x"))).To(Equal(http.StatusNotFound), "the route of the older version is gone")
	}
}

func statusOf(resp *http.Response, _, _ string, err error) int {
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a process that starts with unusable settings: it must end with one line that names the faulty field.
func TestInvalidSettingsEndTheProcess(t *testing.T) {
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

// Guards against log lines that are not one JSON object each, or that lack time, level, message or node.
func TestLogLinesAreJSON(t *testing.T) {
	s := newDeployment(t, 1)
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

// Guards against an answer that is none (MIXED): a target in trouble answers with a status that is no status. The caller must get a
// final answer of its own, which does not say that the request has not run, or the answer of another target.
func TestStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	s := newDeployment(t, 1)
	p := s.nodes[0]
	conn, err := net.Dial("tcp", p.frontAddress)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for _, target := range s.targets {
			target.SetFaults(shardsim.Faults{Status: status})
		}
		for _, path := range []string{"/desk/x", "/all/x"} {
			s.g.Expect(conn.SetDeadline(time.Now().Add(settleTimeout))).To(Succeed())
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: none-%d%s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", path, requestHost, i, path)
			s.g.Expect(err).NotTo(HaveOccurred())
			line, err := reader.Peek(len("HTTP/1.1 000"))
			s.g.Expect(err).NotTo(HaveOccurred(), status)
			s.g.Expect(string(line)).To(Or(Equal("HTTP/1.1 502"), Equal("HTTP/1.1 504")), "%s at %s", status, path)
			resp, err := http.ReadResponse(reader, nil)
			s.g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp.Body)
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(resp.Header).NotTo(HaveKey("X-Server-Stamp"))
		}
	}
}
