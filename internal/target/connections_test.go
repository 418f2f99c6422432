package target_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

var _ = Describe("connections", func() {
	// Guards against the behaviour of HTTP/1.1, where each cancelled call costs the target a new connection.
	It("keeps the connection when calls are cancelled", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.ServiceTime.Median = time.Hour })
		c := newClient(s.Address(), nil)
		for i := range 100 {
			id := fmt.Sprint("r", i)
			callCtx, cancel := context.WithCancel(ctx)
			result := make(chan error, 1)
			go func() {
				_, err := c.Search(callCtx, searchCall(id))
				result <- err
			}()
			Eventually(ctx, func() int { return s.Runs(id) }).WithPolling(100 * time.Microsecond).Should(Equal(1))
			cancel()
			var e *target.Error
			Expect(errors.As(<-result, &e)).To(BeTrue())
			Expect(e.Kind).To(Equal(target.FailureTimeout))
			Expect(e.Outcome).To(Equal(api.OutcomeUnknown))
		}
		Eventually(ctx, func() int64 { return s.Counts().Cancelled }).Should(BeEquivalentTo(100))
		Expect(s.Counts().ConnectionsOpened).To(BeEquivalentTo(1))
	})

	// Guards against more connections than MaxConnections, and against connections that are not needed.
	DescribeTable("a burst stays within the connection limit",
		func(ctx SpecContext, maxConnections, streams, want int) {
			s := startTarget(func(c *targetsim.Config) {
				c.Slots, c.Queue, c.MaxStreams = 8, 1000, streams
				c.ServiceTime.Median, c.ConnectCost = time.Millisecond, 2*time.Millisecond
			})
			c := newClient(s.Address(), func(c *target.Config) { c.MaxConnections = maxConnections })
			var calls sync.WaitGroup
			for i := range 300 {
				calls.Go(func() {
					defer GinkgoRecover()
					Expect(call(ctx, c, "search", fmt.Sprint("r", i), time.Minute)).To(BeNil())
					Expect(c.Connections()).To(BeNumerically("<=", maxConnections))
				})
			}
			calls.Wait()
			Expect(s.Counts().ConnectionsPeak).To(Equal(want))
			Expect(s.Counts().ConnectionsOpened).To(BeEquivalentTo(want))
		},
		Entry("one connection carries a burst", 4, 1000, 1),
		Entry("few streams per connection", 4, 5, 4),
		Entry("few streams, limit of 1", 1, 5, 1),
	)

	// Guards against a replay by net/http, which may send a request with an Idempotency-Key header a second time.
	It("does not replay a command when the connection dies", func(ctx SpecContext) {
		s := startTarget(nil)
		c := newClient(s.Address(), nil)
		Expect(call(ctx, c, "command", "warm", time.Minute)).To(BeNil())
		s.SetFaults(targetsim.Faults{DropConnections: true})
		e := call(ctx, c, "command", "c1", time.Minute)
		Expect(e.Kind).To(Equal(target.FailureConnectionLost))
		Expect(e.Outcome).To(Equal(api.OutcomeUnknown))
		s.SetFaults(targetsim.Faults{})
		Expect(call(ctx, c, "command", "c2", time.Minute)).To(BeNil())
		Expect(s.Runs("c1")).To(Equal(1))
		Expect(s.Counts().MaxRunsPerCommand).To(Equal(1))
	})

	// Guards against a response that is delivered to a later call on the same connection (R3).
	It("drops late and swapped responses", func(ctx SpecContext) {
		s := startTarget(nil)
		c := newClient(s.Address(), nil)
		s.SetFaults(targetsim.Faults{LateByMS: 300})
		Expect(call(ctx, c, "search", "late", 100*time.Millisecond).Kind).To(Equal(target.FailureTimeout))
		s.SetFaults(targetsim.Faults{SwappedResponses: true})
		Expect(call(ctx, c, "search", "first", time.Minute)).To(BeNil())
		Eventually(ctx, func() int64 { return s.Counts().Completed }).Should(BeEquivalentTo(2))
		e := call(ctx, c, "search", "second", time.Minute)
		Expect(e.Kind).To(Equal(target.FailureMismatch))
		Expect(e.Outcome).To(Equal(api.OutcomeUnknown))
		s.SetFaults(targetsim.Faults{})
		reply, err := c.Search(ctx, searchCall("third"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.RequestID).To(Equal("third"))
		Expect(s.Counts().ConnectionsOpened).To(BeEquivalentTo(1))
	})

	// Guards against calls that are aborted by a graceful shutdown of the target, and against a client that keeps using a
	// connection after a GOAWAY.
	It("finishes calls while the target shuts down and reaches its next incarnation", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.ServiceTime.Median = 200 * time.Millisecond })
		c := newClient(s.Address(), func(c *target.Config) { c.RedialMin, c.RedialMax = time.Millisecond, time.Millisecond })
		result := make(chan *target.Error, 1)
		go func() {
			defer GinkgoRecover()
			result <- call(ctx, c, "command", "c1", time.Minute)
		}()
		Eventually(ctx, func() int { return s.Runs("c1") }).Should(Equal(1))
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(ctx) }()
		Eventually(ctx, func() bool {
			e := call(ctx, c, "command", "c2", time.Minute)
			return e != nil && e.Kind == target.FailureNotSent
		}).Should(BeTrue())
		Expect(<-result).To(BeNil())
		Expect(<-stopped).To(Succeed())
		Expect(s.Start()).To(Succeed())
		Eventually(ctx, func() bool { return call(ctx, c, "command", "c3", time.Minute) == nil }).Should(BeTrue())
		Expect(s.Runs("c3")).To(Equal(1))
	})

	// Guards against OutcomeNotRun for a request whose write raced with its cancellation.
	It("never reports not run for a request that ran", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.Slots, c.Queue = 1000, 1000 })
		c := newClient(s.Address(), nil)
		Expect(call(ctx, c, "command", "warm", time.Minute)).To(BeNil())
		random := rand.New(rand.NewPCG(1, 2))
		var notRun []string
		for round := range 200 {
			var calls sync.WaitGroup
			outcomes := make([]api.Outcome, 8)
			for i := range outcomes {
				delay := time.Duration(random.IntN(400)) * time.Microsecond
				calls.Go(func() {
					defer GinkgoRecover()
					callCtx, cancel := context.WithCancel(ctx)
					defer time.AfterFunc(delay, cancel).Stop()
					if e := call(callCtx, c, "command", fmt.Sprintf("c%d-%d", round, i), time.Minute); e != nil {
						outcomes[i] = e.Outcome
					}
				})
			}
			calls.Wait()
			for i, o := range outcomes {
				if o == api.OutcomeNotRun {
					notRun = append(notRun, fmt.Sprintf("c%d-%d", round, i))
				}
			}
		}
		Expect(c.Close(ctx)).To(Succeed())
		Expect(s.Shutdown(ctx)).To(Succeed()) // waits for handlers that have started
		Expect(notRun).NotTo(BeEmpty())
		for _, id := range notRun {
			Expect(s.Runs(id)).To(BeZero(), id)
		}
		Expect(s.Counts().ConnectionsOpened).To(BeEquivalentTo(1))
	})
})

var _ = Describe("liveness", func() {
	withFastProbes := func(c *target.Config) {
		c.ProbeAfter, c.ProbeTimeout, c.DeadAfter = 20*time.Millisecond, 20*time.Millisecond, time.Hour
		c.MaxConnections = 4
	}

	// Guards against calls that accumulate at a frozen target, and against connections that it has to accept when it resumes.
	It("fails new calls to a frozen target as not run and keeps its connection", func(ctx SpecContext) {
		s := startTarget(nil)
		c := newClient(s.Address(), withFastProbes)
		Expect(call(ctx, c, "search", "warm", time.Minute)).To(BeNil())
		s.SetFaults(targetsim.Faults{Freeze: true})
		waiting := make(chan error, 1)
		go func() {
			_, err := c.Search(ctx, searchCall("waiting"))
			waiting <- err
		}()
		Eventually(ctx, func() bool {
			e := call(ctx, c, "command", "c1", 30*time.Millisecond)
			return e != nil && errors.Is(e, target.ErrUnresponsive)
		}).Should(BeTrue())
		Expect(call(ctx, c, "command", "c2", time.Minute).Outcome).To(Equal(api.OutcomeNotRun))
		s.SetFaults(targetsim.Faults{})
		Eventually(ctx, waiting).Should(Receive(BeNil()))
		Eventually(ctx, func() bool { return call(ctx, c, "search", "after", time.Minute) == nil }).Should(BeTrue())
		Expect(s.Runs("c2")).To(BeZero())
		Expect(s.Counts().ConnectionsOpened).To(BeEquivalentTo(1))
	})

	// Guards against calls that occupy all streams of a frozen target, so that no probe can detect that it is frozen.
	It("keeps a stream free for the probe", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.MaxStreams = 2 })
		c := newClient(s.Address(), func(c *target.Config) {
			withFastProbes(c)
			c.MaxConnections = 1
		})
		Expect(call(ctx, c, "search", "warm", time.Minute)).To(BeNil())
		s.SetFaults(targetsim.Faults{Freeze: true})
		results := make(chan *target.Error, 2)
		for i := range 2 {
			go func() {
				defer GinkgoRecover()
				results <- call(ctx, c, "search", fmt.Sprint("r", i), 5*time.Second)
			}()
		}
		Expect(<-results).To(MatchError(target.ErrUnresponsive))
		s.SetFaults(targetsim.Faults{})
		Expect(<-results).To(BeNil())
	})

	// Guards against calls that wait forever on a connection to a lost instance.
	It("closes a connection that stays silent", func(ctx SpecContext) {
		s := startTarget(nil)
		c := newClient(s.Address(), func(c *target.Config) {
			withFastProbes(c)
			c.DeadAfter, c.RedialMin = 100*time.Millisecond, time.Millisecond
		})
		Expect(call(ctx, c, "search", "warm", time.Minute)).To(BeNil())
		s.SetFaults(targetsim.Faults{Freeze: true})
		e := call(ctx, c, "command", "c1", time.Minute)
		Expect(e.Kind).To(Equal(target.FailureConnectionLost))
		Expect(e.Outcome).To(Equal(api.OutcomeUnknown))
		s.SetFaults(targetsim.Faults{})
		Eventually(ctx, func() bool { return call(ctx, c, "search", "after", time.Minute) == nil }).Should(BeTrue())
	})

	// Guards against probes that close the connection of a slow target or mark it unresponsive.
	It("keeps using a target that is slow but answers probes", func(ctx SpecContext) {
		s := startTarget(func(c *targetsim.Config) { c.ServiceTime.Median = 300 * time.Millisecond })
		c := newClient(s.Address(), func(c *target.Config) {
			withFastProbes(c)
			c.ProbeTimeout = 10 * time.Second
		})
		Expect(call(ctx, c, "search", "r1", time.Minute)).To(BeNil())
		Expect(s.Counts().Health).To(BeNumerically(">", 1)) // the first is sent when the connection is opened
		Expect(call(ctx, c, "search", "r2", time.Minute)).To(BeNil())
		Expect(s.Counts().ConnectionsOpened).To(BeEquivalentTo(1))
	})
})
