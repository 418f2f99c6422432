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
	}, peer.ServerConfig{})
	go d.server.Serve()
	d.pool = peer.NewPool(peer.PoolConfig{Dial: d.network.Dialer("here"), Metrics: d.set})
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

// Guards against a command that is sent on a dead connection: its outcome would be unknown although it did not run.
func TestCommandIsNotSentOnASilentConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDistantPeer(g, 12*time.Millisecond)
		defer d.close()
		_, err := d.call(t, "run", time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		d.network.Silence(1)
		runs, err := d.call(t, "run", 500*time.Millisecond, peer.Confirmed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(runs).To(Equal(2), "the first call and the command, once")
		g.Expect(d.opened()).To(Equal(2))
	})
}

// Guards against a healthy connection that is replaced because answers take long or the link has a delay.
func TestSlowAnswersKeepTheConnection(t *testing.T) {
	for _, delay := range []time.Duration{0, 12 * time.Millisecond, 60 * time.Millisecond} {
		virtualtime.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			d := newDistantPeer(g, delay)
			defer d.close()
			for range 20 {
				_, err := d.call(t, "slow", 300*time.Millisecond)
				g.Expect(failureKind(g, err)).To(Equal(peer.FailureTimeout))
				_, err = d.call(t, "run", 300*time.Millisecond, peer.Confirmed)
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(d.opened()).To(Equal(1))
		})
	}
}

// Guards against calls that are cut off when their connection is replaced: a peer that is cut off for a while, or that stands
// still, delivers its answers afterwards.
func TestReplacedConnectionDeliversItsAnswers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDistantPeer(g, 5*time.Millisecond)
		defer d.close()
		patient := make(chan error, 1)
		go func() {
			answer, err := d.call(t, "slow", 10*time.Second)
			if err == nil {
				g.Expect(answer).To(Equal(7))
			}
			patient <- err
		}()
		time.Sleep(100 * time.Millisecond)
		d.network.Partition("here", "there")
		for range 4 {
			_, err := d.call(t, "run", 300*time.Millisecond)
			g.Expect(err).To(HaveOccurred())
		}
		time.Sleep(2 * time.Second)
		d.network.Heal("here", "there")
		g.Expect(<-patient).To(Succeed())
		_, err := d.call(t, "run", 300*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.opened()).To(Equal(2))
		time.Sleep(time.Second)
		open := d.set.GetOrCreateGauge("medlarshunt_peer_connections", nil).Get()
		g.Expect(open).To(BeEquivalentTo(1), "the replaced connection is closed after its last call")
	})
}

// Guards against a dead connection that outlives a search which fell silent on it: the retry of the next search would wait for
// the silence again.
func TestSilenceFoundByASearchReplacesTheConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDistantPeer(g, 5*time.Millisecond)
		defer d.close()
		_, err := d.call(t, "run", time.Second, peer.FailWhenSilent)
		g.Expect(err).NotTo(HaveOccurred())
		d.network.Silence(1)
		_, err = d.call(t, "run", time.Second, peer.FailWhenSilent)
		g.Expect(failureKind(g, err)).To(Equal(peer.FailureLost))
		_, err = d.call(t, "run", 100*time.Millisecond, peer.FailWhenSilent)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a connection that is opened while the pool closes and stays open for good.
func TestPoolClosedDuringADialKeepsNoConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDistantPeer(g, 50*time.Millisecond) // a dial takes 100 ms
		defer d.server.Close()
		failed := make(chan error, 1)
		go func() {
			_, err := d.call(t, "run", time.Second)
			failed <- err
		}()
		time.Sleep(20 * time.Millisecond)
		d.pool.Close()
		g.Expect(failureKind(g, <-failed)).To(Equal(peer.FailureNotSent))
		g.Expect(d.opened()).To(BeZero())
	})
}
