package targetsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceTime is a log-normal distribution of the time that a request occupies a slot.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 makes every request take Median.
	Sigma float64
	// Max limits the service time; 0 means no limit.
	Max  time.Duration
	Seed uint64
}

// sample returns the service time of one attempt. It depends only on the seed and the arguments, so that the same requests
// have the same service times in whichever order they arrive.
func (t ServiceTime) sample(target, requestID, attemptID string) time.Duration {
	d := t.Median
	if t.Sigma > 0 {
		h := xxhash.Sum64String(target + "\x00" + requestID + "\x00" + attemptID)
		z := rand.New(rand.NewPCG(t.Seed, h)).NormFloat64()
		d = time.Duration(float64(d) * math.Exp(t.Sigma*z))
	}
	if t.Max > 0 {
		d = min(d, t.Max)
	}
	return d
}

// Mean returns the mean of the log-normal distribution without the limit Max.
func (t ServiceTime) Mean() time.Duration {
	return time.Duration(float64(t.Median) * math.Exp(t.Sigma*t.Sigma/2))
}
