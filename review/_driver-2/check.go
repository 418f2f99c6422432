package main

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// checkGather checks a success to a search against MIXED: signatures of this request, one of each service, that make up the set
// together with the missing parts, and the greatest records of the parts named.
func (w *world) checkGather(a answer, shards []string, top int) (violations []string) {
	if a.err != nil || a.status < 200 || a.status >= 300 {
		return nil
	}
	bad := func(format string, args ...any) {
		violations = append(violations, "MIXED: success to "+a.id+": "+fmt.Sprintf(format, args...))
	}
	byService := map[string]int{}
	var all [][]byte
	signatures := strings.Split(strings.Join(a.header.Values("X-Part-Stamps"), ","), ",")
	for _, s := range signatures {
		b, ok := w.stampOf(s, a.id)
		if !ok {
			bad("%q is no signature of an answer to it", s)
			continue
		}
		byService[b.service]++
		part := b.body(b, a.id)
		for ; len(part) >= 16; part = part[16:] {
			all = append(all, part[:16])
		}
	}
	for name, n := range byService {
		if n > 1 {
			bad("%d signatures of %s", n, name)
		}
		if !slices.Contains(shards, name) {
			bad("a signature of %s, which is not in the set", name)
		}
	}
	missing, _ := strconv.Atoi(a.header.Get("X-Missing-Parts"))
	if len(byService)+missing != len(shards) {
		bad("parts of %d services and %d missing parts, but the set has %d", len(byService), missing, len(shards))
	}
	slices.SortFunc(all, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := bytes.Join(all[:min(top, len(all))], nil); !bytes.Equal(want, a.body) {
		bad("the body isn't the greatest records of its parts")
	}
	return violations
}
