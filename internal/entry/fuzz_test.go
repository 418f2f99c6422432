package entry

import (
	"testing"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// FuzzBodies guards against panics on request bodies and against accepting values beyond the group's limits.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"query":{"q":"x"},"limit":5,"range":{"from":1,"to":9},"kind":"urgent"}`))
	f.Add([]byte(`{"key":4294967295,"body":{"a":1},"kind":"urgent"}`))
	f.Add([]byte(`{"query":null,"limit":0} {}`))
	g := &config.Group{MaxLimit: 100, Kinds: []config.Kind{{Name: "urgent", Weight: 1}}}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, refusal := decodeSearch(data, g)
		if refusal == nil && (len(s.Query) == 0 || s.Limit < 1 || s.Limit > g.MaxLimit || s.Kind != "" && s.Kind != "urgent" ||
			s.Range != nil && (s.Range.Empty() || s.Range.To > api.KeySpaceEnd)) {
			t.Fatalf("accepted %+v", s)
		}
		c, refusal := decodeCommand(data, g)
		if refusal == nil && (len(c.Body) == 0 || c.Key >= api.KeySpaceEnd || c.Kind != "" && c.Kind != "urgent") {
			t.Fatalf("accepted %+v", c)
		}
	})
}
