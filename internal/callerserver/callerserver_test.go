package callerserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// harness runs a server whose handler blocks each request until the test releases it.
type harness struct {
	g           *WithT
	server      *Server
	listener    net.Listener
	started     chan string
	release     chan struct{}
	stopped     chan struct{}
	idleTimeout time.Duration
}

func startServer(t *testing.T, cfg Config) *harness {
	h := &harness{g: NewWithT(t), started: make(chan string, 10), release: make(chan struct{}), stopped: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	h.g.Expect(err).NotTo(HaveOccurred())
	h.listener = l
	cfg.IdleTimeout = func() time.Duration { return h.idleTimeout }
	log := logrus.New()
	log.SetOutput(io.Discard)
	inner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.started <- r.URL.Path
		<-h.release
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "done")
	})
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	h.server = NewServer(cfg, inner, refuse, logrus.NewEntry(log))
	go func() { _ = h.server.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return h
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() client {
	c, err := net.Dial("tcp", h.listener.Addr().String())
	h.g.Expect(err).NotTo(HaveOccurred())
	return client{c, bufio.NewReader(c)}
}

func (c client) send(path string) { fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

func (c client) readAnswer() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (h *harness) stop() {
	go func() { h.server.Stop(h.listener); close(h.stopped) }()
	h.g.Eventually(h.server.Stopping).Should(BeTrue())
}

var shortNotice = Config{BalancerNoticeTime: 200 * time.Millisecond, AcceptTime: time.Minute, StopTimeout: time.Minute}

// Guards against a request that is lost at a planned stop: one under way, one on a keep-alive connection, or one on a new
// connection that the load balancer opens before it has noticed the stop.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	h := startServer(t, shortNotice)
	kept, busy := h.dial(), h.dial()
	kept.send("/first")
	<-h.started
	h.release <- struct{}{}
	resp, _, err := kept.readAnswer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(resp.Close).To(BeFalse())
	busy.send("/busy")
	<-h.started
	h.stop()
	kept.send("/kept")
	fresh := h.dial()
	fresh.send("/fresh")
	<-h.started
	<-h.started
	for range 3 {
		h.release <- struct{}{}
	}
	for _, c := range []client{busy, kept, fresh} {
		resp, body, err := c.readAnswer()
		h.g.Expect(err).NotTo(HaveOccurred())
		h.g.Expect(body).To(Equal("done"))
		h.g.Expect(resp.Close).To(BeTrue(), "the caller must not use the connection again")
	}
	<-h.stopped
}

// Guards against a first request that is lost at a planned stop because a packet of it was retransmitted: the connection was
// accepted, and the callers' listener was closed before the request arrived.
func TestStopWaitsForFirstRequestOfNewConnections(t *testing.T) {
	h := startServer(t, Config{BalancerNoticeTime: 200 * time.Millisecond, FirstRequestTime: time.Minute, AcceptTime: time.Minute, StopTimeout: time.Minute})
	h.stop()
	fresh := h.dial()
	h.g.Eventually(func() error {
		c, err := net.Dial("tcp", h.listener.Addr().String())
		if err == nil {
			c.Close()
		}
		return err
	}).Should(HaveOccurred(), "the listener is closed")
	time.Sleep(10 * stopIdleTime)
	fresh.send("/late")
	h.g.Eventually(h.started).Should(Receive(Equal("/late")))
	h.release <- struct{}{}
	resp, body, err := fresh.readAnswer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(body).To(Equal("done"))
	h.g.Expect(resp.Close).To(BeTrue())
	<-h.stopped
}

// Guards against a stop that waits forever for connections without requests, or that closes the listener before the load
// balancer has noticed.
func TestStopClosesIdleConnectionsAfterBalancerNotice(t *testing.T) {
	h := startServer(t, shortNotice)
	idle := h.dial()
	h.stop()
	fresh := h.dial()
	fresh.send("/x")
	<-h.started
	h.release <- struct{}{}
	_, body, err := fresh.readAnswer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(body).To(Equal("done"))
	<-h.stopped
	_, err = idle.reader.ReadByte()
	h.g.Expect(err).To(Equal(io.EOF))
}

// Guards against a request that a stopping process accepts although it may exit before the answer.
func TestLateRequestIsRefused(t *testing.T) {
	h := startServer(t, Config{BalancerNoticeTime: 300 * time.Millisecond, StopTimeout: time.Minute})
	c := h.dial()
	h.stop()
	c.send("/late")
	resp, _, err := c.readAnswer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(resp.Close).To(BeTrue())
	h.g.Expect(h.started).To(BeEmpty())
	<-h.stopped
}

// Guards against a request that is passed to the handler although the server has closed its connection, so that its caller
// could not be answered. The test closes connections at the same moment as a request is sent on them.
func TestRequestsReadAfterCloseAreNotForwarded(t *testing.T) {
	h := startServer(t, shortNotice)
	unread, answered := 0, 0
	for i := range 200 {
		c := h.dial()
		c.send("/warm")
		<-h.started
		h.release <- struct{}{}
		_, _, err := c.readAnswer()
		h.g.Expect(err).NotTo(HaveOccurred())
		closed := make(chan struct{})
		go func() { now := time.Now(); h.server.closeIdle(now, now); close(closed) }()
		path := fmt.Sprintf("/cross%d", i)
		c.send(path)
		<-closed
		ended := make(chan error, 1)
		go func() { _, _, err := c.readAnswer(); ended <- err }()
		select {
		case got := <-h.started:
			h.g.Expect(got).To(Equal(path))
			h.release <- struct{}{}
			h.g.Expect(<-ended).To(Succeed(), "passed to the handler and not answered")
			answered++
		case err := <-ended:
			h.g.Expect(err).To(HaveOccurred(), "answered without having been passed to the handler")
			unread++
		}
		c.Close()
	}
	t.Logf("answered %d, closed before they were read %d", answered, unread)
}

// Guards against idle connections that are closed before the idle timeout, or never.
func TestCloseIdleRespectsIdleTime(t *testing.T) {
	h := startServer(t, shortNotice)
	h.dial()
	h.g.Eventually(func() int { h.server.mu.Lock(); defer h.server.mu.Unlock(); return len(h.server.conns) }).Should(Equal(1))
	now := time.Now()
	longAgo := now.Add(-time.Minute)
	h.g.Expect(h.server.closeIdle(longAgo, longAgo)).To(BeZero())
	h.g.Expect(h.server.closeIdle(now, now)).To(Equal(1))
}

// Guards against connections that outlive the stop: a process that is about to exit would read a request on one of them.
// The soak test found one with seed 135. The test opens connections until the listener is closed.
func TestStopLeavesNoConnection(t *testing.T) {
	h := startServer(t, shortNotice)
	h.stop()
	for {
		c, err := net.Dial("tcp", h.listener.Addr().String())
		if err != nil {
			break // the listener is closed
		}
		t.Cleanup(func() { c.Close() })
		time.Sleep(time.Millisecond)
	}
	<-h.stopped
	h.g.Expect(h.server.countOpenConnections()).To(BeZero())
}

// Guards against a request that was taken while the process was stopping and is cut without an answer at the end of the stop.
func TestStopAnswersRequestsThatDoNotEnd(t *testing.T) {
	h := startServer(t, Config{BalancerNoticeTime: 50 * time.Millisecond, AcceptTime: time.Minute, StopTimeout: 800 * time.Millisecond})
	h.server.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.started <- r.URL.Path
		<-r.Context().Done()
		h.g.Expect(context.Cause(r.Context())).To(MatchError(ErrStopping))
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	before := h.dial()
	before.send("/before")
	<-h.started
	h.stop()
	late := h.dial()
	late.send("/late")
	<-h.started
	for _, c := range []client{before, late} {
		h.g.Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		resp, _, err := c.readAnswer()
		h.g.Expect(err).NotTo(HaveOccurred())
		h.g.Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
	}
	<-h.stopped
}
