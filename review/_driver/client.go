package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// kind is one kind of requests that clients send.
type kind struct {
	name, method string
	path         func(n int) string
	bodyBytes    int
	deadline     time.Duration
	retries      int // of the client
}

// attempt is one attempt of a client with its answer.
type attempt struct {
	kind, id, path, node string
	sentAt               time.Time
	status               int // 0: no answer
	stamp                string
	body                 string
	err                  string
}

// ok reports a success with the signature of a backend.
func (a attempt) ok() bool { return a.status >= 200 && a.status < 300 && a.stamp != "" }

// traffic sends requests of one kind at a rate, at random moments, to random nodes, and collects the attempts.
type traffic struct {
	d    *deployment
	kind kind

	mu       sync.Mutex // guards attempts and n
	attempts []attempt
	n        int
	pending  sync.WaitGroup
}

var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true}, // each attempt opens a connection: nothing is sent twice
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// run sends until the time is over, and waits for the answers.
func (t *traffic) run(perSecond float64, length time.Duration) {
	end := time.Now().Add(length)
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		t.pending.Go(t.request)
	}
	t.pending.Wait()
}

// request sends one request as a client does: after a failure once more, on a new connection to another node, within the deadline.
func (t *traffic) request() {
	t.mu.Lock()
	t.n++
	n := t.n
	t.mu.Unlock()
	deadline := time.Now().Add(t.kind.deadline)
	path := t.kind.path(n)
	for try := range t.kind.retries + 1 {
		left := time.Until(deadline)
		if left < 20*time.Millisecond {
			return
		}
		node := t.d.nodes[rand.IntN(len(t.d.nodes))]
		a, retryAfter := t.d.send(node, t.kind, path, left, fmt.Sprintf("%s %d.%d", t.kind.name, n, try))
		t.mu.Lock()
		t.attempts = append(t.attempts, a)
		t.mu.Unlock()
		promised := a.status == 429 || a.status == 503
		if a.ok() || a.status == 400 || a.status == 404 || t.kind.method != http.MethodGet && !promised {
			return
		}
		time.Sleep(min(max(retryAfter, 10*time.Millisecond), time.Until(deadline)/3))
	}
}

// send sends one attempt to a node and records it with its answer.
func (d *deployment) send(n *node, k kind, path string, left time.Duration, note string) (a attempt, retryAfter time.Duration) {
	a = attempt{kind: k.name, id: fmt.Sprintf("%016x", rand.Uint64()), path: path, node: n.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if k.bodyBytes > 0 {
		body = bytes.NewReader(bytes.Repeat([]byte("b"), k.bodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+n.front+path, body)
	must(err)
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	d.rec.add("sent", n.name, fmt.Sprintf("%s %s %s (%s)", a.id, k.method, path, note))
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		_ = resp.Body.Close()
		a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(text)
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if err != nil {
		a.err, a.status = err.Error(), 0
	}
	detail := fmt.Sprintf("%s %d stamp %q", a.id, a.status, a.stamp)
	if !a.ok() {
		detail += fmt.Sprintf(" retry-after %s body %q %s", retryAfter, a.body[:min(len(a.body), 80)], a.err)
	}
	d.rec.add("answered", n.name, detail)
	return a, retryAfter
}

func (t *traffic) all() []attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]attempt(nil), t.attempts...)
}
