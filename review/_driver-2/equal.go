package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["equal-requests"] = equalRequests }

const (
	contactTime = 4 * time.Second // contact_ms of the settings
	coldTime    = 3 * time.Second // cold_s of the site file
)

// equalRequests: all backends of a service crash once and are back after 4.5 s. The requests to it are equal.
func equalRequests(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		w.newBackend(fmt.Sprintf("i-pay-%d", i), "pay", 6, 20*time.Millisecond, card)
		w.newBackend(fmt.Sprintf("i-news-%d", i), "news", 6, 120*time.Millisecond, card)
	}
	for _, b := range w.backends {
		b.start()
	}
	services := []service{{"pay", "/health", 51}, {"news", "/health", 51}}
	first := route{Name: "shift", Host: requestHost, Prefix: "/shift/", Kind: "idempotent", TimeoutMS: 8000, GoalMS: 500, Attempts: 2, Priority: 2, Service: "pay"}
	added := first
	added.Name, added.Prefix, added.Service = "plan", "/plan/", "news"
	w.publish(7, services, []route{first})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	w.publish(9, services, []route{first, added})
	w.record.line("operator: configuration 9 adds the route /plan/ to news")
	time.Sleep(configApply + time.Second)
	all := make(chan sentRequest, 1<<14)
	done := make(chan struct{})
	var clients sync.WaitGroup
	every := func(client int, pause time.Duration, uri string) {
		clients.Go(func() {
			time.Sleep(time.Duration(client) * pause / 9) // clients don't send at the same moments
			tick := time.NewTicker(pause)
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-tick.C:
				}
				clients.Go(func() {
					sent := time.Now()
					all <- sentRequest{sent, w.send(w.nodes[client%3], "GET", uri, fmt.Sprintf("%s-%d-%05d", strings.Trim(uri, "/2f"), client, k), 8*time.Second, nil)}
				})
			}
		})
	}
	for c := range 9 { // 45 a second, as shift-check on the site
		every(c, 200*time.Millisecond, "/plan/2f")
	}
	for c := range 3 {
		every(c, 200*time.Millisecond, "/shift/2f")
	}
	time.Sleep(5 * time.Second)
	w.crashAll("news", trouble, 4500*time.Millisecond)
	time.Sleep(contactTime + coldTime)
	steady := time.Now()
	w.record.line("steady state")
	time.Sleep(20 * time.Second)
	close(done)
	clients.Wait()
	close(all)
	sent, served := map[string]int{}, map[string]int{}
	for s := range all {
		if s.at.Before(steady) {
			continue
		}
		name, _, _ := strings.Cut(s.answer.id, "-")
		sent[name]++
		if _, signed := w.stampOf(s.answer.header.Get("X-Server-Stamp"), s.answer.id); signed && s.answer.status == 200 {
			served[name]++
		}
	}
	w.record.line("steady state: served %d of %d on the first route, %d of %d on the route that was added", served["shift"], sent["shift"], served["plan"], sent["plan"])
	if sent["plan"] >= 20 && 4*served["plan"]*sent["shift"] < served["shift"]*sent["plan"] {
		return []string{fmt.Sprintf("CONFIG: in steady state %d of %d requests on the route that was added later are served, %d of %d on the first route",
			served["plan"], sent["plan"], served["shift"], sent["shift"])}, nil
	}
	return nil, nil
}

// crashAll crashes all backends of a service, which are back after a time. Their entries are removed after three heartbeats of silence.
func (w *world) crashAll(service string, trouble bool, down time.Duration) {
	var crashed []*backend
	for _, b := range w.backends {
		if trouble && b.service == service {
			crashed = append(crashed, b)
			b.crash()
			w.record.line("backend %s of %s: crashes", b.id, b.service)
		}
	}
	time.Sleep(3 * heartbeat)
	for _, b := range crashed {
		w.store.Delete("servers/" + b.id)
	}
	time.Sleep(down - 3*heartbeat)
	for _, b := range crashed {
		if err := b.restart(); err != nil {
			w.record.line("backend %s: %v", b.id, err)
		}
		w.record.line("backend %s of %s: is back", b.id, b.service)
	}
}
