package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/creachadair/jrpc2/handler"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// startStandIn starts a stand-in target in this process.
func startStandIn() (*targetsim.Server, error) {
	s, err := targetsim.New(targetsim.Config{
		Service: "records-00", Slots: 1000, Documents: 10,
		Indexes: []targetsim.Index{{Version: 1, Map: 1}}, Maps: map[uint64][]api.KeyRange{1: {{To: api.KeySpaceEnd}}},
	})
	if err != nil {
		return nil, err
	}
	return s, s.Start()
}

// measureTargetCall measures one call to a target over cleartext HTTP/2.
func measureTargetCall(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("calls at once")
	address, ends := o.Target, "client end"
	if address == "" {
		s, err := startStandIn()
		if err != nil {
			return nil, err
		}
		defer s.Close()
		address, ends = s.Address(), "both ends"
	}
	err := o.forEachSize(ctx, o.sizes(1, 2, 4, 8), func(size int) error {
		c, err := target.NewClient(target.Config{Address: address, ID: "measured", MaxConnections: 1})
		if err != nil {
			return err
		}
		defer c.Close(ctx)
		var lastErr error
		t.addCost(size, "target: one call, "+ends, measureCost(o.Count, func() { lastErr = callTarget(ctx, c, size, o.Count) }))
		return lastErr
	})
	return t.result(), err
}

// callTarget makes count calls, up to parallel of them concurrently, and returns the last error seen.
func callTarget(ctx context.Context, c target.Caller, parallel, count int) error {
	errs := make(chan error, parallel)
	for w := range parallel {
		go func() {
			var workerErr error
			for i := w; i < count; i += parallel {
				_, err := c.Search(ctx, target.SearchCall{
					RequestID: "request", AttemptID: fmt.Sprint(i), Service: "records-00", Limit: hitsPerPart,
					Snapshot: api.Snapshot{IndexVersion: 1, MapVersion: 1}, Ranges: []api.KeyRange{{To: api.KeySpaceEnd}},
					Query: json.RawMessage(`{"q":"word"}`), Timeout: callTimeout,
				})
				if err != nil {
					workerErr = err
				}
			}
			errs <- workerErr
		}()
	}
	var lastErr error
	for range parallel {
		if err := <-errs; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func measurePeerHits(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("hits, 28 parts")
	err := o.forEachSize(ctx, o.sizes(0, 10, 50, 140), func(size int) error { return measurePeerSearch(ctx, o, t, size, 28, size) })
	return t.result(), err
}

func measurePeerParts(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("parts, 10 hits")
	err := o.forEachSize(ctx, o.searchWidths(), func(size int) error { return measurePeerSearch(ctx, o, t, size, size, wantedHits) })
	return t.result(), err
}

// measurePeerSearch records the cost of one relay.search call between two nodes, both ends, and the encoded sizes of the
// request and the result.
func measurePeerSearch(ctx context.Context, o Options, t *table, size, parts, hitCount int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	width := api.KeySpaceEnd / uint64(parts)
	var assignments []peer.Assignment
	result := peer.LegResult{Hits: makeHits(hitCount, api.KeyRange{})}
	for i := range parts {
		a := peer.Assignment{Service: fmt.Sprintf("records-%03d", i), Ranges: []api.KeyRange{{From: uint64(i) * width, To: uint64(i+1) * width}}}
		assignments = append(assignments, a)
		result.Parts = append(result.Parts, answeredPart(a))
	}
	s := peer.NewServer(l, handler.Map{peer.MethodSearch: handler.New(
		func(context.Context, peer.LegRequest) (peer.LegResult, error) { return result, nil })}, peer.ServerConfig{})
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	pool := peer.NewPool(peer.PoolConfig{})
	request := legRequest(assignments, 0)
	var lastErr error
	c := measureRepeated(o.searchesPerRun(parts), func() {
		var got peer.LegResult
		if err := pool.Call(ctx, l.Addr().String(), peer.MethodSearch, request, &got, peer.FailWhenSilent); err != nil {
			lastErr = err
		}
	})
	pool.Close()
	if err := s.Close(); err != nil {
		return err
	}
	<-done
	if lastErr != nil {
		return lastErr
	}
	t.addCost(size, "peer: one relay.search, both ends", c)
	sent, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	received, err := json.Marshal(result)
	t.add(size, "peer: request", "B", float64(len(sent)))
	t.add(size, "peer: result", "B", float64(len(received)))
	return eris.Wrap(err, "encode result")
}
