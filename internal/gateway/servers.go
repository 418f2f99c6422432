package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlarshunt/medlarshunt/internal/callerserver"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

const (
	// balancerNoticeTime is the longest time until the load balancer sends no more new connections. It checks readiness once a
	// second and removes a node after two failed checks.
	balancerNoticeTime = 2200 * time.Millisecond
	// firstRequestTime is how long a stopping node waits for the first request of a connection. It allows for two TCP
	// retransmissions: a lost packet is sent again after 0.2 s or more, and once more after twice that.
	firstRequestTime = time.Second
	// acceptTime is the time from the start of a stop after which requests on keep-alive connections are refused.
	acceptTime = 3200 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the exit of the process.
	stopMargin = 500 * time.Millisecond
)

// servers holds the servers of the process.
type servers struct {
	core          *core
	deps          Deps
	callerServer  *callerserver.Server
	ready         *auxServer
	metrics       *auxServer
	peerServer    *peer.Server
	stopIdleCheck context.CancelFunc
}

func newServers(cfg Config, deps Deps, c *core) *servers {
	stopTime := cfg.GracePeriod - stopMargin
	s := &servers{core: c, deps: deps}
	s.callerServer = callerserver.NewServer(callerserver.Config{
		IdleTimeout: c.idleTimeout, BalancerNoticeTime: min(balancerNoticeTime, stopTime/2), FirstRequestTime: firstRequestTime,
		AcceptTime: min(acceptTime, stopTime/2), StopTimeout: stopTime, Guard: newCallerGuard(cfg, deps, c),
	}, deps.Handler(c.engine), deps.StoppingHandler, deps.Log)
	s.ready = newAuxServer(cfg, deps.ReadyHandler(s.isReady))
	s.metrics = newAuxServer(cfg, metricsHandler(deps.MetricsSet))
	if deps.PeerListener != nil {
		s.peerServer = newPeerServer(cfg, deps, c)
	}
	return s
}

// idleTimeout returns the idle timeout of the configuration in force, or 0 without a configuration.
func (c *core) idleTimeout() time.Duration {
	if t := c.follower.View().Table; t != nil {
		return t.Configuration.Limits.IdleTimeout
	}
	return 0
}

func (s *servers) isReady() bool { return s.core.ready() && !s.callerServer.Stopping() }

func metricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

func (s *servers) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stopIdleCheck = cancel
	go s.deps.Panics.Loop(ctx, "idle timeout", s.callerServer.EnforceIdleTimeout)
	go s.run("callers", func() error { return s.callerServer.Serve(s.deps.CallerListener) })
	go s.run("readiness", func() error { return s.ready.serve(s.deps.ReadyListener) })
	if s.deps.MetricsListener != nil {
		go s.run("metrics", func() error { return s.metrics.serve(s.deps.MetricsListener) })
	}
	if s.peerServer != nil {
		go s.run("peers", s.peerServer.Serve)
	}
	return nil
}

func (s *servers) run(name string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed && !s.callerServer.Stopping() {
		s.deps.Log.WithError(err).WithField("server", name).Error("server stopped unexpectedly")
	}
}

// stop drains the callers' connections first. The other servers answer until that is done.
func (s *servers) stop(context.Context) error {
	s.core.fire(statechart.NodeDrain)
	if s.core.members != nil {
		s.core.members.SetState(statechart.NodeDraining)
	}
	s.callerServer.Stop(s.deps.CallerListener)
	s.stopIdleCheck()
	for _, l := range []net.Listener{s.deps.ReadyListener, s.deps.MetricsListener} {
		if l != nil {
			_ = l.Close() // the process ends
		}
	}
	if s.peerServer != nil {
		s.peerServer.Close()
	}
	return nil
}
