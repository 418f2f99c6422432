// Package load offers a rate of searches and commands to a deployment over stand-ins and measures what its callers get.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/demo"
	"github.com/medlarshunt/medlarshunt/internal/entry"
)

// Stream is a stream of searches to one group.
type Stream struct {
	Group   string
	Rate    float64 // searches per second
	Timeout time.Duration
	Kinds   []config.Kind // each search is of a random one; empty means none
	// CommandShare is the share of requests that are commands.
	CommandShare float64
}

// Options of one run.
type Options struct {
	Streams     []Stream
	Duration    time.Duration
	ClientDelay time.Duration // one-way delay between callers and the tier
	Key         string
	Seed        uint64
	Dial        func(ctx context.Context, address string) (net.Conn, error) // nil dials TCP
}

// Runner offers load to the nodes of a deployment.
type Runner struct {
	opts   Options
	nodes  func() []*demo.Member
	client demo.Client
	next   atomic.Uint64

	mu      sync.Mutex // guards results
	results map[string]*Result
}

// NewRunner returns a runner that spreads requests over the nodes that are ready, as the platform's balancer does.
func NewRunner(opts Options, nodes func() []*demo.Member) *Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	if opts.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return opts.Dial(ctx, address) }
	}
	r := &Runner{opts: opts, nodes: nodes, results: map[string]*Result{},
		client: demo.Client{HTTP: &http.Client{Transport: transport}, Key: opts.Key}}
	for _, s := range opts.Streams {
		r.results[s.Group] = newResult(s.Group)
	}
	return r
}

// Run offers the load and returns one result per group. Arrivals are a Poisson process: they do not wait for answers.
func (r *Runner) Run(ctx context.Context) []*Result {
	var streams, requests sync.WaitGroup
	for i, s := range r.opts.Streams {
		streams.Go(func() { r.offer(ctx, s, uint64(i), &requests) })
	}
	streams.Wait()
	requests.Wait()
	r.client.HTTP.CloseIdleConnections()
	out := make([]*Result, 0, len(r.opts.Streams))
	for _, s := range r.opts.Streams {
		out = append(out, r.results[s.Group])
	}
	return out
}

func (r *Runner) offer(ctx context.Context, s Stream, index uint64, requests *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(r.opts.Seed, index))
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if at > r.opts.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		kind := config.Kind{Weight: 1}
		if len(s.Kinds) > 0 {
			kind = s.Kinds[rnd.IntN(len(s.Kinds))]
		}
		isCommand := rnd.Float64() < s.CommandShare
		key := rnd.Uint64N(api.KeySpaceEnd)
		requests.Go(func() {
			if isCommand {
				r.command(ctx, s, key)
			} else {
				r.search(ctx, s, kind, n)
			}
		})
	}
}

// node returns the next ready node. Without one, it returns any: the request will be refused.
func (r *Runner) node() *demo.Member {
	nodes := r.nodes()
	for range nodes {
		if n := nodes[r.next.Add(1)%uint64(len(nodes))]; n.Ready() {
			return n
		}
	}
	return nodes[0]
}

func (r *Runner) search(ctx context.Context, s Stream, kind config.Kind, n int) {
	limit := 10
	body := entry.SearchBody{Kind: kind.Name, Query: json.RawMessage(fmt.Sprintf(`{"q":"%s-%d"}`, s.Group, n)), Limit: &limit}
	start := time.Now()
	time.Sleep(r.opts.ClientDelay)
	budget := s.Timeout - 2*r.opts.ClientDelay
	answer, err := r.client.Search(ctx, r.node().URL, s.Group, body, budget)
	if movedOn(err) {
		// The balancer sends a request that was not run to another node.
		answer, err = r.client.Search(ctx, r.node().URL, s.Group, body, budget-time.Since(start))
	}
	time.Sleep(r.opts.ClientDelay)
	r.record(s.Group, func(res *Result) { res.search(answer, err, time.Since(start), s.Timeout, kind.Weight) })
}

// movedOn reports whether a node did not take the request at all.
func movedOn(err error) bool {
	var refused *api.Error
	if errors.As(err, &refused) {
		return refused.Code == api.CodeNotReady
	}
	return err != nil
}

func (r *Runner) command(ctx context.Context, s Stream, key uint64) {
	body := entry.CommandBody{Key: &key, Body: json.RawMessage(fmt.Sprintf(`{"book":%d}`, key))}
	node := r.node()
	_, err := r.client.Command(ctx, node.URL, s.Group, "", body, s.Timeout)
	var refused *api.Error
	if !errors.As(err, &refused) || refused.Ticket == "" {
		r.record(s.Group, func(res *Result) { res.command(api.NotRun) })
		return
	}
	outcome := api.Unknown
	for range 2 {
		// A caller that got no answer sends the command again with the same ticket, to any node.
		var result api.CommandResult
		result, err = r.client.Command(ctx, r.node().URL, s.Group, refused.Ticket, body, s.Timeout)
		var second *api.Error
		switch {
		case err == nil:
			outcome = result.Outcome
		case errors.As(err, &second):
			outcome = second.Ran
		}
		if outcome != api.Unknown {
			break
		}
	}
	r.record(s.Group, func(res *Result) { res.command(outcome) })
}

func (r *Runner) record(group string, f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.results[group])
}
