package routing

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func configuration(routes ...Route) *Configuration {
	c := &Configuration{Version: 1, Services: []Service{{Name: "a", MaxConnections: 5}, {Name: "b", MaxConnections: 5}}, Routes: routes}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == "" {
			r.Kind = Idempotent
		}
		r.MaxTargets, r.Timeout = max(1, r.MaxTargets), time.Second
	}
	return c
}

// Guards against matching a request to a shorter prefix than possible, or to a route of another host.
func TestFindReturnsLongestPrefixOfHost(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(configuration(
		Route{Name: "root", Host: "x.example", Prefix: "/", Service: "a"},
		Route{Name: "deep", Host: "x.example", Prefix: "/p/q/", Service: "b"},
		Route{Name: "other", Host: "y.example", Prefix: "/p/", Service: "b"},
	))
	for path, want := range map[string]string{
		"/": "root", "/p": "root", "/p/": "root", "/p/q": "root", "/p/q/": "deep", "/p/q/r/s": "deep", "/p/qq/": "root",
	} {
		g.Expect(table.Find("X.example:80", path).Name).To(Equal(want), path)
	}
	g.Expect(table.Find("y.example", "/q/")).To(BeNil())
	g.Expect(table.Find("z.example", "/p/")).To(BeNil())
}

// Guards against accepting a configuration with which requests could not be served as the operators intend.
func TestValidateNamesInvalidField(t *testing.T) {
	good := Route{Name: "r", Host: "h", Prefix: "/p/", Service: "a"}
	for name, c := range map[string]struct {
		change func(*Configuration)
		field  string
	}{
		"no version":       {func(c *Configuration) { c.Version = 0 }, "version"},
		"prefix":           {func(c *Configuration) { c.Routes[0].Prefix = "/p" }, "routes[0].prefix"},
		"kind":             {func(c *Configuration) { c.Routes[0].Kind = "often" }, "routes[0].kind"},
		"attempts":         {func(c *Configuration) { c.Routes[0].MaxTargets = 0 }, "routes[0].attempts"},
		"timeout":          {func(c *Configuration) { c.Routes[0].Timeout = 0 }, "routes[0].timeout"},
		"no destination":   {func(c *Configuration) { c.Routes[0].Service = "" }, "routes[0]"},
		"unknown service":  {func(c *Configuration) { c.Routes[0].Service = "z" }, "routes[0]"},
		"two destinations": {func(c *Configuration) { c.Routes[0].Gather = []string{"a"} }, "routes[0]"},
		"repeated shard":   {func(c *Configuration) { c.Routes[0] = gatherRoute("a", "a") }, "routes[0].gather"},
		"share above 1":    {func(c *Configuration) { c.Routes[0] = gatherRoute("a"); c.Routes[0].MinShare = 1.5 }, "routes[0].min_share"},
		"weight not finite": {func(c *Configuration) {
			c.Routes[0].Service = ""
			c.Routes[0].Split = []WeightedService{{"a", math.NaN()}}
		}, "routes[0].split[0].weight"},
		"service twice":  {func(c *Configuration) { c.Services = append(c.Services, c.Services[0]) }, "services[2].name"},
		"no connections": {func(c *Configuration) { c.Services[0].MaxConnections = 0 }, "services[0].max_connections"},
		"route twice":    {func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[0]) }, "routes[1]"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conf := configuration(good)
			g.Expect(conf.Validate()).To(Succeed())
			c.change(conf)
			err := conf.Validate()
			g.Expect(err).To(HaveOccurred())
			g.Expect(err.(*FieldError).Field).To(Equal(c.field))
		})
	}
}

func gatherRoute(shards ...string) Route {
	return Route{Name: "g", Host: "h", Prefix: "/p/", Kind: Idempotent, Gather: shards, TopK: 1, MaxTargets: 1, Timeout: time.Second}
}

// Guards against a split whose services do not get their shares of the requests, also over a short sequence of them.
func TestSplitKeepsWeightsOverShortSpans(t *testing.T) {
	g := NewWithT(t)
	route := Route{Name: "s", Host: "h", Prefix: "/", Split: []WeightedService{{"a", 3}, {"b", 1}}}
	table := NewTable(configuration(route))
	r := table.Find("h", "/")
	const span = 40
	for range 25 {
		got := map[string]int{}
		for range span {
			got[table.PickService(r)]++
		}
		g.Expect(got["a"]).To(BeNumerically("~", span*3/4, 1))
	}
}
