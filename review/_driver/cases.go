package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Services of the site vaktleit that the cases use, with their backends.
const (
	ledger  = "launaskra"
	planner = "fraettastofa"
)

// addServices starts the backends of both services: 7 of the ledger, 3 of the planner, 6 slots each, 120 ms of work.
func (d *deployment) addServices() {
	for service, zones := range map[string][]string{
		ledger:  {"sudvestur-a", "sudvestur-a", "sudvestur-a", "nordur-a", "nordur-a", "austur-a", "austur-a"},
		planner: {"sudvestur-a", "nordur-a", "austur-a"},
	} {
		for _, zone := range zones {
			d.newBackend(service, zone, 6, 24, 120*time.Millisecond)
		}
	}
}

func (d *deployment) backendsOf(service string) (out []*backend) {
	for _, b := range d.backends {
		if b.service == service {
			out = append(out, b)
		}
	}
	return out
}

const (
	safe   = "idempotent"
	unsafe = "non_idempotent"
)

func distinct(prefix string) func(int) string {
	return func(n int) string { return fmt.Sprintf("%s%x", prefix, n) }
}

func always(path string) func(int) string { return func(int) string { return path } }

// playForeignEntry: another writer writes entries with fields missing under the ids of backends of the planner, and names the ledger as
// their service. A request to the ledger that a backend of the planner runs breaks the rule.
func playForeignEntry(d *deployment, program string, trouble bool) string {
	d.addServices()
	d.publish(route{"r-ledger", "/goka902/", unsafe, ledger, 8000, 500}, route{"r-planner", "/nono601/", safe, planner, 8000, 500})
	d.startNodes(program)
	time.Sleep(contact)
	posts := &traffic{d: d, kind: kind{name: "post", method: http.MethodPost, path: distinct("/goka902/"), bodyBytes: 300, deadline: 8 * time.Second, retries: 1}}
	gets := &traffic{d: d, kind: kind{name: "get", method: http.MethodGet, path: distinct("/nono601/"), deadline: 8 * time.Second, retries: 1}}
	var clients sync.WaitGroup
	clients.Go(func() { posts.run(45, 24*time.Second) })
	clients.Go(func() { gets.run(10, 24*time.Second) })
	for range 8 {
		time.Sleep(2500 * time.Millisecond)
		for _, b := range d.backendsOf(planner) {
			if !trouble {
				continue
			}
			// version, cold_left_ms, seq and born are missing. The backend itself goes on writing its entry at every heartbeat.
			revision := d.store.Put("servers/"+b.id, map[string]any{"service": ledger, "address": b.address, "zone": b.zone, "slots": b.slots, "state": "ready"})
			d.rec.add("other-writer", b.id, fmt.Sprintf("entry with fields missing at revision %d", revision))
		}
	}
	clients.Wait()
	wrong, first := 0, run{}
	for _, r := range d.allRuns() {
		if r.service == planner && strings.HasPrefix(r.uri, "/goka902/") {
			if wrong == 0 {
				first = r
			}
			wrong++
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("ROUTE: %d requests to %s ran at backends of %s, to which no configuration sent them; the first: %s at %s", wrong, ledger, planner, first.id, first.backend)
	}
	return ""
}

// laterRoute compares the share of requests served on the first route and on the one that was added later, of those sent in a time.
func laterRoute(first, later *traffic, from, to time.Time) string {
	served := func(t *traffic) (n, ok int) {
		for _, a := range t.all() {
			if a.sentAt.After(from) && a.sentAt.Before(to) {
				n++
				if a.ok() {
					ok++
				}
			}
		}
		return n, ok
	}
	n1, ok1 := served(first)
	n2, ok2 := served(later)
	first.d.rec.add("steady", "state", fmt.Sprintf("first route: %d of %d served; route added later: %d of %d", ok1, n1, ok2, n2))
	if n1 == 0 || n2 < 20 {
		must(fmt.Errorf("too few requests: %d and %d", n1, n2))
	}
	if float64(ok2)/float64(n2) < float64(ok1)/float64(n1)/4 {
		return fmt.Sprintf("CONFIG: in steady state %d of %d requests are served on the route that was added later, %d of %d on the first route", ok2, n2, ok1, n1)
	}
	return ""
}

// playLaterRoute adds a route to the planner while the system runs, lets disturb act, and compares the routes in steady state.
func playLaterRoute(d *deployment, program string, path func(int) string, perSecond float64, disturb func() (ended time.Time)) string {
	d.addServices()
	first := route{"r-ledger", "/goka902/", safe, ledger, 8000, 500}
	d.publish(first)
	d.startNodes(program)
	old := &traffic{d: d, kind: kind{name: "first", method: http.MethodGet, path: distinct("/goka902/"), deadline: 8 * time.Second, retries: 1}}
	added := &traffic{d: d, kind: kind{name: "later", method: http.MethodGet, path: path, deadline: 8 * time.Second, retries: 1}}
	var clients sync.WaitGroup
	const length = 32 * time.Second
	began := time.Now()
	clients.Go(func() { old.run(20, length) })
	time.Sleep(2 * time.Second)
	d.publish(first, route{"r-planner", "/nono601/", safe, planner, 8000, 500})
	time.Sleep(apply + time.Second)
	clients.Go(func() { added.run(perSecond, length-time.Since(began)) })
	time.Sleep(4 * time.Second)
	steady := disturb().Add(contact)
	d.rec.add("steady", "state", fmt.Sprintf("from %.3f", steady.Sub(d.rec.started).Seconds()))
	clients.Wait()
	return laterRoute(old, added, steady, began.Add(length))
}

// playLostService: another writer writes, once for each backend of the planner, an entry whose service is not named anywhere. The
// backends live on and write their own entries at every heartbeat.
func playLostService(d *deployment, program string, trouble bool) string {
	return playLaterRoute(d, program, distinct("/nono601/"), 20, func() time.Time {
		for _, b := range d.backendsOf(planner) {
			if !trouble {
				break
			}
			b.mu.Lock()
			forged := b.entry()
			forged["service"], forged["seq"], forged["born"] = "nobody-names-this", 1, time.Now().UnixMilli()
			id := b.id
			b.mu.Unlock()
			d.rec.add("other-writer", id, fmt.Sprintf("entry of an unnamed service at revision %d", d.store.Put("servers/"+id, forged)))
		}
		return time.Now().Add(heartbeat)
	})
}

// playHotRequest: all backends of the planner crash for 4.5 s while clients ask it the same question.
func playHotRequest(d *deployment, program string, trouble bool) string {
	return playLaterRoute(d, program, always("/nono601/2f"), 80, func() time.Time {
		const down = 4500 * time.Millisecond
		for _, b := range d.backendsOf(planner) {
			if trouble {
				b.crash(down, "srv_crash all")
			}
		}
		time.Sleep(down)
		return time.Now()
	})
}

// playSpoiledStamp: for 5.5 s, three of the ten backends hand out 2 in 100 of their answers with wrong bytes.
func playSpoiledStamp(d *deployment, program string, trouble bool) string {
	d.addServices()
	d.publish(route{"r-ledger", "/goka902/", safe, ledger, 8000, 500}, route{"r-planner", "/nono601/", unsafe, planner, 8000, 500})
	d.startNodes(program)
	time.Sleep(contact)
	gets := &traffic{d: d, kind: kind{name: "get", method: http.MethodGet, path: distinct("/goka902/"), deadline: 8 * time.Second, retries: 1}}
	posts := &traffic{d: d, kind: kind{name: "post", method: http.MethodPost, path: distinct("/nono601/"), bodyBytes: 300, deadline: 8 * time.Second, retries: 1}}
	var clients sync.WaitGroup
	clients.Go(func() { gets.run(90, 14*time.Second) })
	clients.Go(func() { posts.run(45, 14*time.Second) })
	time.Sleep(4 * time.Second)
	setSpoil := func(spoil func(string) bool) {
		spoiling := append(d.backendsOf(ledger)[:2:2], d.backendsOf(planner)[0]) // a share of 0.3
		for _, b := range spoiling {
			b.mu.Lock()
			b.spoil = spoil
			b.mu.Unlock()
		}
	}
	if trouble {
		var mu sync.Mutex
		n := 0
		setSpoil(func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			n++
			return n%50 == 0
		})
	}
	time.Sleep(5500 * time.Millisecond)
	setSpoil(nil)
	clients.Wait()
	unsigned, first, total := 0, attempt{}, 0
	for _, a := range append(gets.all(), posts.all()...) {
		total++
		if a.status >= 200 && a.status < 300 && a.stamp == "" {
			if unsigned == 0 {
				first = a
			}
			unsigned++
		}
	}
	if unsigned > 0 {
		return fmt.Sprintf("MIXED: %d of %d answers are a success without the backend's X-Server-Stamp; the first: %s from %s", unsigned, total, first.id, first.node)
	}
	return ""
}

// playCrashAgain: a request that crashes each backend that runs it comes again every 1.2 s, at one node after the other, while two changes of the
// configuration add routes with longer prefixes.
func playCrashAgain(d *deployment, program string, trouble bool) string {
	d.addServices()
	routes := []route{{"r-ledger", "/goka902/", safe, ledger, 8000, 500}}
	d.publish(routes...)
	d.startNodes(program)
	time.Sleep(contact)
	gets := &traffic{d: d, kind: kind{name: "get", method: http.MethodGet, path: distinct("/goka902/"), deadline: 8 * time.Second, retries: 1}}
	var clients sync.WaitGroup
	const length = 40 * time.Second
	clients.Go(func() { gets.run(30, length) })
	const poison = "/goka902/ab/cd" + crashMarker + "1"
	clients.Go(func() {
		end := time.Now().Add(length)
		for i := 0; time.Now().Before(end); i++ {
			clients.Go(func() {
				d.send(d.nodes[i%len(d.nodes)], kind{name: "poison", method: http.MethodGet}, poison, 2*time.Second, "comes again")
			})
			time.Sleep(1200 * time.Millisecond)
		}
	})
	for i, prefix := range []string{"/goka902/ab/", "/goka902/ab/cd/"} {
		time.Sleep(14 * time.Second)
		if trouble {
			routes = append(routes, route{fmt.Sprintf("r-added-%d", i+1), prefix, safe, ledger, 8000, 500})
			d.publish(routes...)
		}
	}
	clients.Wait()
	var third time.Time
	crashes, late := 0, map[string]bool{}
	for _, r := range d.allRuns() {
		if r.uri != poison {
			continue
		}
		if crashes++; crashes == 3 {
			third = r.at
		}
		if crashes > 3 && r.at.Sub(third) > contact {
			late[r.id] = true
		}
	}
	d.rec.add("poison", "crashed", fmt.Sprintf("%d backends; retries that reached one later than contact_ms after the third crash: %d", crashes, len(late)))
	if crashes < 3 {
		must(fmt.Errorf("the request crashed %d backends only", crashes))
	}
	if len(late) > 3 {
		return fmt.Sprintf("BUDGET: %d retries of a request that crashes backends reached backends later than contact_ms after it had crashed the third; it crashed %d in all", len(late), crashes)
	}
	return ""
}

// fill returns routes that let the configuration grow to about the given number of bytes.
func fill(bytes int) (out []route) {
	const routeBytes = 230
	for i := range bytes / routeBytes {
		out = append(out, route{fmt.Sprintf("r-%060d", i), fmt.Sprintf("/fill%030d/", i), safe, ledger, 8000, 500})
	}
	return out
}

// playBigWatch: while the store is slow, large configurations come in quick succession. Afterwards the store is sound again, and the
// last version stays.
func playBigWatch(d *deployment, program string, trouble bool) string {
	d.addServices()
	routes := append([]route{{"r-ledger", "/goka902/", safe, ledger, 8000, 500}}, fill(950_000)...)
	d.publish(routes...)
	d.startNodes(program)
	time.Sleep(contact)
	gets := &traffic{d: d, kind: kind{name: "get", method: http.MethodGet, path: distinct("/goka902/"), deadline: 8 * time.Second, retries: 1}}
	var clients sync.WaitGroup
	clients.Go(func() { gets.run(20, 40*time.Second) })
	began := time.Now()
	const slowFor, history = 4500 * time.Millisecond, 20 * time.Second
	if trouble {
		d.store.SetDelay(240 * time.Millisecond)
		d.rec.add("store", "slow", "")
		sound := time.AfterFunc(slowFor, func() {
			d.store.SetDelay(0)
			d.rec.add("store", "sound", "")
		})
		defer sound.Stop()
		time.Sleep(500 * time.Millisecond)
		dropped := time.AfterFunc(history, func() {
			d.store.DropHistory()
			d.rec.add("store", "history", "dropped, 20 s after the first of these versions")
		})
		defer dropped.Stop()
		for range 24 {
			time.Sleep(60 * time.Millisecond)
			d.publish(routes...)
		}
	}
	d.publish(append(routes, route{"r-planner", "/nono601/", safe, planner, 8000, 500})...)
	time.Sleep(time.Until(began.Add(slowFor + contact + 500*time.Millisecond)))
	leaving := d.backendsOf(ledger)[0]
	accepted := leaving.drain()
	added := &traffic{d: d, kind: kind{name: "added", method: http.MethodGet, path: distinct("/nono601/"), deadline: 8 * time.Second, retries: 0}}
	added.run(20, 20*time.Second)
	clients.Wait()
	old, n := 0, 0
	for _, a := range added.all() {
		n++
		if a.status == http.StatusNotFound {
			old++
		}
	}
	late := 0
	for _, r := range d.allRuns() {
		if r.backend == leaving.id && r.at.Sub(accepted) > drainTime {
			late++
		}
	}
	d.rec.add("added", "route", fmt.Sprintf("%d of %d requests answered 404", old, n))
	d.rec.add("leaving", leaving.id, fmt.Sprintf("%d requests later than drain_ms after the store accepted that it drains", late))
	if old > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests on a route of the last version are refused with 404, in touch; beside it, DRAIN: %d requests reach a backend later than drain_ms after it drains", old, n, late)
	}
	return ""
}
