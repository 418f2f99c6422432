package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/admin"
	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
	"github.com/medlarshunt/medlarshunt/internal/entry"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/relay"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

const otherAdminKey = "other-admin-key"

// twoTeams returns the demo's deployment with team demo and group charts, joined with a copy that has team other and
// group ledger.
func twoTeams() (config.Document, config.Catalogue) {
	d, c := renamedDeployment(strings.NewReplacer("records", "charts"))
	copied, copiedCatalogue := renamedDeployment(strings.NewReplacer("records", "ledger", `"demo`, `"other`, fleet.HashKey(fleet.DemoAdminKey), fleet.HashKey(otherAdminKey),
		fleet.HashKey(fleet.DemoKey), fleet.HashKey("other-caller-key")))
	d.Groups = append(d.Groups, copied.Groups...)
	d.Callers = append(d.Callers, copied.Callers...)
	c.Groups = append(c.Groups, copiedCatalogue.Groups...)
	return d, c
}

// renamedDeployment returns the demo's deployment with other names.
func renamedDeployment(names *strings.Replacer) (d config.Document, c config.Catalogue) {
	document, catalogue := fleet.SmallDeployment(2)
	for _, pair := range [][2]any{{document, &d}, {catalogue, &c}} {
		data, _ := json.Marshal(pair[0])
		_ = json.Unmarshal([]byte(names.Replace(string(data))), pair[1])
	}
	return d, c
}

// fakeNode implements the dependencies of a Server with fixed data of both teams.
type fakeNode struct {
	doc       config.Document
	catalogue config.Catalogue
	rejected  []configsync.Rejection
}

func (fakeNode) Ready() bool                 { return true }
func (fakeNode) State() statechart.NodeState { return statechart.NodeReady }

func (fakeNode) Self() membership.Record { return membership.Record{ID: "north-0", Domain: "north"} }
func (f fakeNode) Members(string) []membership.Member {
	return []membership.Member{{Record: f.Self(), Status: membership.Alive}}
}
func (fakeNode) Domains() []string          { return []string{"north"} }
func (fakeNode) Known() membership.Versions { return membership.Versions{} }
func (f fakeNode) Marks() (marks []membership.LeavingMark) {
	for _, g := range f.doc.Groups {
		marks = append(marks, membership.LeavingMark{Target: g.Services[0].Targets[0].ID, Incarnation: "1", Source: membership.LeavingByList})
	}
	return marks
}

func (f fakeNode) Owners(string, string) []entry.Relay { return f.Relays("") }
func (fakeNode) Relays(string) []entry.Relay           { return []entry.Relay{{NodeID: "north-0", Self: true}} }

func (f fakeNode) Current() configsync.Current {
	return configsync.Current{Document: &f.doc, Catalogue: &f.catalogue}
}

// fakeRelay reports every target as usable.
type fakeRelay struct{ fakeNode }

func (f fakeRelay) View(group string, _ func(service, target string) bool, _ time.Time) (v relay.GroupView, ok bool) {
	for _, g := range f.doc.Groups {
		for _, s := range g.Services {
			view := relay.ServiceView{Name: s.Name}
			for _, t := range s.Targets {
				view.Targets = append(view.Targets, relay.TargetView{Candidate: balance.Candidate{Target: balance.Target{ID: t.ID}}})
			}
			if g.Name == group {
				v.Services, ok = append(v.Services, view), true
			}
		}
	}
	return v, ok
}

// fakeConfig reports a rejected version with a fault in the elements of each team.
type fakeConfig struct{ fakeNode }

func (f fakeConfig) View() configsync.View { return configsync.View{Rejected: f.rejected} }

// fakeSearcher answers a search with one hit that is named after the group.
type fakeSearcher struct{}

func (fakeSearcher) SearchForExplain(_ context.Context, s api.Search, g *config.Group, _ time.Duration) (api.Answer, *api.Error) {
	return api.Answer{RequestID: s.RequestID, Group: g.Name, Hits: []api.Hit{{ID: g.Name + "-hit"}}}, nil
}

// newServer returns the handler of a node that holds data of both teams.
func newServer(g *WithT) http.Handler {
	f := fakeNode{}
	f.doc, f.catalogue = twoTeams()
	broken, _ := twoTeams()
	for i := range broken.Groups {
		broken.Groups[i].Kinds = []config.Kind{{Name: "Bad " + broken.Groups[i].Name, Weight: 1}}
	}
	// Both teams use the same target ID, so that the fault quotes elements of both.
	broken.Groups[1].Services[0].Targets[0].ID = broken.Groups[0].Services[0].Targets[0].ID
	broken.Callers[2].Groups = []string{"charts"}
	f.rejected = []configsync.Rejection{{Kind: configsync.KindConfiguration, Version: config.Version{Epoch: 1, Number: 2}, Document: &broken, Err: broken.Validate()}}
	g.Expect(f.rejected[0].Err).To(HaveOccurred())
	holder := topology.NewHolder()
	g.Expect(holder.SetDocument(f.doc)).To(Succeed())
	g.Expect(holder.SetCatalogue(f.catalogue)).To(Succeed())
	guard := quarantine.NewGuard(0)
	for _, group := range []string{"charts", "ledger"} {
		var r quarantine.Record
		g.Expect(json.Unmarshal([]byte(`{"fingerprint":"`+quarantine.FingerprintOf(group, "", nil).String()+`","group":"`+group+
			`","service":"`+group+`-00","suspected":1000,"left_ms":60000}`), &r)).To(Succeed())
		g.Expect(guard.Merge([]quarantine.Record{r}, time.Now())).To(HaveLen(1))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return admin.New(admin.Deps{
		Lifecycle: f, Topology: holder, Members: f, Config: fakeConfig{f}, Directory: f, Relay: fakeRelay{f}, Quarantine: guard,
		Searcher: fakeSearcher{}, Metrics: metrics.NewSet(), Log: logrus.NewEntry(log),
	}).Handler()
}

// call sends a request with a key, if any, and returns the status and the body.
func call(h http.Handler, key, method, path, body string) (int, string) {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w.Code, w.Body.String()
}
