// Package shardsim is a stand-in for a target of the users' platform: an HTTP/1.1 server with slots, a short queue, signed
// answers and switchable faults. It is for tests and the soak.
package shardsim

import (
	"bytes"
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

// RecordBytes is the size of a record of a part.
const RecordBytes = 16

// Config describes a target.
type Config struct {
	ID      string
	Service string
	Slots   int
	Queue   int           // requests that wait for a slot beyond Slots; 0 takes 12
	Work    time.Duration // time that a request takes
	Records int           // records of each answer; 0 takes 4
}

// Faults are switched on and off while the target runs.
type Faults struct {
	Paused      bool   // answers nothing until it is switched off
	Shed        bool   // refuses every request
	Error       bool   // answers 500, signed
	Busy        bool   // runs the request and answers 503, signed, without the proof that it did not run
	Extra       bool   // sends a second answer after each one
	Unframed    bool   // answers without a length
	Truncate    bool   // ends an answer early
	LoseAnswer  bool   // runs the request and resets the connection
	CrashMarker string // a request whose path holds it ends the process
}

// Run is one request that a target began to run.
type Run struct {
	ID       string
	Method   string
	URI      string
	Body     string
	Deadline string
	Started  time.Time
}

// Arrival is a request that reached a target, whether it ran or was refused.
type Arrival struct {
	ID string
	At time.Time
}

// Target is a stand-in target. mu guards the fields below it.
type Target struct {
	cfg   Config
	slots chan struct{}
	queue chan struct{}

	mu       sync.Mutex
	server   *http.Server
	faults   Faults
	wake     chan struct{}
	runs     []Run
	arrivals []Arrival
	rejected int
	cancels  int
	crashes  int
	draining bool
	// OnCrash is called when a marked request ends the process; nil is allowed. It is set before Serve.
	OnCrash func()
}

// New returns a target that is not served yet.
func New(c Config) *Target {
	if c.Queue == 0 {
		c.Queue = 12
	}
	if c.Records == 0 {
		c.Records = 4
	}
	t := &Target{cfg: c, slots: make(chan struct{}, c.Slots), queue: make(chan struct{}, c.Slots+c.Queue), wake: make(chan struct{})}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	return t
}

// Serve serves a listener until Close.
func (t *Target) Serve(l net.Listener) {
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	_ = server.Serve(l)
}

// Close ends the target: all connections are lost.
func (t *Target) Close() {
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	_ = server.Close() // its listener may be closed already
}

// SetFaults switches faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.wake)
	t.wake = make(chan struct{})
}

// Drain makes the target announce the end of its connections.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Runs returns the requests that the target began to run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Rejected returns the number of requests that the target refused to run, Cancels that of the runs whose caller left.
func (t *Target) Rejected() int { t.mu.Lock(); defer t.mu.Unlock(); return t.rejected }

// Cancels returns the number of runs whose caller left before their end.
func (t *Target) Cancels() int { t.mu.Lock(); defer t.mu.Unlock(); return t.cancels }

// Crashes returns the number of marked requests that ended the process.
func (t *Target) Crashes() int { t.mu.Lock(); defer t.mu.Unlock(); return t.crashes }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", t.cfg.ID)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != t.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.await(r.Context()) {
		return
	}
	f, draining := t.arrive(r.Header.Get("X-Request-Id"))
	if draining {
		w.Header().Set("Connection", "close")
	}
	if f.Shed || !t.enter() {
		t.reject(w)
		return
	}
	defer func() { <-t.queue }()
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	t.run(w, r, body, f)
}

func (t *Target) arrive(id string) (Faults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, Arrival{ID: id, At: time.Now()})
	return t.faults, t.draining
}

// Arrivals returns the requests that reached the target, oldest first.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// await waits while the target is paused.
func (t *Target) await(ctx context.Context) bool {
	for {
		t.mu.Lock()
		paused, wake := t.faults.Paused, t.wake
		t.mu.Unlock()
		if !paused {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *Target) enter() bool {
	select {
	case t.queue <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t *Target) reject(w http.ResponseWriter) {
	t.mu.Lock()
	t.rejected++
	t.mu.Unlock()
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run runs one request.
func (t *Target) run(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	run := Run{
		ID: r.Header.Get("X-Request-Id"), Method: r.Method, URI: r.RequestURI, Body: string(body),
		Deadline: r.Header.Get("X-Deadline-Ms"), Started: time.Now(),
	}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	if f.CrashMarker != "" && strings.Contains(r.RequestURI, f.CrashMarker) {
		t.crash()
	}
	select {
	case <-time.After(t.cfg.Work):
	case <-r.Context().Done():
		t.mu.Lock()
		t.cancels++
		t.mu.Unlock()
		return
	}
	t.answer(w, run, f)
}

// crash ends the process: the listener closes and all connections are lost.
func (t *Target) crash() {
	t.mu.Lock()
	t.crashes++
	hook := t.OnCrash
	t.mu.Unlock()
	t.Close()
	if hook != nil {
		hook()
	}
	panic(http.ErrAbortHandler)
}

// Signature is the signature of a target's answer to a request.
func Signature(target, requestID string) string { return target + "." + requestID }

// Body is the answer of a target to a request: records in no order, or plain bytes for the path /whole.
func (t *Target) Body(requestID string) []byte {
	var b bytes.Buffer
	for i := range t.cfg.Records {
		record := fmt.Sprintf("%04d%-12s", (i*7919+len(t.cfg.ID)*31+sum(t.cfg.Service+requestID))%10000, t.cfg.Service)
		b.WriteString(record[:RecordBytes])
	}
	return b.Bytes()
}

func sum(s string) (n int) {
	for _, c := range s {
		n += int(c)
	}
	return n * 97
}

func (t *Target) answer(w http.ResponseWriter, run Run, f Faults) {
	body := t.Body(run.ID)
	status := http.StatusOK
	if f.Error {
		status = http.StatusInternalServerError
	}
	if f.Busy {
		status = http.StatusServiceUnavailable
	}
	switch {
	case f.LoseAnswer:
		panic(http.ErrAbortHandler)
	case f.Truncate, f.Unframed, f.Extra:
		t.raw(w, run, f, status, body)
	default:
		w.Header().Set("X-Server-Stamp", Signature(t.cfg.ID, run.ID))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

// raw writes an answer with the faults that net/http would not write.
func (t *Target) raw(w http.ResponseWriter, run Run, f Faults, status int, body []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	write := func(id string, body []byte, length int) {
		fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n", status, http.StatusText(status), id, Signature(t.cfg.ID, id))
		if length >= 0 {
			fmt.Fprintf(buffer, "Content-Length: %d\r\n", length)
		}
		buffer.WriteString("\r\n")
		buffer.Write(body)
	}
	switch {
	case f.Truncate:
		write(run.ID, body[:len(body)/2], len(body))
	case f.Unframed:
		write(run.ID, body, -1)
	default:
		write(run.ID, body, len(body))
		write("stray-"+run.ID, []byte("stray"), 5)
	}
	_ = buffer.Flush()
	if f.Extra {
		// The connection stays open: the extra answer lies where the next one is expected.
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Restart serves a listener again after a crash or Close.
func (t *Target) Restart(l net.Listener) {
	t.mu.Lock()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	server := t.server
	t.mu.Unlock()
	_ = server.Serve(l)
}
