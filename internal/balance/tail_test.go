package balance

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
)

// simulation models, in virtual time, a group of 10 services. Each has 3 targets of 3 slots, one per failure domain. There is
// one relay, or one per failure domain. The first target of the first service is a straggler from the end of warmup on.
type simulation struct {
	relayCount                         int
	searchesPerSecond, stragglerFactor float64 // stragglerFactor multiplies the service time
	rtt                                time.Duration
	picksUniformly, hedges             bool
	sampleSize                         int
	warmup, duration                   time.Duration
	*simulationState
}

type simulationState struct {
	mu                             sync.Mutex // guards the fields below
	latencies                      []time.Duration
	primaryAttempts, extraAttempts int
	shedAttempts                   int
	startedAt                      time.Time
	relays                         []*simulatedRelay
	gates                          [10][3]*targetqueue.Gate
}

type simulatedRelay struct {
	domain     int
	pickers    [10]*Picker
	estimators [10]*hedge.Estimator
	budget     *hedge.Budget
}

func (m *simulation) run(t *testing.T) *simulation {
	m.simulationState = &simulationState{}
	virtualtime.Test(t, func(*testing.T) {
		m.startedAt = time.Now()
		for i := range m.gates {
			for j := range m.gates[i] {
				m.gates[i][j] = targetqueue.NewGate(3, time.Now)
			}
		}
		for domain := range m.relayCount {
			m.relays = append(m.relays, m.newRelay(domain))
		}
		arrivals := rand.New(rand.NewPCG(1, 2))
		for id := uint64(0); time.Since(m.startedAt) < m.duration; id++ {
			go m.runSearch(m.relays[arrivals.IntN(m.relayCount)], id)
			time.Sleep(time.Duration(arrivals.ExpFloat64() / m.searchesPerSecond * float64(time.Second)))
		}
		time.Sleep(time.Hour) // lets all calls end before the synctest bubble does
	})
	slices.Sort(m.latencies)
	return m
}

func (m *simulation) newRelay(domain int) *simulatedRelay {
	r := &simulatedRelay{domain: domain, budget: hedge.NewBudget(0, 0)}
	for i := range r.pickers {
		r.pickers[i], r.estimators[i] = NewPicker(Config{sampleSize: m.sampleSize}), hedge.NewEstimator()
		var targets []Target
		for j, id := range []string{"a", "b", "c"} {
			target := Target{ID: id, Domain: id, Slots: 3}
			if j != domain {
				target.RTT = m.rtt
			}
			targets = append(targets, target)
		}
		r.pickers[i].Update(targets, time.Now())
	}
	return r
}

func (m *simulation) runSearch(r *simulatedRelay, id uint64) {
	began := time.Now()
	measured := began.Sub(m.startedAt) >= m.warmup
	var parts sync.WaitGroup
	for i := range r.pickers {
		parts.Go(func() {
			p := &simulatedPart{
				simulation: m, relay: r, service: i, rnd: rand.New(rand.NewPCG(id, uint64(i))),
				picker: r.pickers[i], results: make(chan callResult, 9),
			}
			p.run(measured)
		})
	}
	parts.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if measured {
		m.latencies = append(m.latencies, time.Since(began))
	}
}

type callResult struct {
	target string
	shed   bool
}

// simulatedPart is one service's part of a search.
type simulatedPart struct {
	*simulation
	relay   *simulatedRelay
	service int
	rnd     *rand.Rand
	picker  *Picker
	tried   []string
	results chan callResult
}

func (p *simulatedPart) run(measured bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.relay.budget.DepositPrimary()
	p.count(&p.primaryAttempts, measured)
	first := p.attempt(ctx)
	quantile := hedge.DefaultQuantile
	if first.Probe {
		quantile = 0.5
	}
	delay, _ := p.relay.estimators[p.service].Delay(quantile, hedge.DefaultFloor, time.Second)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case result := <-p.results:
			if !result.shed {
				return
			}
			p.count(&p.shedAttempts, measured)
			p.tried = slices.DeleteFunc(p.tried, func(id string) bool { return id == result.target })
			p.attempt(ctx) // costs no budget, also for a shed hedge: otherwise the part would wait for a stalled first target
		case <-timer.C:
			state := hedge.State{Elapsed: delay, Delay: delay, Remaining: time.Second, UntriedTargets: p.picker.CountAlternatives(Request{Tried: p.tried}, time.Now())}
			if !p.hedges {
				continue
			}
			switch hedge.ShouldHedge(state, p.relay.budget, time.Now()) {
			case hedge.ReasonAllowed:
				p.count(&p.extraAttempts, measured)
				p.attempt(ctx)
			case hedge.ReasonBudget:
				timer.Reset(delay)
			}
		}
	}
}

func (m *simulation) count(n *int, measured bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if measured {
		*n++
	}
}

func (p *simulatedPart) attempt(ctx context.Context) Choice {
	var c Choice
	if p.picksUniformly {
		id := string(rune('a' + p.rnd.IntN(3)))
		c, _ = p.picker.Pick(Request{Eligible: func(t string) bool { return t == id }}, time.Now(), p.rnd)
	} else {
		c, _ = p.picker.Pick(Request{Tried: p.tried}, time.Now(), p.rnd)
	}
	p.tried = append(p.tried, c.Target.ID)
	go p.call(ctx, c, math.Exp(0.4*p.rnd.NormFloat64())) // log-normal service time
	return c
}

// call makes one attempt. It waits in the queue of the target, which the relay in the target's failure domain holds.
func (p *simulatedPart) call(ctx context.Context, c Choice, factor float64) {
	index := int(c.Target.ID[0] - 'a')
	remote := p.relayCount > 1 && index != p.relay.domain
	sent, written := time.Now(), time.Now()
	time.Sleep(c.Target.RTT / 2)
	release, err := p.gates[p.service][index].Acquire(ctx, targetqueue.Request{Deadline: sent.Add(time.Hour), LowPriority: remote && !p.picksUniformly})
	if errors.Is(err, targetqueue.ErrShed) {
		time.Sleep(max(c.Target.RTT/2, time.Millisecond))
		p.picker.Done(c, Observation{Result: Shed}, time.Now())
		p.results <- callResult{c.Target.ID, true}
		return
	}
	if err == nil {
		if !remote {
			written = time.Now()
		}
		if p.service == 0 && index == 0 && time.Since(p.startedAt) >= p.warmup {
			factor *= p.stragglerFactor
		}
		service := time.NewTimer(time.Duration(factor * 6e6))
		select {
		case <-service.C:
		case <-ctx.Done():
		}
		release()
		time.Sleep(c.Target.RTT / 2)
	}
	now, estimator := time.Now(), p.relay.estimators[p.service]
	switch {
	case ctx.Err() == nil:
		estimator.Observe(now.Sub(sent), now)
		p.picker.Done(c, Observation{Latency: now.Sub(written)}, now)
		p.results <- callResult{c.Target.ID, false}
	case err == nil || remote:
		estimator.ObserveCensored(now.Sub(sent), now)
		p.picker.Done(c, Observation{Result: Cancelled, Latency: now.Sub(written)}, now)
	default:
		estimator.ObserveCensored(now.Sub(sent), now)
		p.picker.Done(c, Observation{Result: Neutral}, now)
	}
}

func (m *simulation) percentile(q float64) float64 {
	return m.latencies[int(q*float64(len(m.latencies)))].Seconds() * 1e3
}

func (m *simulation) extraLoad() float64 {
	return float64(m.extraAttempts) / float64(m.primaryAttempts)
}

// Guards against missing the goals with one straggler that is 10 times slower: a p99 of at most 1.3 times the healthy one,
// and at most 5% extra attempts without and 10% with the straggler. The load is 31% of the slots' capacity.
func TestTail(t *testing.T) {
	for _, m := range []simulation{{relayCount: 1}, {relayCount: 3, rtt: 6 * time.Millisecond}} {
		run := func(stragglerFactor float64) *simulation {
			return (&simulation{
				relayCount: m.relayCount, rtt: m.rtt, stragglerFactor: stragglerFactor, searchesPerSecond: 450, hedges: true,
				warmup: 2 * time.Second, duration: 6 * time.Second,
			}).run(t)
		}
		g, healthy, straggling := NewWithT(t), run(1), run(10)
		g.Expect(straggling.percentile(0.99)).To(BeNumerically("<=", 1.3*healthy.percentile(0.99)))
		g.Expect(healthy.extraLoad()).To(BeNumerically("<=", 0.05))
		g.Expect(straggling.extraLoad()).To(BeNumerically("<=", 0.1))
	}
}

var measure = flag.Bool("measure", false, "log the figures of docs/proposals/tail-and-load.md")

// TestMeasure logs the tail latencies of the policies that the proposal compares.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	policies := map[string]simulation{
		"uniform": {picksUniformly: true}, "p2c+hedge": {sampleSize: 2, hedges: true}, "least": {}, "least+hedge": {hedges: true},
	}
	for _, relays := range []int{1, 3} {
		for _, rate := range []float64{100, 450, 600, 800} {
			for _, name := range []string{"uniform", "least", "p2c+hedge", "least+hedge"} {
				for _, stragglerFactor := range []float64{1, 10, 1000} {
					t.Run(fmt.Sprintf("relays=%d,rate=%.0f,straggler=%.0f,%s", relays, rate, stragglerFactor, name), func(t *testing.T) {
						t.Parallel()
						p := policies[name]
						m := &simulation{
							relayCount: relays, searchesPerSecond: rate, stragglerFactor: stragglerFactor,
							picksUniformly: p.picksUniformly, sampleSize: p.sampleSize, hedges: p.hedges,
							warmup: 5 * time.Second, duration: 30 * time.Second,
						}
						m.rtt = time.Duration(relays-1) * 3 * time.Millisecond
						m.run(t)
						t.Logf("p50=%.1f p99=%.1f p99.9=%.1f ms extra=%.2f%% shed=%.2f%%", m.percentile(0.5), m.percentile(0.99), m.percentile(0.999), m.extraLoad()*100, 100*float64(m.shedAttempts)/float64(m.primaryAttempts))
					})
				}
			}
		}
	}
}
