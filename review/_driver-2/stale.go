package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["unreadable-entries"] = unreadableEntries }

const (
	configApply = 3000 * time.Millisecond // config_apply_ms of the settings
	drainTime   = 3000 * time.Millisecond // drain_ms
)

// unreadableEntries: another writer puts entries that can't be read, and then the operator moves a route.
func unreadableEntries(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		w.newBackend(fmt.Sprintf("i-old-%d", i), "pay-old", 6, 20*time.Millisecond, card)
		w.newBackend(fmt.Sprintf("i-new-%d", i), "pay-new", 6, 20*time.Millisecond, card)
	}
	for _, b := range w.backends {
		b.start()
	}
	services := []service{{"pay-old", "/health", 51}, {"pay-new", "/health", 51}}
	shift := route{Name: "shift", Host: requestHost, Prefix: "/shift/", Kind: "non_idempotent", TimeoutMS: 8000, GoalMS: 500, Attempts: 2, Priority: 2, Service: "pay-old"}
	w.publish(7, services, []route{shift})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	all := make(chan sentRequest, 8192)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				sent := time.Now()
				all <- sentRequest{sent, w.send(w.nodes[c%3], "POST", "/shift/2f", fmt.Sprintf("r%d-%04d", c, k), 8*time.Second, []byte("night desk"))}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		const entries, size = 8, 1 << 20 // value_bytes
		random := rand.NewChaCha8([32]byte{1})
		for k := range entries {
			value := make([]byte, size)
			_, _ = random.Read(value)
			w.store.Put(fmt.Sprintf("servers/other-%d", k), value)
		}
		w.record.line("another writer: has put %d entries of %d bytes that can't be read under servers/", entries, size)
	}
	time.Sleep(time.Second)
	shift.Service = "pay-new"
	w.publish(9, services, []route{shift})
	acknowledged := time.Now()
	w.record.line("operator: since configuration 9 the route goes to pay-new")
	time.Sleep(configApply + 500*time.Millisecond)
	w.record.line("the backends of pay-old report draining")
	for _, b := range w.backends {
		if b.service == "pay-old" {
			b.mu.Lock()
			b.state = "draining"
			b.mu.Unlock()
			b.report()
		}
	}
	time.Sleep(drainTime + 2*time.Second)
	for _, b := range w.backends {
		if b.service == "pay-old" {
			b.stop()
			w.store.Delete("servers/" + b.id)
			w.record.line("backend %s of %s: has left", b.id, b.service)
		}
	}
	time.Sleep(5 * time.Second)
	close(done)
	clients.Wait()
	close(all)
	sentAt := map[string]time.Time{}
	failed := 0
	for s := range all {
		sentAt[s.answer.id] = s.at
		if s.at.After(acknowledged.Add(configApply)) && (s.answer.err != nil || s.answer.status != 200) {
			failed++
		}
	}
	w.record.line("%d requests sent later than config_apply_ms after the acknowledgement were not served", failed)
	var violations []string
	for _, b := range w.backends {
		for _, r := range b.runList() {
			if late := sentAt[r.id].Sub(acknowledged); b.service == "pay-old" && late > configApply {
				violations = append(violations, fmt.Sprintf("CONFIG: %s, sent %d ms after the acknowledgement of configuration 9, is run by %s of pay-old", r.id, late.Milliseconds(), b.id))
			}
		}
	}
	return violations, nil
}

// sentRequest is an answer with the time at which its request was sent.
type sentRequest struct {
	at     time.Time
	answer answer
}
