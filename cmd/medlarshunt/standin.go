package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/standin/configservicesim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// exitCodeCrashed is the exit code of a stand-in target that crashed on demand.
const exitCodeCrashed = 3

// standInDrainTimeout bounds the wait for running requests when a stand-in target stops.
const standInDrainTimeout = 10 * time.Second

// standInCommand returns the command that runs a stand-in for an external system, for development and tests.
func standInCommand() *cli.Command {
	return &cli.Command{
		Name:     "stand-in",
		Usage:    "run a test double of the platform or of a target",
		Commands: []*cli.Command{standInPlatformCommand(), standInTargetCommand()},
	}
}

func standInTargetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a stand-in target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "target id", Required: true},
			&cli.StringFlag{Name: "service", Usage: "service that the target is a replica of", Required: true},
			&cli.StringFlag{Name: "address", Usage: "listen address", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "control-address", Usage: "listen address of the control endpoint; empty means none"},
			&cli.IntFlag{Name: "slots", Usage: "requests that run at once", Value: 2},
			&cli.IntFlag{Name: "queue", Usage: "requests that may wait for a slot", Value: targetsim.DefaultQueue},
			&cli.IntFlag{Name: "connection-limit", Usage: "open connections; 0 means no limit", Value: 25},
			&cli.DurationFlag{Name: "connect-cost", Usage: "time to accept one connection", Value: 6 * time.Millisecond},
			&cli.DurationFlag{Name: "service-time", Usage: "median time that a request takes", Value: 5 * time.Millisecond},
			&cli.FloatFlag{Name: "service-time-sigma", Usage: "spread of the log-normal service time", Value: 0.5},
			&cli.DurationFlag{Name: "service-time-max", Usage: "longest service time; 0 means no cut", Value: time.Second},
			&cli.DurationFlag{Name: "network-delay", Usage: "one-way delay added to requests and responses"},
			&cli.DurationFlag{Name: "drain-grace", Usage: "time for which a draining target still runs new requests"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the service times", Value: 1},
			&cli.IntFlag{Name: "documents", Usage: "documents in the whole key space", Value: targetsim.DefaultDocuments},
			&cli.StringSliceFlag{Name: "index", Usage: "index version held, as `INDEX:MAP`; may be repeated"},
			&cli.StringSliceFlag{Name: "range", Usage: "key range held, as `MAP:FROM-TO`; may be repeated"},
		},
		Action: runStandInTarget,
	}
}

func runStandInTarget(ctx context.Context, cmd *cli.Command) error {
	log := standInLogger("target").WithFields(logrus.Fields{"id": cmd.String("id"), "service": cmd.String("service")})
	cfg := targetsim.Config{
		ID: cmd.String("id"), Service: cmd.String("service"),
		Address: cmd.String("address"), ControlAddress: cmd.String("control-address"),
		Slots: cmd.Int("slots"), Queue: cmd.Int("queue"),
		ConnectionLimit: cmd.Int("connection-limit"), ConnectCost: cmd.Duration("connect-cost"),
		ServiceTime: targetsim.ServiceTime{Median: cmd.Duration("service-time"), Sigma: cmd.Float("service-time-sigma"),
			Max: cmd.Duration("service-time-max"), Seed: cmd.Uint64("seed")},
		NetworkDelay: cmd.Duration("network-delay"), DrainGrace: cmd.Duration("drain-grace"),
		Documents: cmd.Int("documents"),
		OnCrash: func() {
			log.Error("crash on demand")
			os.Exit(exitCodeCrashed)
		},
	}
	var err error
	if cfg.Indexes, cfg.Maps, err = parseIndexesAndRanges(cmd.StringSlice("index"), cmd.StringSlice("range")); err != nil {
		return err
	}
	s, err := targetsim.New(cfg)
	if err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"address": s.Address(), "control_address": s.ControlAddress(),
		"incarnation": s.Incarnation()}).Info("listening")
	waitForStop(ctx)
	stop, cancel := context.WithTimeout(context.Background(), standInDrainTimeout)
	defer cancel()
	return s.Shutdown(stop)
}

// parseIndexesAndRanges parses index versions (INDEX:MAP) and key ranges (MAP:FROM-TO). It returns the ranges by map version.
func parseIndexesAndRanges(indexes, ranges []string) ([]targetsim.Index, map[uint64][]api.KeyRange, error) {
	maps := map[uint64][]api.KeyRange{}
	for _, s := range ranges {
		m, r, _ := strings.Cut(s, ":")
		from, to, _ := strings.Cut(r, "-")
		n, err := parseNumbers(m, from, to)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "range %q is not MAP:FROM-TO", s)
		}
		maps[n[0]] = append(maps[n[0]], api.KeyRange{From: n[1], To: n[2]})
	}
	var held []targetsim.Index
	for _, s := range indexes {
		v, m, _ := strings.Cut(s, ":")
		n, err := parseNumbers(v, m)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "index %q is not INDEX:MAP", s)
		}
		held = append(held, targetsim.Index{Version: n[0], Map: n[1]})
	}
	return held, maps, nil
}

func parseNumbers(fields ...string) ([]uint64, error) {
	out := make([]uint64, len(fields))
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 10, 64)
		if err != nil {
			return nil, err
		}
		out[i] = n
	}
	return out, nil
}

func standInPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "listen address", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "control-address", Usage: "listen address of the control endpoint; empty means none"},
			&cli.IntFlag{Name: "reads-per-second", Usage: "read limit across all readers", Value: configservicesim.DefaultReadsPerSecond},
			&cli.StringSliceFlag{Name: "value", Usage: "value to publish, as `KEY=FILE`; may be repeated"},
			&cli.StringFlag{Name: "instances", Usage: "JSON `FILE` with the list of instances"},
		},
		Action: runStandInPlatform,
	}
}

func runStandInPlatform(ctx context.Context, cmd *cli.Command) error {
	log := standInLogger("platform")
	s := configservicesim.New(configservicesim.Config{Address: cmd.String("address"), ControlAddress: cmd.String("control-address"),
		ReadsPerSecond: cmd.Int("reads-per-second")})
	if err := publishFiles(s, cmd.StringSlice("value"), cmd.String("instances")); err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Close()
	log.WithFields(logrus.Fields{"address": s.Address(), "control_address": s.ControlAddress()}).Info("listening")
	waitForStop(ctx)
	return nil
}

func publishFiles(s *configservicesim.Server, values []string, instances string) error {
	for _, v := range values {
		key, file, ok := strings.Cut(v, "=")
		if !ok {
			return eris.Errorf("value %q is not KEY=FILE", v)
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(err, "read value")
		}
		if _, err := s.Publish(key, data); err != nil {
			return err
		}
	}
	if instances == "" {
		return nil
	}
	data, err := os.ReadFile(instances)
	if err != nil {
		return eris.Wrap(err, "read instances")
	}
	var list []configservice.Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return eris.Wrapf(err, "decode %s", instances)
	}
	for _, in := range list {
		s.PutInstance(in)
	}
	return nil
}

func standInLogger(component string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(os.Stdout)
	l.SetFormatter(&logrus.JSONFormatter{})
	return l.WithField("component", "stand-in "+component)
}

// waitForStop waits for SIGINT, SIGTERM or the end of ctx.
func waitForStop(ctx context.Context) {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	<-ctx.Done()
}
