package load

import (
	"errors"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Result counts the outcomes of the requests to one group, as seen by its callers.
type Result struct {
	Group     string
	Offered   int
	Answered  int // answered with coverage above 0
	Refused   int // answered with an error that says that the search did not run
	Failed    int // no answer, or an error that leaves open whether the search ran
	Complete  int
	InTime    int // answered with coverage above 0 within the timeout
	Parts     int // parts requested by the answered searches
	Restarted int

	WeightOffered        float64
	WeightInTime         float64
	WeightCompleteInTime float64 // complete and in time
	coverageSum          float64
	latencies            []time.Duration

	Commands        int
	CommandsRan     int
	CommandsNotRun  int
	CommandsUnknown int
}

func newResult(group string) *Result { return &Result{Group: group} }

func (r *Result) addSearch(a api.Answer, err error, latency, timeout time.Duration, weight float64) {
	r.Offered++
	r.WeightOffered += weight
	if err != nil {
		var apiErr *api.Error
		if errors.As(err, &apiErr) && apiErr.Outcome == api.OutcomeNotRun {
			r.Refused++
		} else {
			r.Failed++
		}
		return
	}
	r.Parts += len(a.Parts)
	r.latencies = append(r.latencies, latency)
	r.coverageSum += a.Coverage.Fraction
	if a.Restarted {
		r.Restarted++
	}
	if a.Coverage.Fraction > 0 {
		r.Answered++
	}
	if a.Coverage.Complete {
		r.Complete++
	}
	if a.Coverage.Fraction > 0 && latency <= timeout {
		r.InTime++
		r.WeightInTime += weight
	}
	if a.Coverage.Complete && latency <= timeout {
		r.WeightCompleteInTime += weight
	}
}

func (r *Result) addCommand(o api.Outcome) {
	r.Commands++
	switch o {
	case api.OutcomeRan:
		r.CommandsRan++
	case api.OutcomeNotRun:
		r.CommandsNotRun++
	default:
		r.CommandsUnknown++
	}
}

// Quantile returns the latency that a share q of the answers does not exceed.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)]
}

// Coverage returns the mean coverage of the answers.
func (r *Result) Coverage() float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.coverageSum / float64(len(r.latencies))
}

// CompleteInTimeShare returns the share of the offered weight that was answered completely and in time.
func (r *Result) CompleteInTimeShare() float64 {
	if r.WeightOffered == 0 {
		return 0
	}
	return r.WeightCompleteInTime / r.WeightOffered
}

// InTimeShare returns the share of the offered weight that was answered, with coverage above 0, in time.
func (r *Result) InTimeShare() float64 {
	if r.WeightOffered == 0 {
		return 0
	}
	return r.WeightInTime / r.WeightOffered
}
