package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["many-entries"] = manyEntries }

const (
	configApply  = 3000 * time.Millisecond // config_apply_ms of the settings
	recovery     = 12 * time.Second        // recovery_s of the settings
	storeLatency = 4 * time.Millisecond
)

// manyEntries: another writer puts many short entries that can't be read; then all processes are killed and start again.
func manyEntries(w *world, trouble bool) ([]string, error) {
	w.store.SetDelay(storeLatency)
	for i := range 3 {
		w.newBackend(fmt.Sprintf("i-pay-%d", i), "pay", 6, 20*time.Millisecond, card)
	}
	for _, b := range w.backends {
		b.start()
	}
	w.publish(7, []service{{"pay", "/health", 51}}, []route{{Name: "shift", Host: requestHost, Prefix: "/shift/", Kind: "idempotent", TimeoutMS: 8000, GoalMS: 500, Attempts: 2, Priority: 2,
		Service: "pay"}})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	all := make(chan sentRequest, 8192)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(250 * time.Millisecond):
				}
				sent := time.Now()
				all <- sentRequest{sent, w.send(w.nodes[c%3], "GET", "/shift/2f", fmt.Sprintf("r%d-%04d", c, k), 8*time.Second, nil)}
			}
		})
	}
	const entries, burst = 10500, 40 // 400 writes a second, what the store takes
	tick := time.NewTicker(100 * time.Millisecond)
	for k := 0; k < entries; k += burst {
		<-tick.C
		for i := k; trouble && i < min(k+burst, entries); i++ {
			w.store.Put(fmt.Sprintf("servers/other-%05d", i), []byte{0xff, byte(i), byte(i >> 8)})
		}
	}
	tick.Stop()
	if trouble {
		w.record.line("another writer: has put %d entries of 3 bytes that can't be read under servers/", entries)
	}
	killed := time.Now()
	for _, n := range w.nodes {
		n.kill()
	}
	w.record.line("all processes of the nodes are killed")
	time.Sleep(700 * time.Millisecond)
	if err := w.restartNodes(); err != nil {
		return nil, err
	}
	back := time.Now()
	w.record.line("all processes of the nodes have started again")
	time.Sleep(recovery + 10*time.Second)
	close(done)
	clients.Wait()
	close(all)
	var before, servedBefore, after, servedAfter int
	for s := range all {
		served := 0
		if _, signed := w.stampOf(s.answer.header.Get("X-Server-Stamp"), s.answer.id); signed && s.answer.status == 200 {
			served = 1
		}
		switch {
		case s.at.Before(killed):
			before++
			servedBefore += served
		case s.at.After(back.Add(recovery)):
			after++
			servedAfter += served
		}
	}
	w.record.line("served before the fault: %d of %d; sent later than recovery_s after the machines were back: %d of %d", servedBefore, before, servedAfter, after)
	if 4*servedBefore >= before && 4*servedAfter < after {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests sent later than recovery_s after the machines were back are served, %d of %d before the fault", servedAfter, after, servedBefore, before)}, nil
	}
	return nil, nil
}
