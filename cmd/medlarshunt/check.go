package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/questionnaire"
)

// exitCodeInvalidAnswers is the exit code when answers are invalid. The problems are printed, one per line.
const exitCodeInvalidAnswers = 1

// checkCommand returns the command that reports every invalid answer in the given files.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report every wrong answer in the answers of all teams",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			set, err := readAnswers(cmd)
			if err != nil {
				return err
			}
			for _, a := range set.Teams {
				targets := 0
				for _, g := range a.Groups {
					targets += g.Targets()
				}
				fmt.Fprintf(cmd.Root().Writer, "%s: team %s: %d groups, %d targets, %d callers\n",
					a.File, a.Team, len(a.Groups), targets, len(a.Callers))
			}
			return nil
		},
	}
}

// readAnswers reads and checks the files given as arguments. It prints the problems and returns an exit error if there are any.
func readAnswers(cmd *cli.Command) (*questionnaire.Set, error) {
	var files []questionnaire.File
	for _, name := range cmd.Args().Slice() {
		data, err := readLimited(name)
		if err != nil {
			return nil, eris.Wrapf(err, "read answers %s", name)
		}
		files = append(files, questionnaire.File{Name: name, Data: data})
	}
	set, problems := questionnaire.Check(files...)
	if len(problems) > 0 {
		fmt.Fprintln(cmd.Root().ErrWriter, problems.Error())
		return nil, cli.Exit(fmt.Sprintf("%d wrong answers", len(problems)), exitCodeInvalidAnswers)
	}
	return set, nil
}

// readLimited reads at most one byte more than questionnaire.MaxFileBytes, so that Check still reports a file that is too
// large.
func readLimited(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, questionnaire.MaxFileBytes+1))
}
