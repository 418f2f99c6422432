package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/questionnaire"
)

// generateCommand returns the command that writes the documents for the given answers and prints what changes.
func generateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "generate the documents to publish from the answers of all teams",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "-",
				Usage: "write each value to the file named by its key under `DIR`; - writes JSON lines to standard output"},
			&cli.StringFlag{Name: "previous",
				Usage: "`DIR` with what is published now, as written before; the next version is chosen from it"},
			&cli.Uint64Flag{Name: "epoch",
				Usage: "start this epoch, which outranks all versions of older ones; for when the published version is lost"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			set, err := readAnswers(cmd)
			if err != nil {
				return err
			}
			opts := questionnaire.Options{Epoch: cmd.Uint64("epoch")}
			if dir := cmd.String("previous"); dir != "" {
				if opts.Previous, err = questionnaire.ReadDir(os.DirFS(dir)); err != nil {
					return err
				}
			}
			next, err := questionnaire.Generate(set, opts)
			if err != nil {
				return err
			}
			if err := printChanges(cmd.Root().ErrWriter, opts.Previous, next); err != nil {
				return err
			}
			if dir := cmd.String("output"); dir != "-" {
				return next.WriteDir(dir)
			}
			return writeJSONLines(cmd.Root().Writer, next)
		},
	}
}

func printChanges(w io.Writer, previous, next *questionnaire.Published) error {
	changes, err := questionnaire.Diff(previous, next)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no change")
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
	return nil
}

// publishedValue is one line on standard output. Value is already compact JSON, so that encoding the line keeps the bytes
// over which the hash in the manifest was computed.
type publishedValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// writeJSONLines writes one JSON line per value, in the order in which the values must be published.
func writeJSONLines(w io.Writer, p *questionnaire.Published) error {
	values, err := p.Values()
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	for _, key := range p.KeysInPublicationOrder() {
		if err := enc.Encode(publishedValue{Key: key, Value: values[key]}); err != nil {
			return eris.Wrap(err, "write documents")
		}
	}
	return nil
}
