package coverage

import (
	"github.com/medlarshunt/medlarshunt/internal/api"
)

// CheckPart returns the part in the form in which it may be merged and counted. A reply from another service is missing
// with reason target_error, one of another snapshot with reason snapshot_mismatch, and one that states none of the
// assigned ranges with reason range_mismatch. If a reply states some of them, these ranges are kept, and Compute reports
// the others as range_mismatch. Hits outside the kept ranges are dropped: their keys belong to another service or to a
// range that is reported missing. Hits are sorted as MergeHits needs them. The argument is not changed.
func CheckPart(assigned Assigned, snapshot api.Snapshot, part api.Part) api.Part {
	if !part.Answered() {
		return missingPart(assigned, part, part.Reason)
	}
	if part.Service != assigned.Service {
		return missingPart(assigned, part, api.MissingTargetError)
	}
	if part.Snapshot != snapshot {
		return missingPart(assigned, part, api.MissingSnapshotMismatch)
	}
	part.Ranges = intersect(normalise(part.Ranges), assigned.Ranges)
	if len(part.Ranges) == 0 {
		return missingPart(assigned, part, api.MissingRangeMismatch)
	}
	part.Hits = sortedHits(hitsWithin(part.Ranges, part.Hits))
	return part
}

// missingPart returns part as missing with the given reason, without its ranges and hits.
func missingPart(assigned Assigned, part api.Part, reason api.MissingReason) api.Part {
	return api.Part{Service: assigned.Service, Reason: reason, Snapshot: part.Snapshot, Trace: part.Trace}
}

// hitsWithin returns the hits whose key lies in ranges. It copies only when there are hits outside them, which is rare.
func hitsWithin(ranges []api.KeyRange, hits []api.Hit) []api.Hit {
	for i, h := range hits {
		if contains(ranges, h.Key) {
			continue
		}
		kept := append([]api.Hit(nil), hits[:i]...)
		for _, h := range hits[i+1:] {
			if contains(ranges, h.Key) {
				kept = append(kept, h)
			}
		}
		return kept
	}
	return hits
}
