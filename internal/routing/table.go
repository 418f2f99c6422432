package routing

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
)

// Table finds the routes of one configuration. It is safe for concurrent use.
type Table struct {
	Configuration *Configuration
	services      map[string]*Service
	byHost        map[string]map[string]*Route // host, prefix
	splits        map[*Route]*weightedRoundRobin
}

// NewTable indexes a configuration, which must be valid.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration: c, services: make(map[string]*Service, len(c.Services)),
		byHost: map[string]map[string]*Route{}, splits: map[*Route]*weightedRoundRobin{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := canonicalHost(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		t.byHost[host][r.Prefix] = r
		if len(r.Split) > 0 {
			t.splits[r] = newWeightedRoundRobin(r.Split)
		}
	}
	return t
}

// canonicalHost returns a host name in lower case and without port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Find returns the route of the host with the longest prefix that matches the path, or nil.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.byHost[canonicalHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService returns the service for the next request of a route that does not gather.
func (t *Table) PickService(r *Route) string {
	if s := t.splits[r]; s != nil {
		return s.next()
	}
	return r.Service
}

// weightedRoundRobin distributes requests to services by smooth weighted round robin: after any number of requests, each
// service is within one request of its share. mu guards currentWeights.
type weightedRoundRobin struct {
	services    []WeightedService
	totalWeight float64

	mu             sync.Mutex
	currentWeights []float64
}

// newWeightedRoundRobin starts at a random position of the sequence, so that the nodes do not all start with the same
// service.
func newWeightedRoundRobin(services []WeightedService) *weightedRoundRobin {
	w := &weightedRoundRobin{services: services, currentWeights: make([]float64, len(services))}
	for _, service := range services {
		w.totalWeight += service.Weight
	}
	for range rand.IntN(len(services) * 16) {
		w.next()
	}
	return w
}

func (w *weightedRoundRobin) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := 0
	for i, service := range w.services {
		w.currentWeights[i] += service.Weight
		if w.currentWeights[i] > w.currentWeights[best] {
			best = i
		}
	}
	w.currentWeights[best] -= w.totalWeight
	return w.services[best].Service
}
