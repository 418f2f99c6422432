// Package e2e_test runs the built command as separate processes, injects failures and checks every answer.
package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/test/check"
	"github.com/medlarshunt/medlarshunt/test/loopback"
)

const (
	groupName      = "records"
	serviceCount   = 10
	documentCount  = 500
	requestTimeout = time.Second
	settleTimeout  = 30 * time.Second
	// probeInterval is the time between two readiness probes of a node by the load balancer.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// removedKey is the API key of a caller that the second version of the configuration removes.
	removedKey = "removed-caller-key"
)

// node is one node process.
type node struct {
	*process
	domain      string
	ordinal     int
	callerURL   string // URL of the caller API
	peerAddress string
	adminURL    string // URL of the administration API
}

// standIn is one target process.
type standIn struct {
	*process
	id             string
	controlAddress string
}

// deployment is a platform, the targets of a group in three failure domains, and one node in each domain. mu guards ready.
type deployment struct {
	t               *testing.T
	g               *WithT
	platformAddress string
	controlAddress  string // of the platform
	document        config.Document
	targets         map[string]*standIn
	nodes           []*node
	dataset         *check.Dataset
	client          *http.Client

	mu    sync.Mutex
	ready map[*node]bool // result of the latest readiness probe
}

func startDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, g: NewWithT(t), targets: map[string]*standIn{}, dataset: check.NewDataset(groupName, documentCount),
		client: &http.Client{Timeout: 5 * time.Second}, ready: map[*node]bool{}}
	p := startProcess(t, "platform", "stand-in", "platform", "--control-address", "127.0.0.1:0")
	values := p.waitForAddresses("address", "control_address")
	d.platformAddress, d.controlAddress = values[0], values[1]
	document, catalogue := fleet.SmallDeployment(serviceCount)
	removedCaller := document.Callers[0]
	removedCaller.Name, removedCaller.KeySHA256 = "removed-caller", fleet.HashKey(removedKey)
	document.Callers = append(document.Callers, removedCaller)
	d.dataset.AddCatalogue(catalogue)
	d.startTargets(&document, catalogue)
	d.document = document
	d.publishCatalogue(catalogue)
	d.publish(document)
	for _, domain := range document.Domains {
		d.startNode(domain.Name, 0)
	}
	d.followReadiness()
	d.g.Eventually(func() int { return len(d.readyURLs()) }, settleTimeout, probeInterval).
		Should(Equal(len(d.nodes)), "all nodes are ready")
	return d
}

func (d *deployment) startTargets(document *config.Document, catalogue config.Catalogue) {
	seed := 0
	for i := range document.Groups[0].Services {
		s := &document.Groups[0].Services[i]
		for j := range s.Targets {
			seed++
			t := &s.Targets[j]
			args := []string{"stand-in", "target", "--id", t.ID, "--service", s.Name, "--control-address", "127.0.0.1:0",
				"--service-time", "2ms", "--service-time-max", "50ms", "--seed", strconv.Itoa(seed),
				"--documents", strconv.Itoa(documentCount), "--index", "1:1"}
			for _, r := range fleet.RangesOf(catalogue.Groups[0], s.Name)[1] {
				args = append(args, "--range", fmt.Sprintf("1:%d-%d", r.From, r.To))
			}
			d.targets[t.ID] = &standIn{process: startProcess(d.t, t.ID, args...), id: t.ID}
		}
	}
	for i := range document.Groups[0].Services {
		for j := range document.Groups[0].Services[i].Targets {
			t := &document.Groups[0].Services[i].Targets[j]
			s := d.targets[t.ID]
			values := s.waitForAddresses("address", "control_address", "incarnation")
			t.Address, s.controlAddress = values[0], values[1]
			d.post(d.controlAddress, "/control/instances", configservice.Instance{ID: t.ID, Kind: configservice.KindTarget, Domain: t.Domain,
				Address: t.Address, State: configservice.InstanceLive, Incarnation: values[2]})
		}
	}
}

// publishCatalogue publishes a catalogue through the platform's control endpoint.
func (d *deployment) publishCatalogue(catalogue config.Catalogue) {
	encoded, err := config.EncodeCatalogue(catalogue)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.post(d.controlAddress, "/control/publish", configservice.Value{Key: config.KeyCatalogue, Data: encoded})
}

// publish publishes a configuration document through the platform's control endpoint, with the manifest last.
func (d *deployment) publish(document config.Document) {
	manifest, parts, err := config.Split(document)
	d.g.Expect(err).NotTo(HaveOccurred())
	for key, data := range parts {
		d.post(d.controlAddress, "/control/publish", configservice.Value{Key: key, Data: data})
	}
	encoded, err := config.EncodeManifest(manifest)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.post(d.controlAddress, "/control/publish", configservice.Value{Key: config.KeyManifest, Data: encoded})
}

func (d *deployment) post(address, path string, body any) {
	d.sendControl(http.MethodPost, address, path, body)
}

func (d *deployment) put(address, path string, body any) {
	d.sendControl(http.MethodPut, address, path, body)
}

// sendControl sends one request to the control endpoint of a stand-in.
func (d *deployment) sendControl(method, address, path string, body any) {
	d.t.Helper()
	data, err := json.Marshal(body)
	d.g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	d.g.Expect(err).NotTo(HaveOccurred())
	resp, err := d.client.Do(req)
	d.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.g.Expect(resp.StatusCode).To(BeNumerically("<", 300), "%s: %s", path, text)
}

// startNode starts a node process. Only this function knows the flags of the node command.
func (d *deployment) startNode(domain string, ordinal int) *node {
	d.t.Helper()
	m := &node{domain: domain, ordinal: ordinal, peerAddress: loopback.Reserve(d.t, 1)[0]}
	args := []string{"node", "--domain", domain, "--region", "main", "--ordinal", strconv.Itoa(ordinal),
		"--caller-listen", "127.0.0.1:0", "--peer-listen", m.peerAddress, "--admin-listen", "127.0.0.1:0",
		"--platform-url", "http://" + d.platformAddress, "--grace", "5s"}
	for _, other := range d.nodes {
		args = append(args, "--seed", other.peerAddress)
	}
	m.process = startProcess(d.t, "node "+domain, args...)
	values := m.waitForAddresses("callers", "admin")
	m.callerURL, m.adminURL = "http://"+values[0], "http://"+values[1]
	d.nodes = append(d.nodes, m)
	d.mu.Lock()
	d.ready[m] = false
	d.mu.Unlock()
	return m
}

// followReadiness probes the readiness of the nodes until the test ends, as the platform's load balancer does.
func (d *deployment) followReadiness() {
	end := make(chan struct{})
	var wg sync.WaitGroup
	client := &http.Client{Timeout: probeTimeout}
	wg.Go(func() {
		for {
			d.mu.Lock()
			nodes := make([]*node, 0, len(d.ready))
			for m := range d.ready {
				nodes = append(nodes, m)
			}
			d.mu.Unlock()
			for _, m := range nodes {
				ready := isReady(client, m)
				d.mu.Lock()
				d.ready[m] = ready
				d.mu.Unlock()
			}
			select {
			case <-end:
				return
			case <-time.After(probeInterval):
			}
		}
	})
	d.t.Cleanup(func() { close(end); wg.Wait() })
}

func isReady(client *http.Client, m *node) bool {
	resp, err := client.Get(m.callerURL + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyURLs returns the URLs of the nodes to which the load balancer sends requests now.
func (d *deployment) readyURLs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var urls []string
	for m, ready := range d.ready {
		if ready {
			urls = append(urls, m.callerURL)
		}
	}
	return urls
}

// startTraffic starts callers and waits until some of their requests have succeeded.
func (d *deployment) startTraffic(prefix string) *check.Traffic {
	t := check.StartTraffic(check.Options{Dataset: d.dataset, NodeURLs: d.readyURLs, Key: fleet.DemoKey, Group: groupName,
		Timeout: requestTimeout, Searchers: 3, CommandSenders: 2, HitLimit: documentCount, Seed: 5, RequestIDPrefix: prefix})
	d.t.Cleanup(t.Stop)
	d.g.Eventually(func() bool { return t.CompleteSearches.Load() > 20 && t.CommandsRun.Load() > 5 },
		settleTimeout, probeInterval).Should(BeTrue())
	return t
}

// waitUntilServing waits until further searches have complete answers and further commands run.
func (d *deployment) waitUntilServing(t *check.Traffic) {
	d.t.Helper()
	complete, ran := t.CompleteSearches.Load(), t.CommandsRun.Load()
	d.g.Eventually(func() bool { return t.CompleteSearches.Load() > complete+20 && t.CommandsRun.Load() > ran+5 },
		settleTimeout, probeInterval).Should(BeTrue(), "further complete answers and commands that ran")
}

// verifyOutcomes stops the callers and checks every outcome that they were told. lostTargets lists targets whose run counts
// ended with their process.
func (d *deployment) verifyOutcomes(t *check.Traffic, lostTargets ...string) {
	d.t.Helper()
	t.Stop()
	failures := t.Failures()
	d.t.Logf("complete %d, partial %d, commands ran %d, refused as not ready %d, failures %d", t.CompleteSearches.Load(),
		t.PartialSearches.Load(), t.CommandsRun.Load(), t.NotReadyRefusals.Load(), len(failures))
	for _, f := range failures[:min(len(failures), 5)] {
		d.t.Logf("failure: %s", f)
	}
	for _, f := range t.Verify(d.runCount, lostTargets...) {
		d.t.Errorf("%v", f)
	}
}

// runCount returns the number of runs of a request at all targets that are still running.
func (d *deployment) runCount(requestID string) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := 0
	for _, s := range d.targets {
		select {
		case <-s.done:
			continue
		default:
		}
		wg.Go(func() {
			resp, err := d.client.Get("http://" + s.controlAddress + "/control/runs?request_id=" + url.QueryEscape(requestID))
			if err != nil {
				d.t.Errorf("runs at %s: %v", s.id, err)
				return
			}
			defer resp.Body.Close()
			n := 0
			if err := json.NewDecoder(resp.Body).Decode(&n); err != nil {
				d.t.Errorf("runs at %s: %v", s.id, err)
			}
			mu.Lock()
			total += n
			mu.Unlock()
		})
	}
	wg.Wait()
	return total
}

// answersCompleteSearch reports whether a node answers a search with complete coverage.
func (d *deployment) answersCompleteSearch(m *node) bool {
	status, a := d.search(m, fleet.DemoKey)
	return status == http.StatusOK && a.Coverage.Complete
}

// search sends a search to one node with the API key of a caller. Status 0 means that there was no valid answer.
func (d *deployment) search(m *node, key string) (status int, a api.Answer) {
	req, err := http.NewRequest(http.MethodPost, m.callerURL+"/v1/groups/"+groupName+"/search",
		bytes.NewReader([]byte(fmt.Sprintf(`{"query":{"probe":%d},"limit":5}`, time.Now().UnixNano()))))
	if err != nil {
		d.t.Errorf("make request: %v", err)
		return 0, a
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, a
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&a) != nil {
		return 0, a
	}
	return resp.StatusCode, a
}
