package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/gateway"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/platform"
)

// changingSource is a store to which the test publishes configurations. mu guards its fields.
type changingSource struct {
	mu      sync.Mutex
	updates []published.Update
	changed chan struct{} // closed at the next change
}

func newChangingSource() *changingSource {
	s := &changingSource{changed: make(chan struct{})}
	s.publish(1)
	return s
}

// publish publishes a configuration as the given version and revision.
func (s *changingSource) publish(version uint64) {
	c := &routing.Configuration{
		Version: version, Services: []routing.Service{{Name: service, MaxConnections: 20}},
		Routes: []routing.Route{{Name: "one", Host: host, Prefix: "/", Kind: routing.Idempotent, Service: service, MaxTargets: 1, Timeout: time.Second}},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, published.Update{Revision: version, Configuration: c})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *changingSource) List(context.Context) (published.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.updates[len(s.updates)-1]
	return published.Listing{Updates: []published.Update{last}, AsOf: last.Revision}, nil
}

func (s *changingSource) Watch(ctx context.Context, after uint64, wait time.Duration) ([]published.Update, uint64, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		var updates []published.Update
		for _, u := range s.updates {
			if u.Revision > after {
				updates = append(updates, u)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(updates) > 0 {
			return updates, updates[len(updates)-1].Revision, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// startSilenceable starts a node whose connections to other nodes go through the network.
func startSilenceable(t *testing.T, g *WithT, network *netsim.Network, name string, source published.Source, seeds []string) (peerAddress string, version func() int) {
	listen := func() net.Listener {
		l, err := network.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		network.SetLocation(l.Addr().String(), name)
		return l
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(t.Output())
	}
	set, peers := metrics.NewSet(), listen()
	gw, err := gateway.New(gateway.Config{
		Node: name, Domain: "north", Regions: map[string]string{"north": "r"}, Seeds: seeds, GracePeriod: 4 * time.Second, Bootstrap: true,
		ApplyTimeout: applyTimeout, Budget: query.RetryBudget{Ratio: 0.5, Slack: 50},
	}, gateway.Deps{
		CallerListener: listen(), ReadyListener: listen(), PeerListener: peers, Source: source, Codec: platform.Codec{}, Log: logrus.NewEntry(log).WithField("node", name),
		MetricsSet: set, DialPeer: network.Dialer(name), ReadyHandler: platform.ReadyHandler,
		Handler: func(e *query.Engine) http.Handler { return platform.NewHandler(e) }, StoppingHandler: http.HandlerFunc(platform.RejectDuringShutdown),
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gw.Start(t.Context())).To(Succeed())
	t.Cleanup(func() { _ = gw.Stop(context.Background()) })
	return peers.Addr().String(), func() int { return readMetric(g, set, "medlarshunt_published_config_version") }
}

// applyTimeout is the time within which a confirmed configuration must be in force.
const applyTimeout = 3 * time.Second

// Guards against nodes that miss confirmed configurations after connections between nodes went silent without a reset: nodes
// used the dead connections again and asked one reader after another, some for the rest of the day.
func TestConfigurationIsInForceInTimeAfterConnectionsGoSilent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network, source := netsim.NewInMemory(2*time.Millisecond, time.Millisecond, 21), newChangingSource()
		var seeds []string
		versions := map[string]func() int{}
		for i := range 12 {
			name := fmt.Sprint("node-", i)
			address, version := startSilenceable(t, g, network, name, source, seeds)
			versions[name] = version
			if len(seeds) < 3 {
				seeds = append(seeds, address)
			}
		}
		time.Sleep(20 * time.Second)
		next := uint64(1)
		for _, share := range []float64{0.4, 0.7, 1} {
			g.Expect(network.Silence(share)).To(BeNumerically(">", 0))
			for range 4 {
				next++
				source.publish(next)
				time.Sleep(applyTimeout)
				for name, version := range versions {
					g.Expect(version()).To(BeEquivalentTo(next), "%s after silence of %.0f%% of the connections", name, 100*share)
				}
			}
			time.Sleep(10 * time.Second)
		}
	})
}
