package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/gateway"
	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/query"
	"github.com/medlarshunt/medlarshunt/internal/routing"
	"github.com/medlarshunt/medlarshunt/internal/standin/shardsim"
	"github.com/medlarshunt/medlarshunt/platform"
)

const (
	service = "single"
	host    = "x.example"
	settled = 30 * time.Second
	poll    = 20 * time.Millisecond
)

// source publishes one state that never changes.
type source struct{ updates []published.Update }

func (s source) List(context.Context) (published.Listing, error) {
	return published.Listing{Updates: s.updates, AsOf: 1}, nil
}

func (s source) Watch(ctx context.Context, after uint64, wait time.Duration) ([]published.Update, uint64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

// site is a set of targets and the state that publishes them.
type site struct {
	t       *testing.T
	g       *WithT
	targets map[string]*shardsim.Target
	source  source
	seeds   []string
}

// newSite starts targets with the given service times.
func newSite(t *testing.T, targets map[string]time.Duration) *site {
	s := &site{t: t, g: NewWithT(t), targets: map[string]*shardsim.Target{}}
	configuration := &routing.Configuration{
		Version: 1, Limits: routing.Limits{BodyBytes: 1000},
		Services: []routing.Service{{Name: service, MaxConnections: 20}},
		Routes: []routing.Route{{
			Name: "one", Host: host, Prefix: "/one/", Kind: routing.Idempotent, Service: service, Attempts: 3, Timeout: 2 * time.Second,
			Goal: 400 * time.Millisecond,
		}},
	}
	s.g.Expect(configuration.Validate()).To(Succeed())
	s.source.updates = []published.Update{{Revision: 1, Configuration: configuration}}
	for id, work := range targets {
		target := shardsim.New(shardsim.Config{ID: id, Service: service, Slots: 4, Work: work})
		l := s.listen()
		go target.Serve(l)
		t.Cleanup(target.Close)
		s.targets[id] = target
		s.source.updates = append(s.source.updates, published.Update{Revision: 1, Target: &published.Target{
			ID: id, Service: service, Address: l.Addr().String(), Domain: "north", Slots: 4,
		}})
	}
	return s
}

func (s *site) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	return l
}

// node is one running gateway.
type node struct {
	s       *site
	name    string
	callers string
	set     *metrics.Set
	sent    int
}

func (s *site) start(name string) *node {
	n := &node{s: s, name: name, set: metrics.NewSet()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(s.t.Output())
	}
	callers, peers := s.listen(), s.listen()
	n.callers = callers.Addr().String()
	gw, err := gateway.New(gateway.Config{
		Node: name, Domain: "north", Regions: map[string]string{"north": "r"}, Seeds: s.seeds, Grace: 4 * time.Second,
		Budget: query.BudgetRule{Share: 0.5, Slack: 50},
	}, gateway.Env{
		Callers: callers, Ready: s.listen(), Peers: peers, Source: s.source, Codec: platform.Codec{}, Log: logrus.NewEntry(log), Set: n.set,
		Handler: func(e *query.Engine) http.Handler { return platform.NewFront(e) }, Refuse: http.HandlerFunc(platform.RefuseStopping),
		ReadyHandler: platform.ReadyHandler,
	})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(gw.Start(s.t.Context())).To(Succeed())
	s.t.Cleanup(func() { s.g.Expect(gw.Stop(context.Background())).To(Succeed()) })
	s.seeds = append(s.seeds, peers.Addr().String())
	s.g.Eventually(gw.Ready, settled, poll).Should(BeTrue())
	return n
}

// request sends one request and returns the status of its answer.
func (n *node) request() int {
	n.sent++
	r, err := http.NewRequest(http.MethodGet, "http://"+n.callers+"/one/x", nil)
	n.s.g.Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", n.name, n.sent))
	r.Header.Set("X-Deadline-Ms", "2500")
	resp, err := http.DefaultClient.Do(r)
	n.s.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return resp.StatusCode
}

// metric reads one metric without labels.
func (n *node) metric(name string) int {
	var b bytes.Buffer
	n.set.WritePrometheus(&b)
	for line := range strings.Lines(b.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			number, err := strconv.Atoi(value)
			n.s.g.Expect(err).NotTo(HaveOccurred())
			return number
		}
	}
	return 0
}

// arrivals counts the requests of a node that reached a target.
func (s *site) arrivals(target, node string) (n int) {
	for _, a := range s.targets[target].Arrivals() {
		if strings.HasPrefix(a.ID, node+"-") {
			n++
		}
	}
	return n
}

// Guards against nodes that each lose requests of their own to a target that others know to fail.
func TestNodesShareWhatTheyKnowOfFailingTargets(t *testing.T) {
	// The failing target is the faster one, so that the nodes prefer it until they know better.
	s := newSite(t, map[string]time.Duration{"good": 40 * time.Millisecond, "bad": 20 * time.Millisecond})
	first, second := s.start("first"), s.start("second")
	for range 8 { // fills the retry budget and lets each node measure both targets, but does not look like many calls a second
		s.g.Expect(first.request()).To(Equal(http.StatusOK))
		s.g.Expect(second.request()).To(Equal(http.StatusOK))
	}
	s.targets["bad"].SetFaults(shardsim.Faults{LoseAnswer: true})
	s.g.Eventually(func() int {
		first.request()
		return second.metric("medlarshunt_evidence_taken_total")
	}, settled, 500*time.Millisecond).Should(BeNumerically(">=", 3))
	before := s.arrivals("bad", "second")
	for range 10 {
		s.g.Expect(second.request()).To(Equal(http.StatusOK))
	}
	s.g.Expect(s.arrivals("bad", "second")).To(Equal(before))
	s.g.Expect(first.metric("medlarshunt_evidence_told_total")).To(BeNumerically(">", 0))
}
