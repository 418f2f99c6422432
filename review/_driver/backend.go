package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for one backend of the users' pages: it registers itself in the store, echoes request ids, answers 421 to requests
// that expect another backend, runs as many requests at once as it has slots, queues a few more and rejects the rest.
type backend struct {
	d       *deployment
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	address string

	mu       sync.Mutex // guards the fields below
	id       string
	born     int64
	seq      uint64
	starts   int
	server   *http.Server
	conns    map[net.Conn]bool
	down     bool
	draining bool
	lastBeat time.Time
	running  chan struct{}
	admitted chan struct{}
	spoil    func(requestID string) bool // whether the head of this answer is handed out with wrong bytes
}

// crashMarker in the path of a request makes each backend that begins to run it crash.
const crashMarker = "/crash-"

func (d *deployment) newBackend(service, zone string, slots, queue int, work time.Duration) *backend {
	l, err := net.Listen("tcp", d.ip+":0")
	must(err)
	b := &backend{d: d, service: service, zone: zone, slots: slots, queue: queue, work: work, address: l.Addr().String()}
	b.start(l)
	d.backends = append(d.backends, b)
	return b
}

// start begins a new incarnation, with a new id, and registers it.
func (b *backend) start(l net.Listener) {
	b.mu.Lock()
	b.starts++
	b.id = fmt.Sprintf("i-%s-%s-%d", b.service, b.address[strings.LastIndexByte(b.address, ':')+1:], b.starts)
	b.born, b.seq, b.down, b.conns = time.Now().UnixMilli(), 0, false, map[net.Conn]bool{}
	b.running, b.admitted = make(chan struct{}, b.slots), make(chan struct{}, b.slots+b.queue)
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 5 * time.Second, ConnState: b.trackConn}
	server := b.server
	b.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	b.beat()
}

func (b *backend) trackConn(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	}
}

// entry is what the backend writes about itself.
func (b *backend) entry() map[string]any {
	state := "ready"
	if b.draining {
		state = "draining"
	}
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state, "cold_left_ms": 0,
		"seq": b.seq, "born": b.born,
	}
}

// beat writes the entry, unless the backend is down.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.seq++
	b.lastBeat = time.Now()
	b.d.store.Put("servers/"+b.id, b.entry())
}

// drain reports that the backend leaves and returns when the store has accepted that. It serves until the end of the run.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.beat()
	b.d.rec.add("draining", b.id, "accepted by the store")
	return time.Now()
}

// crash ends the process of the backend: nothing listens, all connections are reset. It is back after the given time, with a new id. The entry
// of the crashed one is removed after three heartbeat intervals.
func (b *backend) crash(back time.Duration, cause string) {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return
	}
	b.down = true
	id, server, conns := b.id, b.server, b.conns
	left := 3*heartbeat - time.Since(b.lastBeat)
	b.mu.Unlock()
	b.d.rec.add("crash", id, cause)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(left, func() {
		b.d.store.Delete("servers/" + id)
		b.d.rec.add("entry-gone", id, "three heartbeat intervals of silence")
	})
	time.AfterFunc(back, func() {
		l, err := net.Listen("tcp", b.address)
		if err != nil {
			b.d.rec.add("not-back", id, err.Error())
			return
		}
		b.start(l)
		b.d.rec.add("back", b.id, "after "+back.String())
	})
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	own, running, admitted, spoil := b.id, b.running, b.admitted, b.spoil
	b.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if wanted := r.Header.Get("X-Target-Instance"); wanted != "" && wanted != own {
		w.Header().Set("X-Instance-Id", own)
		w.WriteHeader(http.StatusMisdirectedRequest)
		b.d.rec.add("misdirected", own, id)
		return
	}
	reject := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		b.d.rec.add("rejected", own, id)
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	select {
	case admitted <- struct{}{}:
		defer func() { <-admitted }()
	default:
		reject(http.StatusServiceUnavailable)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	select {
	case running <- struct{}{}:
		defer func() { <-running }()
	case <-ctx.Done():
		reject(http.StatusServiceUnavailable)
		return
	}
	b.d.rec.add("run", own, fmt.Sprintf("%s %s %s %s", id, r.Method, r.RequestURI, b.service))
	b.d.noteRun(run{id: id, backend: own, service: b.service, uri: r.RequestURI, at: time.Now()})
	if strings.Contains(r.RequestURI, crashMarker) {
		b.crash(2500*time.Millisecond, "ran "+id)
		panic(http.ErrAbortHandler)
	}
	stamp := own + "." + id
	select {
	case <-time.After(b.work):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			w.Header().Set("X-Server-Stamp", stamp)
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	stampHeader := "X-Server-Stamp"
	if spoil != nil && spoil(id) {
		stampHeader = "X-Sezver-Stamp" // one byte of the answer is wrong
		b.d.rec.add("spoiled", own, id)
	}
	w.Header().Set(stampHeader, stamp)
	answer := fmt.Sprintf("answer of %s to %s, %d bytes of body\n", b.service, id, len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
