package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

// measureLeavingMarks measures the work that a node does ten times a second on the state received from its peers: it lists
// the marks of leaving targets and passes them to its relay, and it lists and decodes the quarantine records.
func measureLeavingMarks(ctx context.Context, o Options) ([]Series, error) {
	t := newTable(fmt.Sprintf("marks or records, %d services", plannedServices))
	err := o.forEachSize(ctx, o.sizes(10, 100, 400, 800), func(size int) error {
		r, _, err := newRelay(ctx, plannedServices, defaultReplicas, nil)
		if err != nil {
			return err
		}
		defer r.Close(ctx)
		n, err := newLoopNetwork(1, 1)
		if err != nil {
			return err
		}
		loop := n.loops["10.1.0.0:7000"]
		for i := range size {
			loop.MarkLeaving(fmt.Sprintf("gone-%d", i), "incarnation", membership.LeavingByList)
			loop.SetQuarantine(quarantineEntry(i))
		}
		count := max(2, o.Count/100)
		t.addCost(size, "marks: list once", measureRepeated(count, func() { loop.Marks() }))
		t.addCost(size, "marks: pass known ones to the relay once", measureRepeated(count, func() {
			for i := range size {
				r.MarkLeaving(fmt.Sprintf("gone-%d", i), "incarnation")
			}
		}))
		var lastErr error
		t.addCost(size, "quarantine: list and decode once", measureRepeated(count, func() {
			for _, e := range loop.Quarantine() {
				var record quarantine.Record
				if err := json.Unmarshal(e.Payload, &record); err != nil {
					lastErr = err
				}
			}
		}))
		return eris.Wrap(lastErr, "decode a record")
	})
	return t.result(), err
}

func quarantineEntry(i int) membership.QuarantineEntry {
	record := quarantine.Record{
		Fingerprint: quarantine.FingerprintOf("records", "", fmt.Append(nil, i)), Group: "records", Service: "records-00",
		LeftMS: time.Hour.Milliseconds(),
	}
	payload, err := json.Marshal(record)
	if err != nil {
		return membership.QuarantineEntry{} // cannot occur: only the fingerprint of the record varies
	}
	return membership.QuarantineEntry{Key: record.Service + "/" + record.Fingerprint.String(), Revision: 1,
		ExpiresMS: time.Now().Add(time.Hour).UnixMilli(), Payload: payload}
}
