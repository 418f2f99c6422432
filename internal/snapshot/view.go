package snapshot

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Candidate is one published version as Choose evaluates it.
type Candidate struct {
	Snapshot       api.Snapshot
	ServicesNeeded int                          // number of services that the query needs in this version
	Lacking        map[string]api.MissingReason // needed services without a usable target that holds it
}

// View returns the choice for a query and every published version that assigns a needed service, newest first. It
// neither reads nor changes the cached choice.
func (c *Chooser) View(q Query, now time.Time) (choice Choice, considered []Candidate, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range slices.Backward(c.catalogue.Versions) {
		candidate, isNeeded := c.evaluate(v, q, now)
		if isNeeded {
			considered = append(considered, Candidate{
				Snapshot: candidate.Snapshot, ServicesNeeded: len(candidate.Assigned), Lacking: maps.Clone(candidate.Lacking),
			})
		}
	}
	choice, ok = c.choose(q, now)
	return choice, considered, ok
}
