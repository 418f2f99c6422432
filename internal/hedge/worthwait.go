package hedge

import "time"

// GatherWait decides how long a gathered request waits for missing parts, by the value of its answer. An answer within the
// goal is worth the square of the share of parts that it holds, a later one a fraction of that. It is a value; use one per
// request.
type GatherWait struct {
	Goal     time.Duration // from the start of the request; an answer must be sent by then to have its full value
	End      time.Duration // from the start; by then there is a final answer
	MinShare float64       // of the parts, for an answer to be a success
}

// Progress counts the parts of a gathered request.
type Progress struct {
	Total    int // parts
	Answered int // parts that answered
	Pending  int // parts that may still answer
}

// HasEnoughParts reports whether enough parts answered for a success: at least one, and MinShare of all.
func (w GatherWait) HasEnoughParts(p Progress) bool {
	return p.Answered > 0 && float64(p.Answered) >= w.MinShare*float64(p.Total)-shareTolerance
}

// shareTolerance absorbs the rounding of shares such as 0.9 × 10.
const shareTolerance = 1e-9

// CannotSucceed reports whether the request fails even if all pending parts answer.
func (w GatherWait) CannotSucceed(p Progress) bool {
	return !w.HasEnoughParts(Progress{Total: p.Total, Answered: p.Answered + p.Pending})
}

// Decide returns whether to answer now, elapsed after the start, and otherwise the time after which to call it again. Call it
// earlier when a part arrives or is lost.
//
// Until the goal, waiting for a missing part costs nothing but time. At the goal, an answer with enough parts is worth at
// least the square of MinShare; a late answer with all parts is worth a fraction that is smaller than that for any share that
// operators configure. After the goal the value no longer falls, so a request with too few parts waits until the end; one
// with enough parts answers at once, because its caller has waited long enough.
func (w GatherWait) Decide(elapsed time.Duration, p Progress) (answer bool, recheckAfter time.Duration) {
	switch {
	case p.Pending == 0, elapsed >= w.End, w.CannotSucceed(p):
		return true, 0
	case elapsed < w.Goal:
		return false, min(w.Goal, w.End) - elapsed
	case w.HasEnoughParts(p):
		return true, 0
	default:
		return false, w.End - elapsed
	}
}
