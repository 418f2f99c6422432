package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// delayed returns the address of a proxy that forwards connections and delays each direction.
func (d *deployment) delayed(to string, delay time.Duration) string {
	l, err := net.Listen("tcp", d.ip+":0")
	must(err)
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				target, err := net.Dial("tcp", to)
				if err != nil {
					_ = caller.Close()
					return
				}
				go forward(target, caller, delay)
				forward(caller, target, delay)
			}()
		}
	}()
	return l.Addr().String()
}

// forward copies what src sends, and its end, to dst after a delay.
func forward(dst, src net.Conn, delay time.Duration) {
	type chunk struct {
		due  time.Time
		data []byte // nil for the end
	}
	chunks := make(chan chunk, 1024)
	go func() {
		for c := range chunks {
			time.Sleep(time.Until(c.due))
			if c.data == nil {
				_ = dst.Close()
			} else {
				_, _ = dst.Write(c.data)
			}
		}
	}()
	for {
		buffer := make([]byte, 4096)
		n, err := src.Read(buffer)
		if n > 0 {
			chunks <- chunk{time.Now().Add(delay), buffer[:n]}
		}
		if err != nil {
			chunks <- chunk{due: time.Now().Add(delay)}
			close(chunks)
			return
		}
	}
}

// pausing is a backend in another region that turns a share of its requests away with 503 and Retry-After. mu guards arrivals.
type pausing struct {
	share float64
	pause time.Duration

	mu       sync.Mutex
	arrivals map[string][]arrival // by node
}

type arrival struct {
	at      time.Time
	refused bool
}

// refuses notes a request and reports whether it is turned away.
func (p *pausing) refuses(node string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	refused := rand.Float64() < p.share
	p.arrivals[node] = append(p.arrivals[node], arrival{time.Now(), refused})
	return refused
}

// mostInPause returns the most requests of one node between half a second after a refusal and the end of its pause.
func (p *pausing) mostInPause() (most int, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, list := range p.arrivals {
		for i, refusal := range list {
			count := 0
			for _, a := range list[i+1:] {
				if gap := a.at.Sub(refusal.at); refusal.refused && gap > 500*time.Millisecond && gap < p.pause {
					count++
				}
			}
			if count > most {
				most, node = count, name
			}
		}
	}
	return most, node
}

// answerAfterWork serves one backend whose requests take 100 to 140 ms. before may answer a request first.
func (d *deployment) answerAfterWork(id string, before func(http.ResponseWriter, *http.Request) bool) string {
	l, err := net.Listen("tcp", d.ip+":0")
	must(err)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		request := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", request)
		if before(w, r) {
			return
		}
		d.rec.add("run", id, request)
		select {
		case <-time.After(time.Duration(100+rand.IntN(40)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("X-Server-Stamp", id+"."+request)
		_, _ = io.WriteString(w, "answer to "+request)
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// playUnheardRefusal: a backend in another region (8 ms one way) turns away 45 in 100 requests and wants nothing from that node for 3 s. It
// gets mostly hedges, and the near backend answers before the refusal of most of them is back.
func playUnheardRefusal(d *deployment, program string, trouble bool) string {
	far := &pausing{pause: 3 * time.Second, arrivals: map[string][]arrival{}}
	if trouble {
		far.share = 0.45
	}
	register := func(id, address, zone string) {
		d.store.Put("servers/"+id, map[string]any{
			"service": ledger, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1,
			"born": time.Now().UnixMilli(),
		})
	}
	for i := range 3 {
		id := fmt.Sprintf("i-near-%d", i)
		register(id, d.answerAfterWork(id, func(http.ResponseWriter, *http.Request) bool { return false }), "sudvestur-a")
	}
	register("i-far", d.delayed(d.answerAfterWork("i-far", func(w http.ResponseWriter, r *http.Request) bool {
		node, _, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, "/goka902/"), "/")
		if !far.refuses(node) {
			return false
		}
		d.rec.add("refused", "i-far", fmt.Sprintf("%s of %s, Retry-After 3", r.Header.Get("X-Request-Id"), node))
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}), 8*time.Millisecond), "nordur-a")
	d.publish(route{"r-ledger", "/goka902/", safe, ledger, 8000, 500})
	d.startNodes(program)
	time.Sleep(contact)
	var clients sync.WaitGroup
	for _, n := range d.nodes[:3] {
		clients.Go(func() {
			k := kind{name: "get", method: http.MethodGet}
			end := time.Now().Add(40 * time.Second)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * 50 * float64(time.Millisecond)))
				clients.Go(func() { d.send(n, k, fmt.Sprintf("/goka902/%s/%x", n.name, rand.Uint32()), 8*time.Second, "first") })
			}
		})
	}
	clients.Wait()
	most, node := far.mostInPause()
	d.rec.add("pauses", "i-far", fmt.Sprintf("most requests of one node in a pause: %d, %s", most, node))
	if most > 2 {
		return fmt.Sprintf("BUDGET: %d requests of %s reach a backend in a time for which it wanted none", most, node)
	}
	return ""
}
