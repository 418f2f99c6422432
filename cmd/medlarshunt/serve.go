package main

import (
	"context"
	"net"
	"net/http"
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
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
	"github.com/medlarshunt/medlarshunt/platform"
)

// logFlush bounds the wait for the last log lines.
const logFlush = 200 * time.Millisecond

// serveFlags are the settings that the platform's file does not hold.
type serveFlags struct {
	metricsListen string
	logLevel      string
	logRate       float64
}

func serveCommand() *cli.Command {
	f := serveFlags{}
	return &cli.Command{
		Name:  "serve",
		Usage: "run one node on the users' platform; " + platform.SettingsVariable + " names the platform's settings file",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics-listen", Usage: "address (IP:port) of the metrics; empty for none", Destination: &f.metricsListen,
				Sources: cli.EnvVars("MEDLARSHUNT_METRICS_LISTEN")},
			&cli.StringFlag{Name: "log-level", Usage: "least level of log lines: debug, info, warn or error", Value: "info", Destination: &f.logLevel,
				Sources: cli.EnvVars("MEDLARSHUNT_LOG_LEVEL")},
			&cli.FloatFlag{Name: "log-rate", Usage: "log lines a second at most; warnings and errors are always written", Value: telemetry.DefaultLogRate,
				Destination: &f.logRate, Sources: cli.EnvVars("MEDLARSHUNT_LOG_RATE")},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if f.logRate < 1 {
				return eris.New("--log-rate must be 1 or more")
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
	defer output.Close(logFlush)
	logger, err := telemetry.NewBoundedLogger(output, f.logLevel)
	if err != nil {
		return eris.Wrap(err, "--log-level")
	}
	log := logger.WithField("node", settings.Node)
	env, err := serveEnv(settings, f, log, set)
	if err != nil {
		return err
	}
	g, err := gateway.New(gatewayConfig(settings), env)
	if err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"callers": settings.Callers, "ready": settings.Ready, "peers": settings.Peers, "store": settings.Store,
		"first_start": settings.FirstStart, "domain": settings.Domain}).Info("process started")
	followSignals(ctx, settings, output, log)
	log.Info("process stops")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.Grace)
	defer cancel()
	if err := g.Stop(stopCtx); err != nil {
		log.WithError(err).Error("process stopped before its requests had ended")
		return err
	}
	log.Info("process stopped")
	return nil
}

// followSignals returns when ctx ends. A changed settings file is checked and reported; addresses and bounds of a running
// process stay, because the platform starts the process again to change them.
func followSignals(ctx context.Context, current platform.Settings, output *telemetry.BoundedOutput, log *logrus.Entry) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // for good: without a handler, the signal would end a process that is stopping
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
				log.WithError(err).Error("reload: the settings file is not usable; the settings of the start stay")
				continue
			}
			log.WithField("changed", !reflect.DeepEqual(next, current)).Info("reload: the settings file was read")
		}
	}
}

func gatewayConfig(s platform.Settings) gateway.Config {
	return gateway.Config{
		Node: s.Node, Domain: s.Domain, Regions: s.Regions, Seeds: s.Seeds, Grace: s.Grace,
		Budget: query.BudgetRule{Share: s.RetryShare, Slack: s.RetrySlack}, Memory: int64(s.MemoryMB) << 20,
		Apply: s.ApplyTimeout, FirstStart: s.FirstStart,
	}
}

func serveEnv(s platform.Settings, f serveFlags, log *logrus.Entry, set *metrics.Set) (gateway.Env, error) {
	env := gateway.Env{
		Source: platform.NewStore(s.Store), Codec: platform.Codec{}, Log: log, Set: set,
		Handler: func(e *query.Engine) http.Handler { return platform.NewFront(e) }, Refuse: http.HandlerFunc(platform.RefuseStopping),
		ReadyHandler: platform.ReadyHandler,
	}
	for _, l := range []struct {
		into    *net.Listener
		name    string
		address string
	}{
		{&env.Callers, "listen.front", s.Callers}, {&env.Ready, "listen.ready", s.Ready}, {&env.Peers, "listen.control", s.Peers},
		{&env.Metrics, "--metrics-listen", f.metricsListen},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return env, eris.Wrap(err, l.name)
		}
		*l.into = listener
	}
	return env, nil
}
