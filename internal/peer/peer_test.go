package peer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/creachadair/jrpc2/handler"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// pipeListener connects a pool and a server by net.Pipe, so that both run in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	dials  atomic.Int32
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	l.dials.Add(1)
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func failureKind(g *WithT, err error) peer.FailureKind {
	var failed *peer.Error
	g.Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
	return failed.Kind
}

// harness is a server with a pool that is connected to it.
type harness struct {
	listener *pipeListener
	server   *peer.Server
	pool     *peer.Pool
}

func newHarness(methods handler.Map) *harness {
	l := newPipeListener()
	h := &harness{listener: l, server: peer.NewServer(l, methods, peer.ServerConfig{}), pool: peer.NewPool(peer.PoolConfig{Dial: l.dial})}
	go h.server.Serve()
	return h
}

func (h *harness) close() {
	h.pool.Close()
	h.server.Close()
}

// Guards against a cancelled call that keeps a relay busy: the handler must see the cancellation.
func TestCancelReachesTheHandler(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cancelled := make(chan error, 1)
		h := newHarness(handler.Map{"wait": handler.New(func(ctx context.Context) error {
			<-ctx.Done()
			cancelled <- ctx.Err()
			return ctx.Err()
		})})
		defer h.close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		err := h.pool.Call(ctx, "a", "wait", nil, nil)
		g.Expect(failureKind(g, err)).To(Equal(peer.FailureTimeout))
		g.Expect(<-cancelled).To(MatchError(context.Canceled))
	})
}

// Guards against a search that waits for a paused relay until its deadline, and against a command that is given up early: its
// outcome would be unknown without need.
func TestSilentPeerFailsOnlyRetryableCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newPipeListener()
		pool := peer.NewPool(peer.PoolConfig{Dial: l.dial})
		silent := make(chan net.Conn, 1)
		go func() {
			conn, _ := l.Accept()
			silent <- conn // reads what is written, answers nothing
			buffer := make([]byte, 4096)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}()
		defer func() { pool.Close(); (<-silent).Close() }()
		start := time.Now()
		command := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { command <- pool.Call(ctx, "a", "relay.command", nil, nil) }()
		err := pool.Call(ctx, "a", "relay.search", nil, nil, peer.FailWhenSilent)
		g.Expect(failureKind(g, err)).To(Equal(peer.FailureLost))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 250*time.Millisecond))
		g.Expect(failureKind(g, <-command)).To(Equal(peer.FailureTimeout))
		g.Expect(time.Since(start)).To(Equal(time.Second))
	})
}

// Guards against a slow handler that counts as a lost peer: pings are answered while it runs.
func TestSlowHandlerIsNotSilent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(handler.Map{"slow": handler.New(func(context.Context) (int, error) {
			time.Sleep(2 * time.Second)
			return 7, nil
		})})
		defer h.close()
		var got int
		g.Expect(h.pool.Call(t.Context(), "a", "slow", nil, &got, peer.FailWhenSilent)).To(Succeed())
		g.Expect(got).To(Equal(7))
	})
}

// Guards against a failed request that is reported as not sent although its connection was open: the peer may have run it.
func TestOnlyFailedDialMeansNotSent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		started := make(chan struct{})
		h := newHarness(handler.Map{"run": handler.New(func(ctx context.Context) error {
			close(started)
			<-ctx.Done()
			return nil
		})})
		failed := make(chan error, 1)
		go func() { failed <- h.pool.Call(t.Context(), "a", "run", nil, nil) }()
		<-started
		g.Expect(h.server.Close()).To(Succeed())
		g.Expect(failureKind(g, <-failed)).To(Equal(peer.FailureLost))
		g.Expect(failureKind(g, h.pool.Call(t.Context(), "a", "run", nil, nil))).To(Equal(peer.FailureNotSent))
		h.pool.Close()
	})
}

// Guards against one connection per call, which would cost each pair of nodes its sockets.
func TestCallsShareOneConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(handler.Map{"echo": handler.New(func(_ context.Context, n []int) (int, error) {
			time.Sleep(time.Millisecond)
			return n[0], nil
		})})
		defer h.close()
		results := make(chan error, 50)
		for i := range 50 {
			go func() {
				var got int
				err := h.pool.Call(t.Context(), "a", "echo", []int{i}, &got)
				if err == nil && got != i {
					err = errors.New("answer of another call")
				}
				results <- err
			}()
		}
		for range 50 {
			g.Expect(<-results).To(Succeed())
		}
		g.Expect(h.listener.dials.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a panic of the RPC library when requests arrive while the server stops.
func TestCloseUnderLoad(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		server := peer.NewServer(l, handler.Map{"echo": handler.New(func(context.Context) (int, error) { return 1, nil })}, peer.ServerConfig{})
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		pool := peer.NewPool(peer.PoolConfig{})
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		var calls atomic.Int64
		for range 16 {
			callers.Go(func() {
				for ctx.Err() == nil {
					var got int
					if pool.Call(ctx, l.Addr().String(), "echo", nil, &got) == nil {
						calls.Add(1)
					}
				}
			})
		}
		g.Eventually(calls.Load).Should(BeNumerically(">", 100))
		g.Expect(server.Close()).To(Succeed())
		cancel()
		callers.Wait()
		pool.Close()
		g.Expect(<-served).To(Succeed())
	}
}
