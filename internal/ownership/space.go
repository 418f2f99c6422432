package ownership

import (
	"fmt"
	"slices"
)

// IncarnationsPerOrdinal is the number of incarnations of a node that may exist at once: the old and the new one during
// a hand-over.
const IncarnationsPerOrdinal = 2

// Code classifies an Error.
type Code string

// Error codes.
const (
	CodeLimitTooLow  Code = "connection_limit_too_low"
	CodeBadSpace     Code = "bad_ordinal_space"
	CodeBadCandidate Code = "bad_candidate_count"
	CodeUnsafeChange Code = "unsafe_ownership_change"
)

// Error reports why the published relay count and connection limit give no valid connection cap, or why they cannot be
// changed in one step.
type Error struct {
	Code    Code
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// OrdinalSpace is the ordinal space of a failure domain, as published: ordinals 0 to Ordinals-1 exist, and at most Candidates
// of them may own a given key. Connection caps depend only on these two numbers, never on a membership view, so that nodes
// with different views cannot together exceed a target's connection limit.
type OrdinalSpace struct {
	Ordinals   int
	Candidates int
}

// Relay is a live relay as a membership view reports it.
type Relay struct {
	ID      string
	Ordinal int
}

// Owners holds the home relay of a key, the live candidate with the highest score, and the spare relay, the one with the
// second highest. An id is empty when no such relay is live.
type Owners struct {
	Home  string
	Spare string
}

// CandidateOrdinals returns the ordinals that may own key, in ascending order.
func (s OrdinalSpace) CandidateOrdinals(key string) []int {
	all := make([]int, max(s.Ordinals, 0))
	for i := range all {
		all[i] = i
	}
	if len(all) <= s.Candidates {
		return all
	}
	scores := make([]uint64, len(all))
	for i := range scores {
		scores[i] = ordinalRendezvousScore(key, i)
	}
	slices.SortFunc(all, func(a, b int) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		}
		return a - b
	})
	chosen := all[:max(s.Candidates, 0)]
	slices.Sort(chosen)
	return chosen
}

// IsCandidate reports whether the node with this ordinal may own key. A node that is not a candidate never connects
// to the key's targets, whatever its membership view is.
func (s OrdinalSpace) IsCandidate(key string, ordinal int) bool {
	if ordinal < 0 || ordinal >= s.Ordinals {
		return false
	}
	if s.Ordinals <= s.Candidates {
		return true
	}
	ownScore, precedingCount := ordinalRendezvousScore(key, ordinal), 0
	for other := range s.Ordinals {
		if otherScore := ordinalRendezvousScore(key, other); otherScore > ownScore || otherScore == ownScore && other < ordinal {
			precedingCount++
		}
	}
	return precedingCount < s.Candidates
}

// Owners returns the home and the spare relay of key among the live relays of the failure domain. Relays that are not
// candidates are skipped, so a stale or wrong view yields fewer owners, never an owner outside the candidate set.
func (s OrdinalSpace) Owners(key string, live []Relay) Owners {
	candidates := s.CandidateOrdinals(key)
	ids := make([]string, 0, len(candidates))
	for _, r := range live {
		if _, ok := slices.BinarySearch(candidates, r.Ordinal); ok && !slices.Contains(ids, r.ID) {
			ids = append(ids, r.ID)
		}
	}
	ranked := Rank(key, ids)
	var o Owners
	if len(ranked) > 0 {
		o.Home = ranked[0]
	}
	if len(ranked) > 1 {
		o.Spare = ranked[1]
	}
	return o
}

// ConnectionCap returns the number of connections that one incarnation of a candidate may open to one target with the given
// connection limit. It is 0 when the limit is too low for the number of candidates.
func (s OrdinalSpace) ConnectionCap(limit int) int {
	if s.Candidates < 1 || limit < 1 {
		return 0
	}
	return limit / (s.Candidates * IncarnationsPerOrdinal)
}

// MaxConnections returns the largest number of connections that all nodes of the failure domain together can hold to one
// target.
func (s OrdinalSpace) MaxConnections(limit int) int {
	return min(s.Candidates, max(s.Ordinals, 0)) * IncarnationsPerOrdinal * s.ConnectionCap(limit)
}

// Check returns an *Error when the space and the connection limit leave a candidate without a connection.
func (s OrdinalSpace) Check(limit int) error {
	switch {
	case s.Ordinals < 1:
		return &Error{CodeBadSpace, fmt.Sprintf("ordinal space is %d, need at least 1", s.Ordinals)}
	case s.Candidates < 1:
		return &Error{CodeBadCandidate, fmt.Sprintf("candidate count is %d, need at least 1", s.Candidates)}
	case s.ConnectionCap(limit) < 1:
		return &Error{CodeLimitTooLow, fmt.Sprintf("limit of %d connections is below %d candidates x %d incarnations",
			limit, s.Candidates, IncarnationsPerOrdinal)}
	}
	return nil
}

// CheckChange returns an *Error when nodes that use s and limit and nodes that use next and nextLimit could together
// exceed the lower limit. It takes some seconds until all nodes use newly published values, and a partitioned node
// uses the old ones for longer, so such a change must be published in steps.
func (s OrdinalSpace) CheckChange(next OrdinalSpace, limit, nextLimit int) error {
	return s.CheckChangeWithin(next, limit, nextLimit, min(limit, nextLimit))
}

// CheckChangeWithin is CheckChange for targets that are known to accept acceptedConnections during the change.
func (s OrdinalSpace) CheckChangeWithin(next OrdinalSpace, limit, nextLimit, acceptedConnections int) error {
	maxHeld := s.maxConnectionsDuringChange(next, limit, nextLimit)
	if maxHeld <= acceptedConnections {
		return nil
	}
	return &Error{CodeUnsafeChange, fmt.Sprintf("nodes with the old and the new numbers could hold %d connections, limit is %d",
		maxHeld, acceptedConnections)}
}

// maxConnectionsDuringChange returns an upper bound of the connections to a target while some nodes use s and limit and
// others next and nextLimit. The smaller candidate set is a subset of the larger one when the numbers of ordinals are
// equal, or when all ordinals are candidates in both spaces.
func (s OrdinalSpace) maxConnectionsDuringChange(next OrdinalSpace, limit, nextLimit int) int {
	candidates, nextCandidates := min(s.Candidates, s.Ordinals), min(next.Candidates, next.Ordinals)
	connCap, nextConnCap := s.ConnectionCap(limit), next.ConnectionCap(nextLimit)
	allAreCandidates := s.Ordinals <= s.Candidates && next.Ordinals <= next.Candidates
	if s.Ordinals != next.Ordinals && !allAreCandidates {
		return IncarnationsPerOrdinal * (candidates*connCap + nextCandidates*nextConnCap)
	}
	shared := min(candidates, nextCandidates)
	return IncarnationsPerOrdinal *
		(shared*max(connCap, nextConnCap) + (candidates-shared)*connCap + (nextCandidates-shared)*nextConnCap)
}
