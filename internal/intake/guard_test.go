package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

// guardTest is a server with a guard, whose handler reads and returns the body.
type guardTest struct {
	*WithT
	budget  *intake.Budget
	address string
}

func startGuarded(t *testing.T, capacity int64, maxHeadBytes int) *guardTest {
	g := &guardTest{WithT: NewWithT(t), budget: intake.NewBudget(capacity, time.Now)}
	guard := intake.NewGuard(intake.Config{Budget: g.budget, MaxHeadBytes: func() int { return maxHeadBytes }})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			return
		}
		body, err := intake.ReadBody(w, r, 1<<20, time.Time{}, intake.AccountOf(r.Context()))
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(body) // the test reads the answer
	})}
	guard.Protect(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.address = l.Addr().String()
	go func() { _ = server.Serve(guard.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	return g
}

// dial opens a connection that the test closes at its end.
func (g *guardTest) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", g.address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
	return c, bufio.NewReader(c)
}

func (g *guardTest) expectStatus(r *bufio.Reader, status int) {
	resp, err := http.ReadResponse(r, nil)
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	g.ExpectWithOffset(1, resp.StatusCode).To(Equal(status))
}

// Guards against a head that is only refused when it is complete.
func TestHeadBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	g := startGuarded(t, 0, 1000)
	c, r := g.dial(t)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s", strings.Repeat("x", 5200))
	g.expectStatus(r, http.StatusRequestHeaderFieldsTooLarge)
	_, err := r.ReadByte()
	g.Expect(err).To(HaveOccurred())
	g.Eventually(g.budget.Used).Should(BeZero())
}

// Guards against memory that is not given back, or is counted for the wrong request, on a connection that is used again or pipelined.
func TestMemoryOfServedRequestsIsGivenBack(t *testing.T) {
	g := startGuarded(t, 1<<20, 1000)
	c, r := g.dial(t)
	for range 50 {
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("\n", 5000)+"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 3 {
			g.expectStatus(r, http.StatusOK)
		}
	}
	g.Eventually(g.budget.Used).Should(BeZero())
}

// Guards against incomplete heads and bodies that keep others out: a request that needs their memory closes the connection of the
// head and has the body refused.
func TestIncompleteRequestsGiveWayToOthers(t *testing.T) {
	for _, incomplete := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 2000),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("b", 400000),
	} {
		g := startGuarded(t, 1<<20, 0)
		held, heldReader := g.dial(t)
		fmt.Fprint(held, incomplete)
		g.Eventually(g.budget.Used).Should(BeNumerically(">", 400000))
		time.Sleep(400 * time.Millisecond) // nothing more arrives
		c, r := g.dial(t)
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("b", 400000))
		g.expectStatus(r, http.StatusOK)
		if strings.HasPrefix(incomplete, "POST") {
			g.expectStatus(heldReader, http.StatusServiceUnavailable)
		}
		_, err := heldReader.ReadByte()
		g.Expect(err).To(HaveOccurred())
		g.Eventually(g.budget.Used).Should(BeZero())
	}
}

// Guards against a connection that is held for good by a request whose body is neither read nor finished.
func TestUnreadBodyDoesNotHoldTheConnection(t *testing.T) {
	g := NewWithT(t)
	guard := intake.NewGuard(intake.Config{BodyTimeout: 100 * time.Millisecond})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })}
	guard.Protect(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(guard.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	test := &guardTest{WithT: g, address: l.Addr().String()}
	for _, head := range []string{"Content-Length: 1000\r\n\r\nb", "Transfer-Encoding: chunked\r\n\r\n1\r\nb"} {
		c, r := test.dial(t)
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
		test.expectStatus(r, http.StatusUnauthorized)
		_, err = r.ReadByte()
		g.Expect(err).To(HaveOccurred())
		g.Eventually(guard.OpenConnections, "10s").Should(BeZero())
	}
}

// Guards against a client that reads no answer and holds the memory of the request and its answer for good, and against one that
// reads slowly and is cut off.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan error, 1)
	answer := strings.Repeat("a", 16<<20)
	guard := intake.NewGuard(intake.Config{WriteTimeout: 500 * time.Millisecond})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, answer)
		ended <- err
	})}
	guard.Protect(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(guard.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	test := &guardTest{WithT: g, address: l.Addr().String()}

	c, _ := test.dial(t)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Eventually(ended, "20s").Should(Receive(HaveOccurred()))

	slow, r := test.dial(t)
	fmt.Fprint(slow, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for received := int64(0); received < int64(len(answer)); {
		time.Sleep(50 * time.Millisecond)
		n, err := io.CopyN(io.Discard, resp.Body, int64(len(answer))/16)
		g.Expect(err).NotTo(HaveOccurred())
		received += n
	}
	g.Eventually(ended, "20s").Should(Receive(BeNil()))
}
