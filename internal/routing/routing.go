// Package routing holds the routes of a published configuration and matches requests to them. It uses no clocks, goroutines
// or sockets.
package routing

import (
	"time"
)

// Kind says whether a request may run more than once.
type Kind string

// Kinds of requests.
const (
	Idempotent    Kind = "idempotent"     // may run more than once
	NonIdempotent Kind = "non_idempotent" // runs at most once
)

// WeightedService is the weight of one service in a split. Requests are distributed in proportion to the weights.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps the requests of one host and path prefix to services. Exactly one of Service, Split and Gather is set.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // begins and ends with a slash
	Kind   Kind   `json:"kind"`

	Service string            `json:"service,omitempty"`
	Split   []WeightedService `json:"split,omitempty"`
	Gather  []string          `json:"gather,omitempty"` // the shards, one service each

	TopK     int     `json:"records,omitempty"`   // maximum number of records in a gathered answer
	MinShare float64 `json:"min_share,omitempty"` // minimum fraction of the shards for a gathered answer to be a success

	MaxTargets  int           `json:"attempts"` // maximum number of targets that a request is sent to, for each shard
	Timeout     time.Duration `json:"timeout"`  // time within which a request gets its final answer
	LatencyGoal time.Duration `json:"goal"`     // an answer within this time has its full value
	Priority    int           `json:"priority"` // 0 is the most urgent
}

// Gathers reports whether the route sends each request to all shards.
func (r *Route) Gathers() bool { return len(r.Gather) > 0 }

// Services returns the names of all services that the route may use.
func (r *Route) Services() []string {
	switch {
	case len(r.Gather) > 0:
		return r.Gather
	case len(r.Split) > 0:
		names := make([]string, len(r.Split))
		for i, s := range r.Split {
			names[i] = s.Service
		}
		return names
	default:
		return []string{r.Service}
	}
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"connections"` // connections that one target accepts from all nodes together
}

// Limits bounds the size and duration of callers' requests and the idle time of their connections.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Configuration is one published version of the routing configuration.
type Configuration struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}
