package admin_test

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/admin"
	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
)

// teamAnswers returns the questionnaire answers of a team with one group.
func teamAnswers(team, group string) string {
	return `team: ` + team + `
domains: [{name: north, region: main, max_relays: 3}]
groups:
  - name: ` + group + `
    policy: coverage_first
    services: 2
    slots: 2
    connections: 25
    placement: {first_port: 21000, hosts: {north: 127.1.0.1}}
    index: {versions: [{index: 1, map: 1}], maps: [{version: 1, ranges: even}]}
callers:
  - {name: ` + team + `-caller, key_sha256: ` + fleet.HashKey("k") + `, weight: 1, max_concurrent: 1, groups: [` + group + `]}
`
}

// request is a request to a route. In path, GROUP stands for the group of the team.
type request struct {
	path string
	body func(team, group string) string
	// wantGroup is set when the answer must name the group of the team, so that an empty answer does not pass.
	wantGroup bool
}

// routes has a request for each authenticated route.
var routes = map[string]request{
	"GET /v1/status":        {path: "/v1/status"},
	"GET /v1/groups":        {path: "/v1/groups", wantGroup: true},
	"GET /v1/groups/:group": {path: "/v1/groups/GROUP", wantGroup: true},
	"GET /v1/instances":     {path: "/v1/instances", wantGroup: true},
	"GET /v1/config":        {path: "/v1/config", wantGroup: true},
	"GET /v1/quarantine":    {path: "/v1/quarantine", wantGroup: true},
	"POST /v1/explain": {path: "/v1/explain", wantGroup: true, body: func(_, group string) string {
		return `{"group":"` + group + `","query":{},"run":true}`
	}},
	"POST /v1/check":    {path: "/v1/check", body: teamAnswers},
	"POST /v1/generate": {path: "/v1/generate", wantGroup: true, body: teamAnswers},
}

// publicRoutes lists the routes that need no key and disclose no data of a team.
var publicRoutes = []string{"GET /healthz", "GET /readyz", "GET /metrics", "GET /v1/openapi.yaml"}

func sendToRoute(h http.Handler, key, route, team, group string) (int, string) {
	r := routes[route]
	body := ""
	if r.body != nil {
		body = r.body(team, group)
	}
	return call(h, key, strings.Fields(route)[0], strings.ReplaceAll(r.path, "GROUP", group), body)
}

// Guards against a new route that is in neither routes nor publicRoutes and so is not tested.
func TestEveryRouteIsCovered(t *testing.T) {
	g := NewWithT(t)
	var served []string
	for _, r := range newServer(g).(*gin.Engine).Routes() {
		served = append(served, r.Method+" "+r.Path)
	}
	covered := append([]string{}, publicRoutes...)
	for route := range routes {
		covered = append(covered, route)
	}
	g.Expect(served).To(ConsistOf(covered))
}

// Guards against a route that discloses or accesses data of another team.
func TestTeamSeesOnlyOwnData(t *testing.T) {
	for _, team := range []struct{ name, key, group, foreign string }{
		{"demo", fleet.DemoAdminKey, "charts", "ledger"}, {"other", otherAdminKey, "ledger", "charts"},
	} {
		for route, r := range routes {
			t.Run(team.name+" "+route, func(t *testing.T) {
				g := NewWithT(t)
				h := newServer(g)
				status, body := sendToRoute(h, team.key, route, team.name, team.group)
				g.Expect(status).To(Equal(http.StatusOK), body)
				g.Expect(body).NotTo(ContainSubstring(team.foreign))
				if r.wantGroup {
					g.Expect(body).To(ContainSubstring(team.group))
				}
			})
		}
		for _, route := range []string{"GET /v1/groups/:group", "POST /v1/explain"} {
			t.Run(team.name+" foreign "+route, func(t *testing.T) {
				g := NewWithT(t)
				h := newServer(g)
				status, foreign := sendToRoute(h, team.key, route, team.name, team.foreign)
				g.Expect(status).To(Equal(http.StatusNotFound))
				_, absent := sendToRoute(h, team.key, route, team.name, "absent")
				g.Expect(decodeErrorWithoutID(g, foreign)).To(Equal(decodeErrorWithoutID(g, absent)), "tells a foreign group from an absent one")
			})
		}
	}
}

func decodeErrorWithoutID(g *WithT, body string) api.Error {
	var e api.Error
	g.Expect(json.Unmarshal([]byte(body), &e)).To(Succeed())
	e.RequestID = ""
	return e
}

// Guards against generating documents from another team's answers: the listed changes would disclose what that team has
// in force.
func TestGenerateRefusesAnotherTeamsAnswers(t *testing.T) {
	g := NewWithT(t)
	status, body := sendToRoute(newServer(g), fleet.DemoAdminKey, "POST /v1/generate", "other", "ledger")
	g.Expect(status).To(Equal(http.StatusForbidden), body)
}

// Guards against an internal error for answers that contradict the published partition map.
func TestGenerateReportsConflictsWithPublished(t *testing.T) {
	g := NewWithT(t)
	answers := regexp.MustCompile(`(?m)^    index:.*\n`).ReplaceAllString(teamAnswers("demo", "charts"), "")
	status, body := call(newServer(g), fleet.DemoAdminKey, http.MethodPost, "/v1/generate", answers)
	g.Expect(status).To(Equal(http.StatusBadRequest))
	g.Expect(body).To(ContainSubstring("maps[0]"))
}

// Guards against showing a team faults of a rejected version that quote another team, which are only counted, and
// against hiding the faults in its own elements.
func TestRejectionShowsOwnFaults(t *testing.T) {
	for key, name := range map[string]string{fleet.DemoAdminKey: "Bad charts", otherAdminKey: "Bad ledger"} {
		g := NewWithT(t)
		_, body := sendToRoute(newServer(g), key, "GET /v1/config", "", "")
		var c admin.Config
		g.Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
		g.Expect(c.Rejected).To(HaveLen(1))
		g.Expect(c.Rejected[0].OtherFaults).To(BeNumerically(">", 0))
		g.Expect(c.Rejected[0].Faults).To(ContainElement(HaveField("Message", ContainSubstring(name))))
	}
}

// Guards against a route that admits a caller's key, an unknown key or a request without a key.
func TestOnlyAdministratorsAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	h := newServer(g)
	for route := range routes {
		for key, want := range map[string]int{
			"": http.StatusUnauthorized, "no-such-key": http.StatusUnauthorized, fleet.DemoKey: http.StatusForbidden,
		} {
			status, body := sendToRoute(h, key, route, "demo", "charts")
			g.Expect(status).To(Equal(want), "%s with key %q", route, key)
			g.Expect(body).NotTo(ContainSubstring("charts"))
			g.Expect(decodeErrorWithoutID(g, body).Message).NotTo(BeEmpty())
		}
	}
}

// Guards against disclosing the hash of a key, which would allow an offline brute-force attack.
func TestConfigHidesKeyHashes(t *testing.T) {
	g := NewWithT(t)
	_, body := sendToRoute(newServer(g), fleet.DemoAdminKey, "GET /v1/config", "", "")
	g.Expect(body).NotTo(ContainSubstring("sha256"))
}

// Guards against problems without a position and against documents generated from invalid answers.
func TestInvalidAnswersHavePositions(t *testing.T) {
	g := NewWithT(t)
	h := newServer(g)
	wrong := strings.Replace(teamAnswers("demo", "charts"), "slots: 2", "slots: none", 1)
	for _, path := range []string{"/v1/check", "/v1/generate"} {
		status, body := call(h, fleet.DemoAdminKey, http.MethodPost, path, wrong)
		g.Expect(status).To(Equal(http.StatusOK))
		var out admin.Generated
		g.Expect(json.Unmarshal([]byte(body), &out)).To(Succeed())
		g.Expect(out.Valid).To(BeFalse())
		g.Expect(out.Problems).To(ConsistOf(And(HaveField("Line", 7), HaveField("Column", 12), HaveField("Field", ContainSubstring("slots")))))
		g.Expect(out.Documents).To(BeEmpty())
	}
}
