package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"unicode"

	"github.com/medlarshunt/medlarshunt/internal/ownership"
)

// Validate returns every fault of the document in one *InvalidError, or nil.
func (d Document) Validate() error {
	v := documentValidator{doc: &d, domains: map[string]*FailureDomain{}, groups: map[string]*Group{},
		targetIDs: map[string]targetPosition{}, addresses: map[netip.AddrPort]targetPosition{}}
	if d.Version.IsZero() {
		v.add("version", FaultRequired, "an epoch or number above 0", "is missing")
	}
	v.checkDomains()
	v.checkGroups()
	v.checkCallers()
	return v.err("document")
}

// documentValidator collects the faults of one document and indexes its elements to check cross-references.
type documentValidator struct {
	faults
	doc       *Document
	domains   map[string]*FailureDomain
	groups    map[string]*Group
	targetIDs map[string]targetPosition
	addresses map[netip.AddrPort]targetPosition
	targets   int
}

// targetPosition holds the indices of a target in a document. Its path is formatted only for a fault: at the planned
// size formatting the paths of all targets took more time than the checks.
type targetPosition struct{ group, service, target int }

func (p targetPosition) path(field string) string {
	return fmt.Sprintf("groups[%d].services[%d].targets[%d].%s", p.group, p.service, p.target, field)
}

func (v *documentValidator) checkDomains() {
	if len(v.doc.Domains) == 0 {
		v.add("domains", FaultRequired, "at least one failure domain", "is empty")
	}
	seen := map[string]string{}
	for i := range v.doc.Domains {
		d := &v.doc.Domains[i]
		path := fmt.Sprintf("domains[%d]", i)
		v.checkName(path+".name", d.Name)
		v.checkUnique(seen, path+".name", d.Name)
		v.checkName(path+".region", d.Region)
		if len(d.DisplayName) > maxDisplayNameBytes || strings.ContainsFunc(d.DisplayName, unicode.IsControl) {
			v.add(path+".display_name", FaultFormat, fmt.Sprintf("at most %d bytes without control characters", maxDisplayNameBytes),
				"is too long or has control characters")
		}
		v.checkIntRange(path+".max_relays", int64(d.MaxRelays), 1, MaxRelaysLimit)
		v.domains[d.Name] = d
	}
}

func (v *documentValidator) checkGroups() {
	if len(v.doc.Groups) == 0 {
		v.add("groups", FaultRequired, "at least one group", "is empty")
	}
	seen := map[string]string{}
	for i := range v.doc.Groups {
		g := &v.doc.Groups[i]
		path := fmt.Sprintf("groups[%d]", i)
		v.checkName(path+".name", g.Name)
		v.checkUnique(seen, path+".name", g.Name)
		v.checkName(path+".team", g.Team)
		v.checkGroupSettings(path, g)
		v.checkRequestKinds(path, g.Kinds)
		v.checkServices(path, i, g)
		v.groups[g.Name] = g
	}
	if v.targets > MaxTargets {
		v.add("groups", FaultRange, fmt.Sprintf("at most %d targets", MaxTargets), "%d targets", v.targets)
	}
}

func (v *documentValidator) checkGroupSettings(path string, g *Group) {
	if g.Policy != CoverageFirst && g.Policy != LatencyFirst {
		v.add(path+".policy", FaultUnknown, "coverage_first or latency_first", "%q is not a policy", g.Policy)
	}
	if g.Canary != CanaryAlways && g.Canary != CanaryAfterCrash && g.Canary != CanaryOff {
		v.add(path+".canary", FaultUnknown, "always, after_crash or off", "%q is not a canary setting", g.Canary)
	}
	v.checkIntRange(path+".slots_per_target", int64(g.SlotsPerTarget), 1, MaxSlotsPerTarget)
	v.checkIntRange(path+".connection_limit", int64(g.ConnectionLimit), 1, MaxConnectionLimit)
	v.checkTimeouts(path, g)
	if g.HedgeQuantile != 0 { // 0 turns hedges off
		v.checkFloatRange(path+".hedge_quantile", g.HedgeQuantile, MinHedgeQuantile, MaxHedgeQuantile)
	}
	v.checkFloatRange(path+".retry_budget", g.RetryBudget, 0, MaxRetryBudget)
	v.checkIntRange(path+".max_body_bytes", g.MaxBodyBytes, 1, MaxBodyBytesLimit)
	v.checkIntRange(path+".max_limit", int64(g.MaxLimit), 1, MaxHitLimit)
}

func (v *documentValidator) checkTimeouts(path string, g *Group) {
	v.checkIntRange(path+".max_timeout_ms", g.MaxTimeoutMS, 1, MaxTimeout.Milliseconds())
	v.checkIntRange(path+".default_timeout_ms", g.DefaultTimeoutMS, 1, MaxTimeout.Milliseconds())
	v.checkIntRange(path+".latency_goal_ms", g.LatencyGoalMS, 1, MaxTimeout.Milliseconds())
	if g.DefaultTimeoutMS > g.MaxTimeoutMS {
		v.add(path+".default_timeout_ms", FaultConflict, "at most the maximum timeout",
			"%d ms is above the maximum timeout of %d ms", g.DefaultTimeoutMS, g.MaxTimeoutMS)
	}
	if g.LatencyGoalMS > g.DefaultTimeoutMS {
		v.add(path+".latency_goal_ms", FaultConflict, "at most the default timeout",
			"%d ms is above the default timeout of %d ms", g.LatencyGoalMS, g.DefaultTimeoutMS)
	}
}

func (v *documentValidator) checkRequestKinds(path string, kinds []Kind) {
	seen := map[string]string{}
	for i, k := range kinds {
		kindPath := fmt.Sprintf("%s.kinds[%d]", path, i)
		v.checkName(kindPath+".name", k.Name)
		v.checkUnique(seen, kindPath+".name", k.Name)
		if !(k.Weight > 0 && k.Weight <= MaxKindWeight) {
			v.add(kindPath+".weight", FaultRange, fmt.Sprintf("a number above 0, at most %g", MaxKindWeight),
				"%g is out of range", k.Weight)
		}
	}
}

func (v *documentValidator) checkServices(path string, group int, g *Group) {
	if len(g.Services) == 0 {
		v.add(path+".services", FaultRequired, "at least one service", "is empty")
	}
	if len(g.Services) > MaxServices {
		v.add(path+".services", FaultRange, fmt.Sprintf("at most %d services", MaxServices), "%d services", len(g.Services))
	}
	seen, usedDomains := map[string]string{}, map[string]bool{}
	for i := range g.Services {
		s := &g.Services[i]
		servicePath := fmt.Sprintf("%s.services[%d]", path, i)
		v.checkName(servicePath+".name", s.Name)
		v.checkUnique(seen, servicePath+".name", s.Name)
		if len(s.Targets) == 0 {
			v.add(servicePath+".targets", FaultRequired, "at least one target", "service %q has no target", s.Name)
		}
		for j := range s.Targets {
			v.checkTarget(targetPosition{group, i, j}, &s.Targets[j])
			usedDomains[s.Targets[j].Domain] = true
		}
		v.targets += len(s.Targets)
	}
	v.checkConnectionLimit(path, g, usedDomains)
}

// checkConnectionLimit rejects a limit that leaves a candidate owner in a failure domain with targets of the group
// without a connection. Only candidates connect, so a failure domain with more relays than candidates needs no higher
// limit.
func (v *documentValidator) checkConnectionLimit(path string, g *Group, usedDomains map[string]bool) {
	if g.ConnectionLimit < 1 {
		return // already reported as out of range
	}
	for i := range v.doc.Domains {
		d := &v.doc.Domains[i]
		space := ownership.OrdinalSpaceOf(d.MaxRelays)
		if usedDomains[d.Name] && d.MaxRelays > 0 && space.ConnectionCap(g.ConnectionLimit) == 0 {
			v.add(path+".connection_limit", FaultConflict,
				fmt.Sprintf("at least %d, twice the relays of %s that may own a group",
					space.Candidates*ownership.IncarnationsPerOrdinal, d.Name),
				"%d connections leave none for each of %d relays", g.ConnectionLimit, space.Candidates)
			return
		}
	}
}

func (v *documentValidator) checkTarget(at targetPosition, t *Target) {
	if !ValidName(t.ID) {
		v.checkName(at.path("id"), t.ID)
	} else if first, ok := v.targetIDs[t.ID]; ok {
		v.addDuplicate(at.path("id"), t.ID, first.path("id"))
	} else {
		v.targetIDs[t.ID] = at
	}
	if v.domains[t.Domain] == nil {
		v.add(at.path("domain"), FaultUnknown, "the name of one of the domains", "%q is not a failure domain", t.Domain)
	}
	v.checkAddress(at, t.Address)
}

func (v *documentValidator) checkAddress(at targetPosition, address string) {
	const want = "IP:port, for example 10.0.0.7:8080"
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		v.add(at.path("address"), FaultFormat, want, "%q is not an address", address)
		return
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		v.add(at.path("address"), FaultRange, want, "%q cannot be dialled", address)
		return
	}
	// Two spellings of an address, such as IPv4 and IPv4-mapped IPv6, are one target, whose slots would be counted twice.
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if first, ok := v.addresses[a]; ok {
		v.addDuplicate(at.path("address"), a.String(), first.path("address"))
	} else {
		v.addresses[a] = at
	}
}

func (v *documentValidator) checkCallers() {
	names, keys := map[string]string{}, map[string]string{}
	for i := range v.doc.Callers {
		c := &v.doc.Callers[i]
		path := fmt.Sprintf("callers[%d]", i)
		v.checkName(path+".name", c.Name)
		v.checkUnique(names, path+".name", c.Name)
		v.checkName(path+".team", c.Team)
		v.checkKeyHash(path+".key_sha256", c.KeySHA256)
		v.checkUnique(keys, path+".key_sha256", c.KeySHA256)
		v.checkRole(path, c)
		v.checkCallerGroups(path, c)
	}
}

// emptyKeyHash is the SHA-256 of the empty string. If it were published, a request without a key would be authenticated.
const emptyKeyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func (v *documentValidator) checkKeyHash(path, hash string) {
	const want = "the SHA-256 of the key as 64 lower-case hexadecimal digits"
	if !validHash(hash) {
		v.add(path, FaultFormat, want, "%q is not a hash", hash)
	} else if hash == emptyKeyHash {
		v.add(path, FaultRange, want, "is the hash of an empty key")
	}
}

// validHash reports whether s is a SHA-256 in lower-case hexadecimal. Upper case is rejected so that hashes can be
// compared as strings.
func validHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == hashBytes && hex.EncodeToString(b) == s
}

func (v *documentValidator) checkRole(path string, c *Caller) {
	switch c.Role {
	case RoleAdmin:
	case RoleCaller:
		if len(c.Groups) == 0 {
			v.add(path+".groups", FaultRequired, "at least one group", "is empty")
		}
		v.checkIntRange(path+".weight", int64(c.Weight), 1, MaxCallerWeight)
		v.checkIntRange(path+".max_concurrent", int64(c.MaxConcurrent), 1, MaxCallerConcurrent)
	default:
		v.add(path+".role", FaultUnknown, "caller or admin", "%q is not a role", c.Role)
	}
}

// checkCallerGroups rejects unknown groups and groups of another team, which only that team may grant.
func (v *documentValidator) checkCallerGroups(path string, c *Caller) {
	seen := map[string]string{}
	for i, name := range c.Groups {
		groupPath := fmt.Sprintf("%s.groups[%d]", path, i)
		v.checkUnique(seen, groupPath, name)
		if g := v.groups[name]; g == nil {
			v.add(groupPath, FaultUnknown, "the name of one of the groups", "%q is not a group", name)
		} else if g.Team != c.Team {
			v.add(groupPath, FaultConflict, "a group of the caller's own team",
				"group %q belongs to team %q, the caller to %q", name, g.Team, c.Team)
		}
	}
}
