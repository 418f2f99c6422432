package admin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
)

func readDoc(g *WithT, name string) string {
	data, err := os.ReadFile(filepath.Join("../../docs", name))
	g.Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// Guards against an error code without an entry on the page, an entry without a code, and a wrong HTTP status.
func TestErrorsPage(t *testing.T) {
	g := NewWithT(t)
	var want, have []string
	for _, code := range constants(g, "Code") {
		want = append(want, fmt.Sprintf("%s (%d)", code, entry.HTTPStatus(&api.Error{Code: api.Code(code)})))
	}
	for _, m := range regexp.MustCompile(`(?m)^## (.*)$`).FindAllStringSubmatch(readDoc(g, "errors.md"), -1) {
		have = append(have, m[1])
	}
	g.Expect(have).To(ConsistOf(want))
}

// metricRow matches the first two columns of a row of the table: the name and the labels.
var metricRow = regexp.MustCompile("(?m)^\\| `(medlarshunt_[a-z_]+)` \\| ([^|]*)\\|")

// metricLabels maps the metrics on the page to their labels.
func metricLabels(g *WithT) map[string][]string {
	page := map[string][]string{}
	for _, m := range metricRow.FindAllStringSubmatch(readDoc(g, "metrics.md"), -1) {
		g.Expect(page).NotTo(HaveKey(m[1]), "listed twice")
		page[m[1]] = strings.FieldsFunc(m[2], func(r rune) bool { return strings.ContainsRune("`, ", r) })
	}
	return page
}

// Guards against a metric in the source that is not on the page, and one on the page that is no longer in the source.
func TestMetricsPageAndSource(t *testing.T) {
	g := NewWithT(t)
	literal := regexp.MustCompile("[\"`](medlarshunt_[a-z_]+)")
	names := map[string]bool{}
	g.Expect(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "standin") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range literal.FindAllStringSubmatch(string(data), -1) {
			names[m[1]] = true
		}
		return err
	})).To(Succeed())
	for name := range metricLabels(g) {
		g.Expect(names).To(HaveKey(name), "the page lists what no source has")
	}
	for name := range names {
		g.Expect(metricLabels(g)).To(HaveKey(name), "the page lacks a metric of the source")
	}
}

var sample = regexp.MustCompile(`^(medlarshunt_[a-z_]+)(?:\{(.*)\})? `)

// Guards against metrics and labels of a running node that are not on the page, and against label values that disclose
// data of a team other than group names, because /metrics needs no key.
func TestMetricsPageAndRunningNode(t *testing.T) {
	g, d := startDeployment(t)
	node := d.Members()[0]
	client := demo.Client{HTTP: http.DefaultClient, Key: fleet.DemoKey}
	_, err := client.Search(t.Context(), node.CallerURL, "charts", entry.SearchBody{Query: json.RawMessage(`{}`)}, 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Search(t.Context(), node.CallerURL, "absent", entry.SearchBody{Query: json.RawMessage(`{}`)}, 0)
	g.Expect(err).To(HaveOccurred())
	resp, err := http.Get(node.AdminURL + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(ContainSubstring(`group="charts"`))
	page := metricLabels(g)
	for line := range bytes.Lines(data) {
		m := sample.FindStringSubmatch(string(line))
		g.Expect(m).NotTo(BeNil(), string(line))
		name := m[1]
		if _, ok := page[name]; !ok {
			name = strings.TrimSuffix(strings.TrimSuffix(name, "_sum"), "_count")
		}
		g.Expect(page).To(HaveKey(name))
		for _, label := range regexp.MustCompile(`(\w+)="([^"]*)"`).FindAllStringSubmatch(m[2], -1) {
			if label[1] != "quantile" {
				g.Expect(page[name]).To(ContainElement(label[1]), string(line))
			}
			g.Expect(label[2]).NotTo(MatchRegexp(`charts-|ledger-|demo|other`), "data of a team: %s", line)
		}
	}
}

// Guards against log lines that the pages quote and no source file contains.
func TestQuotedLogLinesExist(t *testing.T) {
	g := NewWithT(t)
	var source strings.Builder
	for _, root := range []string{"..", "../../cmd"} {
		g.Expect(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			source.Write(data)
			return err
		})).To(Succeed())
	}
	quoted := regexp.MustCompile("(?s)logs? `([^`]+)`")
	found := 0
	for _, page := range []string{"operations/runbook.md", "components/entry.md", "components/relay.md"} {
		for _, m := range quoted.FindAllStringSubmatch(readDoc(g, page), -1) {
			found++
			g.Expect(source.String()).To(ContainSubstring(`"`+strings.Join(strings.Fields(m[1]), " ")+`"`), page)
		}
	}
	g.Expect(found).To(BeNumerically(">=", 8))
}
