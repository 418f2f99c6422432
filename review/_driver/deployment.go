package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/standin/kvsim"
)

// Bounds of the site vaktleit that the cases use.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 4 * time.Second // contact_ms
	apply     = 3 * time.Second // config_apply_ms
	drainTime = 3 * time.Second // drain_ms
	host      = "hufi27.example"
)

// nodesByZone are the machines of the site vaktleit.
var nodesByZone = []struct {
	zone, region string
	nodes        int
}{{"sudvestur-a", "sudvestur", 3}, {"nordur-a", "nordur", 3}, {"austur-a", "austur", 2}}

// run is one request that a backend began to run.
type run struct {
	id, backend, service, uri string
	at                        time.Time
}

// deployment is a store, backends and clients as stand-ins, and the nodes as processes of the project's program.
type deployment struct {
	ip       string
	claim    net.Listener
	dir      string
	rec      *record
	store    *kvsim.Store
	storeAt  string
	backends []*backend
	nodes    []*node
	version  int
	stop     chan struct{}
	closing  sync.Once

	mu   sync.Mutex // guards runs and sent
	runs []run
	sent int
}

// node is one process of the program.
type node struct {
	name, front, ready string
	cmd                *exec.Cmd
	ended              chan struct{}
}

var errCannotRun = errors.New("the case could not run")

func must(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errCannotRun, err))
	}
}

// newDeployment starts the store. It takes a loopback address of its own, whose ports below those of the system's choice are free.
func newDeployment(rec *record) *deployment {
	d := &deployment{rec: rec, stop: make(chan struct{})}
	for range 100 {
		d.ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		var err error
		if d.claim, err = net.Listen("tcp", d.ip+":20000"); err == nil {
			break
		}
	}
	if d.claim == nil {
		must(errors.New("no loopback address is free"))
	}
	var err error
	d.dir, err = os.MkdirTemp("", "review")
	must(err)
	l, err := net.Listen("tcp", d.ip+":0")
	must(err)
	d.store, d.storeAt = kvsim.New(), l.Addr().String()
	go d.store.Serve(l)
	go d.beatLoop()
	return d
}

// beatLoop lets each backend write its entry every heartbeat interval.
func (d *deployment) beatLoop() {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(heartbeat):
		}
		for _, b := range d.backends {
			b.beat()
		}
	}
}

// route is one route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, goalMS           int
}

// publish writes the next version of the configuration.
func (d *deployment) publish(routes ...route) {
	d.version += 3
	var docs, services []map[string]any
	named := map[string]bool{}
	for _, r := range routes {
		docs = append(docs, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.goalMS, "priority": 2,
			"service": r.service, "attempts": 2,
		})
		if !named[r.service] {
			named[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_path": "/health", "max_conns": 51, "protocol": "h1", "tls": false})
		}
	}
	revision := d.store.Put("op/config", map[string]any{
		"version": d.version, "routes": docs, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	shown := routes
	if len(shown) > 8 {
		shown = append(shown[:2:2], shown[len(shown)-1])
	}
	d.rec.add("config", "operator", fmt.Sprintf("version %d acknowledged at revision %d: %d routes: %+v", d.version, revision, len(routes), shown))
}

// startNodes starts all nodes, as deploy/system.toml says, and waits until they are ready.
func (d *deployment) startNodes(program string) {
	port := 20000
	next := func() string { port++; return fmt.Sprintf("%s:%d", d.ip, port) }
	var seeds, regions []string
	type start struct{ name, zone, region, front, ready, control, metrics string }
	var starts []start
	for _, z := range nodesByZone {
		regions = append(regions, fmt.Sprintf("%s = %q", z.zone, z.region))
		for i := range z.nodes {
			s := start{fmt.Sprintf("front-%s-%d", z.zone, i+1), z.zone, z.region, next(), next(), next(), next()}
			if i == 0 {
				seeds = append(seeds, fmt.Sprintf("%q", s.control))
			}
			starts = append(starts, s)
		}
	}
	for _, s := range starts {
		text := fmt.Sprintf(`node = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
seeds = [%s]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
%s
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
recovery_s = 12
[platform]
address = %q
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`, s.name, d.ip, s.zone, s.region, strings.Join(seeds, ","), strings.Join(regions, "\n"), s.front, s.ready, s.control, d.storeAt)
		path := filepath.Join(d.dir, s.name+".toml")
		must(os.WriteFile(path, []byte(text), 0o600))
		log, err := os.Create(filepath.Join(d.dir, s.name+".log"))
		must(err)
		cmd := exec.Command(program, "serve", "--metrics-listen", s.metrics)
		cmd.Env = append(os.Environ(), "MEDLARSHUNT_CONFIG="+path)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a node does not outlive the case
		must(cmd.Start())
		n := &node{name: s.name, front: s.front, ready: s.ready, cmd: cmd, ended: make(chan struct{})}
		d.nodes = append(d.nodes, n)
		go func() {
			_ = cmd.Wait()
			_ = log.Close()
			close(n.ended)
		}()
		d.rec.add("start", s.name, fmt.Sprintf("pid %d", cmd.Process.Pid))
	}
	deadline := time.Now().Add(30 * time.Second)
	for _, n := range d.nodes {
		for !isReady(n) {
			if time.Now().After(deadline) {
				must(fmt.Errorf("%s is not ready", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.add("ready", "all nodes", "")
}

func isReady(n *node) bool {
	resp, err := http.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkAlive fails the run when a node ended by itself.
func (d *deployment) checkAlive() {
	for _, n := range d.nodes {
		select {
		case <-n.ended:
			d.rec.add("ended", n.name, "by itself")
		default:
		}
	}
}

// close ends everything that the case started.
func (d *deployment) close() { d.closing.Do(d.closeOnce) }

func (d *deployment) closeOnce() {
	close(d.stop)
	for _, n := range d.nodes {
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	d.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.dir, keep)
	}
	_ = os.RemoveAll(d.dir)
	_ = d.claim.Close()
}

func (d *deployment) noteRun(r run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, r)
}

func (d *deployment) allRuns() []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]run(nil), d.runs...)
}
