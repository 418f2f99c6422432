package netsim_test

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// Guards against in-memory connections that behave unlike TCP: written data must arrive before the end of the connection, a
// deadline must end a read, a dial to a port without a listener must be refused, and a write to a closed end must be reset.
func TestConnectionsInMemory(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := netsim.NewInMemory(time.Millisecond, 0, 1)
		l, err := n.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		_, err = n.Listen(address)
		g.Expect(err).To(MatchError(syscall.EADDRINUSE))
		go func() {
			c, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte("last words"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			g.Expect(c.Close()).To(Succeed())
		}()
		c, err := n.Dial(t.Context(), address)
		g.Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 64)
		read, err := c.Read(buffer)
		g.Expect(string(buffer[:read]), err).To(Equal("last words"))
		start := time.Now()
		g.Expect(c.SetReadDeadline(start.Add(100 * time.Millisecond))).To(Succeed())
		_, err = c.Read(buffer)
		g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		g.Expect(time.Since(start)).To(Equal(100 * time.Millisecond))
		g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		_, err = c.Read(buffer)
		g.Expect(err).To(MatchError(io.EOF))
		_, err = c.Write([]byte("too late"))
		g.Expect(err).To(MatchError(syscall.ECONNRESET))
		g.Expect(l.Close()).To(Succeed())
		_, err = n.Dial(t.Context(), address)
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})
}
