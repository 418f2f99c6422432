package httpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scriptedTarget is a target that serves each connection with a function. It counts the connections and the requests that
// it reads.
type scriptedTarget struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

// startTarget starts a target. handle receives the number n of each connection, counted from 1.
func startTarget(t *testing.T, handle func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader)) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scriptedTarget{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.accepted.Add(1))
			go func() {
				defer c.Close()
				handle(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// read reads one request and returns its id.
func (s *scriptedTarget) read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	s.requests.Add(1)
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), true
}

func respond(c net.Conn, id, body string) { respondWithExtra(c, id, body, "") }

// respondWithExtra sends a response and further bytes in one write, so that they arrive together.
func respondWithExtra(c net.Conn, id, body, more string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s%s", id, len(body), body, more)
}

const unmatchedResponse = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray"

// echo answers each request with a body that holds its id.
func echo(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
	for {
		id, ok := s.read(r)
		if !ok {
			return
		}
		respond(c, id, "body of "+id)
	}
}

func newCall(id string) *Call {
	return &Call{
		RequestHead: []byte("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"),
		MatchResponse: func(h http.Header) Match {
			switch h.Get("Id") {
			case "":
				return Unidentified
			case id:
				return Own
			default:
				return Foreign
			}
		},
	}
}

func do(p *Pool, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, newCall(id), func() error { return nil })
}

func asCallError(g *WithT, err error) *Error {
	var out *Error
	g.Expect(errors.As(err, &out)).To(BeTrue(), "%v", err)
	return out
}

// Guards against a new connection for each call: older targets need several milliseconds for one.
func TestConnectionReuse(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, echo)
	p := NewPool(Config{Address: s.address, MaxConnections: 2})
	defer p.Close()
	for i := range 5 {
		resp, err := do(p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(resp.Body)).To(Equal(fmt.Sprintf("body of %d", i)))
	}
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(1))
}

// Guards against a response that is accepted for another request, and against an incomplete one that passes as complete.
func TestIncompleteAndExtraResponses(t *testing.T) {
	for name, c := range map[string]struct {
		serveFirst func(c net.Conn, id string)
		kind       ErrorKind // of the first call; empty for success
	}{
		"truncated body": {func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nhalf", id)
		}, KindLost},
		"truncated header": {func(c net.Conn, id string) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId") }, KindMalformed},
		"no response":      {func(net.Conn, string) {}, KindLost},
		"not HTTP":         {func(c net.Conn, _ string) { fmt.Fprint(c, "\x00\x01garbage\r\n\r\n") }, KindMalformed},
		"bad chunk": {func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", id)
		}, KindMalformed},
		"no length, reset":          {resetMidBody, KindLost},
		"no length, orderly close":  {func(c net.Conn, id string) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nbody of %s", id, id) }, ""},
		"second response":           {func(c net.Conn, id string) { respondWithExtra(c, id, "body of "+id, unmatchedResponse) }, ""},
		"unmatched response before": {func(c net.Conn, id string) { respond(c, "other", "stray"); respond(c, id, "body of "+id) }, ""},
		"bytes after the response":  {func(c net.Conn, id string) { respondWithExtra(c, id, "body of "+id, "more") }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startTarget(t, func(s *scriptedTarget, n int, conn net.Conn, r *bufio.Reader) {
				if n > 1 {
					echo(s, n, conn, r)
					return
				}
				id, _ := s.read(r)
				c.serveFirst(conn, id)
			})
			p := NewPool(Config{Address: s.address, MaxConnections: 1})
			defer p.Close()
			resp, err := do(p, "1")
			if c.kind == "" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(resp.Body)).To(Equal("body of 1"))
			} else {
				g.Expect(asCallError(g, err).Kind).To(Equal(c.kind))
				g.Expect(asCallError(g, err).Written).To(BeTrue())
			}
			resp, err = do(p, "2")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(resp.Body)).To(Equal("body of 2"))
			g.Expect(s.requests.Load()).To(BeEquivalentTo(2), "no request is written twice")
		})
	}
}

// resetMidBody begins a response without a length and resets the connection.
func resetMidBody(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhalf", id)
	time.Sleep(20 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// Guards against a late second response to an earlier request that is taken for the response to the next one.
func TestLateSecondResponseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	next := make(chan struct{})
	s := startTarget(t, func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader) {
		id, _ := s.read(r)
		respond(c, id, "body of "+id)
		if n > 1 {
			return
		}
		id, _ = s.read(r)
		close(next)
		respond(c, "1", "late second response")
		respond(c, id, "body of "+id)
		_, _ = s.read(r)
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	_, err := do(p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := do(p, "2")
	g.Expect(err).NotTo(HaveOccurred())
	<-next
	g.Expect(string(resp.Body)).To(Equal("body of 2"))
	_, err = do(p, "3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(2), "a connection with foreign responses is not reused")
}

// Guards against a late second copy without an id that is taken for the response to the next request. The target named the
// requests of its responses before.
func TestLateUnidentifiedResponseIsNotAccepted(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(s, n, c, r)
			return
		}
		id, _ := s.read(r)
		respond(c, id, "body of "+id)
		id, _ = s.read(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody of 1")
		respond(c, id, "body of "+id)
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	_, err := do(p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = do(p, "2")
	g.Expect(asCallError(g, err)).To(And(HaveField("Kind", KindMalformed), HaveField("Written", true)))
	resp, err := do(p, "3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal("body of 3"))
}

// Guards against a target that never names the requests of its responses and is not used.
func TestUnidentifiedResponsesAreAcceptedWhereNoneIsNamed(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := s.read(r)
			if !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody of %s", id)
		}
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	for i := range 3 {
		resp, err := do(p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(resp.Body)).To(Equal(fmt.Sprintf("body of %d", i)))
	}
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(1))
}

// Guards against stray bytes that arrive before the next response and are taken for a part of it. Their origin is unknown,
// so the next call fails, but it never returns a wrong response.
func TestLateBytesFailNextCall(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(s, n, c, r)
			return
		}
		id, _ := s.read(r)
		respond(c, id, "body of "+id)
		id, _ = s.read(r)
		fmt.Fprint(c, "more")
		respond(c, id, "body of "+id)
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	_, err := do(p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = do(p, "2")
	g.Expect(asCallError(g, err).Kind).To(Equal(KindMalformed))
	g.Expect(asCallError(g, err).Written).To(BeTrue())
	resp, err := do(p, "3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal("body of 3"))
}

// Guards against more connections to a target than this node's share of the target's limit.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	var open, peak atomic.Int64
	s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		n := open.Add(1)
		defer open.Add(-1)
		for {
			if old := peak.Load(); n <= old || peak.CompareAndSwap(old, n) {
				break
			}
		}
		echo(s, 0, c, r)
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 3})
	defer p.Close()
	done := make(chan error)
	for i := range 40 {
		go func() { _, err := do(p, fmt.Sprint(i)); done <- err }()
	}
	for range 40 {
		g.Expect(<-done).To(Succeed())
	}
	g.Expect(peak.Load()).To(BeNumerically("<=", 3))
}

// Guards against a target that continues to work on a cancelled call.
func TestCancelClosesConnection(t *testing.T) {
	g := NewWithT(t)
	received, closed := make(chan struct{}), make(chan struct{})
	s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		_, _ = s.read(r)
		close(received)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	_, err := p.Do(ctx, newCall("1"), func() error { return nil })
	g.Expect(asCallError(g, err).Kind).To(Equal(KindCancelled))
	g.Expect(asCallError(g, err).Written).To(BeTrue())
	<-closed
}

// Guards against a request that is written on a connection that the target closed while it was idle, or that has been idle
// for longer than the call allows.
func TestClosedAndStaleConnectionsAreNotReused(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader) {
		if n == 1 {
			id, _ := s.read(r)
			respond(c, id, "")
			return // closes after its first response
		}
		echo(s, n, c, r)
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	for i := range 3 {
		_, err := do(p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() int { p.mu.Lock(); defer p.mu.Unlock(); return len(p.idle) }).Should(Equal(min(i, 1)))
	}
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(2))
	fresh := newCall("9")
	fresh.MaxIdle = -1
	_, err := p.Do(context.Background(), fresh, func() error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(3))
	g.Expect(s.requests.Load()).To(BeEquivalentTo(4))
}

// Guards against an untrue report of what was written, and against a request that is sent all the same: nothing is written
// when no connection can be opened or beforeWrite returns an error.
func TestErrorsReportNothingWritten(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, echo)
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	_, err := p.Do(context.Background(), newCall("1"), func() error { return errors.New("target is draining") })
	g.Expect(asCallError(g, err).Written).To(BeFalse())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	dead := NewPool(Config{Address: l.Addr().String(), MaxConnections: 1})
	_, err = do(dead, "1")
	g.Expect(asCallError(g, err)).To(HaveField("Written", false))
	g.Expect(asCallError(g, err)).To(HaveField("Refused", true))
	g.Expect(dead.RefusesConnections(context.Background())).To(BeTrue())
	g.Expect(p.RefusesConnections(context.Background())).To(BeFalse())
	g.Expect(s.requests.Load()).To(BeZero())
}

// Guards against the use of a connection that has been idle for longer than the target keeps it open.
func TestKeepAliveTimeout(t *testing.T) {
	g := NewWithT(t)
	for header, want := range map[string]time.Duration{
		"timeout=5": 3 * time.Second, "timeout=5, max=100": 3 * time.Second, "max=3": 0, "timeout=x": 0, "timeout=0": time.Nanosecond,
	} {
		c := &conn{}
		c.updateMaxIdle(http.Header{"Keep-Alive": {header}})
		g.Expect(c.maxIdle).To(Equal(want), header)
	}
}

// Guards against an answer that breaks off in its head, or in its body, and passes as complete: whatever part of it has arrived
// when the target closes the connection, the call fails.
func TestResponseCutAnywhereFails(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: a\r\nX-Server-Stamp: s\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunked": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"empty":   "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for cut := range len(response) {
				s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
					s.read(r)
					_, _ = io.WriteString(c, response[:cut])
				})
				p := NewPool(Config{Address: s.address, MaxConnections: 1})
				resp, err := p.Do(t.Context(), &Call{RequestHead: []byte("GET / HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")}, func() error { return nil })
				g.Expect(err).To(HaveOccurred(), "cut after %q: %+v", response[:cut], resp)
				p.Close()
			}
		})
	}
}

// Guards against an answer whose status is none (MIXED): it would be passed on, or skipped like an interim response, and what follows
// would be taken for the answer.
func TestResponseWithoutAValidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			s := startTarget(t, func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader) {
				id, ok := s.read(r)
				if !ok {
					return
				}
				if n > 1 {
					respond(c, id, "good")
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 %s None\r\nId: %s\r\nContent-Length: 0\r\n\r\n", status, id)
				respond(c, id, "late")
				_, _ = io.Copy(io.Discard, r) // until the caller closes the connection
			})
			p := NewPool(Config{Address: s.address, MaxConnections: 1})
			defer p.Close()
			_, err := do(p, "first")
			g.Expect(err).To(HaveOccurred())
			g.Expect(asCallError(g, err).Kind).To(Equal(KindMalformed))
			g.Expect(asCallError(g, err).Written).To(BeTrue(), "the request may have run")
			resp, err := do(p, "second")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(resp.Body)).To(Equal("good"))
			g.Expect(s.accepted.Load()).To(BeEquivalentTo(2), "the connection is not used again")
		})
	}
}

// Guards against interim responses that are taken for a failure.
func TestInterimResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.read(r)
		fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
		respond(c, id, "good")
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	resp, err := do(p, "first")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal("good"))
}
