// Package api defines the types that packages share: requests, parts, answers, outcomes and error codes.
package api

import (
	"encoding/json"
	"time"
)

// KeySpaceEnd is the exclusive upper bound of the key space: keys are 32-bit unsigned hashes.
const KeySpaceEnd uint64 = 1 << 32

// KeyRange is the half-open range [From, To) of the key space.
type KeyRange struct {
	From uint64 `json:"from" yaml:"from"`
	To   uint64 `json:"to" yaml:"to"`
}

// Contains reports whether key lies in the range.
func (r KeyRange) Contains(key uint64) bool { return r.From <= key && key < r.To }

// Empty reports whether the range holds no key.
func (r KeyRange) Empty() bool { return r.From >= r.To }

// Overlaps reports whether the two ranges share a key.
func (r KeyRange) Overlaps(other KeyRange) bool { return r.From < other.To && other.From < r.To }

// Size returns the number of keys in the range.
func (r KeyRange) Size() uint64 {
	if r.Empty() {
		return 0
	}
	return r.To - r.From
}

// Snapshot identifies the version of the data from which a whole answer is computed.
type Snapshot struct {
	IndexVersion uint64 `json:"index_version"`
	MapVersion   uint64 `json:"map_version"`
}

// Search is an idempotent request to the services of one group.
type Search struct {
	RequestID string          `json:"request_id"`
	Caller    string          `json:"caller"`
	Group     string          `json:"group"`
	Kind      string          `json:"kind,omitempty"`
	Query     json.RawMessage `json:"query"`
	Limit     int             `json:"limit"`
	Range     *KeyRange       `json:"range,omitempty"`
}

// Command is a non-idempotent request to the one service of a group that holds Key.
type Command struct {
	RequestID string          `json:"request_id"`
	Caller    string          `json:"caller"`
	Group     string          `json:"group"`
	Kind      string          `json:"kind,omitempty"`
	Key       uint64          `json:"key"`
	Body      json.RawMessage `json:"body"`
}

// Hit is one result of a search. Doc is passed through without being decoded.
type Hit struct {
	ID    string          `json:"id"`
	Key   uint64          `json:"key"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc,omitempty"`
}

// MissingReason says why the part of a service is missing from an answer.
type MissingReason string

// Reasons for a missing part.
const (
	MissingTimeout          MissingReason = "timeout"
	MissingUnreachable      MissingReason = "unreachable"
	MissingShed             MissingReason = "shed"
	MissingVersionGone      MissingReason = "version_gone"
	MissingSnapshotMismatch MissingReason = "snapshot_mismatch"
	MissingRangeMismatch    MissingReason = "range_mismatch"
	MissingTruncatedBody    MissingReason = "truncated_body"
	MissingUnassigned       MissingReason = "unassigned"
	MissingQuarantined      MissingReason = "quarantined"
	MissingNotPlanned       MissingReason = "not_planned"
	MissingTargetError      MissingReason = "target_error"
	MissingInternal         MissingReason = "internal_error" // the node failed while it worked on the part
)

// Part is the result of one service for one search, as a relay received and validated it. Reason is empty when the part
// was answered.
type Part struct {
	Service   string        `json:"service"`
	Reason    MissingReason `json:"reason,omitempty"`
	Snapshot  Snapshot      `json:"snapshot"`
	Ranges    []KeyRange    `json:"ranges,omitempty"`
	Hits      []Hit         `json:"hits,omitempty"`
	Truncated bool          `json:"truncated,omitempty"`
	// Held lists the index versions that the last called target holds, as it reported them. It is set when Reason is
	// MissingVersionGone.
	Held  []uint64  `json:"held,omitempty"`
	Trace PartTrace `json:"trace"`
}

// Answered reports whether the part holds a validated response from the pinned snapshot.
func (p Part) Answered() bool { return p.Reason == "" }

// PartTrace records what a relay did to obtain a part. The explain endpoint and the load measurements use it.
type PartTrace struct {
	Service  string `json:"service,omitempty"`
	Target   string `json:"target,omitempty"`
	Attempts int    `json:"attempts"`
	Hedges   int    `json:"hedges,omitempty"`
	Retries  int    `json:"retries,omitempty"`
	Millis   int64  `json:"ms"`
}

// MissingRange is a key range that an answer does not cover.
type MissingRange struct {
	KeyRange
	Service string        `json:"service,omitempty"`
	Reason  MissingReason `json:"reason"`
}

// Coverage says which part of the requested key space an answer covers.
type Coverage struct {
	Complete bool           `json:"complete"`
	Fraction float64        `json:"fraction"`
	Answered []KeyRange     `json:"answered"`
	Missing  []MissingRange `json:"missing,omitempty"`
}

// Answer is the answer to a search. Truncated is set when a limit dropped hits.
type Answer struct {
	RequestID string      `json:"request_id"`
	Group     string      `json:"group"`
	Snapshot  Snapshot    `json:"snapshot"`
	Coverage  Coverage    `json:"coverage"`
	Hits      []Hit       `json:"hits"`
	Truncated bool        `json:"truncated"`
	Restarted bool        `json:"restarted,omitempty"`
	Parts     []PartTrace `json:"parts,omitempty"`
}

// Outcome says what is known about whether a request took effect.
type Outcome string

// Outcomes. OutcomeNotRun requires proof: the request was never written to a connection, or the target itself refused it.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// CommandResult is the recorded outcome of a command.
type CommandResult struct {
	RequestID string          `json:"request_id"`
	Outcome   Outcome         `json:"outcome"`
	Code      Code            `json:"code,omitempty"`
	Message   string          `json:"message,omitempty"`
	Service   string          `json:"service,omitempty"`
	Target    string          `json:"target,omitempty"`
	Response  json.RawMessage `json:"response,omitempty"`
}

// MinAttemptBudget is the shortest remaining time budget with which an attempt is still sent.
const MinAttemptBudget = 2 * time.Millisecond
