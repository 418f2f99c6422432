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

// script is a target that serves each connection by a function. It counts connections and the requests that it read.
type script struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

// serve starts a target. Each connection gets its number, from 1.
func serve(t *testing.T, each func(s *script, n int, c net.Conn, r *bufio.Reader)) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &script{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.accepted.Add(1))
			go func() {
				defer c.Close()
				each(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// read reads one request and returns its id.
func (s *script) read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	s.requests.Add(1)
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), true
}

func answer(c net.Conn, id, body string) { answerWith(c, id, body, "") }

// answerWith sends an answer and further bytes in one piece, so that they arrive together.
func answerWith(c net.Conn, id, body, more string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s%s", id, len(body), body, more)
}

const stray = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray"

// echo answers each request with its id.
func echo(s *script, _ int, c net.Conn, r *bufio.Reader) {
	for {
		id, ok := s.read(r)
		if !ok {
			return
		}
		answer(c, id, "body of "+id)
	}
}

func call(id string) *Call {
	return &Call{
		Head: []byte("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"),
		Owns: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(p *Pool, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, call(id), func() error { return nil })
}

func failed(g *WithT, err error) *Error {
	var out *Error
	g.Expect(errors.As(err, &out)).To(BeTrue(), "%v", err)
	return out
}

// Guards against a new connection for each call, which costs an old target several milliseconds.
func TestConnectionIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, echo)
	p := NewPool(Config{Address: s.address, Connections: 2})
	defer p.Close()
	for i := range 5 {
		resp, err := do(p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(resp.Body)).To(Equal(fmt.Sprintf("body of %d", i)))
	}
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(1))
}

// Guards against an answer that is taken for that of another request, or an incomplete one that looks complete.
func TestAnswersThatAreNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		first func(c net.Conn, id string)
		kind  ErrorKind // of the first call; empty for success
	}{
		"cut body": {func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nhalf", id)
		}, KindLost},
		"cut header": {func(c net.Conn, id string) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId") }, KindMalformed},
		"no answer":  {func(net.Conn, string) {}, KindLost},
		"not HTTP":   {func(c net.Conn, _ string) { fmt.Fprint(c, "\x00\x01garbage\r\n\r\n") }, KindMalformed},
		"bad chunk": {func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", id)
		}, KindMalformed},
		"reset without a length": {reset, KindLost},
		"ends without a length":  {func(c net.Conn, id string) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nbody of %s", id, id) }, ""},
		"second answer":          {func(c net.Conn, id string) { answerWith(c, id, "body of "+id, stray) }, ""},
		"stray answer before":    {func(c net.Conn, id string) { answer(c, "other", "stray"); answer(c, id, "body of "+id) }, ""},
		"bytes after the answer": {func(c net.Conn, id string) { answerWith(c, id, "body of "+id, "more") }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(s *script, n int, conn net.Conn, r *bufio.Reader) {
				if n > 1 {
					echo(s, n, conn, r)
					return
				}
				id, _ := s.read(r)
				c.first(conn, id)
			})
			p := NewPool(Config{Address: s.address, Connections: 1})
			defer p.Close()
			resp, err := do(p, "1")
			if c.kind == "" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(resp.Body)).To(Equal("body of 1"))
			} else {
				g.Expect(failed(g, err).Kind).To(Equal(c.kind))
				g.Expect(failed(g, err).Written).To(BeTrue())
			}
			resp, err = do(p, "2")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(resp.Body)).To(Equal("body of 2"))
			g.Expect(s.requests.Load()).To(BeEquivalentTo(2), "no request is written twice")
		})
	}
}

// reset begins an answer without a length and resets the connection.
func reset(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhalf", id)
	time.Sleep(20 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// Guards against a second answer that arrives late, at the place of the next one.
func TestLateExtraAnswerIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	next := make(chan struct{})
	s := serve(t, func(s *script, n int, c net.Conn, r *bufio.Reader) {
		id, _ := s.read(r)
		answer(c, id, "body of "+id)
		if n > 1 {
			return
		}
		id, _ = s.read(r)
		close(next)
		answer(c, "1", "late second answer")
		answer(c, id, "body of "+id)
		_, _ = s.read(r)
	})
	p := NewPool(Config{Address: s.address, Connections: 1})
	defer p.Close()
	_, err := do(p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := do(p, "2")
	g.Expect(err).NotTo(HaveOccurred())
	<-next
	g.Expect(string(resp.Body)).To(Equal("body of 2"))
	_, err = do(p, "3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(2), "a connection with stray answers is not used again")
}

// Guards against bytes that arrive late, at the place of the next answer, and are taken for a part of it. They cost the
// next request its answer, since nothing tells what they are, but never give it a wrong one.
func TestLateBytesAreNoAnswer(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(s *script, n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(s, n, c, r)
			return
		}
		id, _ := s.read(r)
		answer(c, id, "body of "+id)
		id, _ = s.read(r)
		fmt.Fprint(c, "more")
		answer(c, id, "body of "+id)
	})
	p := NewPool(Config{Address: s.address, Connections: 1})
	defer p.Close()
	_, err := do(p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = do(p, "2")
	g.Expect(failed(g, err).Kind).To(Equal(KindMalformed))
	g.Expect(failed(g, err).Written).To(BeTrue())
	resp, err := do(p, "3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal("body of 3"))
}

// Guards against more connections to a target than this node's share of its limit.
func TestConnectionsStayBelowTheLimit(t *testing.T) {
	g := NewWithT(t)
	var open, most atomic.Int64
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		n := open.Add(1)
		defer open.Add(-1)
		for {
			if old := most.Load(); n <= old || most.CompareAndSwap(old, n) {
				break
			}
		}
		echo(s, 0, c, r)
	})
	p := NewPool(Config{Address: s.address, Connections: 3})
	defer p.Close()
	done := make(chan error)
	for i := range 40 {
		go func() { _, err := do(p, fmt.Sprint(i)); done <- err }()
	}
	for range 40 {
		g.Expect(<-done).To(Succeed())
	}
	g.Expect(most.Load()).To(BeNumerically("<=", 3))
}

// Guards against a target that works on for a caller that has left.
func TestCancellingEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	got, closed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		_, _ = s.read(r)
		close(got)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := NewPool(Config{Address: s.address, Connections: 1})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-got; cancel() }()
	_, err := p.Do(ctx, call("1"), func() error { return nil })
	g.Expect(failed(g, err).Kind).To(Equal(KindCancelled))
	g.Expect(failed(g, err).Written).To(BeTrue())
	<-closed
}

// Guards against a request that is written on a connection that its target closed while it was idle, or that is older
// than the request allows.
func TestClosedAndOldConnectionsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(s *script, n int, c net.Conn, r *bufio.Reader) {
		if n == 1 {
			id, _ := s.read(r)
			answer(c, id, "")
			return // closes after its first answer
		}
		echo(s, n, c, r)
	})
	p := NewPool(Config{Address: s.address, Connections: 1})
	defer p.Close()
	for i := range 3 {
		_, err := do(p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() int { p.mu.Lock(); defer p.mu.Unlock(); return len(p.idle) }).Should(Equal(min(i, 1)))
	}
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(2))
	fresh := call("9")
	fresh.MaxIdle = -1
	_, err := p.Do(context.Background(), fresh, func() error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.accepted.Load()).To(BeEquivalentTo(3))
	g.Expect(s.requests.Load()).To(BeEquivalentTo(4))
}

// Guards against a refusal that is not true: without a connection, or with a last-moment objection, nothing is written.
func TestNothingWrittenIsSaidSo(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, echo)
	p := NewPool(Config{Address: s.address, Connections: 1})
	defer p.Close()
	_, err := p.Do(context.Background(), call("1"), func() error { return errors.New("the target leaves") })
	g.Expect(failed(g, err).Written).To(BeFalse())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	dead := NewPool(Config{Address: l.Addr().String(), Connections: 1})
	_, err = do(dead, "1")
	g.Expect(failed(g, err)).To(HaveField("Written", false))
	g.Expect(failed(g, err)).To(HaveField("Refused", true))
	g.Expect(dead.Refuses(context.Background())).To(BeTrue())
	g.Expect(p.Refuses(context.Background())).To(BeFalse())
	g.Expect(s.requests.Load()).To(BeZero())
}

// Guards against the use of a connection for longer than the target keeps it.
func TestKeepAliveLimitIsLearned(t *testing.T) {
	g := NewWithT(t)
	for header, want := range map[string]time.Duration{
		"timeout=5": 3 * time.Second, "timeout=5, max=100": 3 * time.Second, "max=3": 0, "timeout=x": 0, "timeout=0": time.Nanosecond,
	} {
		c := &conn{}
		c.learn(http.Header{"Keep-Alive": {header}})
		g.Expect(c.maxIdle).To(Equal(want), header)
	}
}
