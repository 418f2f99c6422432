package netsim_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
)

// Guards against a deadlock between a change of a partition and traffic across it, which blocked a whole deployment.
func TestCutsUnderTraffic(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	n := netsim.New(0, time.Microsecond, 1)
	n.SetLocation(l.Addr().String(), "east")
	var traffic sync.WaitGroup
	for range 8 {
		c, err := n.Dialer("north")(t.Context(), l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		traffic.Go(func() {
			defer c.Close()
			buffer := make([]byte, 1)
			for range 2000 {
				if _, err := c.Write(buffer); err != nil {
					return
				}
				if _, err := io.ReadFull(c, buffer); err != nil {
					return
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { traffic.Wait(); close(done) }()
	for {
		select {
		case <-done:
			return
		default:
			n.Partition("north", "east")
			n.Heal("north", "east")
		}
	}
}

// Guards against a read that does not return when its connection is closed, after the other end closed during a partition.
func TestCloseDuringCutEndsReads(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	n := netsim.New(0, 0, 1)
	n.SetLocation(l.Addr().String(), "east")
	c, err := n.Dialer("north")(t.Context(), l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	n.Partition("north", "east")
	other := <-accepted
	_, err = other.Write([]byte("held back"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Close()).To(Succeed())
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 16))
		read <- err
	}()
	g.Consistently(read, 50*time.Millisecond).ShouldNot(Receive())
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(read).Should(Receive(MatchError(net.ErrClosed)))
}
