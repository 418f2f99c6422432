package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/gateway"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
	"github.com/medlarshunt/medlarshunt/platform"
)

// logFlushTimeout bounds the wait for buffered log lines to be written at exit.
const logFlushTimeout = 200 * time.Millisecond

// errBrokenState ends the process after a panic that may have left shared state half-changed.
var errBrokenState = eris.New("stopped after a panic with shared state locked")

// serveFlags holds the settings that are not part of the platform's settings file.
type serveFlags struct {
	metricsListen string
	advertisePeer string
	logLevel      string
	logRate       float64
}

func (f *serveFlags) validate() error {
	if f.logRate < 1 {
		return eris.New("--log-rate must be 1 or more")
	}
	if f.advertisePeer == "" {
		return nil
	}
	if address, err := netip.ParseAddrPort(f.advertisePeer); err != nil || address.Port() == 0 {
		return eris.Errorf("--advertise-peer: %q must be an IP address with a port", f.advertisePeer)
	}
	return nil
}

func serveCommand() *cli.Command {
	f := serveFlags{}
	return &cli.Command{
		Name:  "serve",
		Usage: "run one node on the users' platform; " + platform.SettingsPathEnv + " names the platform's settings file",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics-listen", Usage: "address (IP:port) of the metrics; empty for none", Destination: &f.metricsListen,
				Sources: cli.EnvVars("MEDLARSHUNT_METRICS_LISTEN")},
			&cli.StringFlag{Name: "advertise-peer", Usage: "address (IP:port) at which other nodes reach this one, if it is not the one listened on",
				Destination: &f.advertisePeer, Sources: cli.EnvVars("MEDLARSHUNT_ADVERTISE_PEER")},
			&cli.StringFlag{Name: "log-level", Usage: "least level of log lines: debug, info, warn or error", Value: "info", Destination: &f.logLevel,
				Sources: cli.EnvVars("MEDLARSHUNT_LOG_LEVEL")},
			&cli.FloatFlag{Name: "log-rate", Usage: "log lines a second at most; warnings and errors are always written", Value: telemetry.DefaultLogLinesPerSecond,
				Destination: &f.logRate, Sources: cli.EnvVars("MEDLARSHUNT_LOG_RATE")},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := f.validate(); err != nil {
				return err
			}
			return serve(ctx, f)
		},
	}
}

func serve(ctx context.Context, f serveFlags) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	set := metrics.NewSet()
	output := telemetry.NewBoundedOutput(os.Stdout, f.logRate, set)
	defer output.Close(logFlushTimeout)
	logger, err := telemetry.NewBoundedLogger(output, f.logLevel)
	if err != nil {
		return eris.Wrap(err, "--log-level")
	}
	log := logger.WithField("node", settings.Node)
	ctx, stopBroken := context.WithCancelCause(ctx)
	defer stopBroken(nil)
	contain := panics.New(log, set, func() { stopBroken(errBrokenState) })
	deps, err := serveDeps(settings, f, log, set, contain)
	if err != nil {
		return err
	}
	g, err := gateway.New(gatewayConfig(settings, f), deps)
	if err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"callers": settings.CallerAddress, "ready": settings.ReadyAddress, "peers": settings.PeerAddress, "store": settings.StoreAddress,
		"first_start": settings.Bootstrap, "domain": settings.Domain}).Info("process started")
	checkSettingsOnSIGHUP(ctx, settings, output, log)
	log.Info("process stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.GracePeriod)
	defer cancel()
	if err := g.Stop(stopCtx); err != nil {
		log.WithError(err).Error("process stopped before its requests had ended")
		return err
	}
	log.Info("process stopped")
	if cause := context.Cause(ctx); errors.Is(cause, errBrokenState) {
		return cause
	}
	return nil
}

// checkSettingsOnSIGHUP reads the settings file on each SIGHUP, logs whether it is valid and has changed, and returns when
// ctx ends. Addresses and limits of a running process do not change: the platform restarts the process to change them. Each
// second it also reports dropped log lines.
func checkSettingsOnSIGHUP(ctx context.Context, current platform.Settings, output *telemetry.BoundedOutput, log *logrus.Entry) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // never reset: without a handler, SIGHUP would kill a process that is stopping
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			output.ReportDropped(log)
		case <-hangup:
			next, err := platform.LoadSettings()
			if err != nil {
				log.WithError(err).Error("reload: invalid settings file; keeping the settings read at startup")
				continue
			}
			log.WithField("changed", !reflect.DeepEqual(next, current)).Info("reload: settings file read; changes take effect after a restart")
		}
	}
}

func gatewayConfig(s platform.Settings, f serveFlags) gateway.Config {
	return gateway.Config{
		Node: s.Node, Domain: s.Domain, Regions: s.Regions, Seeds: s.Seeds, GracePeriod: s.GracePeriod,
		Budget: query.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack}, MemoryLimitBytes: int64(s.MemoryMB) << 20, MaxFDs: s.MaxFDs,
		ApplyTimeout: s.ApplyTimeout, Bootstrap: s.Bootstrap, AdvertisedPeerAddress: f.advertisePeer,
	}
}

func serveDeps(s platform.Settings, f serveFlags, log *logrus.Entry, set *metrics.Set, contain *panics.Handler) (gateway.Deps, error) {
	deps := gateway.Deps{
		Source: platform.NewStore(s.StoreAddress, contain), Codec: platform.Codec{}, Log: log, MetricsSet: set, Panics: contain,
		Handler: func(e *query.Engine) http.Handler { return platform.NewHandler(e) }, StoppingHandler: http.HandlerFunc(platform.RejectDuringShutdown),
		CrowdedHandler: http.HandlerFunc(platform.RejectCrowded), ReadyHandler: platform.ReadyHandler,
	}
	for _, l := range []struct {
		listener *net.Listener
		name     string
		address  string
	}{
		{&deps.CallerListener, "listen.front", s.CallerAddress}, {&deps.ReadyListener, "listen.ready", s.ReadyAddress}, {&deps.PeerListener, "listen.control", s.PeerAddress},
		{&deps.MetricsListener, "--metrics-listen", f.metricsListen},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return deps, eris.Wrap(err, l.name)
		}
		*l.listener = listener
	}
	return deps, nil
}
