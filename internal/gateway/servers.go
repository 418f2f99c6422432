package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/front"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

const (
	// noticeTime is how long the balancer takes at most to send no new connections: it asks once a second and takes a node
	// out after two misses.
	noticeTime = 2200 * time.Millisecond
	// firstRequestTime is how long a stopping node waits for the first request of a connection. A lost packet is sent again
	// after 0.2 s or more, and once more after twice that.
	firstRequestTime = time.Second
	// lastRequests is the time after the begin of a stop from which requests on kept connections are refused.
	lastRequests = 3200 * time.Millisecond
	// stopMargin is kept from the grace time for the end of the process.
	stopMargin = 500 * time.Millisecond
	// smallServerTimeout bounds the requests to the readiness and metrics addresses.
	smallServerTimeout = 2 * time.Second
)

// servers are the listeners of the process.
type servers struct {
	core  *core
	env   Env
	front *front.Server
	ready *http.Server
	stats *http.Server
	peers *peer.Server
	sweep context.CancelFunc
}

func newServers(cfg Config, env Env, c *core) *servers {
	stop := cfg.Grace - stopMargin
	s := &servers{core: c, env: env}
	s.front = front.NewServer(front.Config{
		IdleTimeout: c.idleTimeout, NoticeTime: min(noticeTime, stop/2), FirstRequestTime: firstRequestTime,
		AcceptTime: min(lastRequests, stop/2), StopTime: stop,
	}, env.Handler(c.engine), env.Refuse, env.Log)
	s.ready = &http.Server{Handler: env.ReadyHandler(s.isReady), ReadHeaderTimeout: smallServerTimeout}
	s.stats = &http.Server{Handler: metricsHandler(env.Set), ReadHeaderTimeout: smallServerTimeout}
	if env.Peers != nil {
		s.peers = peer.NewServer(env.Peers, c.peerMethods())
	}
	return s
}

// idleTimeout is the idle limit of the configuration in force.
func (c *core) idleTimeout() time.Duration {
	if t := c.follower.View().Table; t != nil {
		return t.Configuration.Limits.IdleTimeout
	}
	return 0
}

func (s *servers) isReady() bool { return s.core.ready() && !s.front.Stopping() }

func metricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

func (s *servers) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.sweep = cancel
	go s.front.Sweep(ctx)
	go s.run("callers", func() error { return s.front.Serve(s.env.Callers) })
	go s.run("readiness", func() error { return s.ready.Serve(s.env.Ready) })
	if s.env.Metrics != nil {
		go s.run("metrics", func() error { return s.stats.Serve(s.env.Metrics) })
	}
	if s.peers != nil {
		go s.run("peers", s.peers.Serve)
	}
	return nil
}

func (s *servers) run(name string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed && !s.front.Stopping() {
		s.env.Log.WithError(err).WithField("server", name).Error("a server ended")
	}
}

// stop drains the callers' connections first; the other servers answer until the end.
func (s *servers) stop(context.Context) error {
	s.core.fire(statechart.NodeDrain)
	if s.core.members != nil {
		s.core.members.SetLife(statechart.NodeDraining)
	}
	s.front.Stop(s.env.Callers)
	s.sweep()
	for _, l := range []net.Listener{s.env.Ready, s.env.Metrics} {
		if l != nil {
			_ = l.Close() // the process ends
		}
	}
	if s.peers != nil {
		s.peers.Close()
	}
	return nil
}
