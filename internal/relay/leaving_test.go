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

// Guards against new work at a leaving target that a home relay of another failure domain asks for because the mark has
// not reached it yet, for example after a cut between the failure domains.
func TestForeignAttemptOnLeavingTargetIsNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 4, nil)
		defer r.close()
		r.warm()
		const id = "records-01-north"
		r.relay.MarkLeaving(id, "")
		before := r.targets[id].counts().searches
		leg := r.leg(`"q"`, time.Second)
		res := r.relay.RunAttempt(t.Context(), peer.AttemptRequest{
			Meta: leg.Meta, Search: leg.Search, Snapshot: leg.Snapshot, AttemptID: "a", Service: "records-01", Target: id,
			Ranges: leg.Assignments[1].Ranges,
		})
		r.g.Expect(res.Outcome).To(Equal(api.NotRun))
		r.g.Expect(res.Failure).To(Equal(peer.Failure(target.FailureDraining)))
		r.g.Expect(r.targets[id].counts().searches).To(Equal(before))
	})
}
