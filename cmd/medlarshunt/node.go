package main

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/node"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/settings"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
)

// stopMargin is the time that a stop may take beyond the grace period for requests in flight.
const stopMargin = 5 * time.Second

func nodeCommand() *cli.Command {
	s := settings.Default()
	return &cli.Command{
		Name:  "node",
		Usage: "run one node",
		Flags: settings.Flags(&s),
		Action: func(ctx context.Context, _ *cli.Command) error {
			s = s.WithDerived()
			if err := s.Validate(); err != nil {
				return err
			}
			return runNode(ctx, s)
		},
	}
}

func runNode(ctx context.Context, s settings.Settings) error {
	log, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		return err
	}
	ctx, stopBroken := context.WithCancelCause(ctx)
	defer stopBroken(nil)
	deps, reload, err := nodeDeps(ctx, s, log)
	if err != nil {
		return err
	}
	deps.Panics = panics.New(log.WithField("node", s.NodeID), deps.Metrics, func() { stopBroken(errBrokenState) })
	n, err := node.New(nodeConfig(s, deps.PeerListener.Addr()), deps)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	fields := logrus.Fields{"node": s.NodeID, "peers": deps.PeerListener.Addr().String()}
	if deps.CallerListener != nil {
		fields["callers"] = deps.CallerListener.Addr().String()
	}
	if deps.AdminListener != nil {
		fields["admin"] = deps.AdminListener.Addr().String()
	}
	log.WithFields(fields).Info("node listens")
	reloadTLSOnSIGHUP(ctx, reload, log)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Grace+stopMargin)
	defer cancel()
	if err := n.Stop(stopCtx); err != nil {
		return err
	}
	log.WithField("node", s.NodeID).Info("node stopped")
	if cause := context.Cause(ctx); errors.Is(cause, errBrokenState) {
		return cause
	}
	return nil
}

// reloadTLSOnSIGHUP reloads the TLS certificates and keys on each SIGHUP and returns when ctx ends.
func reloadTLSOnSIGHUP(ctx context.Context, reload func() error, log *logrus.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // never reset: without a handler, SIGHUP would kill a process that is stopping
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			if err := reload(); err != nil {
				log.WithError(err).Error("cannot reload TLS material; the previous one stays in use")
				continue
			}
			log.Info("TLS material reloaded")
		}
	}
}

func nodeConfig(s settings.Settings, peers net.Addr) node.Config {
	cfg := node.Config{
		ID: s.NodeID, Domain: s.Domain, Region: s.Region, Ordinal: s.Ordinal, Seeds: s.Seeds, Advertise: s.PeerAdvertise, GracePeriod: s.Grace,
		MemoryLimitBytes: int64(s.MemoryMB) << 20, MaxFDs: s.MaxFDs,
	}
	if cfg.MaxFDs == 0 {
		cfg.MaxFDs = processMaxFDs()
	}
	if _, port, err := net.SplitHostPort(s.PeerAdvertise); err == nil && port == "0" {
		cfg.Advertise = peers.String()
	}
	for _, r := range s.Roles {
		cfg.Roles = append(cfg.Roles, membership.Role(r))
	}
	return cfg
}

// processMaxFDs returns the number of descriptors that the system lets the process open, or 0 when it is not known.
func processMaxFDs() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// nodeDeps opens the listeners and creates the trace exporter and the platform client. The returned function reloads the
// TLS certificates and keys.
func nodeDeps(ctx context.Context, s settings.Settings, log *logrus.Logger) (node.Deps, func() error, error) {
	deps := node.Deps{Log: log}
	exporter, endpoint := telemetry.TraceExporter(s.TraceExporter), ""
	if exporter != telemetry.TraceOff && exporter != telemetry.TraceStdout {
		exporter, endpoint = telemetry.TraceOTLP, s.TraceExporter
	}
	var err error
	if deps.Tracing, err = telemetry.NewTracing(ctx, exporter, endpoint, s.NodeID, os.Stdout); err != nil {
		return deps, nil, err
	}
	deps.Metrics = metrics.NewSet()
	if deps.ConfigService, err = platformSource(s.PlatformURLs, deps.Metrics); err != nil {
		return deps, nil, err
	}
	reload, err := listenNode(s, &deps)
	return deps, reload, err
}

// platformSource returns a source that reads from the first platform endpoint that answers.
func platformSource(urls []string, set *metrics.Set) (configservice.Source, error) {
	var sources []configservice.Source
	for _, raw := range urls {
		u, err := url.Parse(raw)
		if err != nil {
			return nil, eris.Wrapf(err, "--platform-url %q", raw)
		}
		if u.Scheme != "http" {
			return nil, eris.Errorf("--platform-url %q: only http is supported so far", raw)
		}
		client, err := configservice.NewClient(configservice.Config{Address: u.Host, Metrics: set})
		if err != nil {
			return nil, eris.Wrapf(err, "--platform-url %q", raw)
		}
		sources = append(sources, client)
	}
	return configservice.NewFailover(sources...), nil
}

// listenNode opens the listeners of the node. The returned function reloads the TLS certificates and keys.
func listenNode(s settings.Settings, deps *node.Deps) (func() error, error) {
	var err error
	if deps.PeerListener, err = net.Listen("tcp", s.PeerListen); err != nil {
		return nil, eris.Wrap(err, "--peer-listen")
	}
	if s.HasRole(settings.RoleEntry) {
		if deps.CallerListener, err = net.Listen("tcp", s.CallerListen); err != nil {
			return nil, eris.Wrap(err, "--caller-listen")
		}
	}
	if s.AdminListen != "" {
		if deps.AdminListener, err = net.Listen("tcp", s.AdminListen); err != nil {
			return nil, eris.Wrap(err, "--admin-listen")
		}
	}
	return wrapTLS(s, deps)
}

// wrapTLS wraps the listeners and the dial function in TLS where the settings name certificates and keys. The returned
// function reloads them.
func wrapTLS(s settings.Settings, deps *node.Deps) (func() error, error) {
	var reloaders []*settings.TLSReloader
	if s.CallerTLS.Enabled() && deps.CallerListener != nil {
		h, err := settings.NewTLSReloader(s.CallerTLS, "")
		if err != nil {
			return nil, err
		}
		reloaders = append(reloaders, h)
		deps.WrapCallers = func(l net.Listener) net.Listener { return tls.NewListener(l, h.CallerConfig()) }
	}
	if s.PeerTLS.Enabled() {
		h, err := settings.NewTLSReloader(s.PeerTLS, s.PeerServerName)
		if err != nil {
			return nil, err
		}
		reloaders = append(reloaders, h)
		deps.PeerListener = tls.NewListener(deps.PeerListener, h.PeerServerConfig())
		deps.DialPeer = dialTLS(h)
	}
	return func() error {
		for _, h := range reloaders {
			if err := h.Reload(); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func dialTLS(h *settings.TLSReloader) peer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		d := tls.Dialer{Config: h.PeerClientConfig()}
		return d.DialContext(ctx, "tcp", address)
	}
}
