package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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

const (
	requestHost = "hufi27.example"
	program     = "target/medlarshunt" // the first word of run in the deploy file
	heartbeat   = 1200 * time.Millisecond
	startLimit  = 20 * time.Second
)

// world is one small deployment on loopback: the platform's store, backends and nodes.
type world struct {
	dir          string
	record       *record
	ip           string
	nextPort     int
	store        *kvsim.Store
	storeAddress string
	nodes        []*node
	backends     []*backend
	memoryMB     int
	closers      []func()
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld opens the record in folder and starts the store. Its processes get loopback addresses of their own.
func newWorld(folder string) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: &record{file: file, start: time.Now()}, nextPort: 20001, store: kvsim.New(), memoryMB: 284}
	w.closers = append(w.closers, func() { file.Close() })
	if os.Getenv("KEEP_LOGS") == "" { // otherwise the logs of the nodes stay
		w.closers = append(w.closers, func() { os.RemoveAll(dir) })
	}
	for range 100 {
		w.ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		claim, err := net.Listen("tcp", w.ip+":20000") // held, so that no other run takes the address
		if err != nil {
			continue
		}
		w.closers = append(w.closers, func() { claim.Close() })
		l := w.listen()
		w.storeAddress = l.Addr().String()
		go w.store.Serve(l)
		w.closers = append(w.closers, w.store.Close)
		return w, nil
	}
	return nil, errors.New("no loopback address is free")
}

func (w *world) address() string {
	w.nextPort++
	return fmt.Sprintf("%s:%d", w.ip, w.nextPort)
}

func (w *world) listen() net.Listener {
	l, err := net.Listen("tcp", w.address())
	if err != nil {
		panic(err)
	}
	return l
}

// close ends the processes that the world started, its backends and its store.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, b := range w.backends {
		b.stop()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// node is one process of the program under test.
type node struct {
	name, zone, front, ready, metrics string
	settingsPath, logPath             string
	cmd                               *exec.Cmd
	exited                            chan struct{} // closed when the process has ended
}

// startNodes starts nodes as the deploy file says and waits until they are ready.
func (w *world) startNodes(count int) error {
	control := make([]string, count)
	var seeds []string
	for i := range control {
		control[i] = w.address()
		seeds = append(seeds, fmt.Sprintf("%q", control[i]))
	}
	for i := range count {
		zone := string("abc"[i%3])
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i/3+1), zone: zone, front: w.address(), ready: w.address(), metrics: w.address()}
		n.settingsPath, n.logPath = filepath.Join(w.dir, n.name+".toml"), filepath.Join(w.dir, n.name+".log")
		if err := os.WriteFile(n.settingsPath, []byte(w.settings(n, control[i], seeds)), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := w.start(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startLimit)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", n.name, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.line("all nodes are ready")
	return nil
}

// start starts the process of a node.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd, exited := exec.Command(program, "serve", "--metrics-listen", n.metrics), make(chan struct{})
	cmd.Env = []string{"MEDLARSHUNT_CONFIG=" + n.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() { _ = cmd.Wait(); close(exited) }()
	n.cmd, n.exited = cmd, exited
	w.record.line("start %s, process %d", n.name, cmd.Process.Pid)
	return nil
}

// restartNodes starts the processes of all nodes again after they were killed.
func (w *world) restartNodes() error {
	for _, n := range w.nodes {
		text, err := os.ReadFile(n.settingsPath)
		if err != nil {
			return err
		}
		text = bytes.Replace(text, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
		if err := os.WriteFile(n.settingsPath, text, 0o600); err != nil {
			return err
		}
		if err := w.start(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settings(n *node, control string, seeds []string) string {
	return fmt.Sprintf(`node = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
internal_ports = [7740,7755]
seeds = [%s]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
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
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, n.name, w.ip, n.zone, strings.Join(seeds, ","), heartbeat.Milliseconds(), n.front, n.ready, control, w.memoryMB, w.storeAddress)
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (n *node) kill() {
	if !n.hasExited() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// service and route are parts of the operator's configuration.
type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
}

type route struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"prefix"`
	Kind      string   `json:"kind"`
	TimeoutMS int      `json:"timeout_ms"`
	GoalMS    int      `json:"target_latency_ms"`
	Attempts  int      `json:"attempts"`
	Priority  int      `json:"priority"`
	Service   string   `json:"service,omitempty"`
	Gather    []string `json:"gather,omitempty"`
	TopK      int      `json:"top_k,omitempty"`
	MinShare  float64  `json:"min_success_share,omitempty"`
}

func (w *world) publish(version int, services []service, routes []route) {
	w.store.Put("op/config", map[string]any{
		"version": version, "services": services, "routes": routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.record.line("operator: configuration %d is acknowledged", version)
}
