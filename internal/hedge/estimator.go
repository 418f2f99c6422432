// Package hedge decides when a second attempt of a part is worth its load. It holds streaming latency quantiles, a budget for
// extra attempts, and the rules by which a search stops waiting for missing parts. It has no clocks or goroutines.
package hedge

import (
	"math"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

const (
	// halfLifeObservations is the number of further observations after which an observation counts half. A p95 then rests
	// on about 1,400 effective observations, 70 of them above the quantile.
	halfLifeObservations = 1000
	// halfLifeTime is the time after which an observation counts half at any rate, so that a fault does not stay in the
	// estimate of a service with few calls.
	halfLifeTime = 20 * time.Second
	// agingStep is the granularity of aging by time; a finer one would cost an exponential function per observation.
	agingStep = 100 * time.Millisecond
	// maxWeight is the weight above which all buckets are scaled down; it is well inside the precision of float32.
	maxWeight = 1 << 20
	// refreshObservations is the number of observations for which a computed quantile is reused.
	refreshObservations = 32
	// MinSamples is the number of observations below which an estimate is not used.
	MinSamples = 20
)

// Estimator keeps the latency distribution of one service as two decaying histograms: completed attempts, and cancelled
// (censored) attempts. Quantiles are product-limit (Kaplan-Meier) estimates: an attempt cancelled after d counts as longer
// than d, so cancelled stragglers neither lower the estimate nor drop out of it. Memory is constant (2.7 KB). It is safe for
// concurrent use.
type Estimator struct {
	mu        panics.Mutex // guards all fields below
	completed [bucketCount]float32
	censored  [bucketCount]float32
	weight    float32 // of the next observation
	samples   int     // saturates at MinSamples
	agedAt    time.Time
	cache     cachedQuantile

	medianValue     time.Duration // the last computed median
	medianRemaining int           // observations until it is computed again
}

type cachedQuantile struct {
	quantile  float64
	value     time.Duration
	remaining int // observations until the value is computed again
}

// weightGrowth is the factor between the weights of consecutive observations.
var weightGrowth = float32(math.Exp2(1.0 / halfLifeObservations))

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{weight: 1} }

// Observe records an attempt that completed after d.
func (e *Estimator) Observe(d time.Duration, now time.Time) { e.add(&e.completed, d, now) }

// ObserveCensored records an attempt that was cancelled after d: its latency is known to be longer than d.
func (e *Estimator) ObserveCensored(d time.Duration, now time.Time) { e.add(&e.censored, d, now) }

func (e *Estimator) add(h *[bucketCount]float32, d time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.age(now)
	e.weight *= weightGrowth
	h[bucketOf(d)] += e.weight
	if e.weight > maxWeight {
		e.rescale()
	}
	if e.samples < MinSamples {
		e.samples++
	}
	e.cache.remaining--
	e.medianRemaining--
}

// age raises the weight of new observations by the time since the last aging step. Time that runs backwards is ignored.
func (e *Estimator) age(now time.Time) {
	if e.agedAt.IsZero() {
		e.agedAt = now
		return
	}
	elapsed := now.Sub(e.agedAt)
	if elapsed < agingStep {
		return
	}
	e.agedAt = now
	if elapsed > 10*halfLifeTime {
		elapsed = 10 * halfLifeTime
	}
	e.weight *= float32(math.Exp2(float64(elapsed) / float64(halfLifeTime)))
}

func (e *Estimator) rescale() {
	scale := 1 / e.weight
	for i := range e.completed {
		e.completed[i] *= scale
		e.censored[i] *= scale
	}
	e.weight = 1
}

// Ready reports whether there are enough observations for an estimate.
func (e *Estimator) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.samples >= MinSamples
}

// Quantile returns the latency that a share q of attempts does not exceed, and false before MinSamples observations. When so
// many attempts were censored that the quantile lies beyond every completed one, it returns the longest known bound.
func (e *Estimator) Quantile(q float64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < MinSamples {
		return 0, false
	}
	if e.cache.remaining <= 0 || e.cache.quantile != q {
		e.cache = cachedQuantile{quantile: q, value: e.quantile(q), remaining: refreshObservations}
	}
	return e.cache.value, true
}

// totalWeight returns the weight of all observations and the last bucket that holds any.
func (e *Estimator) totalWeight() (sum float64, last int) {
	for i := range e.completed {
		if weight := e.completed[i] + e.censored[i]; weight > 0 {
			sum += float64(weight)
			last = i
		}
	}
	return sum, last
}

func (e *Estimator) quantile(q float64) time.Duration {
	atRisk, last := e.totalWeight()
	survival, quantileSurvival := 1.0, 1-q
	for i := 0; i <= last && atRisk > 0; i++ {
		next := survival * (1 - min(1, float64(e.completed[i])/atRisk))
		if next <= quantileSurvival {
			share := (survival - quantileSurvival) / (survival - next)
			start, end := bucketStart(i), bucketStart(i+1)
			return start + time.Duration(share*float64(end-start))
		}
		survival = next
		atRisk -= float64(e.completed[i]) + float64(e.censored[i])
	}
	return bucketStart(last + 1)
}

// Survival estimates the share of attempts that take longer than d. Without enough observations it returns 1.
func (e *Estimator) Survival(d time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.survival(d)
}

func (e *Estimator) survival(d time.Duration) float64 {
	if e.samples < MinSamples {
		return 1
	}
	atRisk, last := e.totalWeight()
	survival, end := 1.0, bucketOf(d)
	for i := 0; i <= min(end, last) && atRisk > 0; i++ {
		hazard := min(1, float64(e.completed[i])/atRisk)
		if i == end {
			start, stop := bucketStart(i), bucketStart(i+1)
			hazard *= min(1, float64(d-start)/float64(stop-start))
		}
		survival *= 1 - hazard
		atRisk -= float64(e.completed[i]) + float64(e.censored[i])
	}
	return survival
}

// ArrivalChance estimates the probability that an attempt that has been running for elapsed completes within a further time.
// Without enough observations it returns 1; for an attempt older than all observations it returns 0.
func (e *Estimator) ArrivalChance(elapsed, within time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < MinSamples {
		return 1
	}
	if within <= 0 {
		return 0
	}
	before := e.survival(elapsed)
	if before <= minSurvival {
		return 0
	}
	return 1 - e.survival(elapsed+within)/before
}

// minSurvival is the share at or below which rounding dominates the ratio of two survival estimates.
const minSurvival = 1e-6
