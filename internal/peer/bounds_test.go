package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/creachadair/jrpc2/handler"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/peer"
)

// startServer serves a method that panics and one that answers, and returns the address.
func startServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	serve(t, l)
	return l.Addr().String()
}

// serve serves a method that panics and one that answers on the listener, until the end of the test.
func serve(t *testing.T, l net.Listener) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := peer.NewServer(l, handler.Map{
		"panic": handler.New(func(context.Context, struct{}) (int, error) { panic("malformed message") }),
		"echo":  handler.New(func(context.Context, struct{}) (int, error) { return 1, nil }),
	}, peer.ServerConfig{Panics: panics.New(logrus.NewEntry(log), metrics.NewSet(), func() { t.Error("the process was stopped") })})
	go server.Serve()
	t.Cleanup(func() { server.Close() })
}

// expectServed calls the method that answers, on a new connection; a nil dial dials TCP.
func expectServed(g *WithT, address string, dial peer.DialFunc) {
	pool := peer.NewPool(peer.PoolConfig{Dial: dial})
	defer pool.Close()
	var answer int
	g.Expect(pool.Call(context.Background(), address, "echo", struct{}{}, &answer)).To(Succeed())
	g.Expect(answer).To(Equal(1))
}

// Guards against one message of a peer that ends the process or the connection of other calls.
func TestPanicInAPeerMessage(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t)
	pool := peer.NewPool(peer.PoolConfig{})
	defer pool.Close()
	var answer int
	g.Expect(pool.Call(t.Context(), address, "panic", struct{}{}, &answer)).NotTo(Succeed())
	g.Expect(pool.Call(t.Context(), address, "echo", struct{}{}, &answer)).To(Succeed())
}

// Guards against a peer whose message does not end: its connection is closed, and others are served.
func TestPeerMessageWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t)
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	block := strings.Repeat("x", 64<<10)
	sent := 0
	for err == nil && sent < 64<<20 {
		var n int
		n, err = io.WriteString(c, block)
		sent += n
	}
	g.Expect(err).To(HaveOccurred(), "the server reads without end")
	expectServed(g, address, nil)
}

// Guards against a server without end: the caller gives up its connection, and the call fails.
func TestPeerAnswerWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		block := strings.Repeat("x", 64<<10)
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	}()
	pool := peer.NewPool(peer.PoolConfig{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var answer int
	g.Expect(pool.Call(ctx, l.Addr().String(), "echo", struct{}{}, &answer)).NotTo(Succeed())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Eventually(closed, 5*time.Second).Should(BeClosed())
}

// Guards against a malformed notification whose connection ends before it is answered: the JSON-RPC library then panics in a
// goroutine of its own, and the process ends.
func TestMalformedNotificationAtTheEndOfAConnection(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t)
	for _, message := range []string{
		`[{"jsonrpc":"2.0","method":"rpc.cancel","pa` + "`" + `ams":[1]}]`, `{"jsonrpc":"2.0","method":"echo","extra":1}`, `{"jsonrpc":"1.0","method":"echo"}`,
		`{"jsonrpc":"2.0","method":"echo","params":7}`, `{"jsonrpc":"2.0","id":null,"method":"echo","x":0}`, `[]`, `{}`, `7`,
	} {
		for range 20 {
			c, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(c, message+"\n")
			g.Expect(err).NotTo(HaveOccurred())
			c.Close()
		}
	}
	expectServed(g, address, nil)
}

// FuzzPeerMessage guards against bytes of a peer that panic the server or stop it from serving others.
func FuzzPeerMessage(f *testing.F) {
	for _, seed := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"echo","params":{}}`, `{"jsonrpc":"2.0","id":null,"method":"panic"}`, `[]`, `[{}]`, `{`, "\x00", "",
		`{"jsonrpc":"2.0","id":{"a":1},"method":7}`, `[{"jsonrpc":"2.0","method":"rpc.cancel","params":[1]}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		g := NewWithT(t)
		l := newPipeListener()
		serve(t, l)
		c, err := l.dial(t.Context(), "")
		g.Expect(err).NotTo(HaveOccurred())
		_ = c.SetDeadline(time.Now().Add(time.Second)) // the server answers some messages before it reads on
		_, _ = c.Write(append(message, '\n'))
		c.Close()
		expectServed(g, "", l.dial)
	})
}
