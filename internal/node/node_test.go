package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/node"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
)

// cluster runs one node per failure domain against a stand-in fleet.
type cluster struct {
	g     *WithT
	fleet *fleet.Fleet
	nodes []*node.Node
	urls  []string
}

func startCluster(t *testing.T, services int) *cluster {
	c := &cluster{g: NewWithT(t)}
	d, catalogue := fleet.SmallDeployment(services)
	f, err := fleet.Start(fleet.Options{Document: d, Catalogue: catalogue, ServiceTime: targetsim.ServiceTime{Median: time.Millisecond, Seed: 1}})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.fleet = f
	t.Cleanup(f.Close)
	var seeds []string
	for i, domain := range d.Domains {
		callers, peers := listen(c.g), listen(c.g)
		log, err := telemetry.NewLogger(io.Discard, "info")
		c.g.Expect(err).NotTo(HaveOccurred())
		source, err := configservice.NewClient(configservice.Config{Address: f.Platform.Address()})
		c.g.Expect(err).NotTo(HaveOccurred())
		n, err := node.New(node.Config{ID: fmt.Sprintf("node-%d", i), Domain: domain.Name, Region: domain.Region, Seeds: seeds, RandomSeed: 7, Heartbeat: 50 * time.Millisecond, GracePeriod: time.Second},
			node.Deps{CallerListener: callers, PeerListener: peers, ConfigService: source, Log: log})
		c.g.Expect(err).NotTo(HaveOccurred())
		seeds = append(seeds, peers.Addr().String())
		c.nodes = append(c.nodes, n)
		c.urls = append(c.urls, "http://"+callers.Addr().String())
		c.g.Expect(n.Start(t.Context())).To(Succeed())
		t.Cleanup(func() { _ = n.Stop(context.Background()) })
	}
	for _, n := range c.nodes {
		c.g.Eventually(n.Ready, 10*time.Second, 10*time.Millisecond).Should(BeTrue())
	}
	return c
}

func listen(g *WithT) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return l
}

// post sends a request to a node, decodes the answer and returns the HTTP status.
func (c *cluster) post(nodeIndex int, path string, headers map[string]string, body, into any) int {
	data, err := json.Marshal(body)
	c.g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, c.urls[nodeIndex]+path, bytes.NewReader(data))
	c.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+fleet.DemoKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	c.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	c.g.Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
	return resp.StatusCode
}

// Guards against a search path that works only inside one process: the search crosses the sockets of entry, relay and
// target.
func TestSearchCoversAllServices(t *testing.T) {
	c := startCluster(t, 10)
	for i := range c.nodes {
		var a api.Answer
		status := c.post(i, "/v1/groups/records/search", nil, map[string]any{"query": map[string]string{"q": "x"}, "limit": 5}, &a)
		c.g.Expect(status).To(Equal(http.StatusOK))
		c.g.Expect(a.Coverage.Complete).To(BeTrue(), "%+v", a.Coverage)
		c.g.Expect(a.Snapshot).To(Equal(api.Snapshot{IndexVersion: 1, MapVersion: 1}))
		c.g.Expect(a.Hits).To(HaveLen(5))
	}
}

// Guards against a command that runs without a ticket, or more than once with the same ticket.
func TestCommandRunsOncePerTicket(t *testing.T) {
	c := startCluster(t, 3)
	body := map[string]any{"key": 5, "body": map[string]string{"book": "mule"}}
	var refused api.Error
	c.g.Expect(c.post(0, "/v1/groups/records/commands", nil, body, &refused)).To(Equal(http.StatusPreconditionRequired))
	c.g.Expect(refused.Outcome).To(Equal(api.OutcomeNotRun))
	headers := map[string]string{entry.HeaderTicket: refused.Ticket, entry.HeaderRequestID: "r1"}
	for i := range c.nodes {
		var r api.CommandResult
		c.g.Expect(c.post(i, "/v1/groups/records/commands", headers, body, &r)).To(Equal(http.StatusOK))
		c.g.Expect(r.Outcome).To(Equal(api.OutcomeRan))
	}
	runs := int64(0)
	for _, target := range c.fleet.Targets {
		runs += target.Counts().CommandRuns
	}
	c.g.Expect(runs).To(BeEquivalentTo(1))
}
