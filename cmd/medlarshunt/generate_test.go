package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

const dentalAnswers = "../../examples/dental/answers.yaml"

// runCLI runs a command line with the commands check and generate. The error carries the exit code.
func runCLI(args ...string) (stdout, stderr string, err error) {
	var out, errOut bytes.Buffer
	root := &cli.Command{Name: "medlarshunt", Writer: &out, ErrWriter: &errOut,
		Commands:       []*cli.Command{checkCommand(), generateCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err = root.Run(context.Background(), append([]string{"medlarshunt"}, args...))
	return out.String(), errOut.String(), err
}

// Guards against invalid answers that pass with exit code 0 or are reported without file, line and column.
func TestCheckReportsProblemsAndFails(t *testing.T) {
	g := NewWithT(t)
	out, _, err := runCLI("check", dentalAnswers, "../../examples/rota/answers.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(ContainSubstring("team dental: 4 groups, 83 targets, 3 callers"))
	g.Expect(out).To(ContainSubstring("team rota: 4 groups, 85 targets, 3 callers"))

	bad := filepath.Join(t.TempDir(), "bad.yaml")
	g.Expect(os.WriteFile(bad, []byte("team: x\n"), 0o600)).To(Succeed())
	_, errOut, err := runCLI("check", bad)
	exit, ok := err.(cli.ExitCoder)
	g.Expect(ok).To(BeTrue())
	g.Expect(exit.ExitCode()).To(Equal(1))
	g.Expect(strings.Split(strings.TrimSpace(errOut), "\n")).To(HaveLen(2))
	g.Expect(errOut).To(ContainSubstring(bad + ":1:1: groups: is missing; want a value"))
}

// Guards against values on standard output whose bytes do not match the hashes in their manifest, and against a version
// that is not derived from the previous directory.
func TestGenerateWritesWhatNodesAccept(t *testing.T) {
	g := NewWithT(t)
	out, errOut, err := runCLI("generate", dentalAnswers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(errOut).To(ContainSubstring("+ document.groups[owner-desk]"))
	values := map[string][]byte{}
	for _, text := range strings.Split(strings.TrimSpace(out), "\n") {
		var published publishedValue
		g.Expect(json.Unmarshal([]byte(text), &published)).To(Succeed())
		values[published.Key] = published.Value
	}
	m, err := config.DecodeManifest(values[config.KeyManifest])
	g.Expect(err).NotTo(HaveOccurred())
	var a config.Acceptor
	_, decision, err := a.OfferDocument(m, values)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decision).To(Equal(config.Accepted))

	dir := t.TempDir()
	_, _, err = runCLI("generate", "--output", dir, dentalAnswers)
	g.Expect(err).NotTo(HaveOccurred())
	_, errOut, err = runCLI("generate", "--previous", dir, "--output", dir, dentalAnswers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(errOut).To(Equal("no change\n"))
	_, errOut, err = runCLI("generate", "--previous", dir, "--epoch", "2", "--output", dir, dentalAnswers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(errOut).To(ContainSubstring("~ document.version.epoch: 1 -> 2"))
	_, _, err = runCLI("generate", "--previous", dir, "--epoch", "1", dentalAnswers)
	g.Expect(err).To(HaveOccurred())
}
