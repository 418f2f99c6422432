package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in server. By itself it is sound: it echoes the id of a request, signs its answers, answers 421 to a request
// that names another server and reports itself to the store on each heartbeat.
type backend struct {
	world       *world
	id, service string
	address     string
	slots       int
	work        time.Duration
	body        func(b *backend, requestID string) []byte
	fault       func(b *backend, conn net.Conn, r *http.Request) (answered bool) // nil for none
	onHeartbeat func(b *backend)                                                 // called after each heartbeat; nil for nothing
	listener    net.Listener
	born        int64
	slotTokens  chan struct{}
	stopped     chan struct{}

	mu    sync.Mutex // guards the fields below
	seq   int
	state string
	down  bool
	runs  []run
	conns map[net.Conn]bool
}

// run is a request that a backend began to work on.
type run struct {
	id, method, uri string
	at              time.Time
}

func (w *world) newBackend(id, service string, slots int, work time.Duration, body func(*backend, string) []byte) *backend {
	b := &backend{
		world: w, id: id, service: service, slots: slots, work: work, body: body, born: time.Now().UnixMilli(), state: "ready",
		slotTokens: make(chan struct{}, slots), conns: map[net.Conn]bool{}, stopped: make(chan struct{}),
	}
	w.backends = append(w.backends, b)
	return b
}

func (b *backend) start() {
	b.listener = b.world.listen()
	b.address = b.listener.Addr().String()
	b.world.record.line("backend %s of %s serves at %s", b.id, b.service, b.address)
	b.report()
	go b.accept(b.listener)
	go b.heartbeats()
}

func (b *backend) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) heartbeats() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-b.stopped:
			return
		case <-tick.C:
			b.mu.Lock()
			down := b.down
			b.mu.Unlock()
			if down {
				continue
			}
			b.report()
			if b.onHeartbeat != nil {
				b.onHeartbeat(b)
			}
		}
	}
}

// report writes the entry of the backend to the store.
func (b *backend) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.world.store.Put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": "a", "version": "v1", "slots": b.slots, "state": b.state, "cold_left_ms": 0,
		"seq": b.seq, "born": b.born,
	})
}

// crash ends the process of the backend: its connections and its port are closed, and it reports nothing.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = true
	b.listener.Close()
	for conn := range b.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as the end of a process with unread or unsent bytes
		}
		conn.Close()
	}
}

// restart starts the backend again under its id and at its address, as a new incarnation.
func (b *backend) restart() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.down, b.born, b.seq = l, false, time.Now().UnixMilli(), 0
	b.mu.Unlock()
	b.report()
	go b.accept(l)
	return nil
}

func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stopped:
		return
	default:
	}
	close(b.stopped)
	b.listener.Close()
	for conn := range b.conns {
		conn.Close()
	}
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !b.answer(conn, r) {
			return
		}
	}
}

// answer handles one request and reports whether the connection goes on.
func (b *backend) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" {
		return b.write(conn, 200, "X-Instance-Id: "+b.id+"\r\n", nil)
	}
	echo := "X-Request-Id: " + id + "\r\n"
	switch wanted := r.Header.Get("X-Target-Instance"); {
	case id == "":
		return b.write(conn, 400, "X-Not-Executed: 1\r\n", nil)
	case wanted != "" && wanted != b.id:
		b.world.record.line("backend %s of %s: 421 to %s, which names %s", b.id, b.service, id, wanted)
		return b.write(conn, 421, echo+"X-Not-Executed: 1\r\n", nil)
	}
	b.slotTokens <- struct{}{}
	defer func() { <-b.slotTokens }()
	b.mu.Lock()
	b.runs = append(b.runs, run{id, r.Method, r.RequestURI, time.Now()})
	b.mu.Unlock()
	b.world.record.line("backend %s of %s: runs %s %s %s, named %q, deadline %s ms", b.id, b.service, r.Method, r.RequestURI, id,
		r.Header.Get("X-Target-Instance"), r.Header.Get("X-Deadline-Ms"))
	time.Sleep(b.work)
	if b.fault != nil && b.fault(b, conn, r) {
		return false
	}
	return b.write(conn, 200, echo+"X-Server-Stamp: "+stamp(b.id, id)+"\r\n", b.body(b, id))
}

func (b *backend) write(conn net.Conn, status int, header string, body []byte) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

func (b *backend) runList() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// stamp is the signature of a backend's answer to a request.
func stamp(backendID, requestID string) string {
	h := fnv.New32a()
	h.Write([]byte(backendID + " " + requestID))
	return fmt.Sprintf("%s.%s.%08x", backendID, requestID, h.Sum32())
}

// stampOf returns the backend that signed an answer to a request, or false if the signature is none for it.
func (w *world) stampOf(signature, requestID string) (*backend, bool) {
	for _, b := range w.backends {
		if strings.TrimSpace(signature) == stamp(b.id, requestID) {
			return b, true
		}
	}
	return nil, false
}

// records returns the part of a search: two records of 16 bytes that name the service.
func records(b *backend, requestID string) []byte {
	h := fnv.New32a()
	h.Write([]byte(requestID + b.service))
	first := fmt.Sprintf("%08x%-8s", h.Sum32(), b.service)
	second := fmt.Sprintf("%08x%-8s", h.Sum32()/2, b.service)
	return []byte(second[:16] + first[:16])
}

// card returns the body of a single answer.
func card(b *backend, requestID string) []byte {
	return []byte("card of " + b.service + " for " + requestID)
}
