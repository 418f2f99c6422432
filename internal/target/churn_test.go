package target_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// BenchmarkCancelledCalls measures how many new connections cancelled calls cause at a target, over HTTP/2 cleartext and
// over HTTP/1.1 with keep-alive. The target runs each call until it is cancelled and takes 6 ms per new connection.
func BenchmarkCancelledCalls(b *testing.B) {
	b.Run("http2-cleartext", func(b *testing.B) {
		s := startBenchmarkTarget(b)
		c, err := target.NewClient(target.Config{Address: s.Address(), ID: "s1-0", MaxConnections: 1})
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = c.Close(context.Background()) }()
		cancelCalls(b, s, func(ctx context.Context, id string) { _, _ = c.Search(ctx, searchCall(id)) })
	})
	b.Run("http1-keep-alive", func(b *testing.B) {
		s := startBenchmarkTarget(b)
		c := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		defer c.CloseIdleConnections()
		cancelCalls(b, s, func(ctx context.Context, id string) {
			body := fmt.Sprintf(`{"request_id":%q,"attempt_id":"a","service":"s1","index_version":7,"map_version":3}`, id)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+target.PathSearch, strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			if resp, err := c.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	})
}

func startBenchmarkTarget(b *testing.B) *targetsim.Server {
	s, err := targetsim.New(targetsim.Config{Service: "s1", Slots: 2, Queue: 2, Documents: 100, ConnectionLimit: 25,
		ConnectCost: 6 * time.Millisecond, ServiceTime: targetsim.ServiceTime{Median: time.Hour},
		Indexes: []targetsim.Index{{Version: 7, Map: 3}}, Maps: map[uint64][]api.KeyRange{3: wholeKeySpace}})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

// cancelCalls cancels each call once the target runs it, and reports the connections that the target accepted per 1,000
// calls.
func cancelCalls(b *testing.B, s *targetsim.Server, call func(ctx context.Context, id string)) {
	n := 0
	for b.Loop() {
		n++
		id := fmt.Sprint("r", n)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			call(ctx, id)
		}()
		for s.Runs(id) == 0 {
			runtime.Gosched()
		}
		cancel()
		<-done
	}
	b.ReportMetric(float64(s.Counts().ConnectionsOpened)*1000/float64(n), "connections/1000-calls")
}
