package main

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/measure"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure what each part of a node costs as one size grows, and print the points and the fitted line",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "subject", Usage: "what to measure: " + strings.Join(measure.Names(), ", ") + "; default all"},
			&cli.IntFlag{Name: "repeat", Usage: "measurements of each point", Value: 3},
			&cli.IntFlag{Name: "count", Usage: "operations of one measurement; costly ones take a part of it", Value: 2000},
			&cli.DurationFlag{Name: "window", Usage: "time over which running loops are measured", Value: 4 * time.Second},
			&cli.DurationFlag{Name: "settle", Usage: "time of running loops before they are measured", Value: 6 * time.Second},
			&cli.StringFlag{Name: "target", Usage: "address of a stand-in target in another process, for the subject target"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, cmd *cli.Command) error {
	return measure.Run(ctx, cmd.Root().Writer, cmd.StringSlice("subject"), measure.Options{
		Repeat: cmd.Int("repeat"), Count: cmd.Int("count"), Window: cmd.Duration("window"), Settle: cmd.Duration("settle"),
		Target: cmd.String("target"),
	})
}
