package questionnaire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/rotisserie/eris"
)

// Change is one difference between published documents.
type Change struct {
	Op            string // "+" added, "-" removed, "~" changed
	Path          string
	Before, After string
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Op {
	case "+":
		return fmt.Sprintf("+ %s %s", c.Path, c.After)
	case "-":
		return fmt.Sprintf("- %s %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
}

// Diff returns the changes from previous, which may be nil, to next. Elements of lists are matched by their names or other
// identity fields.
func Diff(previous, next *Published) ([]Change, error) {
	if previous == nil {
		previous = &Published{}
	}
	var out []Change
	for _, pair := range []struct {
		path          string
		before, after any
	}{{"document", previous.Document, next.Document}, {"catalogue", previous.Catalogue, next.Catalogue}} {
		before, err := toGeneric(pair.before)
		if err != nil {
			return nil, err
		}
		after, err := toGeneric(pair.after)
		if err != nil {
			return nil, err
		}
		out = appendChanges(out, pair.path, before, after)
	}
	return out, nil
}

// toGeneric converts a document to maps, lists and scalars, without rounding numbers.
func toGeneric(v any) (any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "questionnaire: compare")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var out any
	return out, eris.Wrap(dec.Decode(&out), "questionnaire: compare")
}

// appendChanges appends the changes below path to out. An added or removed element is one change.
func appendChanges(out []Change, path string, before, after any) []Change {
	b, bOK := elements(before)
	a, aOK := elements(after)
	if !aOK || !bOK {
		if x, y := summary(before), summary(after); x != y {
			out = append(out, Change{"~", path, x, y})
		}
		return out
	}
	countBefore := len(out)
	for _, key := range unionKeys(b, a) {
		x, inBefore := b[key]
		y, inAfter := a[key]
		switch {
		case !inBefore:
			out = append(out, Change{Op: "+", Path: path + key, After: summary(y)})
		case !inAfter:
			out = append(out, Change{Op: "-", Path: path + key, Before: summary(x)})
		default:
			out = appendChanges(out, path+key, x, y)
		}
	}
	if len(out) == countBefore && jsonText(before) != jsonText(after) {
		out = append(out, Change{"~", path, "one order", "another order"})
	}
	return out
}

// identityFields are the fields that identify an element of a list. The first one that the element has is used.
var identityFields = []string{"name", "id", "group", "version", "index"}

// elements returns the members of a map, or the elements of a list of maps by their identity field or else their position.
// It returns false for scalars and for lists of scalars. An absent list has no elements.
func elements(v any) (map[string]any, bool) {
	out := map[string]any{}
	switch v := v.(type) {
	case nil:
		return out, true
	case map[string]any:
		for key, e := range v {
			out["."+key] = e
		}
	case []any:
		for i, e := range v {
			key := fmt.Sprintf("[%d]", i)
			m, ok := e.(map[string]any)
			if !ok {
				return nil, false // a list of scalars is compared as one value
			}
			for _, id := range identityFields {
				if name, ok := m[id]; ok {
					key = fmt.Sprintf("[%v]", name)
					break
				}
			}
			out[key] = e
		}
	default:
		return nil, false
	}
	return out, true
}

func unionKeys(a, b map[string]any) []string {
	var keys []string
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// maxSummaryBytes limits each value in a change, so that the change fits on one line.
const maxSummaryBytes = 120

func summary(v any) string {
	s := jsonText(v)
	if len(s) > maxSummaryBytes {
		return s[:maxSummaryBytes] + "..."
	}
	return s
}

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
