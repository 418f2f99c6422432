package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry: another writer puts an entry without four of its fields at the key of a live backend, three times. The backend's next
// heartbeat replaces it each time.
func foreignEntry(w *world, trouble bool) ([]string, error) {
	shards := []string{"deskv-0", "deskv-1", "deskv-2", "deskv-3"}
	var services []service
	for _, name := range shards {
		services = append(services, service{name, "/health", 31})
		for i := range 3 {
			w.newBackend(fmt.Sprintf("i-%s-%d", name, i), name, 3, 5*time.Millisecond, records)
		}
	}
	for _, b := range w.backends {
		b.start()
	}
	w.publish(7, services, []route{{Name: "cover", Host: requestHost, Prefix: "/cover/", Kind: "idempotent", TimeoutMS: 2500, GoalMS: 150, Attempts: 2, Priority: 1,
		Gather: shards, TopK: 10, MinShare: 0.89}})
	if err := w.startNodes(2); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	victim := w.backends[0] // a backend of deskv-0
	done := make(chan struct{})
	if trouble {
		written := 0
		victim.onHeartbeat = func(b *backend) {
			if written++; written > 3 {
				return
			}
			w.store.Put("servers/"+b.id, map[string]any{"service": "deskv-1", "address": b.address, "zone": "a", "slots": 3, "state": "ready"})
			w.record.line("another writer: puts an entry without version, cold_left_ms, seq and born at servers/%s, with service deskv-1", b.id)
		}
	}
	answers := make(chan answer, 4096)
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(25 * time.Millisecond):
				}
				answers <- w.send(w.nodes[c%2], "GET", "/cover/2f", fmt.Sprintf("r%d-%04d", c, k), 2500*time.Millisecond, nil)
			}
		})
	}
	time.Sleep(8 * time.Second)
	close(done)
	clients.Wait()
	close(answers)
	var violations []string
	for a := range answers {
		violations = append(violations, w.checkGather(a, shards, 10)...)
	}
	return violations, nil
}
