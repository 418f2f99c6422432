package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/memlimit"
)

// endless sends start and then repeats next until the caller closes the connection. It reports the bytes sent.
func endless(start, next string, sent chan<- int) func(*scriptedTarget, int, net.Conn, *bufio.Reader) {
	block := []byte(strings.Repeat(next, 64<<10/len(next)+1))
	return func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.read(r)
		total, _ := fmt.Fprintf(c, start, id)
		for {
			n, err := c.Write(block)
			total += n
			if err != nil {
				sent <- total
				return
			}
		}
	}
}

const (
	// endlessLimit is the largest body of the calls in TestResponsesWithoutEnd.
	endlessLimit = 1 << 20
	// maxEndlessAlloc bounds the memory that one response without end takes: a buffer that doubles up to the largest body.
	maxEndlessAlloc = 3 * endlessLimit
	// maxSocketBuffers bounds what the sockets of both sides hold beyond the bytes read.
	maxSocketBuffers = 16 << 20
)

// Guards against a response without end that takes the process down, and against a claimed length that is allocated at once.
// Each is given up long before the deadline of the call, and the connection is closed.
func TestResponsesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\n"
	for name, c := range map[string]struct{ start, next string }{
		"status line":                {"HTTP/1.1 200 %s", "x"},
		"no line at all":             {"%.0s", "x"},
		"header line":                {head + "X: ", "x"},
		"header lines":               {head, "X: y\r\n"},
		"interim responses":          {"%.0s", "HTTP/1.1 100 Continue\r\n\r\n"},
		"responses to other calls":   {"%.0s", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"body without a length":      {head + "\r\n", "x"},
		"body of a claimed length":   {head + "Content-Length: 9000000000000\r\n\r\n", "x"},
		"chunks":                     {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nwxyz\r\n"},
		"one chunk":                  {head + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x"},
		"chunk extension":            {head + "Transfer-Encoding: chunked\r\n\r\n4;x=", "y"},
		"chunks with long extension": {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("y", 2000) + "\r\nz\r\n"},
		"trailer line":               {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
		"trailer lines":              {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sent := make(chan int, 1)
			s := startTarget(t, endless(c.start, c.next, sent))
			p := NewPool(Config{Address: s.address, MaxConnections: 1})
			defer p.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			call := newCall("1")
			call.MaxResponseBytes = endlessLimit
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := p.Do(ctx, call, func() error { return nil })
			runtime.ReadMemStats(&after)
			g.Expect(asCallError(g, err).Kind).To(BeElementOf(KindTooLarge, KindMalformed))
			g.Expect(asCallError(g, err).Written).To(BeTrue())
			g.Expect(<-sent).To(BeNumerically("<", 2*endlessLimit+maxSocketBuffers), "the connection is closed")
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxEndlessAlloc))
		})
	}
}

// Guards against a claimed length for which memory is allocated before any byte of the body has arrived.
func TestClaimedLengthAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.read(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, maxResponseBytes)
		<-release
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 1})
	defer p.Close()
	limit := memlimit.New(maxResponseBytes)
	call := newCall("1")
	call.Reserve = limit.Open().Reserve
	failed := make(chan error)
	go func() {
		_, err := p.Do(t.Context(), call, func() error { return nil })
		failed <- err
	}()
	g.Eventually(limit.Used, 5*time.Second, time.Millisecond).Should(BeNumerically(">", 0))
	g.Expect(limit.Used()).To(BeNumerically("<=", initialBodyBytes))
	close(release)
	g.Expect(asCallError(g, <-failed).Kind).To(Equal(KindLost))
}

// Guards against bodies that each stay within the limit of a call but together exceed the memory of the process, and against a
// reason that blames the target for it.
func TestBodiesShareTheMemoryLimit(t *testing.T) {
	g := NewWithT(t)
	s := startTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		id, _ := s.read(r)
		respond(c, id, strings.Repeat("x", 64<<10))
	})
	p := NewPool(Config{Address: s.address, MaxConnections: 4})
	defer p.Close()
	limit := memlimit.New(100 << 10)
	answered := 0
	for i := range 4 {
		call := newCall(fmt.Sprint(i))
		call.Reserve = limit.Open().Reserve
		if _, err := p.Do(t.Context(), call, func() error { return nil }); err != nil {
			g.Expect(asCallError(g, err)).To(And(HaveField("Kind", KindNoMemory), HaveField("Written", true)))
			continue
		}
		answered++
	}
	g.Expect(answered).To(Equal(1))
	g.Expect(limit.Used()).To(BeNumerically("<=", 100<<10))
}

// FuzzResponse guards against bytes that panic the decoder, make it read without end, or are accepted beyond the limits.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: 1\r\n\r\nrest",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"\r\n\r\n", "\x00\xff", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n\x81\x00",
	} {
		f.Add([]byte(seed))
	}
	const limit = 1 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &conn{reader: bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)}
		reserved := 0
		call := &Call{
			MaxResponseBytes: limit, MatchResponse: newCall("1").MatchResponse,
			Reserve: func(n int) error { reserved += n; return nil },
		}
		res := c.readResponse(call)
		if res.err == nil && len(res.resp.Body) > limit {
			t.Fatalf("accepted a body of %d bytes", len(res.resp.Body))
		}
		if most := (maxSkippedResponses + 1) * 2 * (limit + 1); reserved > most {
			t.Fatalf("reserved %d bytes", reserved)
		}
		if res.reusable && c.reader.Buffered() > 0 {
			t.Fatal("a connection with bytes left is reused")
		}
		_, _ = io.Copy(io.Discard, c.reader)
	})
}
