package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run nodes over stand-ins on loopback, send a search and a command, print the answers",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "keep", Usage: "keep running until interrupted"},
			&cli.IntFlag{Name: "services", Usage: "number of services of the group", Value: 10},
		},
		Action: runDemo,
	}
}

const (
	demoServiceTime = 5 * time.Millisecond
	demoDelay       = 4 * time.Millisecond
	demoTimeout     = 2 * time.Second
)

func runDemo(ctx context.Context, cmd *cli.Command) error {
	out := cmd.Root().Writer
	document, catalogue := fleet.SmallDeployment(cmd.Int("services"))
	fmt.Fprintln(out, "starting a stand-in platform,", 3*cmd.Int("services"), "stand-in targets and 3 nodes on loopback ...")
	d, err := demo.Start(ctx, demo.Options{
		Fleet:   fleet.Options{Document: document, Catalogue: catalogue, ServiceTime: targetsim.ServiceTime{Median: demoServiceTime, Sigma: 0.5, Max: time.Second, Seed: 1}},
		Network: netsim.New(demoDelay, time.Millisecond, 1),
	})
	if err != nil {
		return err
	}
	defer d.Close(context.WithoutCancel(ctx))
	client := demo.Client{HTTP: http.DefaultClient, Key: fleet.DemoKey}
	if err := demoSearch(ctx, out, client, d.Members()[0].CallerURL); err != nil {
		return err
	}
	if err := demoBooking(ctx, out, client, d.Members()); err != nil {
		return err
	}
	if !cmd.Bool("keep") {
		return nil
	}
	for _, n := range d.Members() {
		fmt.Fprintf(out, "node %s: callers %s, administration %s\n", n.ID, n.CallerURL, n.AdminURL)
	}
	fmt.Fprintf(out, "key of the caller: %s, of the administrator: %s; interrupt to stop\n", fleet.DemoKey, fleet.DemoAdminKey)
	<-ctx.Done()
	return nil
}

func demoSearch(ctx context.Context, out io.Writer, client demo.Client, url string) error {
	limit := 3
	body := entry.SearchBody{Query: json.RawMessage(`{"animal":"mule 12"}`), Limit: &limit}
	answer, err := client.Search(ctx, url, "records", body, demoTimeout)
	if err != nil {
		return eris.Wrap(err, "search")
	}
	answer.Parts = nil
	return printJSON(out, "search over all services:", answer)
}

// demoBooking sends the same command with one ticket to two nodes. The command runs only once.
func demoBooking(ctx context.Context, out io.Writer, client demo.Client, nodes []*demo.Member) error {
	key := uint64(1234)
	body := entry.CommandBody{Key: &key, Body: json.RawMessage(`{"book":"mule 12","day":"2026-12-07"}`)}
	_, err := client.Command(ctx, nodes[0].CallerURL, "records", "", body, demoTimeout)
	var apiErr *api.Error
	if !errors.As(err, &apiErr) || apiErr.Ticket == "" {
		return eris.Wrap(err, "get a ticket")
	}
	for _, n := range nodes[:2] {
		result, err := client.Command(ctx, n.CallerURL, "records", apiErr.Ticket, body, demoTimeout)
		if err != nil {
			return eris.Wrap(err, "command")
		}
		if err := printJSON(out, "command sent to node "+n.ID+" under one ticket:", result); err != nil {
			return err
		}
	}
	return nil
}

func printJSON(out io.Writer, title string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	_, err = fmt.Fprintf(out, "%s\n%s\n", title, data)
	return eris.Wrap(err, "print")
}
