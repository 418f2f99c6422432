// Package settings holds the process settings of a node: flags, environment variables and their validation.
package settings

import (
	"fmt"
	"slices"
	"time"
)

// Role is a function that a node has in the fleet: entry serves callers, relay calls targets.
type Role string

// Roles of a node. A node can have both.
const (
	RoleEntry Role = "entry"
	RoleRelay Role = "relay"
)

// Trace exporters; any other value is the URL of an OTLP endpoint.
const (
	TraceOff    = "off"
	TraceStdout = "stdout"
)

// Settings are the process settings of one node.
type Settings struct {
	NodeID         string
	Domain         string
	Region         string
	Ordinal        int
	Roles          []string
	CallerListen   string
	PeerListen     string
	PeerAdvertise  string
	AdminListen    string
	PlatformURLs   []string
	Seeds          []string
	LogLevel       string
	TraceExporter  string
	CallerTLS      TLSMaterial
	PeerTLS        TLSMaterial
	PeerServerName string
	Grace          time.Duration
	MemoryMB       int // 0 when the node's memory is not known
	MaxFDs         int // 0 for the limit of the process
}

const (
	// ordinalUnset is the default of Ordinal and is out of its range, so that a node without an ordinal does not start. Two
	// nodes of a failure domain with the same ordinal would share a node id.
	ordinalUnset = -1
	maxOrdinal   = 65535

	// defaultGrace is longer than the default maximum time budget of a coverage-first group, 10 s.
	defaultGrace = 20 * time.Second
	maxGrace     = 10 * time.Minute

	defaultMemoryMB = 512
	minMemoryMB     = 64
	minFDs          = 300
)

// Default returns the settings that apply where neither a flag nor an environment variable is set.
func Default() Settings {
	return Settings{
		Ordinal:        ordinalUnset,
		Roles:          []string{string(RoleEntry), string(RoleRelay)},
		CallerListen:   "127.0.0.1:8080",
		PeerListen:     "127.0.0.1:8081",
		AdminListen:    "127.0.0.1:8082",
		LogLevel:       "info",
		TraceExporter:  TraceOff,
		PeerServerName: "medlarshunt-peer",
		Grace:          defaultGrace,
		MemoryMB:       defaultMemoryMB,
	}
}

// WithDerived returns the settings with empty ones derived from others: the node id from failure domain and ordinal, so that
// it stays the same across restarts, and the advertised address from the listen address.
func (s Settings) WithDerived() Settings {
	if s.NodeID == "" && s.Domain != "" && s.Ordinal >= 0 {
		s.NodeID = fmt.Sprintf("%s-%d", s.Domain, s.Ordinal)
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	return s
}

// HasRole reports whether the node has the role.
func (s Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, string(r)) }
