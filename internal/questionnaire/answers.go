// Package questionnaire reads the YAML answers in which a team describes its data, callers and limits, checks them
// and generates the documents that operators publish.
package questionnaire

import (
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// File is one file of answers. Name is used only in reported problems.
type File struct {
	Name string
	Data []byte
}

// Set holds the checked answers of all teams of a deployment.
type Set struct {
	Teams []Answers // by team name

	readers []*reader // with the positions of each team's answers, in the order of Teams
}

// Answers holds the answers of one team, with defaults filled in.
type Answers struct {
	File    string
	Team    string
	Domains []config.FailureDomain
	Groups  []Group
	Callers []Caller
}

// Group is a group of services. Its embedded Services are those that the answers list; Count and Placement describe
// services whose targets follow a port scheme.
type Group struct {
	config.Group
	Count     int
	Placement Placement
	Index     *Index
}

// Targets returns the number of targets of the group.
func (g *Group) Targets() int {
	total := 0
	for _, s := range g.Services {
		total += len(s.Targets)
	}
	for _, h := range g.Placement.Hosts {
		total += h.Replicas * g.Count
	}
	return total
}

// Placement derives target addresses: service i, replica r of a failure domain listens on that domain's host at
// FirstPort + r*Count + i. Adding a replica therefore does not change the other addresses.
type Placement struct {
	Hosts     []Host // by domain name
	FirstPort int
}

// Host states on which IP address the targets of one failure domain listen, and how many replicas each service has there.
type Host struct {
	Domain   string
	IP       string
	Replicas int
}

// Index describes the versions of a group's data. A group without an Index keeps the versions that are published.
type Index struct {
	Versions []config.IndexVersion
	Maps     []Map
}

// Map is a partition map. With Even, the key space is divided equally between the services.
type Map struct {
	Version uint64
	Even    bool
	Ranges  []config.Assignment
}

// Caller is a customer or an administrator, with the kinds of request that it sends.
type Caller struct {
	config.Caller
	AllGroups bool // the answers list no groups, which means all groups of the team
	Kinds     []config.Kind
}

// Defaults for answers that a team omits.
const (
	DefaultHedgeQuantile = 0.95
	DefaultRetryBudget   = 0.05
	DefaultMaxBodyBytes  = 64 << 10
	DefaultMaxHits       = 1000
	DefaultWeight        = 1
	DefaultMaxConcurrent = 64
	// DefaultMaxRelays is the size of a candidate set in a fleet of the planned size. Smaller fleets may set a lower value
	// to get more connections per relay.
	DefaultMaxRelays = 12
)

// policyDefaults holds the defaults that depend on a group's policy, that is on whether it gives up coverage or latency
// last.
type policyDefaults struct {
	defaultTimeoutMS, maxTimeoutMS, latencyGoalMS int64
	canary                                        config.Canary
}

var defaultsByPolicy = map[config.Policy]policyDefaults{
	config.CoverageFirst: {defaultTimeoutMS: 2_000, maxTimeoutMS: 10_000, latencyGoalMS: 1_000, canary: config.CanaryAlways},
	config.LatencyFirst:  {defaultTimeoutMS: 250, maxTimeoutMS: 2_000, latencyGoalMS: 100, canary: config.CanaryAfterCrash},
}

// applyGroupDefaults sets the values that the answers omit. Default times are adjusted to the times that the team states.
func applyGroupDefaults(g *config.Group) {
	d, ok := defaultsByPolicy[g.Policy]
	if !ok {
		d = defaultsByPolicy[config.CoverageFirst] // the reader reports the missing or unknown policy
	}
	if g.DefaultTimeoutMS == 0 {
		g.DefaultTimeoutMS = max(d.defaultTimeoutMS, g.LatencyGoalMS)
		if g.MaxTimeoutMS > 0 {
			g.DefaultTimeoutMS = min(g.DefaultTimeoutMS, g.MaxTimeoutMS)
		}
	}
	if g.MaxTimeoutMS == 0 {
		g.MaxTimeoutMS = max(d.maxTimeoutMS, g.DefaultTimeoutMS)
	}
	if g.LatencyGoalMS == 0 {
		g.LatencyGoalMS = min(d.latencyGoalMS, g.DefaultTimeoutMS)
	}
	if g.Canary == "" {
		g.Canary = d.canary
	}
}
