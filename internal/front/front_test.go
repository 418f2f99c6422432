package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// harness is a server whose requests wait for the test.
type harness struct {
	g       *WithT
	server  *Server
	l       net.Listener
	started chan string
	proceed chan struct{}
	stopped chan struct{}
	idle    time.Duration
}

func start(t *testing.T, cfg Config) *harness {
	h := &harness{g: NewWithT(t), started: make(chan string, 10), proceed: make(chan struct{}), stopped: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	h.g.Expect(err).NotTo(HaveOccurred())
	h.l = l
	cfg.IdleTimeout = func() time.Duration { return h.idle }
	log := logrus.New()
	log.SetOutput(io.Discard)
	inner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.started <- r.URL.Path
		<-h.proceed
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
	r *bufio.Reader
}

func (h *harness) dial() client {
	c, err := net.Dial("tcp", h.l.Addr().String())
	h.g.Expect(err).NotTo(HaveOccurred())
	return client{c, bufio.NewReader(c)}
}

func (c client) send(path string) { fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

func (c client) answer() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (h *harness) stop() {
	go func() { h.server.Stop(h.l); close(h.stopped) }()
	h.g.Eventually(h.server.Stopping).Should(BeTrue())
}

var quick = Config{NoticeTime: 200 * time.Millisecond, AcceptTime: time.Minute, StopTime: time.Minute}

// Guards against a request that is lost at a planned stop: under way, on a kept connection, or on a new one that the
// balancer sends before it has noticed.
func TestStopAnswersWhatWasRead(t *testing.T) {
	h := start(t, quick)
	kept, busy := h.dial(), h.dial()
	kept.send("/first")
	<-h.started
	h.proceed <- struct{}{}
	resp, _, err := kept.answer()
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
		h.proceed <- struct{}{}
	}
	for _, c := range []client{busy, kept, fresh} {
		resp, body, err := c.answer()
		h.g.Expect(err).NotTo(HaveOccurred())
		h.g.Expect(body).To(Equal("done"))
		h.g.Expect(resp.Close).To(BeTrue(), "the caller must not use the connection again")
	}
	<-h.stopped
}

// Guards against a first request that is lost at a planned stop because a packet of it had to be sent again: the connection
// was accepted, and the callers' listener was closed before the request arrived.
func TestStopAwaitsTheFirstRequestOfNewConnections(t *testing.T) {
	h := start(t, Config{NoticeTime: 200 * time.Millisecond, FirstRequestTime: time.Minute, AcceptTime: time.Minute, StopTime: time.Minute})
	h.stop()
	fresh := h.dial()
	h.g.Eventually(func() error {
		c, err := net.Dial("tcp", h.l.Addr().String())
		if err == nil {
			c.Close()
		}
		return err
	}).Should(HaveOccurred(), "the listener is closed")
	time.Sleep(10 * stopIdle)
	fresh.send("/late")
	h.g.Eventually(h.started).Should(Receive(Equal("/late")))
	h.proceed <- struct{}{}
	resp, body, err := fresh.answer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(body).To(Equal("done"))
	h.g.Expect(resp.Close).To(BeTrue())
	<-h.stopped
}

// Guards against a stop that hangs on connections without requests, or closes before the balancer has noticed.
func TestStopClosesIdleConnectionsAfterTheNotice(t *testing.T) {
	h := start(t, quick)
	idle := h.dial()
	h.stop()
	fresh := h.dial()
	fresh.send("/x")
	<-h.started
	h.proceed <- struct{}{}
	_, body, err := fresh.answer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(body).To(Equal("done"))
	<-h.stopped
	_, err = idle.r.ReadByte()
	h.g.Expect(err).To(Equal(io.EOF))
}

// Guards against a request that a stopping process takes although it may not live to answer it.
func TestLateRequestIsRefused(t *testing.T) {
	h := start(t, Config{NoticeTime: 300 * time.Millisecond, StopTime: time.Minute})
	c := h.dial()
	h.stop()
	c.send("/late")
	resp, _, err := c.answer()
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(resp.Close).To(BeTrue())
	h.g.Expect(h.started).To(BeEmpty())
	<-h.stopped
}

// Guards against a request that is passed on although this side has closed its connection: its caller could not be
// answered. Connections are closed and used at the same moments.
func TestRequestsThatCrossACloseAreNotPassedOn(t *testing.T) {
	h := start(t, quick)
	lost, answered := 0, 0
	for i := range 200 {
		c := h.dial()
		c.send("/warm")
		<-h.started
		h.proceed <- struct{}{}
		_, _, err := c.answer()
		h.g.Expect(err).NotTo(HaveOccurred())
		closed := make(chan struct{})
		go func() { now := time.Now(); h.server.closeIdle(now, now); close(closed) }()
		path := fmt.Sprintf("/cross%d", i)
		c.send(path)
		<-closed
		ended := make(chan error, 1)
		go func() { _, _, err := c.answer(); ended <- err }()
		select {
		case got := <-h.started:
			h.g.Expect(got).To(Equal(path))
			h.proceed <- struct{}{}
			h.g.Expect(<-ended).To(Succeed(), "passed on and not answered")
			answered++
		case err := <-ended:
			h.g.Expect(err).To(HaveOccurred(), "answered without having been passed on")
			lost++
		}
		c.Close()
	}
	t.Logf("answered %d, closed before they were read %d", answered, lost)
}

// Guards against idle connections that are closed before the published limit, or never.
func TestIdleLimitFollowsTheConfiguration(t *testing.T) {
	h := start(t, quick)
	h.dial()
	h.g.Eventually(func() int { h.server.mu.Lock(); defer h.server.mu.Unlock(); return len(h.server.conns) }).Should(Equal(1))
	now := time.Now()
	longAgo := now.Add(-time.Minute)
	h.g.Expect(h.server.closeIdle(longAgo, longAgo)).To(BeZero())
	h.g.Expect(h.server.closeIdle(now, now)).To(Equal(1))
}

// Guards against connections that outlive the stop: a request on one of them is read by a process that is about to end
// (soak seed 135). Callers connect until the listener is closed.
func TestStopLeavesNoConnection(t *testing.T) {
	h := start(t, quick)
	h.stop()
	for {
		c, err := net.Dial("tcp", h.l.Addr().String())
		if err != nil {
			break // the listener is closed
		}
		t.Cleanup(func() { c.Close() })
		time.Sleep(time.Millisecond)
	}
	<-h.stopped
	h.g.Expect(h.server.open()).To(BeZero())
}
