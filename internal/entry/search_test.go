package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
)

// fakeRelays lists two relays: a call to the first fails with firstFailure, the second refuses the leg.
type fakeRelays struct{ firstFailure peer.FailureKind }

func (r fakeRelays) Relays(string) []Relay {
	return []Relay{{NodeID: "first", Address: "first"}, {NodeID: "second", Address: "second"}}
}

func (r fakeRelays) Node(string) (string, string, bool) { return "", "", false }

func (r fakeRelays) Call(_ context.Context, address, method string, _, result any, _ ...peer.CallOption) error {
	if address == "first" {
		return &peer.Error{Kind: r.firstFailure, Method: method, Err: errors.New("lost")}
	}
	result.(*peer.LegResult).Refusal = api.NewRefusal(api.CodeOverloaded, "", "the group is at its limit")
	return nil
}

// Guards against answering "not run" to a search that a relay ran before its connection was lost: the refusal of the
// next relay holds for that relay only. Seen in TestAnswersAreTrueUnderFailure/responses_are_late under load.
func TestRefusalAfterLostRelayIsNotReturned(t *testing.T) {
	for kind, wantRefusal := range map[peer.FailureKind]bool{peer.FailureLost: false, peer.FailureNotSent: true} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			tracing, err := telemetry.NewTracing(context.Background(), telemetry.TraceOff, "", "n", nil)
			g.Expect(err).NotTo(HaveOccurred())
			e := New(Config{}, Deps{
				Directory: fakeRelays{kind}, Peers: fakeRelays{kind}, Log: logrus.NewEntry(log), Tracing: tracing, Metrics: metrics.NewSet(),
			})
			req := peer.LegRequest{Assignments: []peer.Assignment{{Service: "s"}}}
			result, refusal := e.runLeg(context.Background(), req, time.Now().Add(time.Minute))
			g.Expect(refusal != nil).To(Equal(wantRefusal))
			if !wantRefusal {
				g.Expect(result.Parts).To(HaveLen(1))
				g.Expect(result.Parts[0].Reason).To(Equal(api.MissingUnreachable))
			}
		})
	}
}
