// Command medlarshunt is a query tier over many shards.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "medlarshunt:", err)
		os.Exit(1)
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "medlarshunt",
		Usage:                 "a query tier over many shards",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			nodeCommand(), serveCommand(), checkCommand(), generateCommand(), demoCommand(), loadCommand(), versionCommand(), measureCommand(), standInCommand(),
		},
	}
}
