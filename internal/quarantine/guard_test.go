package quarantine_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fp      = quarantine.FingerprintOf("g", "k", []byte("crashing"))
	otherFP = quarantine.FingerprintOf("g", "k", []byte("harmless"))
	refT1   = quarantine.TargetRef{Group: "g", Service: "s", Target: "t1"}
	refT2   = quarantine.TargetRef{Group: "g", Service: "s", Target: "t2"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func startCall(g *quarantine.Guard, f quarantine.Fingerprint, p quarantine.TargetRef, now time.Time) *quarantine.Call {
	c, err := g.Start(f, p, now)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

func observe(g *quarantine.Guard, evidence quarantine.EvidenceKind, incarnation string, now time.Time) {
	g.Observe(refT1.Target, quarantine.Evidence{Kind: evidence, Group: "g", Incarnation: incarnation}, now)
}

// runAlone reserves p for f and ends the isolated run with result.
func runAlone(g *quarantine.Guard, f quarantine.Fingerprint, p quarantine.TargetRef, result quarantine.Result, now time.Time) {
	l, err := g.Reserve(f, p, now)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	c, err := g.StartIsolated(l, now)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	g.End(c, result, now)
}

// guardWithSuspect returns a guard on which fp is suspect: it crashed the target of refT1.
func guardWithSuspect() *quarantine.Guard {
	g := quarantine.NewGuard(0)
	startCall(g, fp, refT1, start)
	g.TargetDied(refT1.Target, "g", start)
	return g
}

// guardWithConfirmed returns a guard on which fp is confirmed: it crashed the target of refT2 while it ran alone.
func guardWithConfirmed() *quarantine.Guard {
	g := guardWithSuspect()
	runAlone(g, fp, refT2, quarantine.Lost, start)
	g.TargetDied(refT2.Target, "g", start)
	return g
}

// errorKind returns the kind of an error of the guard; it is empty when err is not a *quarantine.Error.
func errorKind[T any](_ T, err error) quarantine.ErrorKind {
	guardErr := &quarantine.Error{}
	errors.As(err, &guardErr)
	return guardErr.Kind
}

func actionFor(g *quarantine.Guard, now time.Time) quarantine.Action { return g.Decide(fp, now).Action }

// step is one event of an evidence table: the end of the call in flight when callResult is set, otherwise an
// observation.
type step struct {
	callResult  quarantine.Result
	evidence    quarantine.EvidenceKind
	incarnation string
}

func callEnd(r quarantine.Result) step { return step{callResult: r} }
func observation(k quarantine.EvidenceKind, incarnation string) step {
	return step{evidence: k, incarnation: incarnation}
}

// Guards against suspects although the target did not crash, and against a crash that leaves no suspect.
var _ = DescribeTable("evidence",
	func(wantNow, wantAfterTTL quarantine.Action, steps ...step) {
		g := quarantine.NewGuard(0)
		observe(g, quarantine.Responded, "i1", start)
		c := startCall(g, fp, refT1, start)
		for _, s := range steps {
			if s.callResult != "" {
				g.End(c, s.callResult, start)
			} else {
				observe(g, s.evidence, s.incarnation, start)
			}
		}
		Expect(actionFor(g, start)).To(Equal(wantNow))
		Expect(actionFor(g, at(quarantine.EvidenceTTL))).To(Equal(wantAfterTTL), "after EvidenceTTL only a proven crash counts")
	},
	Entry("one lost connection: isolated until EvidenceTTL has passed", quarantine.Isolate, quarantine.Allow,
		callEnd(quarantine.Lost), observation(quarantine.ConnectionLost, "")),
	Entry("same incarnation on a new connection", quarantine.Allow, quarantine.Allow,
		callEnd(quarantine.Lost), observation(quarantine.ConnectionLost, ""), observation(quarantine.Reconnected, "i1")),
	Entry("same incarnation on an old connection does not disprove a crash", quarantine.Isolate, quarantine.Isolate,
		callEnd(quarantine.Lost), observation(quarantine.ConnectionLost, ""),
		observation(quarantine.Responded, "i1"), observation(quarantine.RedialRefused, "")),
	Entry("new incarnation", quarantine.Isolate, quarantine.Isolate,
		callEnd(quarantine.Lost), observation(quarantine.ConnectionLost, ""), observation(quarantine.Reconnected, "i2")),
	Entry("re-dial refused", quarantine.Isolate, quarantine.Isolate,
		callEnd(quarantine.Lost), observation(quarantine.ConnectionLost, ""), observation(quarantine.RedialRefused, "")),
	Entry("several connections, call ends later", quarantine.Isolate, quarantine.Isolate,
		observation(quarantine.ConnectionLost, ""), observation(quarantine.ConnectionLost, ""), callEnd(quarantine.Lost)),
	Entry("several connections, but the same incarnation", quarantine.Allow, quarantine.Allow,
		observation(quarantine.ConnectionLost, ""), observation(quarantine.ConnectionLost, ""),
		callEnd(quarantine.Lost), observation(quarantine.Reconnected, "i1")),
	Entry("draining, reported before the losses", quarantine.Allow, quarantine.Allow, observation(quarantine.Draining, ""),
		observation(quarantine.ConnectionLost, ""), observation(quarantine.ConnectionLost, ""),
		callEnd(quarantine.Lost), observation(quarantine.RedialRefused, "")),
	Entry("draining, reported after the loss", quarantine.Allow, quarantine.Allow,
		callEnd(quarantine.Lost), observation(quarantine.ConnectionLost, ""), observation(quarantine.Draining, "")),
	Entry("cancelled by this node", quarantine.Allow, quarantine.Allow, callEnd(quarantine.Unanswered)),
	Entry("cancelled shortly before the crash", quarantine.Isolate, quarantine.Isolate,
		callEnd(quarantine.Unanswered), observation(quarantine.ConnectionLost, ""), observation(quarantine.RedialRefused, "")),
	Entry("answered before the crash", quarantine.Allow, quarantine.Allow,
		callEnd(quarantine.Answered), observation(quarantine.ConnectionLost, ""), observation(quarantine.RedialRefused, "")),
)

var _ = Describe("Guard", func() {
	// Guards against a crashing request that its caller sends again, and against a quarantine that never ends.
	It("refuses a confirmed fingerprint for ConfirmTTL, then isolates it for SuspectTTL, then allows it", func() {
		g := guardWithConfirmed()
		Expect(g.Decide(fp, start).RetryAfter).To(Equal(quarantine.ConfirmTTL))
		Expect(errorKind(g.Start(fp, refT2, start))).To(Equal(quarantine.KindRefused))
		Expect(errorKind(g.Reserve(fp, refT2, start))).To(Equal(quarantine.KindRefused))
		Expect(actionFor(g, at(quarantine.ConfirmTTL-1))).To(Equal(quarantine.Refuse))
		Expect(actionFor(g, at(quarantine.ConfirmTTL))).To(Equal(quarantine.Isolate))
		Expect(actionFor(g, at(quarantine.ConfirmTTL+quarantine.SuspectTTL))).To(Equal(quarantine.Allow))
		Expect(actionFor(guardWithSuspect(), at(quarantine.SuspectTTL))).To(Equal(quarantine.Allow))
	})

	// Guards against a success on a service that the request does not crash clearing the suspicion, after which the
	// request could crash targets again.
	It("clears a suspect only after a successful isolated run on the service that crashed", func() {
		g := guardWithSuspect()
		for _, result := range []quarantine.Result{quarantine.Failed, quarantine.NotSent} {
			runAlone(g, fp, refT2, result, start)
			Expect(actionFor(g, start)).To(Equal(quarantine.Isolate), "%s", result)
		}
		runAlone(g, fp, quarantine.TargetRef{Group: "g", Service: "s2", Target: "u1"}, quarantine.Answered, start)
		Expect(g.Decide(fp, start)).To(Equal(quarantine.Decision{Action: quarantine.Isolate, Services: []string{"s"}}))
		Expect(errorKind(g.Start(fp, refT2, start))).To(Equal(quarantine.KindSuspect))
		runAlone(g, fp, refT2, quarantine.Answered, start)
		Expect(actionFor(g, start)).To(Equal(quarantine.Allow))
		startCall(g, fp, refT1, start)
		g.TargetDied(refT1.Target, "g", start)
		Expect(actionFor(g, start)).To(Equal(quarantine.Isolate), "a crash in the same millisecond as the clear")
	})

	// Guards against an isolated run concurrent with other calls, and against reservations that block a service.
	It("reserves a target until its run has ended", func() {
		g := guardWithSuspect()
		otherCall := startCall(g, otherFP, refT2, start)
		l, err := g.Reserve(fp, refT2, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(errorKind(g.StartIsolated(l, start))).To(Equal(quarantine.KindNotReady))
		Expect(errorKind(g.Start(otherFP, refT2, start))).To(Equal(quarantine.KindReserved))
		Expect(errorKind(g.Reserve(fp, refT1, start))).To(Equal(quarantine.KindLeased))
		Expect(errorKind(g.Reserve(otherFP, refT1, start))).To(Equal(quarantine.KindServiceBusy))
		Expect(l.Ready()).NotTo(BeClosed())
		g.End(otherCall, quarantine.Answered, start)
		Expect(l.Ready()).To(BeClosed())
		c, err := g.StartIsolated(l, start)
		Expect(err).NotTo(HaveOccurred())
		g.Release(l)
		Expect(g.ExpireAndCheckReserved(refT2.Target, at(time.Hour))).To(BeTrue(), "Release must not end a run")
		g.End(c, quarantine.Unanswered, start)
		Expect(g.ExpireAndCheckReserved(refT2.Target, at(quarantine.UnansweredTTL-1))).To(BeTrue())
		Expect(g.ExpireAndCheckReserved(refT2.Target, at(quarantine.UnansweredTTL))).To(BeFalse())
		_, err = g.Reserve(fp, refT2, at(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.ExpireAndCheckReserved(refT2.Target, at(time.Second+quarantine.LeaseStartTimeout))).To(BeFalse(), "never started")
	})

	// Guards against an isolated run while a cancelled call may still run on the target: a crash would confirm nothing,
	// and confirming the request would cost another target.
	It("returns how long cancelled calls of other requests may still run", func() {
		g := guardWithSuspect()
		g.End(startCall(g, otherFP, refT2, start), quarantine.Unanswered, start)
		Expect(g.UnansweredRemaining(refT2.Target, fp, start)).To(Equal(quarantine.UnansweredTTL))
		Expect(g.UnansweredRemaining(refT2.Target, otherFP, start)).To(BeZero(), "its own call")
		Expect(g.UnansweredRemaining(refT2.Target, fp, at(quarantine.UnansweredTTL))).To(BeZero())
		Expect(g.UnansweredRemaining("unknown", fp, start)).To(BeZero())
	})

	// Guards against a crashing request that is never confirmed, because the target crashes after the deadline of the
	// isolated run, or because cancelled calls may still run on the target each time.
	It("confirms on a crash shortly after an isolated run, and on the second crash concurrent with cancelled calls", func() {
		g := guardWithSuspect()
		runAlone(g, fp, refT2, quarantine.Unanswered, start)
		g.TargetDied(refT2.Target, "g", at(quarantine.UnansweredTTL-1))
		Expect(actionFor(g, at(quarantine.UnansweredTTL))).To(Equal(quarantine.Refuse))
		g = guardWithSuspect()
		for _, want := range []quarantine.Action{quarantine.Isolate, quarantine.Refuse} {
			cancelled := quarantine.FingerprintOf("g", "k", []byte(want))
			g.End(startCall(g, cancelled, refT2, start), quarantine.Unanswered, start)
			runAlone(g, fp, refT2, quarantine.Lost, start)
			g.TargetDied(refT2.Target, "g", start)
			Expect(actionFor(g, start)).To(Equal(want))
			Expect(g.Decide(cancelled, start).Action).To(Equal(quarantine.Isolate))
		}
	})

	It("needs a canary depending on the setting and on recent crashes", func() {
		g := guardWithSuspect()
		for setting, want := range map[config.Canary]bool{config.CanaryAlways: true, config.CanaryAfterCrash: false, config.CanaryOff: false, "": true} {
			Expect(quarantine.NewGuard(0).NeedCanary("g", setting, start)).To(Equal(want), "%q", setting)
		}
		peer := quarantine.NewGuard(0)
		records, _ := g.Export(0, 10, start)
		peer.Merge(records, start)
		for _, g := range []*quarantine.Guard{g, peer} {
			Expect(g.NeedCanary("g", config.CanaryAfterCrash, at(quarantine.CanaryTTL-1))).To(BeTrue())
			Expect(g.NeedCanary("g", config.CanaryAfterCrash, at(quarantine.CanaryTTL))).To(BeFalse())
			Expect(g.NeedCanary("g", config.CanaryOff, start)).To(BeFalse())
		}
	})

	// Guards against memory that grows with the number of crashes, and against eviction of confirmed fingerprints first.
	It("bounds the number of records and evicts confirmed ones last", func() {
		g := quarantine.NewGuard(16)
		peer, _ := guardWithConfirmed().Export(0, 10, start)
		g.Merge(peer, start)
		for i := range 100 {
			startCall(g, quarantine.FingerprintOf("g", "k", fmt.Append(nil, i)), refT1, at(time.Second))
			g.TargetDied(refT1.Target, "g", at(time.Second))
		}
		records, _ := g.Export(0, 1000, at(time.Second))
		Expect(len(records)).To(BeNumerically("<=", 16))
		Expect(actionFor(g, at(time.Second))).To(Equal(quarantine.Refuse))
	})
})

var _ = Describe("gossip", func() {
	// Guards against a clear by an isolated run that began before another node confirmed the fingerprint.
	It("never lets a clear override a newer confirmation", func() {
		clearing := guardWithSuspect()
		records, _ := clearing.Export(0, 10, start)
		l, err := clearing.Reserve(fp, refT2, start)
		Expect(err).NotTo(HaveOccurred())
		run, err := clearing.StartIsolated(l, start)
		Expect(err).NotTo(HaveOccurred())
		confirming := quarantine.NewGuard(0)
		confirming.Merge(records, start)
		runAlone(confirming, fp, refT2, quarantine.Lost, at(time.Second))
		confirming.TargetDied(refT2.Target, "g", at(time.Second))
		confirmation, _ := confirming.Export(0, 10, at(time.Second))
		clearing.End(run, quarantine.Answered, at(2*time.Second))
		cleared, _ := clearing.Export(0, 10, at(2*time.Second))
		clearing.Merge(confirmation, at(2*time.Second))
		confirming.Merge(cleared, at(2*time.Second))
		Expect(actionFor(clearing, at(2*time.Second))).To(Equal(quarantine.Refuse))
		Expect(actionFor(confirming, at(2*time.Second))).To(Equal(quarantine.Refuse))
	})

	// Guards against a quarantine that each node which forwards the record extends.
	It("ends a quarantine on time although records arrive late", func() {
		g, peer := guardWithConfirmed(), quarantine.NewGuard(0)
		delayed, _ := g.Export(0, 10, start)
		direct, _ := g.Export(0, 10, at(time.Minute))
		peer.Merge(delayed, at(time.Minute))
		peer.Merge(direct, at(time.Minute))
		peer.Merge(delayed, at(time.Minute))
		Expect(actionFor(peer, at(quarantine.ConfirmTTL-1))).To(Equal(quarantine.Refuse))
		Expect(actionFor(peer, at(quarantine.ConfirmTTL))).To(Equal(quarantine.Isolate))
		Expect(actionFor(peer, at(quarantine.ConfirmTTL+quarantine.SuspectTTL))).To(Equal(quarantine.Allow))
	})

	// Guards against nodes that disagree after they merged the same records in a different order, and against records
	// that are forwarded without end.
	It("merges to the same state in any order and any number of times", func() {
		rng := rand.New(rand.NewPCG(7, 8))
		for round := range 300 {
			now := start
			var exported []quarantine.Record
			sources := []*quarantine.Guard{quarantine.NewGuard(0), quarantine.NewGuard(0), quarantine.NewGuard(0)}
			for range 30 {
				now = now.Add(time.Duration(rng.IntN(30_000)) * time.Millisecond)
				g := sources[rng.IntN(len(sources))]
				p := quarantine.TargetRef{Group: "g", Service: fmt.Sprint(rng.IntN(2)), Target: "t"}
				if _, err := g.Start(fp, p, now); err == nil && rng.IntN(3) > 0 {
					g.TargetDied("t", "g", now)
				} else if l, err := g.Reserve(fp, p, now); err == nil {
					c, _ := g.StartIsolated(l, now)
					if rng.IntN(3) == 0 {
						g.TargetDied("t", "g", now)
					}
					g.End(c, quarantine.Answered, now)
					g.Release(l)
				}
				records, _ := g.Export(0, 10, now)
				sources[rng.IntN(len(sources))].Merge(records, now)
			}
			for _, g := range sources {
				records, _ := g.Export(0, 10, now)
				exported = append(exported, records...)
			}
			var want map[string]quarantine.Record
			for range 3 {
				g := quarantine.NewGuard(0)
				rng.Shuffle(len(exported), func(i, j int) { exported[i], exported[j] = exported[j], exported[i] })
				g.Merge(append(exported, exported[:rng.IntN(len(exported)+1)]...), now)
				merged, next := g.Export(0, 10, now)
				got := map[string]quarantine.Record{}
				for _, m := range merged {
					got[m.Service] = m
				}
				if want == nil {
					want = got
				}
				Expect(got).To(Equal(want), "round %d", round)
				g.Merge(exported, now)
				reexported, _ := g.Export(next, 10, now)
				Expect(reexported).To(BeEmpty(), "a known record is exported again in round %d", round)
			}
		}
	})
})
