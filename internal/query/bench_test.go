package query_test

import (
	"testing"

	"github.com/medlarshunt/medlarshunt/internal/query"
)

// BenchmarkGather measures one request to all shards, including the work of the simulated targets.
func BenchmarkGather(b *testing.B) {

	f := newFixture(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, a := f.serve("/all/x"); a.Status != query.Served {
			b.Fatal(a.Reason)
		}
	}
}
