package questionnaire

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// origin locates the answer from which an element of a document was built.
type origin struct {
	team    int
	path    string
	derived bool // the element was derived from the answer as a whole; its fields have no answers of their own
}

// builder builds the documents from the answers of all teams and records the origin of each element.
type builder struct {
	set       *Set
	document  config.Document
	catalogue config.Catalogue
	// origins and indexOrigins are keyed by paths of the document and of the catalogue.
	origins          map[string]origin
	indexOrigins     map[string]origin
	conflicts        []conflict
	unexpandedGroups []origin // groups whose services were not built because of a conflict
	targetCount      int
}

// conflict is a contradiction between answers, or an answer that cannot be expanded. Validating the built documents would
// not find it.
type conflict struct {
	at            origin
	message, want string
}

// build builds the documents. Elements are ordered by name, so that the order of the answers does not affect the documents.
func build(set *Set) *builder {
	b := &builder{set: set, origins: map[string]origin{}, indexOrigins: map[string]origin{}}
	b.document.Version = config.Version{Epoch: 1, Number: 1}
	b.catalogue.Version = b.document.Version
	b.addDomains()
	b.addGroups()
	b.addCallers()
	return b
}

// namedEntry is one element of the answers, with its name as the sort key.
type namedEntry[T any] struct {
	name   string
	value  *T
	origin origin
}

// entriesByName returns the elements of one section of all teams' answers, sorted by name.
func entriesByName[T any](set *Set, section string, elementsOf func(*Answers) []T, name func(*T) string) []namedEntry[T] {
	var out []namedEntry[T]
	for i := range set.Teams {
		list := elementsOf(&set.Teams[i])
		for j := range list {
			out = append(out, namedEntry[T]{name(&list[j]), &list[j], origin{team: i, path: fmt.Sprintf("%s[%d]", section, j)}})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// addDomains merges the failure domains of all teams. Teams that share a failure domain must describe it identically.
func (b *builder) addDomains() {
	list := entriesByName(b.set, "domains", func(a *Answers) []config.FailureDomain { return a.Domains },
		func(d *config.FailureDomain) string { return d.Name })
	for i, e := range list {
		if i > 0 && list[i-1].name == e.name && list[i-1].origin.team != e.origin.team {
			if *list[i-1].value != *e.value {
				b.conflicts = append(b.conflicts, conflict{e.origin, fmt.Sprintf("failure domain %q differs from that in %s",
					e.name, b.set.Teams[list[i-1].origin.team].File), "the same region, max_relays and display_name in all files"})
			}
			continue
		}
		b.origins[fmt.Sprintf("domains[%d]", len(b.document.Domains))] = e.origin
		b.document.Domains = append(b.document.Domains, *e.value)
	}
}

func (b *builder) addGroups() {
	list := entriesByName(b.set, "groups", func(a *Answers) []Group { return a.Groups }, func(g *Group) string { return g.Name })
	for _, e := range list {
		path := fmt.Sprintf("groups[%d]", len(b.document.Groups))
		b.origins[path] = e.origin
		g := e.value.Group
		g.Team = b.set.Teams[e.origin.team].Team
		if e.value.Count > 0 {
			g.Services = b.expandPlacement(e.value, path, e.origin)
		}
		b.addKinds(&g, path, e.origin.team)
		b.document.Groups = append(b.document.Groups, g)
		if e.value.Index != nil {
			b.addIndex(e.value, &g, e.origin)
		}
	}
}

// rejectGroup records a conflict that prevents the services of a group from being built.
func (b *builder) rejectGroup(group origin, field, want, message string, args ...any) {
	b.unexpandedGroups = append(b.unexpandedGroups, group)
	b.conflicts = append(b.conflicts, conflict{origin{group.team, group.path + field, true}, fmt.Sprintf(message, args...), want})
}

// canExpand reports whether the services of a group can be derived from its placement. Otherwise it records the first
// reason.
func (b *builder) canExpand(g *Group, from origin) bool {
	if !config.ValidName(g.Name) {
		b.unexpandedGroups = append(b.unexpandedGroups, from) // the validation of the document reports the name
		return false
	}
	targetsPerService := 0
	for _, h := range g.Placement.Hosts {
		if !config.ValidName(h.Domain) {
			b.rejectGroup(from, ".placement.hosts."+h.Domain, "the name of one of the domains", "%q is not an identifier", h.Domain)
			return false
		}
		if id := targetID(g, g.Count-1, h, h.Replicas-1); len(id) > config.MaxNameBytes {
			b.rejectGroup(from, ".name", fmt.Sprintf("a name that leaves target ids at most %d characters", config.MaxNameBytes),
				"the target id %q is too long", id)
			return false
		}
		if last := g.Placement.FirstPort + h.Replicas*g.Count - 1; last > maxPort {
			b.rejectGroup(from, ".placement.first_port", fmt.Sprintf("at most %d", maxPort-h.Replicas*g.Count+1),
				"the last port would be %d", last)
			return false
		}
		targetsPerService += h.Replicas
	}
	if b.targetCount += targetsPerService * g.Count; b.targetCount > config.MaxTargets {
		b.rejectGroup(from, ".services", fmt.Sprintf("at most %d targets", config.MaxTargets),
			"the answers describe %d targets or more", b.targetCount)
		return false
	}
	return true
}

func serviceName(g *Group, i int) string { return fmt.Sprintf("%s-%d", g.Name, i) }

func targetID(g *Group, i int, h Host, replica int) string {
	return fmt.Sprintf("%s-%s-%d", serviceName(g, i), h.Domain, replica)
}

// expandPlacement returns the services and targets of a group, derived from its placement.
func (b *builder) expandPlacement(g *Group, path string, from origin) []config.Service {
	if !b.canExpand(g, from) {
		return nil
	}
	services := make([]config.Service, g.Count)
	for i := range services {
		servicePath := fmt.Sprintf("%s.services[%d]", path, i)
		services[i].Name = serviceName(g, i)
		b.origins[servicePath] = origin{from.team, from.path + ".placement", true}
		b.origins[servicePath+".name"] = origin{from.team, from.path + ".name", true}
		for _, h := range g.Placement.Hosts {
			for r := range h.Replicas {
				t := config.Target{ID: targetID(g, i, h, r), Domain: h.Domain,
					Address: address(h.IP, g.Placement.FirstPort+r*g.Count+i)}
				targetPath := fmt.Sprintf("%s.targets[%d]", servicePath, len(services[i].Targets))
				b.origins[targetPath] = origin{from.team, from.path + ".placement.hosts." + h.Domain, true}
				services[i].Targets = append(services[i].Targets, t)
			}
		}
	}
	return services
}

// address joins an IP address and a port. An IP address that cannot be parsed is kept, and the validation reports it.
func address(ip string, port int) string {
	a, err := netip.ParseAddr(ip)
	if err != nil || port > maxPort {
		return ip + ":" + strconv.Itoa(port)
	}
	return netip.AddrPortFrom(a, uint16(port)).String()
}

// addKinds merges the kinds of all callers of a group. Callers must agree on the weight of a kind, because admission
// compares the requests of different callers.
func (b *builder) addKinds(g *config.Group, path string, team int) {
	type kindWeight struct {
		weight float64
		from   origin
	}
	kinds := map[string]kindWeight{}
	for i, c := range b.set.Teams[team].Callers {
		if !c.AllGroups && !c.MayUse(g.Name) || c.AllGroups && c.Role != config.RoleCaller {
			continue
		}
		for j, k := range c.Kinds {
			at := origin{team: team, path: fmt.Sprintf("callers[%d].kinds[%d]", i, j)}
			if first, ok := kinds[k.Name]; ok && first.weight != k.Weight {
				at.path += ".weight"
				b.conflicts = append(b.conflicts, conflict{at, fmt.Sprintf("kind %q has weight %g at %s", k.Name, first.weight,
					first.from.path), "one weight per kind for all callers of a group"})
			} else if !ok {
				kinds[k.Name] = kindWeight{k.Weight, at}
			}
		}
	}
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b.origins[fmt.Sprintf("%s.kinds[%d]", path, len(g.Kinds))] = kinds[name].from
		g.Kinds = append(g.Kinds, config.Kind{Name: name, Weight: kinds[name].weight})
	}
}

// addIndex adds the group's versions and partition maps to the catalogue.
func (b *builder) addIndex(source *Group, g *config.Group, at origin) {
	b.indexOrigins[fmt.Sprintf("groups[%d]", len(b.catalogue.Groups))] = origin{team: at.team, path: at.path + ".index"}
	c := config.GroupCatalogue{Group: g.Name, Versions: source.Index.Versions}
	for _, m := range source.Index.Maps {
		assignments := m.Ranges
		if m.Even {
			assignments = evenRanges(g.Services)
		}
		c.Maps = append(c.Maps, config.PartitionMap{Version: m.Version, Assignments: assignments})
	}
	b.catalogue.Groups = append(b.catalogue.Groups, c)
}

// evenRanges divides the key space equally between the services; the sizes differ by at most one key.
func evenRanges(services []config.Service) []config.Assignment {
	out, n := make([]config.Assignment, len(services)), uint64(len(services))
	for i := range services {
		out[i] = config.Assignment{Service: services[i].Name, Range: api.KeyRange{
			From: api.KeySpaceEnd * uint64(i) / n, To: api.KeySpaceEnd * uint64(i+1) / n}}
	}
	return out
}

func (b *builder) addCallers() {
	list := entriesByName(b.set, "callers", func(a *Answers) []Caller { return a.Callers }, func(c *Caller) string { return c.Name })
	for _, e := range list {
		b.origins[fmt.Sprintf("callers[%d]", len(b.document.Callers))] = e.origin
		c := e.value.Caller
		c.Team = b.set.Teams[e.origin.team].Team
		if e.value.AllGroups && c.Role == config.RoleCaller {
			c.Groups = nil
			for _, g := range b.document.Groups {
				if g.Team == c.Team {
					c.Groups = append(c.Groups, g.Name)
				}
			}
		}
		b.document.Callers = append(b.document.Callers, c)
	}
}
