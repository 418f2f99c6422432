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

// relays are two relays of which the first fails and the second refuses.
type relays struct{ first peer.FailureKind }

func (r relays) Relays(string) []Relay {
	return []Relay{{NodeID: "first", Address: "first"}, {NodeID: "second", Address: "second"}}
}

func (r relays) Node(string) (string, string, bool) { return "", "", false }

func (r relays) Call(_ context.Context, address, method string, _, result any, _ ...peer.CallOption) error {
	if address == "first" {
		return &peer.Error{Kind: r.first, Method: method, Err: errors.New("lost")}
	}
	result.(*peer.LegResult).Refusal = api.Refuse(api.CodeOverloaded, "", "the group is at its limit")
	return nil
}

// Guards against "not run" for a search that a lost relay had run: the next relay only answers for itself (seen in
// TestAnswersAreTrueUnderFailure/responses_are_late beside load).
func TestRefusalAfterALostRelayIsNotPassedOn(t *testing.T) {
	for kind, refused := range map[peer.FailureKind]bool{peer.FailureLost: false, peer.FailureNotSent: true} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			tracing, err := telemetry.NewTracing(context.Background(), telemetry.TraceOff, "", "n", nil)
			g.Expect(err).NotTo(HaveOccurred())
			e := New(Config{}, Deps{
				Directory: relays{kind}, Peers: relays{kind}, Log: logrus.NewEntry(log), Tracing: tracing, Metrics: metrics.NewSet(),
			})
			req := peer.LegRequest{Assignments: []peer.Assignment{{Service: "s"}}}
			result, refusal := e.runLeg(context.Background(), req, time.Now().Add(time.Minute))
			g.Expect(refusal != nil).To(Equal(refused))
			if !refused {
				g.Expect(result.Parts).To(HaveLen(1))
				g.Expect(result.Parts[0].Reason).To(Equal(api.MissingUnreachable))
			}
		})
	}
}
