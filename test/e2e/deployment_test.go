// Package e2e_test runs the built command as separate processes and checks every answer under failures.
package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/platform"
	"github.com/medlarshunt/medlarshunt/test/check"
)

const (
	group     = "records"
	services  = 10
	documents = 500
	timeout   = time.Second
	settled   = 30 * time.Second
	// probeInterval is the time between two looks of the balancer at the readiness of a node.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// removedKey is the key of a caller that the second version of the configuration removes.
	removedKey = "removed-caller-key"
)

// member is one node process.
type member struct {
	*process
	domain  string
	ordinal int
	callers string // URL of the caller API
	peers   string
	admin   string // URL of the administration API
}

// standIn is one target process.
type standIn struct {
	*process
	id      string
	control string
}

// deployment is a platform, the targets of a group in three failure domains, and one node in each. mu guards ready.
type deployment struct {
	t        *testing.T
	g        *WithT
	platform string // address
	control  string // of the platform
	document config.Document
	targets  map[string]*standIn
	nodes    []*member
	dataset  *check.Dataset
	http     *http.Client

	mu    sync.Mutex
	ready map[*member]bool
}

func startDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, g: NewWithT(t), targets: map[string]*standIn{}, dataset: check.NewDataset(group, documents),
		http: &http.Client{Timeout: 5 * time.Second}, ready: map[*member]bool{}}
	p := spawn(t, "platform", "stand-in", "platform", "--control-address", "127.0.0.1:0")
	found := p.addresses("address", "control_address")
	d.platform, d.control = found[0], found[1]
	document, catalogue := fleet.Scenario(services)
	removed := document.Callers[0]
	removed.Name, removed.KeySHA256 = "removed-caller", fleet.HashKey(removedKey)
	document.Callers = append(document.Callers, removed)
	d.dataset.AddCatalogue(catalogue)
	d.startTargets(&document, catalogue)
	d.document = document
	d.publishCatalogue(catalogue)
	d.publish(document)
	for _, domain := range document.Domains {
		d.startNode(domain.Name, 0)
	}
	d.balance()
	d.g.Eventually(func() int { return len(d.urls()) }, settled, probeInterval).Should(Equal(len(d.nodes)), "all nodes are ready")
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
				"--documents", strconv.Itoa(documents), "--index", "1:1"}
			for _, r := range fleet.RangesOf(catalogue.Groups[0], s.Name)[1] {
				args = append(args, "--range", fmt.Sprintf("1:%d-%d", r.From, r.To))
			}
			d.targets[t.ID] = &standIn{process: spawn(d.t, t.ID, args...), id: t.ID}
		}
	}
	for i := range document.Groups[0].Services {
		for j := range document.Groups[0].Services[i].Targets {
			t := &document.Groups[0].Services[i].Targets[j]
			s := d.targets[t.ID]
			found := s.addresses("address", "control_address", "incarnation")
			t.Address, s.control = found[0], found[1]
			d.post(d.control, "/control/instances", platform.Instance{ID: t.ID, Kind: platform.KindTarget, Domain: t.Domain,
				Address: t.Address, State: platform.InstanceLive, Incarnation: found[2]})
		}
	}
}

// publishCatalogue publishes a catalogue over the platform's control endpoint.
func (d *deployment) publishCatalogue(catalogue config.Catalogue) {
	encoded, err := config.EncodeCatalogue(catalogue)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.post(d.control, "/control/publish", platform.Value{Key: config.KeyCatalogue, Data: encoded})
}

// publish publishes a document over the platform's control endpoint, the manifest last.
func (d *deployment) publish(document config.Document) {
	manifest, parts, err := config.Split(document)
	d.g.Expect(err).NotTo(HaveOccurred())
	for key, data := range parts {
		d.post(d.control, "/control/publish", platform.Value{Key: key, Data: data})
	}
	encoded, err := config.EncodeManifest(manifest)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.post(d.control, "/control/publish", platform.Value{Key: config.KeyManifest, Data: encoded})
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
	resp, err := d.http.Do(req)
	d.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.g.Expect(resp.StatusCode).To(BeNumerically("<", 300), "%s: %s", path, text)
}

// startNode starts a node process. It is the one place that knows the flags of the node command.
func (d *deployment) startNode(domain string, ordinal int) *member {
	d.t.Helper()
	m := &member{domain: domain, ordinal: ordinal, peers: freeAddress(d.g)}
	args := []string{"node", "--domain", domain, "--region", "main", "--ordinal", strconv.Itoa(ordinal),
		"--caller-listen", "127.0.0.1:0", "--peer-listen", m.peers, "--admin-listen", "127.0.0.1:0",
		"--platform-url", "http://" + d.platform, "--grace", "5s"}
	for _, other := range d.nodes {
		args = append(args, "--seed", other.peers)
	}
	m.process = spawn(d.t, "node "+domain, args...)
	found := m.addresses("callers", "admin")
	m.callers, m.admin = "http://"+found[0], "http://"+found[1]
	d.nodes = append(d.nodes, m)
	d.mu.Lock()
	d.ready[m] = false
	d.mu.Unlock()
	return m
}

// freeAddress returns a loopback address that nothing listens on; the settings of a node want a fixed peer address.
func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// balance follows the readiness of the nodes as the platform's balancer does.
func (d *deployment) balance() {
	end := make(chan struct{})
	var wg sync.WaitGroup
	client := &http.Client{Timeout: probeTimeout}
	wg.Go(func() {
		for {
			d.mu.Lock()
			nodes := make([]*member, 0, len(d.ready))
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

func isReady(client *http.Client, m *member) bool {
	resp, err := client.Get(m.callers + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// urls are the nodes that the balancer uses now.
func (d *deployment) urls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var urls []string
	for m, ready := range d.ready {
		if ready {
			urls = append(urls, m.callers)
		}
	}
	return urls
}

// traffic starts callers and waits until some of their requests have succeeded.
func (d *deployment) traffic(prefix string) *check.Traffic {
	t := check.StartTraffic(check.Options{Dataset: d.dataset, NodeURLs: d.urls, Key: fleet.DemoKey, Group: group, Timeout: timeout,
		Searchers: 3, CommandSenders: 2, HitLimit: documents, Seed: 5, RequestIDPrefix: prefix})
	d.t.Cleanup(t.Stop)
	d.g.Eventually(func() bool { return t.CompleteSearches.Load() > 20 && t.CommandsRun.Load() > 5 }, settled, probeInterval).
		Should(BeTrue())
	return t
}

// recovered waits until complete answers and runs of commands go on.
func (d *deployment) recovered(t *check.Traffic) {
	d.t.Helper()
	complete, ran := t.CompleteSearches.Load(), t.CommandsRun.Load()
	d.g.Eventually(func() bool { return t.CompleteSearches.Load() > complete+20 && t.CommandsRun.Load() > ran+5 },
		settled, probeInterval).Should(BeTrue(), "complete answers and commands go on")
}

// verify stops the callers and checks what they were told. lost names targets whose counts are gone.
func (d *deployment) verify(t *check.Traffic, lost ...string) {
	d.t.Helper()
	t.Stop()
	failures := t.Failures()
	d.t.Logf("complete %d, partial %d, commands ran %d, refused as not ready %d, failures %d", t.CompleteSearches.Load(),
		t.PartialSearches.Load(), t.CommandsRun.Load(), t.NotReadyRefusals.Load(), len(failures))
	for _, f := range failures[:min(len(failures), 5)] {
		d.t.Logf("failure: %s", f)
	}
	for _, f := range t.Verify(d.runs, lost...) {
		d.t.Errorf("%v", f)
	}
}

// runs is the number of runs of a request at all targets that live.
func (d *deployment) runs(requestID string) int {
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
			resp, err := d.http.Get("http://" + s.control + "/control/runs?request_id=" + url.QueryEscape(requestID))
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

// serves reports whether a node answers a complete search.
func (d *deployment) serves(m *member) bool {
	status, a := d.search(m, fleet.DemoKey)
	return status == http.StatusOK && a.Coverage.Complete
}

// search sends a search to one node with the key of a caller. Status 0 means that no answer came.
func (d *deployment) search(m *member, key string) (status int, a api.Answer) {
	req, err := http.NewRequest(http.MethodPost, m.callers+"/v1/groups/"+group+"/search",
		bytes.NewReader([]byte(fmt.Sprintf(`{"query":{"probe":%d},"limit":5}`, time.Now().UnixNano()))))
	if err != nil {
		d.t.Errorf("make request: %v", err)
		return 0, a
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, a
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&a) != nil {
		return 0, a
	}
	return resp.StatusCode, a
}
