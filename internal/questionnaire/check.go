package questionnaire

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Check reads the answers of all teams of a deployment and reports all invalid ones. The set is nil when there are
// problems.
func Check(files ...File) (*Set, Problems) {
	c := checker{set: &Set{}}
	if len(files) == 0 {
		return nil, Problems{{File: "-", Line: 1, Column: 1, Message: "no answers are given", Want: "at least one file"}}
	}
	for _, f := range files {
		r := newReader(f.Name)
		if root := r.parse(f.Data); root != nil {
			c.set.Teams = append(c.set.Teams, r.answers(root))
			c.readers = append(c.readers, r)
		}
		c.problems = append(c.problems, r.problems...)
	}
	sort.Stable(&c)
	c.checkTeams()
	b := build(c.set)
	for _, x := range b.conflicts {
		c.report(x.at.team, x.at.path, x.message, x.want)
	}
	for _, g := range b.unexpandedGroups {
		for _, f := range []string{".services", ".placement", ".index"} {
			c.readers[g.team].markFailed(g.path + f) // the group has no services because of a problem that is already reported
		}
	}
	c.reportFaults(b.document.Validate(), b.origins)
	if len(b.catalogue.Groups) > 0 {
		c.reportFaults(b.catalogue.Validate(), b.indexOrigins)
		c.reportFaults(checkListedGroups(b.document, b.catalogue), b.indexOrigins)
	}
	if len(c.problems) > 0 {
		return nil, c.problems.sortedUnique()
	}
	c.set.readers = c.readers
	return c.set, nil
}

// checker translates faults of the built documents into problems of the answers. It sorts teams and readers by team name.
type checker struct {
	set      *Set
	readers  []*reader
	problems Problems
}

// Len implements sort.Interface.
func (c *checker) Len() int { return len(c.readers) }

// Less implements sort.Interface.
func (c *checker) Less(i, j int) bool { return c.set.Teams[i].Team < c.set.Teams[j].Team }

// Swap implements sort.Interface.
func (c *checker) Swap(i, j int) {
	c.set.Teams[i], c.set.Teams[j] = c.set.Teams[j], c.set.Teams[i]
	c.readers[i], c.readers[j] = c.readers[j], c.readers[i]
}

func (c *checker) checkTeams() {
	for i, a := range c.set.Teams {
		switch {
		case !config.ValidName(a.Team):
			c.report(i, "team", fmt.Sprintf("%q is not an identifier", a.Team),
				"1 to 63 characters of a-z, 0-9 and -, with a letter first and no - last")
		case i > 0 && c.set.Teams[i-1].Team == a.Team:
			c.report(i, "team", fmt.Sprintf("team %q is also described in %s", a.Team, c.set.Teams[i-1].File), "one file per team")
		}
	}
}

// checkListedGroups checks the catalogue against the document. Groups that are not in the catalogue are left out: their
// answers have no index, so they keep the published versions.
func checkListedGroups(d config.Document, c config.Catalogue) error {
	listed := map[string]bool{}
	for _, g := range c.Groups {
		listed[g.Group] = true
	}
	listedDocument := config.Document{}
	for _, g := range d.Groups {
		if listed[g.Name] {
			listedDocument.Groups = append(listedDocument.Groups, g)
		}
	}
	return config.CheckCatalogue(listedDocument, c)
}

// reportFaults reports each fault of a document at the answer that caused it.
func (c *checker) reportFaults(err error, origins map[string]origin) {
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		return
	}
	type faultKey struct {
		team int
		path string
		code config.FaultCode
	}
	seen := map[faultKey]bool{}
	for _, f := range invalid.Faults {
		team, path := locate(f.Path, origins)
		if seen[faultKey{team, path, f.Code}] {
			continue // one answer can cause the same fault in thousands of targets; it is reported once
		}
		seen[faultKey{team, path, f.Code}] = true
		message := f.Message
		if f.Other != "" {
			message += " at " + c.describePosition(locate(f.Other, origins))
		}
		c.report(team, path, message, f.Want)
	}
}

// answerFields maps field names of documents to field names of answers.
var answerFields = map[string]string{
	"slots_per_target": "slots", "connection_limit": "connections", "default_timeout_ms": "timeouts.default",
	"max_timeout_ms": "timeouts.max", "latency_goal_ms": "timeouts.goal", "hedge_quantile": "hedge.quantile",
	"retry_budget": "retry.budget", "max_body_bytes": "limits.body", "max_limit": "limits.hits",
}

// locate returns the team and the path of the answer for a path of a document: the origin of its longest known prefix,
// followed by the rest in field names of the answers.
func locate(path string, origins map[string]origin) (int, string) {
	for prefix := path; prefix != ""; prefix = parent(prefix) {
		from, ok := origins[prefix]
		if !ok {
			continue
		}
		rest := strings.TrimPrefix(path[len(prefix):], ".")
		if from.derived || rest == "" {
			return from.team, from.path
		}
		if name, ok := answerFields[rest]; ok {
			rest = name
		}
		rest = strings.ReplaceAll(rest, ".assignments[", ".ranges[")
		for _, suffix := range []string{".range", ".assignments"} {
			rest = strings.TrimSuffix(rest, suffix)
		}
		return from.team, join(from.path, rest)
	}
	return 0, path
}

// parent returns the path without its last field name or element index.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// report records a problem at the answer, or at the innermost enclosing answer that is in the file. It records nothing when
// the reader has already reported that answer, one inside it or one that encloses it.
func (c *checker) report(team int, path, message, want string) {
	if team >= len(c.readers) {
		return // no file could be parsed, which is already reported
	}
	r := c.readers[team]
	path = r.statedPath(path)
	if r.hasProblem(path) {
		return
	}
	c.problems = append(c.problems, Problem{File: r.file, Field: path, Message: message, Want: want})
	p := &c.problems[len(c.problems)-1]
	at := r.nearestPosition(path)
	p.Line, p.Column = max(at.line, 1), max(at.column, 1)
}

// describePosition returns the position and the path of an answer, for use in a message.
func (c *checker) describePosition(team int, path string) string {
	if team >= len(c.readers) {
		return path
	}
	at := c.readers[team].nearestPosition(path)
	return fmt.Sprintf("%s:%d:%d (%s)", c.readers[team].file, at.line, at.column, path)
}

// hasProblem reports whether the answer at path, one inside it or one that encloses it already has a problem.
func (r *reader) hasProblem(path string) bool {
	if r.failedInside[path] {
		return true
	}
	for ; path != ""; path = parent(path) {
		if r.failed[path] {
			return true
		}
	}
	return false
}

// statedPath returns the path at which the file states the setting: the path of the team's default when a group takes the
// setting from there, and otherwise the given path.
func (r *reader) statedPath(path string) string {
	if _, ok := r.positions[path]; ok || !strings.HasPrefix(path, "groups[") {
		return path
	}
	if _, setting, ok := strings.Cut(path, "]."); ok {
		if _, ok := r.positions["defaults."+setting]; ok {
			return "defaults." + setting
		}
	}
	return path
}

// nearestPosition returns the position of an answer, or of the innermost enclosing answer that is in the file.
func (r *reader) nearestPosition(path string) position {
	for ; path != ""; path = parent(path) {
		if at, ok := r.positions[path]; ok {
			return at
		}
	}
	return position{1, 1}
}
