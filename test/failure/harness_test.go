// Package failure_test checks requirements R1 to R8 of docs/design.md, section 2, on whole nodes under injected failures.
// Its deployments run in virtual time over an in-memory network, so that the results do not depend on the load of the
// machine.
package failure_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/test/check"
)

const (
	groupName     = "records"
	serviceCount  = 3
	documentCount = 300
	serviceTime   = 2 * time.Millisecond
	hopDelay      = time.Millisecond
	// drainGrace lets a draining target accept new requests for longer than any test takes, so that only the tier can keep
	// them away.
	drainGrace = time.Minute
	// stopGrace is longer than any request takes and shorter than the time after which net/http gives up on an unused
	// connection.
	stopGrace      = 4 * time.Second
	requestTimeout = time.Second
	seed           = 11
	// settleTimeout bounds every wait for a state for which the design states no bound.
	settleTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
	// requestPause is the pause of a caller between two requests. Under the race detector, a shorter one makes the whole
	// package take minutes.
	requestPause = 40 * time.Millisecond
)

// deploymentSlots bounds the deployments that run concurrently, because each of them keeps a core busy.
var deploymentSlots = make(chan struct{}, 6)

// harness is a deployment under traffic, with what a test needs to fail parts of it and to check its answers.
type harness struct {
	t          *testing.T
	g          *WithT
	deployment *demo.Deployment
	network    *netsim.Network
	dataset    *check.Dataset
	traffic    *check.Traffic
	httpClient *http.Client
}

// The first summary of a process starts a goroutine of the metrics library that never ends. Virtual time does not allow
// such a goroutine, so the first summary is created here, outside of virtual time.
var _ = metrics.NewSet().NewSummary("outside_of_virtual_time")

// withDeployment runs a test on a deployment under traffic, in virtual time.
func withDeployment(t *testing.T, nodesPerDomain int, test func(h *harness)) {
	t.Parallel()
	deploymentSlots <- struct{}{}
	defer func() { <-deploymentSlots }()
	virtualtime.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(settleTimeout) }) // lets dials and pauses that nothing waits for end
		test(startHarness(t, nodesPerDomain))
	})
}

// startHarness starts a deployment with traffic and ends both with the test.
func startHarness(t *testing.T, nodesPerDomain int) *harness {
	h := &harness{t: t, g: NewWithT(t), network: netsim.NewInMemory(hopDelay, hopDelay/4, seed),
		dataset: check.NewDataset(groupName, documentCount)}
	h.httpClient = &http.Client{Transport: &http.Transport{DialContext: h.dial}}
	t.Cleanup(h.httpClient.CloseIdleConnections)
	document, catalogue := fleet.SmallDeployment(serviceCount)
	h.dataset.AddCatalogue(catalogue)
	opts := demo.Options{
		Fleet: fleet.Options{Document: document, Catalogue: catalogue, Documents: documentCount, DrainGrace: drainGrace,
			ServiceTime: targetsim.ServiceTime{Median: serviceTime, Sigma: 0.3, Max: 50 * time.Millisecond, Seed: seed}},
		NodesPerDomain: nodesPerDomain, Network: h.network, Seed: seed, Grace: stopGrace,
	}
	if name := os.Getenv("MEDLARSHUNT_TEST_LOG"); name != "" {
		f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		h.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { f.Close() })
		opts.LogOutput = f
	}
	d, err := demo.Start(t.Context(), opts)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.deployment = d
	t.Cleanup(func() { d.Close(context.Background()) })
	h.traffic = check.StartTraffic(check.Options{
		Dataset: h.dataset, NodeURLs: h.readyURLs, Key: fleet.DemoKey, Group: groupName, Timeout: requestTimeout, Searchers: 3,
		CommandSenders: 2, HitLimit: documentCount, Seed: seed, RequestIDPrefix: "t", Dial: h.dial, Pause: requestPause,
	})
	t.Cleanup(h.traffic.Stop)
	h.eventually(func() bool { return h.traffic.CompleteSearches.Load() > 20 && h.traffic.CommandsRun.Load() > 5 },
		"searches and commands succeed")
	return h
}

// dial connects a caller to a node.
func (h *harness) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return h.network.Dial(ctx, address)
}

func (h *harness) eventually(f func() bool, what string, args ...any) {
	h.t.Helper()
	h.g.Eventually(f, settleTimeout, pollInterval).Should(BeTrue(), fmt.Sprintf(what, args...))
}

// readyURLs returns the URLs of the ready nodes, to which the platform's load balancer would send requests.
func (h *harness) readyURLs() []string {
	var urls []string
	for _, m := range h.deployment.Members() {
		if m.Ready() {
			urls = append(urls, m.CallerURL)
		}
	}
	return urls
}

// member returns the i-th node of a failure domain.
func (h *harness) member(domain string, i int) *demo.Member {
	for _, m := range h.deployment.Members() {
		if m.Domain == domain {
			if i == 0 {
				return m
			}
			i--
		}
	}
	h.t.Fatalf("no node in %s", domain)
	return nil
}

// target returns the target of a service in a failure domain.
func (h *harness) target(service int, domain string) *targetsim.Server {
	return h.deployment.Fleet.Targets[fmt.Sprintf("records-%02d-%s", service, domain)]
}

// letTrafficRun lets the traffic run for d.
func (h *harness) letTrafficRun(d time.Duration) { time.Sleep(d) }

// waitUntilServing waits until each node answers a search with complete coverage.
func (h *harness) waitUntilServing() {
	h.t.Helper()
	for _, m := range h.deployment.Members() {
		h.eventually(func() bool { return h.answersCompleteSearch(m) }, "node %s serves again", m.ID)
	}
}

// answersCompleteSearch reports whether a node answers a search with complete coverage.
func (h *harness) answersCompleteSearch(m *demo.Member) bool {
	limit := 5
	c := demo.Client{HTTP: h.httpClient, Key: fleet.DemoKey}
	query := json.RawMessage(fmt.Sprintf(`{"probe":"%s-%d"}`, m.ID, time.Now().UnixNano()))
	a, err := c.Search(h.t.Context(), m.CallerURL, groupName, entry.SearchBody{Query: query, Limit: &limit}, requestTimeout)
	return err == nil && a.Coverage.Complete
}

// runCount returns the number of runs of a request at all targets.
func (h *harness) runCount(requestID string) int {
	n := 0
	for _, t := range h.deployment.Fleet.Targets {
		n += t.Runs(requestID)
	}
	return n
}

// verifyAnswers stops the traffic and checks every answer that callers got against R1 to R5.
func (h *harness) verifyAnswers() {
	h.t.Helper()
	h.traffic.Stop()
	failures := h.traffic.Failures()
	h.t.Logf("complete %d, partial %d, commands ran %d, failures %d", h.traffic.CompleteSearches.Load(),
		h.traffic.PartialSearches.Load(), h.traffic.CommandsRun.Load(), len(failures))
	for _, f := range failures[:min(len(failures), 5)] {
		h.t.Logf("failure: %s", f)
	}
	faults := h.traffic.Verify(h.runCount)
	for _, f := range faults[:min(len(faults), 5)] {
		h.t.Errorf("%v", f)
	}
	if len(faults) > 0 {
		h.t.Errorf("%d violations of R1 to R5", len(faults))
	}
}

// verifyNoFailures runs verifyAnswers and also fails the test when a request failed or the outcome of a command is unknown
// (R7).
func (h *harness) verifyNoFailures() {
	h.t.Helper()
	h.verifyAnswers()
	failures := h.traffic.Failures()
	if len(failures) > 0 {
		h.t.Errorf("R7: %d requests failed during a planned change; first: %s", len(failures), failures[0])
	}
}

// versionInForce reads from the metrics of a node which version it has in force. kind is "configuration" or "catalogue".
func versionInForce(m *demo.Member, kind string) int {
	var b bytes.Buffer
	m.Metrics.WritePrometheus(&b)
	pattern := regexp.MustCompile(fmt.Sprintf(`(?m)^medlarshunt_config_version\{kind="%s",part="number"\} (\d+)`, kind))
	found := pattern.FindStringSubmatch(b.String())
	if found == nil {
		return 0
	}
	n, _ := strconv.Atoi(found[1])
	return n
}

// publish publishes the next version of the configuration, edited by change.
func (h *harness) publish(change func(*config.Document)) config.Document {
	d := h.deployment.Fleet.Document()
	d.Version.Number++
	d.Groups, d.Callers = slices.Clone(d.Groups), slices.Clone(d.Callers)
	change(&d)
	h.g.Expect(h.deployment.Fleet.Publish(d)).To(Succeed())
	return d
}

// publishCatalogue publishes the next version of the catalogue, with the group's part edited by change.
func (h *harness) publishCatalogue(change func(*config.GroupCatalogue)) {
	c := h.deployment.Fleet.Catalogue()
	c.Version.Number++
	g := c.Groups[0]
	g.Versions, g.Maps = slices.Clone(g.Versions), slices.Clone(g.Maps)
	change(&g)
	c.Groups = []config.GroupCatalogue{g}
	h.dataset.AddCatalogue(c)
	h.g.Expect(h.deployment.Fleet.PublishCatalogue(c)).To(Succeed())
}

// serviceOfTarget returns the service of a target of fleet.SmallDeployment.
func serviceOfTarget(targetID string) string { return targetID[:strings.LastIndex(targetID, "-")] }

// eachTarget calls f for each target with its service.
func (h *harness) eachTarget(f func(service string, t *targetsim.Server)) {
	for id, t := range h.deployment.Fleet.Targets {
		f(serviceOfTarget(id), t)
	}
}

// holdIndex makes all targets hold an index version of the published catalogue.
func (h *harness) holdIndex(ix config.IndexVersion) {
	groupCatalogue := h.deployment.Fleet.Catalogue().Groups[0]
	h.eachTarget(func(service string, t *targetsim.Server) {
		t.HoldIndex(targetsim.Index{Version: ix.Index, Map: ix.Map}, fleet.RangesOf(groupCatalogue, service)[ix.Map])
	})
}
