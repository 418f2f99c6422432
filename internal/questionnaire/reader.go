package questionnaire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxFileBytes is the maximum size of a file of answers. At the planned size, with all targets listed, a file has about
// 2 MB.
const MaxFileBytes = 8 << 20

// position is a line and a column of a file.
type position struct{ line, column int }

// reader walks the YAML nodes of one file. It collects problems and records the position of each field.
type reader struct {
	file      string
	problems  Problems
	positions map[string]position
	// failed holds the paths of fields that have a problem, and failedInside these paths and all that contain them. Later
	// checks of their values are skipped. Both are sets because a file can have as many problems as lines.
	failed, failedInside map[string]bool
}

// fieldReader reads the value of one field from its node.
type fieldReader func(n *yaml.Node, path string)

func newReader(file string) *reader {
	return &reader{file: file, positions: map[string]position{}, failed: map[string]bool{}, failedInside: map[string]bool{}}
}

// addProblem records a problem at a node and marks the field as failed.
func (r *reader) addProblem(n *yaml.Node, path, want, message string, args ...any) {
	r.markFailed(path)
	r.problems = append(r.problems, Problem{File: r.file, Line: max(n.Line, 1), Column: max(n.Column, 1), Field: path,
		Message: fmt.Sprintf(message, args...), Want: want})
}

// markFailed records that a field has a problem.
func (r *reader) markFailed(path string) {
	r.failed[path] = true
	for ; path != "" && !r.failedInside[path]; path = parent(path) {
		r.failedInside[path] = true
	}
}

// yamlError matches the texts of syntax errors. The YAML library gives the line only in the text.
var yamlError = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?(.*)`)

// parse parses the file and returns its root node, or nil if there is none.
func (r *reader) parse(data []byte) *yaml.Node {
	at := &yaml.Node{Line: 1, Column: 1}
	if len(data) > MaxFileBytes {
		r.addProblem(at, "", fmt.Sprintf("at most %d bytes", MaxFileBytes), "the file has %d bytes", len(data))
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, next yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			r.addProblem(at, "", "answers, starting with team", "the file is empty")
			return nil
		}
		r.syntaxError(err)
		return nil
	}
	switch err := dec.Decode(&next); {
	case err == nil:
		r.addProblem(&next, "", "one YAML document per file", "a second document starts here")
	case !errors.Is(err, io.EOF):
		r.syntaxError(err)
	}
	if doc.Kind != yaml.DocumentNode || len(doc.Content) == 0 {
		return nil
	}
	return doc.Content[0]
}

func (r *reader) syntaxError(err error) {
	at := &yaml.Node{Line: 1, Column: 1}
	m := yamlError.FindStringSubmatch(err.Error())
	if line, err := strconv.Atoi(m[1]); err == nil {
		at.Line = line
	}
	if strings.HasPrefix(m[2], "did not find expected") {
		at.Line++ // the library counts lines from 0 in errors of its parser, and from 1 in those of its scanner
	}
	r.addProblem(at, "", "valid YAML", "%s", m[2])
}

// checkKind records the position of the field and reports whether the node holds a value of the given kind. Otherwise it
// records a problem.
func (r *reader) checkKind(n *yaml.Node, path string, kind yaml.Kind, want string) bool {
	r.positions[path] = position{n.Line, n.Column}
	switch {
	case n.Kind == yaml.AliasNode:
		r.addProblem(n, path, want, "aliases are not supported")
	case n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null":
		r.addProblem(n, path, want, "has no value")
	case n.Kind != kind:
		r.addProblem(n, path, want, "is %s", kindName(n.Kind))
	default:
		return true
	}
	return false
}

func kindName(k yaml.Kind) string {
	switch k {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	return "a single value"
}

// object reads a mapping with the given fields. Unknown, repeated and missing required fields are problems.
func (r *reader) object(n *yaml.Node, path string, fields map[string]fieldReader, required ...string) {
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	sort.Strings(known)
	if !r.checkKind(n, path, yaml.MappingNode, "a mapping with "+strings.Join(known, ", ")) {
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		at := join(path, key.Value)
		read, ok := fields[key.Value]
		switch {
		case !ok:
			r.unknownField(key, at, known)
		case seen[key.Value]:
			r.addProblem(key, at, "each field once", "is repeated")
		default:
			read(n.Content[i+1], at)
		}
		seen[key.Value] = true
	}
	for _, name := range required {
		if !seen[name] {
			r.addProblem(n, join(path, name), "a value", "is missing")
		}
	}
}

func (r *reader) unknownField(key *yaml.Node, at string, known []string) {
	want := "one of " + strings.Join(known, ", ")
	if near := closestName(key.Value, known); near != "" {
		want = fmt.Sprintf("%q or another of %s", near, strings.Join(known, ", "))
	}
	r.addProblem(key, at, want, "%q is not a known field", key.Value)
}

// pairs reads a mapping with arbitrary keys, in file order.
func (r *reader) pairs(n *yaml.Node, path, want string, read func(key string, value *yaml.Node, path string)) {
	if !r.checkKind(n, path, yaml.MappingNode, want) {
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		at := join(path, key.Value)
		if key.Kind != yaml.ScalarNode || seen[key.Value] {
			r.addProblem(key, at, "each name once", "%q is repeated or not a name", key.Value)
			continue
		}
		seen[key.Value] = true
		read(key.Value, n.Content[i+1], at)
	}
}

// list reads each element of a sequence.
func (r *reader) list(n *yaml.Node, path string, read fieldReader) {
	if !r.checkKind(n, path, yaml.SequenceNode, "a list") {
		return
	}
	for i, e := range n.Content {
		read(e, fmt.Sprintf("%s[%d]", path, i))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
