package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int // 0 when the connection ended or the time was up first
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends one request on a connection of its own and reads the answer.
func (w *world) send(n *node, method, uri, id string, deadline time.Duration, body []byte) (a answer) {
	started := time.Now()
	a.id = id
	w.record.line("client: sends %s %s %s to %s, deadline %d ms", method, uri, id, n.name, deadline.Milliseconds())
	defer func() {
		a.took = time.Since(started)
		if a.err != nil {
			w.record.line("client: %s has no whole answer after %d ms: %v", id, a.took.Milliseconds(), a.err)
			return
		}
		w.record.line("client: %s gets %d after %d ms, stamp %q, parts %q, missing %q, %d bytes %.60q", id, a.status, a.took.Milliseconds(),
			a.header.Get("X-Server-Stamp"), a.header.Get("X-Part-Stamps"), a.header.Get("X-Missing-Parts"), len(a.body), a.body)
	}()
	conn, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(started.Add(deadline))
	if _, err := conn.Write(requestBytes(method, uri, id, deadline, body)); err != nil {
		a.err = err
		return a
	}
	a.read(bufio.NewReader(conn), method)
	return a
}

func requestBytes(method, uri, id string, deadline time.Duration, body []byte) []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, requestHost, id, deadline.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return append([]byte(head+"\r\n"), body...)
}

// read reads one whole answer.
func (a *answer) read(r *bufio.Reader, method string) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.header, a.body = resp.StatusCode, resp.Header, body
}

// sentRequest is an answer with the time at which its request was sent.
type sentRequest struct {
	at     time.Time
	answer answer
}
