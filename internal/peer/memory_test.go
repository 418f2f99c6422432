package peer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/creachadair/jrpc2/handler"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/peer"
)

// memoryTest is a server with bounds, whose method "wait" runs until the test releases it.
type memoryTest struct {
	*WithT
	t       *testing.T
	server  *peer.Server
	address string
	waiting atomic.Int64
	release chan struct{}
}

func newMemoryTest(t *testing.T, cfg peer.ServerConfig) *memoryTest {
	m := &memoryTest{WithT: NewWithT(t), t: t, release: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	m.Expect(err).NotTo(HaveOccurred())
	m.address = l.Addr().String()
	m.server = peer.NewServer(l, handler.Map{
		"echo": handler.New(func(context.Context, struct{ Pad string }) (int, error) { return 1, nil }),
		"wait": handler.New(func(ctx context.Context, _ struct{ Pad string }) (int, error) {
			m.waiting.Add(1)
			select {
			case <-m.release:
			case <-ctx.Done():
			}
			return 1, nil
		}),
	}, cfg)
	go m.server.Serve()
	t.Cleanup(func() { m.server.Close() })
	return m
}

func (m *memoryTest) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", m.address)
	m.Expect(err).NotTo(HaveOccurred())
	m.t.Cleanup(func() { c.Close() })
	m.Expect(c.SetDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
	return c, bufio.NewReader(c)
}

// send sends a call, or a notification when id is 0.
func (m *memoryTest) send(c net.Conn, id int, method string, pad int) {
	idField := ""
	if id > 0 {
		idField = fmt.Sprintf(`"id":%d,`, id)
	}
	_, _ = fmt.Fprintf(c, `{"jsonrpc":"2.0",%s"method":%q,"params":{"pad":%q}}`+"\n", idField, method, strings.Repeat("p", pad)) // the server may have closed it
}

// Guards against memory of messages that is not given back: calls, notifications, both with an unknown method, and calls whose id is
// in use.
func TestMemoryOfMessagesIsGivenBack(t *testing.T) {
	m := newMemoryTest(t, peer.ServerConfig{MemoryBytes: 8 << 20, ConnectionShare: 1.0 / 16})
	c, r := m.dial()
	for i := range 30 {
		m.send(c, 3*i+1, "echo", 20000)
		m.send(c, 0, "echo", 20000)
		m.send(c, 3*i+2, "none", 20000)
		m.send(c, 0, "none", 20000)
		for range 2 {
			_, err := r.ReadString('\n')
			m.Expect(err).NotTo(HaveOccurred())
		}
	}
	m.send(c, 1000, "wait", 20000)
	m.send(c, 1000, "echo", 20000)
	answer, err := r.ReadString('\n')
	m.Expect(err).NotTo(HaveOccurred())
	m.Expect(answer).To(ContainSubstring("error"))
	m.Expect(m.server.MemoryUsed()).To(BeNumerically(">", 0))
	close(m.release)
	_, err = r.ReadString('\n')
	m.Expect(err).NotTo(HaveOccurred())
	m.Eventually(m.server.MemoryUsed).Should(BeZero())
}

// Guards against a connection whose messages are read without end while earlier ones are handled.
func TestConnectionWithManyCallsIsReadLater(t *testing.T) {
	m := newMemoryTest(t, peer.ServerConfig{MemoryBytes: 8 << 20, ConnectionShare: 1.0 / 16})
	c, r := m.dial()
	const calls = 50
	go func() {
		for i := range calls {
			m.send(c, i+1, "wait", 20000)
		}
	}()
	m.Eventually(m.waiting.Load).Should(BeNumerically(">=", 5))
	m.Consistently(m.waiting.Load, "300ms").Should(BeNumerically("<", 10), "a sixteenth of the memory is taken")
	close(m.release)
	for range calls {
		_, err := r.ReadString('\n')
		m.Expect(err).NotTo(HaveOccurred(), "each call is answered")
	}
}

// Guards against a peer that is not heard because others have taken all memory: it is heard, and those that hold most are closed.
func TestOrdinaryPeerIsHeardInACrowd(t *testing.T) {
	m := newMemoryTest(t, peer.ServerConfig{MemoryBytes: 1 << 20, ConnectionShare: 1.0 / 16})
	for range 40 {
		c, _ := m.dial()
		go func() {
			for i := range 100 {
				m.send(c, i+1, "wait", 5000)
			}
		}()
	}
	m.Eventually(m.server.MemoryUsed).Should(BeNumerically(">", 700<<10))
	for i := range 20 {
		c, r := m.dial()
		m.send(c, i+1, "echo", 100)
		answer, err := r.ReadString('\n')
		m.Expect(err).NotTo(HaveOccurred())
		m.Expect(answer).To(ContainSubstring("result"))
		m.Expect(m.server.MemoryUsed()).To(BeNumerically("<=", 1<<20))
	}
}

// Guards against a message that is never finished and keeps out others.
func TestUnfinishedMessageGivesWay(t *testing.T) {
	m := newMemoryTest(t, peer.ServerConfig{MemoryBytes: 1 << 20, ConnectionShare: 1.0 / 16})
	stalled, stalledReader := m.dial()
	_, err := io.WriteString(stalled, strings.Repeat("x", 200000))
	m.Expect(err).NotTo(HaveOccurred())
	m.Eventually(m.server.MemoryUsed).Should(BeNumerically(">", 700000))
	time.Sleep(400 * time.Millisecond) // nothing more arrives
	c, r := m.dial()
	m.send(c, 1, "echo", 100000)
	answer, err := r.ReadString('\n')
	m.Expect(err).NotTo(HaveOccurred())
	m.Expect(answer).To(ContainSubstring("result"))
	_, err = stalledReader.ReadByte()
	m.Expect(err).To(HaveOccurred(), "the connection is closed")
}
