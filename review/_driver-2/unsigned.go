package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unsigned-success"] = unsignedSuccess }

// unsignedSuccess: one of three backends sends bytes that are no answer of a backend in place of every twentieth of its answers.
func unsignedSuccess(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		w.newBackend(fmt.Sprintf("i-pay-%d", i), "pay", 6, 60*time.Millisecond, card)
	}
	var mu sync.Mutex
	answers := 0
	w.backends[0].fault = func(b *backend, conn net.Conn, r *http.Request) bool {
		mu.Lock()
		answers++
		spoil := trouble && answers%20 == 0
		mu.Unlock()
		if !spoil {
			return false
		}
		w.record.line("backend %s of %s: bytes that are no answer of it, in place of the answer to %s, and closes", b.id, b.service, r.Header.Get("X-Request-Id"))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n<html><body>It works!</body></html>\n"))
		return true
	}
	for _, b := range w.backends {
		b.start()
	}
	w.publish(7, []service{{"pay", "/health", 51}}, []route{{Name: "shift", Host: requestHost, Prefix: "/shift/", Kind: "non_idempotent", TimeoutMS: 8000, GoalMS: 500, Attempts: 2, Priority: 2,
		Service: "pay"}})
	if err := w.startNodes(2); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	all := make(chan answer, 4096)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
				all <- w.send(w.nodes[c%2], "POST", "/shift/2f", fmt.Sprintf("r%d-%04d", c, k), 8*time.Second, []byte("night desk"))
			}
		})
	}
	time.Sleep(60 * time.Second)
	close(done)
	clients.Wait()
	close(all)
	var violations []string
	for a := range all {
		if a.err == nil && a.status >= 200 && a.status < 300 {
			if _, ok := w.stampOf(a.header.Get("X-Server-Stamp"), a.id); !ok {
				violations = append(violations, fmt.Sprintf("MIXED: %s gets %d without a backend's X-Server-Stamp, body %q", a.id, a.status, strings.TrimSpace(string(a.body))))
			}
		}
	}
	return violations, nil
}
