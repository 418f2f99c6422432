package questionnaire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// text reads any scalar as it is written. For example, a hash that consists only of digits is not read as a number.
func (r *reader) text(dst *string) fieldReader {
	return func(n *yaml.Node, path string) {
		if r.checkKind(n, path, yaml.ScalarNode, "a text") {
			*dst = n.Value
		}
	}
}

// enum reads one of the given words and passes it to set.
func (r *reader) enum(words ...string) func(set func(string)) fieldReader {
	return func(set func(string)) fieldReader {
		return func(n *yaml.Node, path string) {
			want := strings.Join(words, " or ")
			if !r.checkKind(n, path, yaml.ScalarNode, want) {
				return
			}
			for _, w := range words {
				if n.Value == w {
					set(w)
					return
				}
			}
			if near := closestName(n.Value, words); near != "" {
				want = fmt.Sprintf("%q, or another of %s", near, strings.Join(words, ", "))
			}
			r.addProblem(n, path, want, "%q is not known", n.Value)
		}
	}
}

// boolean reads true or false.
func (r *reader) boolean(dst *bool) fieldReader {
	return func(n *yaml.Node, path string) {
		const want = "true or false"
		if !r.checkKind(n, path, yaml.ScalarNode, want) {
			return
		}
		if n.Value != "true" && n.Value != "false" {
			r.addProblem(n, path, want, "%q is neither", n.Value)
			return
		}
		*dst = n.Value == "true"
	}
}

// integer reads a whole number from low to high. low is at least 1, because 0 stands for an invalid value.
func (r *reader) integer(dst *int, low, high int) fieldReader {
	return func(n *yaml.Node, path string) {
		var v uint64
		r.unsigned(&v, uint64(low), uint64(high))(n, path)
		if v != 0 {
			*dst = int(v)
		}
	}
}

// unsigned reads a whole number from low to high.
func (r *reader) unsigned(dst *uint64, low, high uint64) fieldReader {
	return func(n *yaml.Node, path string) {
		want := fmt.Sprintf("a whole number from %d to %d", low, high)
		if !r.checkKind(n, path, yaml.ScalarNode, want) {
			return
		}
		v, err := strconv.ParseUint(n.Value, 10, 64)
		if err != nil || v < low || v > high {
			r.addProblem(n, path, want, "%q is no such number", n.Value)
			return
		}
		*dst = v
	}
}

// decimal reads a finite number.
func (r *reader) decimal(dst *float64) fieldReader {
	return func(n *yaml.Node, path string) {
		if !r.checkKind(n, path, yaml.ScalarNode, "a number") {
			return
		}
		v, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || math.IsInf(v, 0) || math.IsNaN(v) {
			r.addProblem(n, path, "a number", "%q is not a number", n.Value)
			return
		}
		*dst = v
	}
}

// fraction reads a number from 0 to 1, written as in 0.05 or 5%.
func (r *reader) fraction(dst *float64) fieldReader {
	return func(n *yaml.Node, path string) {
		const want = "a share such as 0.05 or 5%"
		if !r.checkKind(n, path, yaml.ScalarNode, want) {
			return
		}
		digits, percent := strings.CutSuffix(n.Value, "%")
		v, err := strconv.ParseFloat(digits, 64)
		if percent {
			v /= 100
		}
		if err != nil || !(v >= 0 && v <= 1) {
			r.addProblem(n, path, want, "%q is not a share", n.Value)
			return
		}
		*dst = v
	}
}

// milliseconds reads a duration with its unit, which must be above 0 and a whole number of milliseconds.
func (r *reader) milliseconds(dst *int64) fieldReader {
	return func(n *yaml.Node, path string) {
		const want = "a duration above 0 in whole milliseconds with its unit, such as 250ms or 2s"
		if !r.checkKind(n, path, yaml.ScalarNode, want) {
			return
		}
		d, err := time.ParseDuration(n.Value)
		if err != nil || d <= 0 || d%time.Millisecond != 0 {
			r.addProblem(n, path, want, "%q is not a duration", n.Value)
			return
		}
		*dst = d.Milliseconds()
	}
}

// sizeUnits are the units of sizes. B is last because the other units also end in B.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// byteSize reads a number of bytes with its unit.
func (r *reader) byteSize(dst *int64) fieldReader {
	return func(n *yaml.Node, path string) {
		const want = "a size above 0 with its unit, such as 64KiB, 1MiB or 900B"
		if !r.checkKind(n, path, yaml.ScalarNode, want) {
			return
		}
		for _, u := range sizeUnits {
			digits, ok := strings.CutSuffix(n.Value, u.name)
			if !ok {
				continue
			}
			v, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32) // 32 bits times a unit cannot overflow
			if err == nil && v > 0 {
				*dst = v * u.bytes
				return
			}
			break
		}
		r.addProblem(n, path, want, "%q is not a size", n.Value)
	}
}
