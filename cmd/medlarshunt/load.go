package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/examples"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/load"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "offer load to a deployment over stand-ins and print latency, coverage and extra load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "example to run: " + strings.Join(examples.Names(), " or "), Value: "dental"},
			&cli.StringSliceFlag{Name: "case", Usage: "failure to induce: " + caseNames() + "; default all"},
			&cli.StringSliceFlag{Name: "group", Usage: "groups to load; default all"},
			&cli.StringFlag{Name: "policy", Usage: "full, baseline (no hedging, uniform choice, admission per call) or both", Value: "full"},
			&cli.IntFlag{Name: "nodes", Usage: "nodes in all", Value: 9},
			&cli.FloatFlag{Name: "share", Usage: "offered load as a share of each group's capacity", Value: 0.4},
			&cli.DurationFlag{Name: "duration", Usage: "time of each measurement", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "warmup", Usage: "time of load before each measurement", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "timeout", Usage: "time in which callers want their answer", Value: 250 * time.Millisecond},
			&cli.DurationFlag{Name: "service-time", Usage: "median service time of the targets", Value: 10 * time.Millisecond},
			&cli.FloatFlag{Name: "service-time-sigma", Usage: "spread of the log-normal service time", Value: 0.4},
			&cli.FloatFlag{Name: "commands", Usage: "share of commands in groups that take them", Value: 0.02},
			&cli.StringFlag{Name: "canary", Usage: "always, after_crash or off instead of what the deployment says"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals, service times and delays", Value: 1},
		},
		Action: runLoad,
	}
}

func caseNames() string {
	names := make([]string, len(load.Cases))
	for i, c := range load.Cases {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

// deploymentNetworks holds, by example name, what the first users state about their networks: the one-way delays between
// failure domains and between callers and the tier, and the time to accept a connection in the groups that deviate from
// fleet.DefaultConnectCost.
var deploymentNetworks = map[string]struct {
	delay, clientDelay time.Duration
	caller             string
	connectCost        time.Duration
	connectCostGroups  []string
}{
	"dental": {delay: 4 * time.Millisecond, clientDelay: 3 * time.Millisecond, caller: "clinic-desk", connectCost: time.Millisecond, connectCostGroups: []string{"owner-desk", "stable-ledger"}},
	"rota":   {delay: 3 * time.Millisecond, clientDelay: 3 * time.Millisecond, caller: "shift-board", connectCost: time.Millisecond, connectCostGroups: []string{"payroll", "broadcaster-planner"}},
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	setup, err := setupFromFlags(cmd)
	if err != nil {
		return err
	}
	cases, err := parseCases(cmd.StringSlice("case"))
	if err != nil {
		return err
	}
	policies, err := parsePolicies(cmd.String("policy"))
	if err != nil {
		return err
	}
	var reports []*load.Report
	for _, c := range cases {
		for _, baseline := range policies {
			fmt.Fprintf(cmd.Root().ErrWriter, "running case %s, baseline %t, %s ...\n", c, baseline, setup.Warmup+setup.Duration)
			s := setup
			s.Baseline = baseline
			r, err := load.RunCase(ctx, s, c)
			if err != nil {
				return eris.Wrapf(err, "case %s", c)
			}
			reports = append(reports, r)
		}
	}
	return load.Print(cmd.Root().Writer, reports)
}

func setupFromFlags(cmd *cli.Command) (load.Setup, error) {
	name := cmd.String("deployment")
	published, err := examples.Load(name)
	if err != nil {
		return load.Setup{}, err
	}
	network := deploymentNetworks[name]
	s := load.Setup{
		Document: published.Document, Catalogue: published.Catalogue, Key: examples.Key(name, network.caller),
		Nodes: cmd.Int("nodes"), NetworkDelay: network.delay, ClientDelay: network.clientDelay,
		ServiceTime: targetsim.ServiceTime{Median: cmd.Duration("service-time"), Sigma: cmd.Float("service-time-sigma"), Seed: cmd.Uint64("seed")},
		LoadShare:   cmd.Float("share"), Timeout: cmd.Duration("timeout"), Warmup: cmd.Duration("warmup"), Duration: cmd.Duration("duration"),
		CommandShare: cmd.Float("commands"), Seed: cmd.Uint64("seed"), ConnectCost: map[string]time.Duration{},
	}
	for _, g := range network.connectCostGroups {
		s.ConnectCost[g] = network.connectCost
	}
	s.Document.Groups = slices.Clone(s.Document.Groups)
	if canary := cmd.String("canary"); canary != "" {
		for i := range s.Document.Groups {
			s.Document.Groups[i].Canary = config.Canary(canary)
		}
	}
	if groups := cmd.StringSlice("group"); len(groups) > 0 {
		s.Document.Groups = slices.DeleteFunc(slices.Clone(s.Document.Groups), func(g config.Group) bool { return !slices.Contains(groups, g.Name) })
		s.Catalogue.Groups = slices.DeleteFunc(slices.Clone(s.Catalogue.Groups), func(g config.GroupCatalogue) bool { return !slices.Contains(groups, g.Group) })
		s.Document.Callers = filterCallers(s.Document.Callers, groups)
	}
	if len(s.Document.Groups) == 0 {
		return s, eris.Errorf("--group: example %s has none of these groups", name)
	}
	return s, nil
}

// filterCallers returns the callers that may use any of the given groups, restricted to these groups.
func filterCallers(callers []config.Caller, groups []string) []config.Caller {
	var kept []config.Caller
	for _, c := range callers {
		c.Groups = intersection(c.Groups, groups)
		if len(c.Groups) > 0 {
			kept = append(kept, c)
		}
	}
	return kept
}

func intersection(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return !slices.Contains(b, s) })
}

func parseCases(names []string) ([]load.Case, error) {
	if len(names) == 0 {
		return load.Cases, nil
	}
	var cases []load.Case
	for _, n := range names {
		if !slices.Contains(load.Cases, load.Case(n)) {
			return nil, eris.Errorf("--case %q: use one of %s", n, caseNames())
		}
		cases = append(cases, load.Case(n))
	}
	return cases, nil
}

// parsePolicies returns the values of load.Setup.Baseline to run, the baseline first.
func parsePolicies(name string) ([]bool, error) {
	switch name {
	case "full":
		return []bool{false}, nil
	case "baseline":
		return []bool{true}, nil
	case "both":
		return []bool{true, false}, nil
	default:
		return nil, eris.Errorf("--policy %q: use full, baseline or both", name)
	}
}
