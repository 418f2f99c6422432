package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// Guards against new work on a leaving target when the home relay of another failure domain asks for it because the
// mark has not reached it yet, for example after a partition between the failure domains.
func TestRemoteAttemptOnLeavingTargetIsNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newHarness(t, 4, nil)
		defer h.close()
		h.warmUp()
		const id = "records-01-north"
		h.relay.MarkLeaving(id, "")
		before := h.targets[id].counts().searches
		leg := h.leg(`"q"`, time.Second)
		res := h.relay.RunAttempt(t.Context(), peer.AttemptRequest{
			Meta: leg.Meta, Search: leg.Search, Snapshot: leg.Snapshot, AttemptID: "a", Service: "records-01", Target: id,
			Ranges: leg.Assignments[1].Ranges,
		})
		h.g.Expect(res.Outcome).To(Equal(api.OutcomeNotRun))
		h.g.Expect(res.Failure).To(Equal(peer.Failure(target.FailureDraining)))
		h.g.Expect(h.targets[id].counts().searches).To(Equal(before))
	})
}
