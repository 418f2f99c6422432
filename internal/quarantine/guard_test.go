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
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fp    = quarantine.FingerprintOf("g", "k", []byte("poison"))
	other = quarantine.FingerprintOf("g", "k", []byte("innocent"))
	place = quarantine.Place{Group: "g", Service: "s", Target: "t1"}
	spare = quarantine.Place{Group: "g", Service: "s", Target: "t2"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func begin(g *quarantine.Guard, f quarantine.Fingerprint, p quarantine.Place, now time.Time) *quarantine.Call {
	c, err := g.Start(f, p, now)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

func observe(g *quarantine.Guard, kind quarantine.EvidenceKind, incarnation string, now time.Time) {
	g.Observe(place.Target, quarantine.Evidence{Kind: kind, Group: "g", Incarnation: incarnation}, now)
}

// runAlone reserves p for f and ends the isolated run with result.
func runAlone(g *quarantine.Guard, f quarantine.Fingerprint, p quarantine.Place, result quarantine.Result, now time.Time) {
	l, err := g.Reserve(f, p, now)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	c, err := g.StartAlone(l, now)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	g.End(c, result, now)
}

// suspected returns a guard for which fp crashed place's target once.
func suspected() *quarantine.Guard {
	g := quarantine.NewGuard(0)
	begin(g, fp, place, start)
	g.TargetDied(place.Target, "g", start)
	return g
}

// confirmed returns a guard for which fp crashed a target while alone.
func confirmed() *quarantine.Guard {
	g := suspected()
	runAlone(g, fp, spare, quarantine.Lost, start)
	g.TargetDied(spare.Target, "g", start)
	return g
}

// kind is the kind of error that the guard answered with.
func kind[T any](_ T, err error) quarantine.ErrorKind {
	refusal := &quarantine.Error{}
	errors.As(err, &refusal)
	return refusal.Kind
}

func action(g *quarantine.Guard, now time.Time) quarantine.Action { return g.Decide(fp, now).Action }

// step is one event of an evidence table; call ends the call in flight, otherwise it is an observation.
type step struct {
	call        quarantine.Result
	kind        quarantine.EvidenceKind
	incarnation string
}

func ends(r quarantine.Result) step { return step{call: r} }
func sees(k quarantine.EvidenceKind, incarnation string) step {
	return step{kind: k, incarnation: incarnation}
}

// Guards against suspects without a crash, and against a crash without suspects.
var _ = DescribeTable("evidence",
	func(now, later quarantine.Action, steps ...step) {
		g := quarantine.NewGuard(0)
		observe(g, quarantine.Responded, "i1", start)
		c := begin(g, fp, place, start)
		for _, s := range steps {
			if s.call != "" {
				g.End(c, s.call, start)
			} else {
				observe(g, s.kind, s.incarnation, start)
			}
		}
		Expect(action(g, start)).To(Equal(now))
		Expect(action(g, at(quarantine.EvidenceTTL))).To(Equal(later), "when only evidence of a crash counts")
	},
	Entry("one lost connection: alone until there is evidence", quarantine.Isolate, quarantine.Allow,
		ends(quarantine.Lost), sees(quarantine.ConnectionLost, "")),
	Entry("same incarnation on a new connection", quarantine.Allow, quarantine.Allow,
		ends(quarantine.Lost), sees(quarantine.ConnectionLost, ""), sees(quarantine.Reconnected, "i1")),
	Entry("same incarnation on an old connection proves nothing", quarantine.Isolate, quarantine.Isolate,
		ends(quarantine.Lost), sees(quarantine.ConnectionLost, ""), sees(quarantine.Responded, "i1"), sees(quarantine.RedialRefused, "")),
	Entry("new incarnation", quarantine.Isolate, quarantine.Isolate,
		ends(quarantine.Lost), sees(quarantine.ConnectionLost, ""), sees(quarantine.Reconnected, "i2")),
	Entry("re-dial refused", quarantine.Isolate, quarantine.Isolate,
		ends(quarantine.Lost), sees(quarantine.ConnectionLost, ""), sees(quarantine.RedialRefused, "")),
	Entry("several connections, call ends later", quarantine.Isolate, quarantine.Isolate,
		sees(quarantine.ConnectionLost, ""), sees(quarantine.ConnectionLost, ""), ends(quarantine.Lost)),
	Entry("several connections, but the same incarnation", quarantine.Allow, quarantine.Allow,
		sees(quarantine.ConnectionLost, ""), sees(quarantine.ConnectionLost, ""), ends(quarantine.Lost), sees(quarantine.Reconnected, "i1")),
	Entry("draining, told first", quarantine.Allow, quarantine.Allow, sees(quarantine.Draining, ""),
		sees(quarantine.ConnectionLost, ""), sees(quarantine.ConnectionLost, ""), ends(quarantine.Lost), sees(quarantine.RedialRefused, "")),
	Entry("draining, told last", quarantine.Allow, quarantine.Allow,
		ends(quarantine.Lost), sees(quarantine.ConnectionLost, ""), sees(quarantine.Draining, "")),
	Entry("cancelled by this node", quarantine.Allow, quarantine.Allow, ends(quarantine.Unanswered)),
	Entry("cancelled shortly before the crash", quarantine.Isolate, quarantine.Isolate,
		ends(quarantine.Unanswered), sees(quarantine.ConnectionLost, ""), sees(quarantine.RedialRefused, "")),
	Entry("answered before the crash", quarantine.Allow, quarantine.Allow,
		ends(quarantine.Answered), sees(quarantine.ConnectionLost, ""), sees(quarantine.RedialRefused, "")),
)

var _ = Describe("Guard", func() {
	// Guards against a poison request that its caller sends again, and against a quarantine without end.
	It("refuses a confirmed fingerprint, then runs it alone, then forgets it", func() {
		g := confirmed()
		Expect(g.Decide(fp, start).RetryAfter).To(Equal(quarantine.ConfirmTTL))
		Expect(kind(g.Start(fp, spare, start))).To(Equal(quarantine.KindRefused))
		Expect(kind(g.Reserve(fp, spare, start))).To(Equal(quarantine.KindRefused))
		Expect(action(g, at(quarantine.ConfirmTTL-1))).To(Equal(quarantine.Refuse))
		Expect(action(g, at(quarantine.ConfirmTTL))).To(Equal(quarantine.Isolate))
		Expect(action(g, at(quarantine.ConfirmTTL+quarantine.SuspectTTL))).To(Equal(quarantine.Allow))
		Expect(action(suspected(), at(quarantine.SuspectTTL))).To(Equal(quarantine.Allow))
	})

	// Guards against a clear by a service that the request does not crash, which would start the damage again.
	It("clears a suspect only by a success alone on the service that crashed", func() {
		g := suspected()
		for _, result := range []quarantine.Result{quarantine.Failed, quarantine.NotSent} {
			runAlone(g, fp, spare, result, start)
			Expect(action(g, start)).To(Equal(quarantine.Isolate), "%s", result)
		}
		runAlone(g, fp, quarantine.Place{Group: "g", Service: "s2", Target: "u1"}, quarantine.Answered, start)
		Expect(g.Decide(fp, start)).To(Equal(quarantine.Verdict{Action: quarantine.Isolate, Services: []string{"s"}}))
		Expect(kind(g.Start(fp, spare, start))).To(Equal(quarantine.KindSuspect))
		runAlone(g, fp, spare, quarantine.Answered, start)
		Expect(action(g, start)).To(Equal(quarantine.Allow))
		begin(g, fp, place, start)
		g.TargetDied(place.Target, "g", start)
		Expect(action(g, start)).To(Equal(quarantine.Isolate), "a crash in the millisecond of the clear")
	})

	// Guards against an isolated run beside other calls, and against reservations that block a service.
	It("reserves a target until its run has ended", func() {
		g := suspected()
		busy := begin(g, other, spare, start)
		l, err := g.Reserve(fp, spare, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(kind(g.StartAlone(l, start))).To(Equal(quarantine.KindNotReady))
		Expect(kind(g.Start(other, spare, start))).To(Equal(quarantine.KindReserved))
		Expect(kind(g.Reserve(fp, place, start))).To(Equal(quarantine.KindLeased))
		Expect(kind(g.Reserve(other, place, start))).To(Equal(quarantine.KindServiceBusy))
		Expect(l.Ready()).NotTo(BeClosed())
		g.End(busy, quarantine.Answered, start)
		Expect(l.Ready()).To(BeClosed())
		c, err := g.StartAlone(l, start)
		Expect(err).NotTo(HaveOccurred())
		g.Release(l)
		Expect(g.Reserved(spare.Target, at(time.Hour))).To(BeTrue(), "Release must not end a run")
		g.End(c, quarantine.Unanswered, start)
		Expect(g.Reserved(spare.Target, at(quarantine.LingerTTL-1))).To(BeTrue())
		Expect(g.Reserved(spare.Target, at(quarantine.LingerTTL))).To(BeFalse())
		_, err = g.Reserve(fp, spare, at(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Reserved(spare.Target, at(time.Second+quarantine.LeaseWaitTTL))).To(BeFalse(), "never started")
	})

	// Guards against an isolated run beside a cancelled call, whose crash would confirm nothing and cost another target.
	It("tells how long cancelled calls of other requests may still run", func() {
		g := suspected()
		g.End(begin(g, other, spare, start), quarantine.Unanswered, start)
		Expect(g.Lingers(spare.Target, fp, start)).To(Equal(quarantine.LingerTTL))
		Expect(g.Lingers(spare.Target, other, start)).To(BeZero(), "its own call")
		Expect(g.Lingers(spare.Target, fp, at(quarantine.LingerTTL))).To(BeZero())
		Expect(g.Lingers("unknown", fp, start)).To(BeZero())
	})

	// Guards against a crash after the deadline of an isolated run, or beside a cancelled call, that confirms nothing.
	It("confirms a crash shortly after an isolated run, and the second beside cancelled calls", func() {
		g := suspected()
		runAlone(g, fp, spare, quarantine.Unanswered, start)
		g.TargetDied(spare.Target, "g", at(quarantine.LingerTTL-1))
		Expect(action(g, at(quarantine.LingerTTL))).To(Equal(quarantine.Refuse))
		g = suspected()
		for _, want := range []quarantine.Action{quarantine.Isolate, quarantine.Refuse} {
			innocent := quarantine.FingerprintOf("g", "k", []byte(want))
			g.End(begin(g, innocent, spare, start), quarantine.Unanswered, start)
			runAlone(g, fp, spare, quarantine.Lost, start)
			g.TargetDied(spare.Target, "g", start)
			Expect(action(g, start)).To(Equal(want))
			Expect(g.Decide(innocent, start).Action).To(Equal(quarantine.Isolate))
		}
	})

	It("needs a canary by setting and after a crash", func() {
		g := suspected()
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

	// Guards against memory that grows with the number of crashes, and against room made by forgetting the worst.
	It("keeps a bounded number of records, confirmed ones longest", func() {
		g := quarantine.NewGuard(16)
		peer, _ := confirmed().Export(0, 10, start)
		g.Merge(peer, start)
		for i := range 100 {
			begin(g, quarantine.FingerprintOf("g", "k", fmt.Append(nil, i)), place, at(time.Second))
			g.TargetDied(place.Target, "g", at(time.Second))
		}
		records, _ := g.Export(0, 1000, at(time.Second))
		Expect(len(records)).To(BeNumerically("<=", 16))
		Expect(action(g, at(time.Second))).To(Equal(quarantine.Refuse))
	})
})

var _ = Describe("gossip", func() {
	// Guards against a success that began before a confirmation on another node and clears it.
	It("never lets a clear override a newer confirmation", func() {
		clears := suspected()
		records, _ := clears.Export(0, 10, start)
		l, err := clears.Reserve(fp, spare, start)
		Expect(err).NotTo(HaveOccurred())
		run, err := clears.StartAlone(l, start)
		Expect(err).NotTo(HaveOccurred())
		confirms := quarantine.NewGuard(0)
		confirms.Merge(records, start)
		runAlone(confirms, fp, spare, quarantine.Lost, at(time.Second))
		confirms.TargetDied(spare.Target, "g", at(time.Second))
		confirmation, _ := confirms.Export(0, 10, at(time.Second))
		clears.End(run, quarantine.Answered, at(2*time.Second))
		cleared, _ := clears.Export(0, 10, at(2*time.Second))
		clears.Merge(confirmation, at(2*time.Second))
		confirms.Merge(cleared, at(2*time.Second))
		Expect(action(clears, at(2*time.Second))).To(Equal(quarantine.Refuse))
		Expect(action(confirms, at(2*time.Second))).To(Equal(quarantine.Refuse))
	})

	// Guards against a quarantine that grows with each node that passes it on.
	It("ends a quarantine at its time although news travels slowly", func() {
		g, peer := confirmed(), quarantine.NewGuard(0)
		slow, _ := g.Export(0, 10, start)
		direct, _ := g.Export(0, 10, at(time.Minute))
		peer.Merge(slow, at(time.Minute))
		peer.Merge(direct, at(time.Minute))
		peer.Merge(slow, at(time.Minute))
		Expect(action(peer, at(quarantine.ConfirmTTL-1))).To(Equal(quarantine.Refuse))
		Expect(action(peer, at(quarantine.ConfirmTTL))).To(Equal(quarantine.Isolate))
		Expect(action(peer, at(quarantine.ConfirmTTL+quarantine.SuspectTTL))).To(Equal(quarantine.Allow))
	})

	// Guards against nodes that disagree after they have heard the same news in another order, and against news
	// that is passed on for ever.
	It("merges to the same state in any order and however often", func() {
		r := rand.New(rand.NewPCG(7, 8))
		for round := range 300 {
			now := start
			var news []quarantine.Record
			sources := []*quarantine.Guard{quarantine.NewGuard(0), quarantine.NewGuard(0), quarantine.NewGuard(0)}
			for range 30 {
				now = now.Add(time.Duration(r.IntN(30_000)) * time.Millisecond)
				g := sources[r.IntN(len(sources))]
				p := quarantine.Place{Group: "g", Service: fmt.Sprint(r.IntN(2)), Target: "t"}
				if _, err := g.Start(fp, p, now); err == nil && r.IntN(3) > 0 {
					g.TargetDied("t", "g", now)
				} else if l, err := g.Reserve(fp, p, now); err == nil {
					c, _ := g.StartAlone(l, now)
					if r.IntN(3) == 0 {
						g.TargetDied("t", "g", now)
					}
					g.End(c, quarantine.Answered, now)
					g.Release(l)
				}
				records, _ := g.Export(0, 10, now)
				sources[r.IntN(len(sources))].Merge(records, now)
			}
			for _, g := range sources {
				records, _ := g.Export(0, 10, now)
				news = append(news, records...)
			}
			var want map[string]quarantine.Record
			for range 3 {
				g := quarantine.NewGuard(0)
				r.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
				g.Merge(append(news, news[:r.IntN(len(news)+1)]...), now)
				merged, next := g.Export(0, 10, now)
				got := map[string]quarantine.Record{}
				for _, m := range merged {
					got[m.Service] = m
				}
				if want == nil {
					want = got
				}
				Expect(got).To(Equal(want), "round %d", round)
				g.Merge(news, now)
				again, _ := g.Export(next, 10, now)
				Expect(again).To(BeEmpty(), "known news is passed on in round %d", round)
			}
		}
	})
})
