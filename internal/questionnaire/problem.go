package questionnaire

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one invalid answer. Message states the problem, Want the values that are accepted.
type Problem struct {
	File    string
	Line    int
	Column  int
	Field   string
	Message string
	Want    string
}

// String formats the problem on one line, with the position first as compilers do.
func (p Problem) String() string {
	field := p.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s; want %s", p.File, p.Line, p.Column, field, p.Message, p.Want)
}

// Problems lists invalid answers by position.
type Problems []Problem

// Error implements the error interface.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sortedUnique orders the problems by position and removes duplicates, which arise because shared defaults are read once
// per group.
func (ps Problems) sortedUnique() Problems {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	var out Problems
	seen := map[Problem]bool{}
	for _, p := range ps {
		if !seen[p] {
			seen[p] = true
			out = append(out, p)
		}
	}
	return out
}

// maxSuggestDistance is the largest edit distance at which a known name is suggested. A more distant name would mislead.
const maxSuggestDistance = 3

// closestName returns the known name with the smallest edit distance to name, or "" when it exceeds maxSuggestDistance.
func closestName(name string, known []string) string {
	best, bestDistance := "", maxSuggestDistance+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings, in bytes. When a is more than maxSuggestDistance bytes
// longer than b, it returns the length of a.
func editDistance(a, b string) int {
	if len(a) > len(b)+maxSuggestDistance { // the distance is at least the difference of the lengths
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
