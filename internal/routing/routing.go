// Package routing holds the routes of a published configuration and finds the one that a request takes. It has no clocks,
// goroutines or sockets.
package routing

import (
	"time"
)

// Kind says how often a request may run.
type Kind string

// Kinds of requests.
const (
	Idempotent    Kind = "idempotent"     // may run more than once
	NonIdempotent Kind = "non_idempotent" // runs at most once
)

// Share is a service of a split with its weight.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route says where the requests of one host and path prefix go. Exactly one of Service, Split and Gather is set.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // begins and ends with a slash
	Kind   Kind   `json:"kind"`

	Service string   `json:"service,omitempty"`
	Split   []Share  `json:"split,omitempty"`
	Gather  []string `json:"gather,omitempty"` // the shards, one service each

	TopK     int     `json:"records,omitempty"`   // records of a gathered answer
	MinShare float64 `json:"min_share,omitempty"` // of the shards, for a gathered answer to be a success

	Attempts int           `json:"attempts"` // largest number of targets that a request is sent to, for each shard
	Timeout  time.Duration `json:"timeout"`  // by then the request has its final answer
	Goal     time.Duration `json:"goal"`     // an answer within this time has its full worth
	Priority int           `json:"priority"` // 0 is the most urgent
}

// Gathers reports whether the route asks all shards.
func (r *Route) Gathers() bool { return len(r.Gather) > 0 }

// Services lists every service that the route may use.
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
	MaxConnections int    `json:"connections"` // that one target accepts from all nodes together
}

// Limits bound what a caller may send and how long it may stay idle.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Configuration is one published version.
type Configuration struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}
