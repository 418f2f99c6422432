package questionnaire

import (
	"sort"

	"go.yaml.in/yaml/v3"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Bounds of answers from which targets are generated.
const (
	maxReplicas = 64
	maxPort     = 65535
)

// answers reads the whole file. Groups are read last, because the team's defaults may be anywhere in the file.
func (r *reader) answers(root *yaml.Node) Answers {
	a := Answers{File: r.file}
	var defaults, groups *yaml.Node
	saveNode := func(dst **yaml.Node) fieldReader { return func(n *yaml.Node, _ string) { *dst = n } }
	r.object(root, "", map[string]fieldReader{
		"team":     r.text(&a.Team),
		"domains":  func(n *yaml.Node, p string) { r.list(n, p, r.domain(&a)) },
		"callers":  func(n *yaml.Node, p string) { r.list(n, p, r.caller(&a)) },
		"defaults": saveNode(&defaults),
		"groups":   saveNode(&groups),
	}, "team", "domains", "groups")
	if defaults != nil {
		// Read once to report its problems, even if no group uses it.
		r.object(defaults, "defaults", r.groupSettings(&config.Group{}))
	}
	if groups != nil {
		r.list(groups, "groups", r.group(&a, defaults))
	}
	return a
}

func (r *reader) domain(a *Answers) fieldReader {
	return func(n *yaml.Node, path string) {
		d := config.FailureDomain{MaxRelays: DefaultMaxRelays}
		r.object(n, path, map[string]fieldReader{
			"name":         r.text(&d.Name),
			"display_name": r.text(&d.DisplayName),
			"region":       r.text(&d.Region),
			"max_relays":   r.integer(&d.MaxRelays, 1, config.MaxRelaysLimit),
		}, "name", "region")
		a.Domains = append(a.Domains, d)
	}
}

// groupSettings returns the readers of the fields that a group either sets itself or takes from the team's defaults.
func (r *reader) groupSettings(g *config.Group) map[string]fieldReader {
	hedge := true
	nested := func(fields map[string]fieldReader) fieldReader {
		return func(n *yaml.Node, path string) { r.object(n, path, fields) }
	}
	policy := r.enum(string(config.CoverageFirst), string(config.LatencyFirst))
	canary := r.enum(string(config.CanaryAlways), string(config.CanaryAfterCrash), string(config.CanaryOff))
	return map[string]fieldReader{
		"policy": policy(func(w string) { g.Policy = config.Policy(w) }),
		"canary": canary(func(w string) { g.Canary = config.Canary(w) }),
		"timeouts": nested(map[string]fieldReader{
			"default": r.milliseconds(&g.DefaultTimeoutMS), "max": r.milliseconds(&g.MaxTimeoutMS), "goal": r.milliseconds(&g.LatencyGoalMS),
		}),
		"hedge": func(n *yaml.Node, path string) {
			quantile := g.HedgeQuantile
			if quantile == 0 {
				quantile = DefaultHedgeQuantile
			}
			r.object(n, path, map[string]fieldReader{"enabled": r.boolean(&hedge), "quantile": r.decimal(&quantile)})
			if quantile < config.MinHedgeQuantile || quantile > config.MaxHedgeQuantile {
				r.addProblem(n, path+".quantile", "a number from 0.5 to 0.999", "%g is out of range", quantile)
			}
			if g.HedgeQuantile = quantile; !hedge {
				g.HedgeQuantile = 0
			}
		},
		"retry": nested(map[string]fieldReader{"budget": r.fraction(&g.RetryBudget)}),
		"limits": nested(map[string]fieldReader{
			"body": r.byteSize(&g.MaxBodyBytes), "hits": r.integer(&g.MaxLimit, 1, config.MaxHitLimit),
		}),
	}
}

func (r *reader) group(a *Answers, defaults *yaml.Node) fieldReader {
	return func(n *yaml.Node, path string) {
		g := Group{Count: 1, Group: config.Group{HedgeQuantile: DefaultHedgeQuantile, RetryBudget: DefaultRetryBudget,
			MaxBodyBytes: DefaultMaxBodyBytes, MaxLimit: DefaultMaxHits}}
		if defaults != nil {
			defaultsReader := newReader(r.file) // discarded: the problems of the defaults are already reported
			defaultsReader.object(defaults, "defaults", defaultsReader.groupSettings(&g.Group))
		}
		fields := r.groupSettings(&g.Group)
		fields["name"] = r.text(&g.Name)
		fields["commands"] = r.boolean(&g.Commands)
		fields["slots"] = r.integer(&g.SlotsPerTarget, 1, config.MaxSlotsPerTarget)
		fields["connections"] = r.integer(&g.ConnectionLimit, 1, config.MaxConnectionLimit)
		fields["services"] = r.services(&g)
		fields["placement"] = r.placement(&g.Placement)
		fields["index"] = r.index(&g)
		r.object(n, path, fields, "name", "slots", "connections")
		if n.Kind == yaml.MappingNode {
			r.checkPlacement(n, path, &g)
		}
		if g.Policy == "" && !r.failed[path+".policy"] && !r.failed["defaults.policy"] {
			r.addProblem(n, path+".policy", "coverage_first or latency_first, here or under defaults", "is missing")
		}
		applyGroupDefaults(&g.Group)
		a.Groups = append(a.Groups, g)
	}
}

// checkPlacement requires a placement when services is a number, and rejects one when services is a list.
func (r *reader) checkPlacement(n *yaml.Node, path string, g *Group) {
	_, hasPlacement := r.positions[path+".placement"]
	if g.Count > 0 && !hasPlacement {
		r.addProblem(n, path+".placement", "hosts and first_port, or services as a list with targets", "is missing")
	}
	if g.Count == 0 && hasPlacement {
		r.addProblem(n, path+".placement", "either listed services or a placement", "stands beside listed services")
	}
}

// services reads the number of services, or a list of services with their targets.
func (r *reader) services(g *Group) fieldReader {
	return func(n *yaml.Node, path string) {
		if n.Kind != yaml.SequenceNode {
			r.integer(&g.Count, 1, config.MaxServices)(n, path)
			return
		}
		g.Count = 0
		r.list(n, path, func(n *yaml.Node, path string) {
			s := config.Service{}
			r.object(n, path, map[string]fieldReader{
				"name":    r.text(&s.Name),
				"targets": func(n *yaml.Node, p string) { r.list(n, p, r.target(&s)) },
			}, "name", "targets")
			g.Services = append(g.Services, s)
		})
	}
}

func (r *reader) target(s *config.Service) fieldReader {
	return func(n *yaml.Node, path string) {
		var t config.Target
		r.object(n, path, map[string]fieldReader{
			"id": r.text(&t.ID), "domain": r.text(&t.Domain), "address": r.text(&t.Address),
		}, "id", "domain", "address")
		s.Targets = append(s.Targets, t)
	}
}

// placement reads the hosts by failure domain, and the replicas as one number for all or by failure domain.
func (r *reader) placement(p *Placement) fieldReader {
	return func(n *yaml.Node, path string) {
		commonReplicas, replicasByDomain := 1, map[string]int{}
		r.object(n, path, map[string]fieldReader{
			"first_port": r.integer(&p.FirstPort, 1, maxPort),
			"hosts": func(n *yaml.Node, path string) {
				r.pairs(n, path, "an IP address for each failure domain", func(domain string, v *yaml.Node, at string) {
					h := Host{Domain: domain}
					r.text(&h.IP)(v, at)
					p.Hosts = append(p.Hosts, h)
				})
			},
			"replicas": func(n *yaml.Node, path string) {
				if n.Kind != yaml.MappingNode {
					r.integer(&commonReplicas, 1, maxReplicas)(n, path)
					return
				}
				commonReplicas = 0
				r.pairs(n, path, "a number for each failure domain", func(domain string, v *yaml.Node, at string) {
					count := 1
					r.integer(&count, 1, maxReplicas)(v, at)
					replicasByDomain[domain] = count
				})
			},
		}, "hosts", "first_port")
		r.assignReplicas(n, path, p, commonReplicas, replicasByDomain)
	}
}

func (r *reader) assignReplicas(n *yaml.Node, path string, p *Placement, commonReplicas int, replicasByDomain map[string]int) {
	sort.Slice(p.Hosts, func(i, j int) bool { return p.Hosts[i].Domain < p.Hosts[j].Domain })
	for i := range p.Hosts {
		h := &p.Hosts[i]
		if h.Replicas = commonReplicas; commonReplicas > 0 {
			continue
		}
		if h.Replicas = replicasByDomain[h.Domain]; h.Replicas == 0 {
			r.addProblem(n, join(path, "replicas."+h.Domain), "a number for each failure domain under hosts", "is missing")
		}
		delete(replicasByDomain, h.Domain)
	}
	unmatched := make([]string, 0, len(replicasByDomain))
	for domain := range replicasByDomain {
		unmatched = append(unmatched, domain)
	}
	sort.Strings(unmatched)
	for _, domain := range unmatched {
		r.addProblem(n, join(path, "replicas."+domain), "only failure domains under hosts", "%q has no host", domain)
	}
}

func (r *reader) index(g *Group) fieldReader {
	return func(n *yaml.Node, path string) {
		x := &Index{}
		r.object(n, path, map[string]fieldReader{
			"versions": func(n *yaml.Node, p string) {
				r.list(n, p, func(n *yaml.Node, path string) {
					var v config.IndexVersion
					r.object(n, path, map[string]fieldReader{
						"index": r.unsigned(&v.Index, 1, 1<<63), "map": r.unsigned(&v.Map, 1, 1<<63),
					}, "index", "map")
					x.Versions = append(x.Versions, v)
				})
			},
			"maps": func(n *yaml.Node, p string) { r.list(n, p, r.partitionMap(x)) },
		}, "versions", "maps")
		g.Index = x
	}
}

func (r *reader) partitionMap(x *Index) fieldReader {
	return func(n *yaml.Node, path string) {
		var m Map
		r.object(n, path, map[string]fieldReader{
			"version": r.unsigned(&m.Version, 1, 1<<63),
			"ranges": func(n *yaml.Node, path string) {
				if n.Kind != yaml.SequenceNode {
					r.enum("even")(func(string) { m.Even = true })(n, path)
					return
				}
				r.list(n, path, func(n *yaml.Node, path string) {
					var a config.Assignment
					r.object(n, path, map[string]fieldReader{
						"service": r.text(&a.Service),
						"from":    r.unsigned(&a.Range.From, 0, api.KeySpaceEnd-1),
						"to":      r.unsigned(&a.Range.To, 1, api.KeySpaceEnd),
					}, "service", "from", "to")
					m.Ranges = append(m.Ranges, a)
				})
			},
		}, "version", "ranges")
		x.Maps = append(x.Maps, m)
	}
}

func (r *reader) caller(a *Answers) fieldReader {
	return func(n *yaml.Node, path string) {
		c := Caller{AllGroups: true, Caller: config.Caller{Role: config.RoleCaller, Weight: DefaultWeight, MaxConcurrent: DefaultMaxConcurrent}}
		role := r.enum(string(config.RoleCaller), string(config.RoleAdmin))
		r.object(n, path, map[string]fieldReader{
			"name":           r.text(&c.Name),
			"role":           role(func(w string) { c.Role = config.Role(w) }),
			"key_sha256":     r.text(&c.KeySHA256),
			"weight":         r.integer(&c.Weight, 1, config.MaxCallerWeight),
			"max_concurrent": r.integer(&c.MaxConcurrent, 1, config.MaxCallerConcurrent),
			"groups": func(n *yaml.Node, path string) {
				c.AllGroups = false
				r.list(n, path, func(n *yaml.Node, path string) {
					var name string
					r.text(&name)(n, path)
					c.Groups = append(c.Groups, name)
				})
			},
			"kinds": func(n *yaml.Node, path string) {
				r.list(n, path, func(n *yaml.Node, path string) {
					k := config.Kind{Weight: 1}
					r.object(n, path, map[string]fieldReader{"name": r.text(&k.Name), "weight": r.decimal(&k.Weight)}, "name")
					c.Kinds = append(c.Kinds, k)
				})
			},
		}, "name", "key_sha256")
		if c.Role == config.RoleAdmin && len(c.Kinds) > 0 {
			r.addProblem(n, path+".kinds", "kinds of callers only", "administrators send no requests")
		}
		a.Callers = append(a.Callers, c)
	}
}
