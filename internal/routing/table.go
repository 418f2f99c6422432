package routing

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
)

// Table finds routes of one configuration. It is safe for concurrent use.
type Table struct {
	Configuration *Configuration
	services      map[string]*Service
	byHost        map[string]map[string]*Route // host, prefix
	splits        map[*Route]*splitter
}

// NewTable indexes a valid configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration: c, services: make(map[string]*Service, len(c.Services)),
		byHost: map[string]map[string]*Route{}, splits: map[*Route]*splitter{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := hostOf(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		t.byHost[host][r.Prefix] = r
		if len(r.Split) > 0 {
			t.splits[r] = newSplitter(r.Split)
		}
	}
	return t
}

// hostOf is a host name without port, in lower case.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Find returns the route with the longest prefix that begins the path, or nil.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.byHost[hostOf(host)]
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

// Destination returns the service for one request of a route that does not gather.
func (t *Table) Destination(r *Route) string {
	if s := t.splits[r]; s != nil {
		return s.next()
	}
	return r.Service
}

// splitter deals requests to services by smooth weighted round robin: after any number of requests, each service is
// within one request of its share. mu guards credit.
type splitter struct {
	shares []Share
	total  float64

	mu     sync.Mutex
	credit []float64
}

// newSplitter starts at a random place, so that the nodes do not all begin with the same service.
func newSplitter(shares []Share) *splitter {
	s := &splitter{shares: shares, credit: make([]float64, len(shares))}
	for _, share := range shares {
		s.total += share.Weight
	}
	for range rand.IntN(len(shares) * 16) {
		s.next()
	}
	return s
}

func (s *splitter) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, share := range s.shares {
		s.credit[i] += share.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.shares[best].Service
}
