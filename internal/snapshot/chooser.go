// Package snapshot chooses the snapshot that a search pins, from the published catalogue and the versions that targets
// report in responses. It does not read the clock: times are arguments.
package snapshot

import (
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/coverage"
	"github.com/medlarshunt/medlarshunt/internal/panics"
)

// ReportTTL is how long a target's report is used. Health polls refresh it every second for reachable targets. After
// ten failed polls, the published catalogue is more likely to be right.
const ReportTTL = 10 * time.Second

// ChoiceTTL is how long a choice over all services is cached while no report changes it. Computing it over 500 services
// is too costly for each search. A cached choice may contain targets that Usable would no longer accept; they are
// checked again when a target is chosen.
const ChoiceTTL = 50 * time.Millisecond

// Query describes what a search needs.
type Query struct {
	// Range selects the services that the map of a version assigns keys in it; nil is the whole key space.
	Range *api.KeyRange
	// Services restricts the choice further; nil is all services that the map assigns within Range.
	Services []string
	// Usable reports whether a target may be called now; nil accepts all. It is called with the Chooser's mutex
	// held and must not call the Chooser.
	Usable func(service, target string) bool
}

// Choice is a snapshot with the targets that are known or presumed to hold it. It is shared and must not be changed.
type Choice struct {
	Snapshot api.Snapshot
	Index    *coverage.Index
	Assigned []coverage.Assigned
	// Targets lists, per service, the usable targets that hold the snapshot, in published order.
	Targets map[string][]string
	// Lacking maps the needed services without such a target to the reason; it is empty when coverage can be complete.
	Lacking map[string]api.MissingReason
}

// Chooser holds the published catalogue of one group and the versions that its targets report. It is safe for
// concurrent use.
type Chooser struct {
	mu           panics.Mutex // guards all fields below
	version      config.Version
	catalogue    config.GroupCatalogue
	maps         map[uint64]*coverage.Index
	targets      map[string][]*targetReport // by service, in published order
	cachedChoice *Choice                    // last choice over all services; nil after a change of catalogue, services or reports
	cachedAt     time.Time
}

// targetReport holds the index versions that one target reported. The Chooser's mutex guards it.
type targetReport struct {
	target       string
	heldVersions []uint64 // all index versions that the target listed; nil before the first list
	observedAt   time.Time
	refusedAt    map[uint64]time.Time // versions that the target refused after observedAt
}

// NewChooser returns a Chooser without a catalogue: Choose reports false until SetCatalogue succeeds.
func NewChooser() *Chooser {
	return &Chooser{targets: map[string][]*targetReport{}}
}

// SetCatalogue replaces the group's published catalogue. It reports false for a catalogue that is not newer than the
// current one, and returns an *Error for an invalid one. In both cases the current one stays.
func (c *Chooser) SetCatalogue(version config.Version, catalogue config.GroupCatalogue) (bool, error) {
	maps, err := indexMaps(catalogue)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maps != nil && !c.version.Less(version) {
		return false, nil
	}
	c.version, c.catalogue, c.maps, c.cachedChoice = version, catalogue, maps, nil
	return true, nil
}

// SetServices sets the configured targets of the group and drops the reports of targets that are no longer listed.
func (c *Chooser) SetServices(services []config.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := make(map[string][]*targetReport, len(services))
	for _, s := range services {
		for _, t := range s.Targets {
			r := c.reportOf(t.ID, s.Name)
			if r == nil {
				r = &targetReport{target: t.ID}
			}
			targets[s.Name] = append(targets[s.Name], r)
		}
	}
	c.targets, c.cachedChoice = targets, nil
}

// Observe records the full list of index versions that a target reported in a response. An empty list is ignored. now
// must carry a monotonic reading (time.Now), so that a step of the wall clock does not expire reports.
func (c *Chooser) Observe(target, service string, heldVersions []uint64, now time.Time) {
	if len(heldVersions) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reportOf(target, service)
	switch {
	case r == nil:
	case len(r.refusedAt) == 0 && slices.Equal(r.heldVersions, heldVersions):
		r.observedAt = now
	default:
		*r = targetReport{target: target, heldVersions: slices.Clone(heldVersions), observedAt: now}
		c.cachedChoice = nil
	}
}

// ObserveRefusal records that a target refused an index version because it does not hold it.
func (c *Chooser) ObserveRefusal(target, service string, indexVersion uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reportOf(target, service)
	if r == nil {
		return
	}
	if r.refusedAt == nil {
		r.refusedAt = map[uint64]time.Time{}
	}
	for v, at := range r.refusedAt {
		if now.Sub(at) >= ReportTTL {
			delete(r.refusedAt, v)
		}
	}
	r.refusedAt[indexVersion] = now
	c.cachedChoice = nil
}

// reportOf returns the report of a configured target. It returns nil for any other target, so that reports are kept for
// a bounded number of targets.
func (c *Chooser) reportOf(target, service string) *targetReport {
	for _, r := range c.targets[service] {
		if r.target == target {
			return r
		}
	}
	return nil
}

// holds reports whether the target is known or presumed to hold the index version. It is presumed to hold every
// published version unless a list or a refusal younger than ReportTTL says otherwise.
func (r *targetReport) holds(indexVersion uint64, now time.Time) bool {
	if len(r.refusedAt) > 0 {
		if at, ok := r.refusedAt[indexVersion]; ok && now.Sub(at) < ReportTTL {
			return false
		}
	}
	if r.heldVersions == nil || now.Sub(r.observedAt) >= ReportTTL {
		return true
	}
	return slices.Contains(r.heldVersions, indexVersion)
}

// Holds reports whether the target is known or presumed to hold the index version. A target that is not configured is
// presumed to hold it.
func (c *Chooser) Holds(target, service string, indexVersion uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reportOf(target, service)
	return r == nil || r.holds(indexVersion, now)
}
