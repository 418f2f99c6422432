// Package config defines the published configuration documents, their validation and the rule by which a node accepts a
// new version.
package config

import (
	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Keys that nodes read from the platform's configuration service.
const (
	KeyManifest  = "medlarshunt/manifest"
	KeyCatalogue = "medlarshunt/catalogue"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Version orders published document sets and catalogues: by epoch first, then by number.
type Version struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool {
	return v.Epoch < o.Epoch || v.Epoch == o.Epoch && v.Number < o.Number
}

// IsZero reports whether no version has been set.
func (v Version) IsZero() bool { return v == Version{} }

// Manifest lists the parts of one document set, in order.
type Manifest struct {
	Version Version   `json:"version"`
	Parts   []PartRef `json:"parts"`
}

// PartRef names one published part with its content hash and size.
type PartRef struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

// Document is an assembled document set.
type Document struct {
	Version Version         `json:"version"`
	Domains []FailureDomain `json:"domains"`
	Groups  []Group         `json:"groups"`
	Callers []Caller        `json:"callers"`
}

// FailureDomain is a set of nodes and targets that may fail together, such as a zone. MaxRelays bounds the relays that may
// own a group in it; connection caps are derived from it. Name is an ASCII identifier; DisplayName is shown to people and
// may contain any letters.
type FailureDomain struct {
	Name        string `json:"name"`
	DisplayName string `json:"display_name,omitempty"`
	Region      string `json:"region"`
	MaxRelays   int    `json:"max_relays"`
}

// Policy determines whether searches of a group preserve coverage or latency when they cannot preserve both.
type Policy string

// Policies of a group.
const (
	CoverageFirst Policy = "coverage_first"
	LatencyFirst  Policy = "latency_first"
)

// Group is a set of services that are searched together.
type Group struct {
	Name             string    `json:"name"`
	Team             string    `json:"team"`
	Policy           Policy    `json:"policy"`
	Commands         bool      `json:"commands"`
	Services         []Service `json:"services"`
	SlotsPerTarget   int       `json:"slots_per_target"`
	ConnectionLimit  int       `json:"connection_limit"`
	DefaultTimeoutMS int64     `json:"default_timeout_ms"`
	MaxTimeoutMS     int64     `json:"max_timeout_ms"`
	LatencyGoalMS    int64     `json:"latency_goal_ms"`
	HedgeQuantile    float64   `json:"hedge_quantile"`
	RetryBudget      float64   `json:"retry_budget"`
	MaxBodyBytes     int64     `json:"max_body_bytes"`
	MaxLimit         int       `json:"max_limit"`
	Canary           Canary    `json:"canary"`
	Kinds            []Kind    `json:"kinds,omitempty"`
}

// Canary determines when the first part of a search runs ahead of the others.
type Canary string

// Canary settings of a group.
const (
	CanaryAlways     Canary = "always"
	CanaryAfterCrash Canary = "after_crash"
	CanaryOff        Canary = "off"
)

// Kind is a class of requests with its weight in admission and in the share of searches answered in time that
// package load reports.
type Kind struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Service is one shard of a group.
type Service struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is one replica of a service.
type Target struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Role determines what the holder of a key may do.
type Role string

// Roles of callers. An administrator may read the administration API of its team.
const (
	RoleCaller Role = "caller"
	RoleAdmin  Role = "admin"
)

// Caller is a client or an administrator, authenticated by a key of which only the hash is published.
type Caller struct {
	Name          string   `json:"name"`
	Team          string   `json:"team"`
	Role          Role     `json:"role"`
	KeySHA256     string   `json:"key_sha256"`
	Groups        []string `json:"groups"`
	Weight        int      `json:"weight"`
	MaxConcurrent int      `json:"max_concurrent"`
}

// Catalogue lists the versions of the data that exist. It changes more often than the configuration and has its own
// version.
type Catalogue struct {
	Version Version          `json:"version"`
	Groups  []GroupCatalogue `json:"groups"`
}

// GroupCatalogue lists the index versions of one group in ascending order, and its partition maps.
type GroupCatalogue struct {
	Group    string         `json:"group"`
	Versions []IndexVersion `json:"versions"`
	Maps     []PartitionMap `json:"maps"`
}

// IndexVersion is one version of a group's index and the partition map that it was built with.
type IndexVersion struct {
	Index uint64 `json:"index"`
	Map   uint64 `json:"map"`
}

// PartitionMap assigns key ranges to services.
type PartitionMap struct {
	Version     uint64       `json:"version"`
	Assignments []Assignment `json:"assignments"`
}

// Assignment is the key range that one service holds.
type Assignment struct {
	Service string       `json:"service"`
	Range   api.KeyRange `json:"range"`
}
