package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["unknown-services"] = unknownServices }

// unknownServices: another writer puts an entry whose service isn't named in the configuration, each time another one. The platform kills a
// process that exceeds memory_mb.
func unknownServices(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		w.newBackend(fmt.Sprintf("i-pay-%d", i), "pay", 12, 300*time.Millisecond, card)
	}
	for _, b := range w.backends {
		b.start()
	}
	w.publish(7, []service{{"pay", "/health", 110}}, []route{{Name: "shift", Host: requestHost, Prefix: "/shift/", Kind: "non_idempotent", TimeoutMS: 8000, GoalMS: 500, Attempts: 2, Priority: 2,
		Service: "pay"}})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var running sync.WaitGroup
	ends := make(chan memoryEnd, len(w.nodes))
	for _, n := range w.nodes {
		running.Go(func() { w.limitMemory(n, done, ends) })
	}
	lost := make(chan lostAnswer, 4096)
	for c := range 24 {
		running.Go(func() { w.keepSending(w.nodes[c%3], c, done, lost) })
	}
	const interval, size = 100 * time.Millisecond, 1_040_000 // a value has 1,048,576 bytes at most
	written := 0
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end) && len(ends) < len(w.nodes); time.Sleep(interval) {
		if !trouble {
			continue
		}
		written++
		name := fmt.Sprintf("other-%04d-%s", written, strings.Repeat("x", size))
		w.store.Put("servers/other", map[string]any{
			"service": name, "address": w.ip + ":19999", "zone": "a", "version": "v1", "slots": 1, "state": "ready", "cold_left_ms": 0, "seq": written, "born": w.backends[0].born,
		})
	}
	w.record.line("another writer: has written its entry %d times, each time with another service that isn't named in the configuration", written)
	time.Sleep(time.Second)
	close(done)
	running.Wait()
	close(ends)
	close(lost)
	killed := map[string]bool{}
	for e := range ends {
		killed[e.node] = true
	}
	ran := map[string]bool{}
	for _, b := range w.backends {
		for _, r := range b.runList() {
			ran[r.id] = true
		}
	}
	byNode := map[string][]string{}
	for l := range lost {
		if ran[l.id] && killed[l.node] {
			byNode[l.node] = append(byNode[l.node], l.id)
		}
	}
	var violations []string
	for _, n := range w.nodes {
		if ids := byNode[n.name]; len(ids) > 3 {
			violations = append(violations, fmt.Sprintf("LOST: %s passed %d requests from kept connections on to sound backends and ended without an answer to them, for its memory: %s", n.name, len(ids),
				strings.Join(ids, " ")))
		}
	}
	return violations, nil
}

// memoryEnd is a process that exceeded its memory.
type memoryEnd struct{ node string }

// lostAnswer is a request on a kept connection that ended without an answer.
type lostAnswer struct{ id, node string }

// limitMemory kills the process of a node, as the platform does, once its own memory exceeds memory_mb. What it maps from files isn't counted.
func (w *world) limitMemory(n *node, done chan struct{}, ends chan memoryEnd) {
	for last := 0; ; {
		select {
		case <-done:
			w.record.line("platform: %s has %d MB at the end", n.name, last)
			return
		case <-time.After(50 * time.Millisecond):
		}
		mb := anonymousMB(n.cmd.Process.Pid)
		if mb/50 > last/50 {
			w.record.line("platform: %s has %d MB", n.name, mb)
		}
		last = mb
		if mb > w.memoryMB {
			w.record.line("platform: kills %s, which has %d MB of %d", n.name, mb, w.memoryMB)
			n.kill()
			ends <- memoryEnd{n.name}
			return
		}
	}
}

func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb int
			_, _ = fmt.Sscan(rest, &kb)
			return kb >> 10
		}
	}
	return 0
}

// keepSending sends requests on one kept connection until done is closed or the connection ends.
func (w *world) keepSending(n *node, client int, done chan struct{}, lost chan lostAnswer) {
	conn, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for k := 0; ; k++ {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		a := answer{id: fmt.Sprintf("r%d-%04d", client, k)}
		w.record.line("client: sends POST /shift/2f %s to %s", a.id, n.name)
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		if _, err := conn.Write(requestBytes("POST", "/shift/2f", a.id, 8*time.Second, []byte("night desk"))); err != nil {
			return
		}
		a.read(reader, "POST")
		if a.err != nil {
			w.record.line("client: %s has no whole answer: %v", a.id, a.err)
			if k > 0 {
				lost <- lostAnswer{a.id, n.name}
			}
			return
		}
		w.record.line("client: %s gets %d, stamp %q", a.id, a.status, a.header.Get("X-Server-Stamp"))
	}
}
