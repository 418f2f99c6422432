package target_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

var (
	wholeKeySpace = []api.KeyRange{{From: 0, To: api.KeySpaceEnd}}
	snapshot      = api.Snapshot{IndexVersion: 7, MapVersion: 3}
)

// startTarget runs a simulated target with high limits for the duration of one spec.
func startTarget(change func(*targetsim.Config)) *targetsim.Server {
	GinkgoHelper()
	cfg := targetsim.Config{Service: "s1", Slots: 64, Queue: 64, Documents: 100,
		Indexes: []targetsim.Index{{Version: 7, Map: 3}}, Maps: map[uint64][]api.KeyRange{3: wholeKeySpace}}
	if change != nil {
		change(&cfg)
	}
	s, err := targetsim.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

func newClient(address string, change func(*target.Config)) *target.Client {
	GinkgoHelper()
	cfg := target.Config{Address: address, ID: "s1-0", MaxConnections: 1}
	if change != nil {
		change(&cfg)
	}
	c, err := target.NewClient(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.Close(ctx)
	})
	return c
}

func searchCall(id string) target.SearchCall {
	return target.SearchCall{RequestID: id, AttemptID: id + "-1", Service: "s1", Snapshot: snapshot, Limit: 10,
		Query: json.RawMessage(`{"q":"x"}`), Timeout: 10 * time.Second}
}

func commandCall(id string) target.CommandCall {
	return target.CommandCall{RequestID: id, AttemptID: id + "-1", Service: "s1", Key: 1,
		Body: json.RawMessage(`{"book":1}`), Timeout: 10 * time.Second}
}

// call runs a search or a command and returns its error, which must be an *Error as the client documents.
func call(ctx context.Context, c *target.Client, kind, id string, timeout time.Duration) *target.Error {
	GinkgoHelper()
	var err error
	if kind == "command" {
		cmd := commandCall(id)
		cmd.Timeout = timeout
		_, err = c.Command(ctx, cmd)
	} else {
		search := searchCall(id)
		search.Timeout = timeout
		_, err = c.Search(ctx, search)
	}
	if err == nil {
		return nil
	}
	var e *target.Error
	Expect(errors.As(err, &e)).To(BeTrue(), "errors of the client are *target.Error, got %T", err)
	return e
}

var _ = Describe("Client", func() {
	// Guards against fields that are lost between the wire types and the replies.
	It("returns the hits, ranges and load of the target", func(ctx SpecContext) {
		s := startTarget(nil)
		c := newClient(s.Address(), nil)
		reply, err := c.Search(ctx, searchCall("r1"))
		Expect(err).NotTo(HaveOccurred())
		hits, truncated := targetsim.Find(100, 7, wholeKeySpace, []byte(`{"q":"x"}`), 10)
		Expect(reply).To(Equal(target.SearchReply{RequestID: "r1", AttemptID: "r1-1", Service: "s1", Snapshot: snapshot,
			Ranges: wholeKeySpace, Hits: hits, Truncated: truncated,
			Load: target.Load{InFlight: 1, Incarnation: s.Incarnation(), IndexVersions: []uint64{7}}}))
		cmd, err := c.Command(ctx, commandCall("c1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(cmd.Response)).To(Equal(`{"done":"c1"}`))
		health, err := c.Health(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(health.Ready).To(BeTrue())
	})

	// Guards against a relay that accepts results of another index version: the snapshot that the target echoes must reach it.
	It("passes on the snapshot that the target reports", func(ctx SpecContext) {
		s := startTarget(nil)
		s.SetFaults(targetsim.Faults{WrongEcho: targetsim.EchoIndexVersion})
		reply, err := newClient(s.Address(), nil).Search(ctx, searchCall("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Snapshot).To(Equal(api.Snapshot{IndexVersion: 8, MapVersion: 3}))
	})
})

// Guards against OutcomeNotRun for a request that may have run (R4, R5).
var _ = DescribeTable("failed calls",
	func(ctx SpecContext, change func(*targetsim.Config), faults targetsim.Faults, drain bool, timeout time.Duration,
		kind target.FailureKind, outcome api.Outcome, runs int) {
		for _, method := range []string{"search", "command"} {
			s := startTarget(change)
			s.SetFaults(faults)
			if drain {
				s.Drain()
			}
			e := call(ctx, newClient(s.Address(), func(c *target.Config) {
				c.MaxResponseBytes = 64 << 10
				c.OpenTimeout = 100 * time.Millisecond
			}), method, "r1", timeout)
			Expect(e).NotTo(BeNil())
			Expect(e.Kind).To(Equal(kind), "%s: %v", method, e)
			Expect(e.Outcome).To(Equal(outcome))
			Expect(s.Runs("r1")).To(Equal(runs))
		}
	},
	Entry("draining", nil, targetsim.Faults{}, true, time.Minute, target.FailureDraining, api.OutcomeNotRun, 0),
	Entry("another service", func(c *targetsim.Config) { c.Service = "s2" }, targetsim.Faults{}, false, time.Minute,
		target.FailureRefused, api.OutcomeNotRun, 0),
	Entry("refusal of another request", nil, targetsim.Faults{WrongEcho: targetsim.EchoRequestID}, true, time.Minute,
		target.FailureMismatch, api.OutcomeUnknown, 0),
	Entry("response of another request", nil, targetsim.Faults{WrongEcho: targetsim.EchoRequestID}, false, time.Minute,
		target.FailureMismatch, api.OutcomeUnknown, 1),
	Entry("response of another attempt", nil, targetsim.Faults{WrongEcho: targetsim.EchoAttemptID}, false, time.Minute,
		target.FailureMismatch, api.OutcomeUnknown, 1),
	Entry("response of another service", nil, targetsim.Faults{WrongEcho: targetsim.EchoService}, false, time.Minute,
		target.FailureMismatch, api.OutcomeUnknown, 1),
	Entry("failed run", nil, targetsim.Faults{FailRuns: true}, false, time.Minute, target.FailureInternal, api.OutcomeUnknown, 1),
	Entry("body cut with a regular end", nil, targetsim.Faults{Truncate: targetsim.TruncateClean}, false, time.Minute,
		target.FailureMalformed, api.OutcomeUnknown, 1),
	Entry("body cut by a reset", nil, targetsim.Faults{Truncate: targetsim.TruncateReset}, false, time.Minute,
		target.FailureMalformed, api.OutcomeUnknown, 1),
	Entry("oversize body", nil, targetsim.Faults{OversizeBytes: 1 << 20}, false, time.Minute,
		target.FailureMalformed, api.OutcomeUnknown, 1),
	Entry("connection reset after the run", nil, targetsim.Faults{DropConnections: true}, false, time.Minute,
		target.FailureConnectionLost, api.OutcomeUnknown, 1),
	Entry("crash during the run", nil, targetsim.Faults{CrashMarker: "{"}, false, time.Minute,
		target.FailureConnectionLost, api.OutcomeUnknown, 1),
	// The target ignores the deadline here; otherwise its own report of the passed deadline may arrive first.
	Entry("deadline during the run", nil, targetsim.Faults{LateByMS: 60_000}, false, 200*time.Millisecond,
		target.FailureTimeout, api.OutcomeUnknown, 1),
	Entry("too little time to send", nil, targetsim.Faults{}, false, time.Millisecond, target.FailureNotSent, api.OutcomeNotRun, 0),
	Entry("target accepts but never answers", nil, targetsim.Faults{Freeze: true}, false, time.Minute,
		target.FailureNotSent, api.OutcomeNotRun, 0),
)

var _ = Describe("refusals and unreachable targets", func() {
	// Guards against a retry for an index version that the target does not hold, and against a lost refusal code.
	It("reports a version that the target does not hold, with its load", func(ctx SpecContext) {
		s := startTarget(nil)
		c := newClient(s.Address(), nil)
		Expect(call(ctx, c, "search", "r1", time.Minute)).To(BeNil())
		s.RetireIndex(7)
		e := call(ctx, c, "search", "r2", time.Minute)
		Expect(e.Kind).To(Equal(target.FailureVersionGone))
		Expect(e.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(e.Load.IndexVersions).To(BeEmpty())
		Expect(s.Runs("r2")).To(BeZero())
	})

	// Guards against a refusal of an overloaded target that is not reported as proof of OutcomeNotRun.
	It("reports a shed request as not run", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.Slots, c.Queue, c.ServiceTime.Median = 1, 0, time.Hour })
		c := newClient(s.Address(), nil)
		running, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = c.Search(running, searchCall("r1"))
		}()
		Eventually(ctx, func() int { return s.Runs("r1") }).Should(Equal(1))
		e := call(ctx, c, "command", "r2", time.Minute)
		Expect(e.Kind).To(Equal(target.FailureShed))
		Expect(e.Outcome).To(Equal(api.OutcomeNotRun))
		cancel()
		<-done
	})

	// Guards against OutcomeUnknown for a command when the target is at its connection limit: nothing was written.
	It("reports not run at the connection limit of the target", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.ConnectionLimit = 1 })
		Expect(call(ctx, newClient(s.Address(), nil), "search", "r1", time.Minute)).To(BeNil())
		e := call(ctx, newClient(s.Address(), nil), "command", "r2", time.Minute)
		Expect(e.Kind).To(Equal(target.FailureNotSent))
		Expect(e.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(s.Counts().ConnectionsRefused).To(BeEquivalentTo(1))
	})

	// Guards against a burst of dials to a target that is down, and against calls that wait for it.
	It("dials a target that is down once per backoff", func(ctx SpecContext) {
		var dials atomic.Int64
		c := newClient("127.0.0.1:1", func(c *target.Config) {
			c.RedialMin, c.RedialMax = time.Hour, time.Hour
			c.Dial = func(context.Context, string) (net.Conn, error) {
				dials.Add(1)
				return nil, errors.New("refused")
			}
		})
		for i := range 50 {
			e := call(ctx, c, "command", fmt.Sprint("r", i), time.Minute)
			Expect(e.Kind).To(Equal(target.FailureNotSent))
			Expect(e.Outcome).To(Equal(api.OutcomeNotRun))
		}
		Expect(dials.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a close that aborts calls in flight, and against new calls after it.
	It("finishes calls in flight on close and refuses new ones", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.ServiceTime.Median = 100 * time.Millisecond })
		c := newClient(s.Address(), nil)
		result := make(chan error, 1)
		go func() {
			_, err := c.Search(ctx, searchCall("r1"))
			result <- err
		}()
		Eventually(ctx, func() int { return s.Runs("r1") }).Should(Equal(1))
		Expect(c.Close(ctx)).To(Succeed())
		Expect(<-result).NotTo(HaveOccurred())
		Expect(call(ctx, c, "search", "r2", time.Minute)).To(MatchError(target.ErrClosed))
		Expect(c.Connections()).To(BeZero())
	})
})
