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

// Stream is the load offered to one group.
type Stream struct {
	Group   string
	Rate    float64 // requests per second, commands included
	Timeout time.Duration
	Kinds   []config.Kind // each search has a random one of these; empty means that searches have no kind
	// CommandShare is the share of requests that are commands.
	CommandShare float64
}

// Options are the options of one run.
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

// NewRunner returns a runner that spreads requests over the ready nodes, as the platform's load balancer does.
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

// Run offers the load and returns one result per group. It is an open-loop load: arrivals form a Poisson process and do not
// wait for answers.
func (r *Runner) Run(ctx context.Context) []*Result {
	var streams, requests sync.WaitGroup
	for i, s := range r.opts.Streams {
		streams.Go(func() { r.offerStream(ctx, s, uint64(i), &requests) })
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

func (r *Runner) offerStream(ctx context.Context, s Stream, index uint64, requests *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, index))
	start := time.Now()
	arrival := time.Duration(0)
	for n := 0; ; n++ {
		arrival += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if arrival > r.opts.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(start.Add(arrival)))
		kind := config.Kind{Weight: 1}
		if len(s.Kinds) > 0 {
			kind = s.Kinds[rng.IntN(len(s.Kinds))]
		}
		isCommand := rng.Float64() < s.CommandShare
		key := rng.Uint64N(api.KeySpaceEnd)
		requests.Go(func() {
			if isCommand {
				r.command(ctx, s, key)
			} else {
				r.search(ctx, s, kind, n)
			}
		})
	}
}

// nextNode returns the next ready node in round-robin order. If none is ready, it returns the first node, which refuses the
// request.
func (r *Runner) nextNode() *demo.Member {
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
	answer, err := r.client.Search(ctx, r.nextNode().CallerURL, s.Group, body, budget)
	if wasNotAccepted(err) {
		// The load balancer sends a request that one node did not accept to another node.
		answer, err = r.client.Search(ctx, r.nextNode().CallerURL, s.Group, body, budget-time.Since(start))
	}
	time.Sleep(r.opts.ClientDelay)
	r.record(s.Group, func(res *Result) { res.addSearch(answer, err, time.Since(start), s.Timeout, kind.Weight) })
}

// wasNotAccepted reports whether the load balancer takes the request as not accepted by the node: the node was not ready, or
// the call failed without an API error.
func wasNotAccepted(err error) bool {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code == api.CodeNotReady
	}
	return err != nil
}

func (r *Runner) command(ctx context.Context, s Stream, key uint64) {
	body := entry.CommandBody{Key: &key, Body: json.RawMessage(fmt.Sprintf(`{"book":%d}`, key))}
	node := r.nextNode()
	_, err := r.client.Command(ctx, node.CallerURL, s.Group, "", body, s.Timeout)
	var apiErr *api.Error
	if !errors.As(err, &apiErr) || apiErr.Ticket == "" {
		r.record(s.Group, func(res *Result) { res.addCommand(api.OutcomeNotRun) })
		return
	}
	outcome := api.OutcomeUnknown
	for range 2 {
		// A caller without a definite outcome sends the command again with the same ticket, to any node.
		var result api.CommandResult
		result, err = r.client.Command(ctx, r.nextNode().CallerURL, s.Group, apiErr.Ticket, body, s.Timeout)
		var retryErr *api.Error
		switch {
		case err == nil:
			outcome = result.Outcome
		case errors.As(err, &retryErr):
			outcome = retryErr.Outcome
		}
		if outcome != api.OutcomeUnknown {
			break
		}
	}
	r.record(s.Group, func(res *Result) { res.addCommand(outcome) })
}

func (r *Runner) record(group string, f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.results[group])
}
