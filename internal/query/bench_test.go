package query_test

import (
	"testing"

	"github.com/medlarshunt/medlarshunt/internal/query"
)

// BenchmarkGather measures one search over all shards, the stand-in targets included.
func BenchmarkGather(b *testing.B) {

	bench := newBench(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, a := bench.serve("/all/x"); a.Status != query.Served {
			b.Fatal(a.Reason)
		}
	}
}
