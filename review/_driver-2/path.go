package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash: the operator adds a route with a longer prefix. Paths that don't begin with that prefix hold an encoded slash and a vertical bar.
func encodedSlash(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		w.newBackend(fmt.Sprintf("i-pay-%d", i), "pay", 6, 20*time.Millisecond, card)
		w.newBackend(fmt.Sprintf("i-news-%d", i), "news", 6, 20*time.Millisecond, card)
	}
	for _, b := range w.backends {
		b.start()
	}
	services := []service{{"pay", "/health", 51}, {"news", "/health", 51}}
	shift := route{Name: "shift", Host: requestHost, Prefix: "/shift/", Kind: "non_idempotent", TimeoutMS: 8000, GoalMS: 500, Attempts: 2, Priority: 2, Service: "pay"}
	night := shift
	night.Name, night.Prefix, night.Service = "night", "/shift/night/", "news"
	w.publish(7, services, []route{shift})
	if err := w.startNodes(2); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	done := make(chan struct{})
	var clients sync.WaitGroup
	paths := []string{"/shift/night%2Feditor|north", "/shift/night%2Feditor", "/shift/2f"}
	for c := range 6 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				w.send(w.nodes[c%2], http.MethodPost, paths[c%len(paths)], fmt.Sprintf("r%d-%04d", c, k), 8*time.Second, []byte("night desk"))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.publish(9, services, []route{shift, night})
		w.record.line("operator: configuration 9 adds the route /shift/night/ to news")
	}
	time.Sleep(8 * time.Second)
	close(done)
	clients.Wait()
	var violations []string
	for _, b := range w.backends {
		for _, r := range b.runList() {
			if b.service == "news" && !strings.HasPrefix(r.uri, night.Prefix) {
				violations = append(violations, fmt.Sprintf("ROUTE: %s %s %s, whose path does not begin with %s, is run by %s of news", r.method, r.uri, r.id, night.Prefix, b.id))
			}
		}
	}
	return violations, nil
}
