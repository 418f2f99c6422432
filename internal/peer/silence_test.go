package peer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/creachadair/jrpc2/handler"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// distantPeer is a server at the other end of a simulated network, with a pool that calls it.
type distantPeer struct {
	network *netsim.Network
	server  *peer.Server
	pool    *peer.Pool
	address string
	set     *metrics.Set
	runs    atomic.Int32 // of the method run
}

// newDistantPeer serves "run", which answers at once, and "slow", which answers after 2 s.
func newDistantPeer(g *WithT, oneWayDelay time.Duration) *distantPeer {
	d := &distantPeer{network: netsim.NewInMemory(oneWayDelay, 0, 1), set: metrics.NewSet()}
	l, err := d.network.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	d.address = l.Addr().String()
	d.network.SetLocation(d.address, "there")
	d.server = peer.NewServer(l, handler.Map{
		"run": handler.New(func(context.Context) (int, error) { return int(d.runs.Add(1)), nil }),
		"slow": handler.New(func(context.Context) (int, error) {
			time.Sleep(2 * time.Second)
			return 7, nil
		}),
	}, nil)
	go d.server.Serve()
	d.pool = peer.NewPool(d.network.Dialer("here"), d.set)
	return d
}

func (d *distantPeer) close() {
	d.pool.Close()
	d.server.Close()
}

// call calls a method and gives up after the timeout.
func (d *distantPeer) call(t *testing.T, method string, timeout time.Duration, opts ...peer.CallOption) (int, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var answer int
	err := d.pool.Call(ctx, d.address, method, nil, &answer, opts...)
	return answer, err
}

func (d *distantPeer) opened() int {
	return int(d.set.GetOrCreateCounter("medlarshunt_peer_connections_opened_total").Get())
}

// Guards against a connection that stays in use although it delivers nothing: each call would fail like the one before.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDistantPeer(g, 5*time.Millisecond)
		defer d.close()
		_, err := d.call(t, "run", time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.network.Silence(1)).To(Equal(1))
		_, err = d.call(t, "run", time.Second)
		g.Expect(failureKind(g, err)).To(Equal(peer.FailureTimeout))
		_, err = d.call(t, "run", 300*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.runs.Load()).To(BeEquivalentTo(2))
	})
}
