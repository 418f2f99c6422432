package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/admin"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// pollTimeout bounds the wait for changes that a node detects by polling, which it does each second.
const pollTimeout = 15 * time.Second

func startDeployment(t *testing.T) (*WithT, *demo.Deployment) {
	g := NewWithT(t)
	d, c := twoTeams()
	deployment, err := demo.Start(t.Context(), demo.Options{Seed: 3,
		Fleet: fleet.Options{Document: d, Catalogue: c, ServiceTime: targetsim.ServiceTime{Median: time.Millisecond, Seed: 1}}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { deployment.Close(context.Background()) })
	// A node may be ready before it has learned that the others are.
	g.Eventually(func(g Gomega) {
		for _, group := range callNode[admin.Groups](g, deployment.Members()[0], http.MethodGet, "/v1/groups", "").Groups {
			g.Expect(group.Owners).To(HaveEach(HaveField("Home", Not(BeEmpty()))))
		}
	}, pollTimeout, 10*time.Millisecond).Should(Succeed())
	return g, deployment
}

// callNode sends a request to the administration API of a node and decodes the answer.
func callNode[T any](g Gomega, n *demo.Member, method, path, body string) (out T) {
	req, err := http.NewRequest(method, n.AdminURL+path, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+fleet.DemoAdminKey)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), string(data))
	g.Expect(json.Unmarshal(data, &out)).To(Succeed())
	return out
}

const explainBody = `{"group":"charts","query":{"q":"x"}}`

// exclusions maps the excluded targets of a plan to the reasons.
func exclusions(p admin.Plan) map[string]balance.Exclusion {
	reasons := map[string]balance.Exclusion{}
	for _, s := range p.Services {
		for _, t := range s.Targets {
			if t.Excluded != "" {
				reasons[t.ID] = t.Excluded
			}
		}
	}
	return reasons
}

// Guards against a plan that does not say why a target gets no calls, and against explain calling targets unasked.
func TestExplainReportsExclusionReasons(t *testing.T) {
	g, d := startDeployment(t)
	node := d.Members()[0]
	plan := callNode[admin.Plan](g, node, http.MethodPost, "/v1/explain", explainBody)
	g.Expect(plan.Home).To(Equal(node.ID))
	g.Expect(plan.Services).To(HaveLen(2))
	g.Expect(plan.Uncovered).To(BeEmpty())
	g.Expect(exclusions(plan)).To(BeEmpty())
	g.Expect(plan.Services[0].Targets).To(HaveEach(HaveField("Via", HaveSuffix("-0"))))
	g.Expect(countTargetRuns(d)).To(BeZero())

	d.Fleet.Targets["charts-00-north"].Drain()
	retired := d.Fleet.Targets["charts-01-north"]
	retired.HoldIndex(targetsim.Index{Version: 9, Map: 1}, nil)
	retired.RetireIndex(1)
	g.Eventually(func(g Gomega) {
		plan := callNode[admin.Plan](g, node, http.MethodPost, "/v1/explain", explainBody)
		g.Expect(exclusions(plan)).To(Equal(map[string]balance.Exclusion{
			"charts-00-north": balance.ExcludedLeaving, "charts-01-north": relay.ExcludedVersion,
		}))
	}, pollTimeout, 50*time.Millisecond).Should(Succeed())
	marks := callNode[admin.Instances](g, node, http.MethodGet, "/v1/instances", "").Leaving
	g.Expect(marks).To(ContainElement(HaveField("Target", "charts-00-north")))

	ran := callNode[admin.Plan](g, node, http.MethodPost, "/v1/explain", strings.Replace(explainBody, "{", `{"run":true,`, 1))
	g.Expect(ran.Run.Refusal).To(BeNil())
	g.Expect(ran.Run.Answer.Coverage.Complete).To(BeTrue())
	g.Expect(ran.Run.Parts).To(HaveEach(And(HaveField("Attempts", BeNumerically(">=", 1)), HaveField("Target", Not(HaveSuffix("north"))))))
}

// countTargetRuns returns the number of searches and commands that all targets have run.
func countTargetRuns(d *demo.Deployment) (n int64) {
	for _, t := range d.Fleet.Targets {
		n += t.Counts().SearchRuns + t.Counts().CommandRuns
	}
	return n
}

// Guards against a route that changes the node, its targets or the published configuration.
func TestNoRouteChangesState(t *testing.T) {
	g, d := startDeployment(t)
	node := d.Members()[0]
	state := func() []any {
		groups := callNode[admin.Group](g, node, http.MethodGet, "/v1/groups/charts", "")
		for i := range groups.Details {
			for j := range groups.Details[i].Targets { // these fields change with health polls and time
				t := &groups.Details[i].Targets[j]
				t.Connections, t.Incarnation, t.Cold, t.ExpectedMS = 0, "", false, 0
			}
		}
		return []any{countTargetRuns(d), d.Fleet.Document(), d.Fleet.Catalogue(), groups,
			callNode[admin.Status](g, node, http.MethodGet, "/v1/status", ""),
			callNode[admin.Config](g, node, http.MethodGet, "/v1/config", ""),
			callNode[admin.Quarantined](g, node, http.MethodGet, "/v1/quarantine", ""),
			callNode[admin.Instances](g, node, http.MethodGet, "/v1/instances", "").Leaving}
	}
	before := state()
	for route, r := range routes {
		body := ""
		if r.body != nil {
			body = strings.Replace(r.body("demo", "charts"), `"run":true`, `"run":false`, 1)
		}
		method, _, _ := strings.Cut(route, " ")
		for _, m := range []string{method, http.MethodPut, http.MethodPatch, http.MethodDelete} {
			req, err := http.NewRequest(m, node.AdminURL+strings.ReplaceAll(r.path, "GROUP", "charts"), strings.NewReader(body))
			g.Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+fleet.DemoAdminKey)
			resp, err := http.DefaultClient.Do(req)
			g.Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			g.Expect(resp.StatusCode == http.StatusOK).To(Equal(m == method), "%s %s: %d", m, r.path, resp.StatusCode)
		}
	}
	for i, after := range state() {
		g.Expect(after).To(Equal(before[i]))
	}
}
