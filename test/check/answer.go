// Package check sends test traffic to the tier and checks every answer, for the failure tests and the end-to-end tests.
package check

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// Dataset describes the documents and the published snapshots of one group, from which the expected hits of a search are
// computed. mu guards snapshots.
type Dataset struct {
	group         string
	documentCount int

	mu        sync.Mutex
	snapshots map[api.Snapshot][]config.Assignment
}

// NewDataset returns the dataset of a group with documentCount documents in its key space and no snapshots.
func NewDataset(group string, documentCount int) *Dataset {
	return &Dataset{group: group, documentCount: documentCount, snapshots: map[api.Snapshot][]config.Assignment{}}
}

// AddCatalogue adds the snapshots of a catalogue. Call it before the catalogue is published.
func (d *Dataset) AddCatalogue(c config.Catalogue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range c.Groups {
		if g.Group != d.group {
			continue
		}
		for _, v := range g.Versions {
			for _, m := range g.Maps {
				if m.Version == v.Map {
					d.snapshots[api.Snapshot{IndexVersion: v.Index, MapVersion: v.Map}] = m.Assignments
				}
			}
		}
	}
}

// SearchRequest is a search as its caller sent it.
type SearchRequest struct {
	RequestID string
	Query     json.RawMessage
	Limit     int
	Range     *api.KeyRange
}

// CheckAnswer returns an error when an answer breaks R1 to R3. An answer must belong to the search, its coverage must add
// up to the requested keys, and its hits must be exactly those of its one snapshot in the ranges reported as answered.
func (d *Dataset) CheckAnswer(s SearchRequest, a api.Answer) error {
	if a.RequestID != s.RequestID || a.Group != d.group {
		return eris.Errorf("R3: answer of request %s, group %s to request %s", a.RequestID, a.Group, s.RequestID)
	}
	d.mu.Lock()
	assignments, known := d.snapshots[a.Snapshot]
	d.mu.Unlock()
	if !known {
		return eris.Errorf("R1: answer names snapshot %+v, which was never published", a.Snapshot)
	}
	if err := checkCoverage(s, a.Coverage); err != nil {
		return err
	}
	if err := checkAssigned(a.Coverage.Answered, assignments); err != nil {
		return err
	}
	hits, truncated := targetsim.Find(d.documentCount, a.Snapshot.IndexVersion, a.Coverage.Answered, s.Query, s.Limit)
	if truncated != a.Truncated {
		return eris.Errorf("R2: truncated is %t and must be %t", a.Truncated, truncated)
	}
	return checkHits(hits, a.Hits)
}

// checkCoverage checks that answered and missing ranges fill the requested range without gap or overlap, and that the
// fraction and the complete flag agree with them.
func checkCoverage(s SearchRequest, c api.Coverage) error {
	whole := api.KeyRange{To: api.KeySpaceEnd}
	if s.Range != nil {
		whole = *s.Range
	}
	all := slices.Clone(c.Answered)
	answered := uint64(0)
	for _, r := range c.Answered {
		answered += r.Size()
	}
	for _, m := range c.Missing {
		if m.Reason == "" {
			return eris.Errorf("R2: range %+v is missing without a reason", m.KeyRange)
		}
		all = append(all, m.KeyRange)
	}
	slices.SortFunc(all, func(a, b api.KeyRange) int {
		if a.From < b.From {
			return -1
		}
		return 1
	})
	at := whole.From
	for _, r := range all {
		if r.From != at || r.Empty() {
			return eris.Errorf("R2: coverage has a gap or an overlap at %d: %+v", at, c)
		}
		at = r.To
	}
	if at != whole.To {
		return eris.Errorf("R2: coverage ends at %d of %d", at, whole.To)
	}
	if c.Complete != (len(c.Missing) == 0) || c.Complete != (c.Fraction == 1) || (c.Fraction == 0) != (answered == 0) {
		return eris.Errorf("R2: complete %t and fraction %v with %d missing ranges", c.Complete, c.Fraction, len(c.Missing))
	}
	return nil
}

// checkAssigned checks that the partition map of the snapshot assigns each answered key to a service.
func checkAssigned(answered []api.KeyRange, assignments []config.Assignment) error {
	for _, r := range answered {
		covered := uint64(0)
		for _, a := range assignments {
			covered += api.KeyRange{From: max(r.From, a.Range.From), To: min(r.To, a.Range.To)}.Size()
		}
		if covered != r.Size() {
			return eris.Errorf("R2: range %+v is answered, but the partition map assigns only %d of its keys", r, covered)
		}
	}
	return nil
}

// checkHits compares the hits of an answer with the expected ones, including their order.
func checkHits(want, got []api.Hit) error {
	if len(want) != len(got) {
		return eris.Errorf("R1, R2 or R3: answer has %d hits and must have %d", len(got), len(want))
	}
	for i, w := range want {
		g := got[i]
		if w.ID != g.ID || w.Key != g.Key || w.Score != g.Score || !bytes.Equal(w.Doc, g.Doc) {
			return eris.Errorf("R1, R2 or R3: hit %d is %s %s and must be %s %s", i, g.ID, g.Doc, w.ID, w.Doc)
		}
	}
	return nil
}
