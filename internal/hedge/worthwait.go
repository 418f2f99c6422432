package hedge

import "time"

// WorthWait decides how long a gathered request waits for missing parts, by what an answer is worth. An answer within the
// goal is worth the square of the share of its parts; a later one a fraction of that. It is a value; use one per request.
type WorthWait struct {
	Goal     time.Duration // from the start of the request; an answer must leave by then to have its full worth
	End      time.Duration // from the start; by then there is a final answer
	MinShare float64       // of the parts, for an answer to be a success
}

// Progress is how far a gathered request has come.
type Progress struct {
	Total int // parts
	Got   int // parts that answered
	Open  int // parts that may still answer
}

// Enough reports whether the parts that answered make a success.
func (w WorthWait) Enough(p Progress) bool {
	return p.Got > 0 && float64(p.Got) >= w.MinShare*float64(p.Total)-shareSlack
}

// shareSlack absorbs the rounding of shares such as 0.9 × 10.
const shareSlack = 1e-9

// Hopeless reports whether the request can no longer be a success.
func (w WorthWait) Hopeless(p Progress) bool {
	return !w.Enough(Progress{Total: p.Total, Got: p.Got + p.Open})
}

// Decide returns whether to answer now, elapsed after the start, and otherwise after how long to ask again. Ask again
// sooner when a part arrives or is lost.
//
// Until the goal, a missing part costs nothing but time. At the goal, an answer with enough parts is worth at least the
// square of MinShare; with all parts but late it is worth a fraction that is smaller for any share that operators ask for.
// After the goal, the worth no longer falls, and the caller has waited long enough for what is there.
func (w WorthWait) Decide(elapsed time.Duration, p Progress) (answer bool, again time.Duration) {
	switch {
	case p.Open == 0, elapsed >= w.End, w.Hopeless(p):
		return true, 0
	case elapsed < w.Goal:
		return false, min(w.Goal, w.End) - elapsed
	case w.Enough(p):
		return true, 0
	default:
		return false, w.End - elapsed
	}
}
