package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/intake"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// servers owns the listeners of a node.
type servers struct {
	cfg     Config
	core    *core
	peers   *peer.Server
	callers *http.Server
	admin   *http.Server
	wg      sync.WaitGroup

	callerListener, adminListener net.Listener // nil without the server
}

const (
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// drainAnnounceDelay is the wait between the announcement that a node leaves and the closing of its listeners. It
	// lets peers and the platform's load balancer direct new work elsewhere first.
	drainAnnounceDelay = 300 * time.Millisecond
)

func newServers(cfg Config, deps Deps, c *core) *servers {
	s := &servers{cfg: cfg, core: c}
	methods := &peerMethods{lifecycle: c.lifecycle, entry: c.entry, relay: c.relay, members: c.members, config: c.syncer}
	s.peers = newPeerServer(cfg, deps, methods)
	if deps.CallerListener != nil {
		var guard *intake.Guard
		s.callers, guard = newHTTPServer(cfg, c.entry.Handler(), callerSocketShare)
		closeUnusedAtShutdown(s.callers)
		guard.Protect(s.callers)
		s.callerListener = listen(guard, deps.CallerListener, deps.WrapCallers)
	}
	if deps.AdminListener != nil {
		var guard *intake.Guard
		s.admin, guard = newHTTPServer(cfg, adminHandler(c), adminSocketShare)
		guard.Protect(s.admin)
		s.adminListener = listen(guard, deps.AdminListener, nil)
	}
	if cfg.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryLimitBytes)))
	}
	return s
}

func (s *servers) start(context.Context) error {
	s.wg.Go(func() {
		if err := s.peers.Serve(); err != nil {
			s.core.log.WithError(err).Error("peer server failed")
		}
	})
	if s.callers != nil {
		s.wg.Go(func() { serveHTTP(s.callers, s.callerListener, s.core.log) })
	}
	if s.admin != nil {
		s.wg.Go(func() { serveHTTP(s.admin, s.adminListener, s.core.log) })
	}
	return nil
}

// drain shuts the listeners down gracefully: it announces that the node leaves, takes no new work, waits for requests in
// flight and closes the servers.
func (s *servers) drain(ctx context.Context) error {
	s.core.lifecycle.fire(statechart.NodeDrain)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.GracePeriod)
	defer cancel()
	sleep(ctx, drainAnnounceDelay)
	err := s.core.entry.WaitIdle(ctx)
	if peersErr := s.core.lifecycle.waitIdle(ctx); err == nil {
		err = peersErr
	}
	if s.callers != nil {
		if closeErr := s.callers.Shutdown(ctx); err == nil {
			err = closeErr
		}
	}
	if s.admin != nil {
		s.admin.Close()
	}
	s.peers.Close()
	s.wg.Wait()
	return eris.Wrap(err, "drain")
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
