package ticket_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
	"unsafe"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
)

var (
	hash      = ticket.HashCommand(api.Command{Body: []byte("one")})
	otherHash = ticket.HashCommand(api.Command{Body: []byte("two")})
)

func newTicket(id byte, issued time.Duration) ticket.Ticket {
	return ticket.Ticket{NodeID: "n1", Incarnation: incarnation, ID: uuid.UUID{id}, Expires: issued + ticket.Validity}
}

func ranWith(text string) api.CommandResult {
	return api.CommandResult{Outcome: api.OutcomeRan, Response: []byte(text)}
}

// stepWallClock returns t as time.Now would return it after a step of the wall clock by d: only the wall part of t
// changes. In a time.Time with a monotonic reading that part has 1 flag bit, 33 bits of seconds and 30 bits of
// nanoseconds.
func stepWallClock(t time.Time, d time.Duration) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall = uint64(int64(*wall) + int64(d/time.Second)<<30)
	return t
}

var _ = Describe("Table", func() {
	var table *ticket.Table
	at := func(d time.Duration) time.Time { return start.Add(d) }
	BeforeEach(func() { table = ticket.NewTable(ticket.NewClock(start), ticket.Limits{Records: 3, ResponseBytes: 100}) })

	It("returns Run once, then Wait until the command has finished, then Recorded", func() {
		t := newTicket(1, 0)
		first := table.Begin(t, hash, at(0))
		Expect(first.Action).To(Equal(ticket.Run))
		second := table.Begin(t, hash, at(time.Second))
		Expect(second.Action).To(Equal(ticket.Wait))
		Expect(second.Entry.Done()).NotTo(BeClosed())
		Expect(table.Begin(t, otherHash, at(time.Second)).Action).To(Equal(ticket.Reused))
		Expect(table.Finish(t, ranWith("x"), at(2*time.Second))).To(BeTrue())
		Expect(table.Finish(t, ranWith("y"), at(2*time.Second))).To(BeFalse(), "the first outcome is kept")
		Expect(second.Entry.Done()).To(BeClosed())
		Expect(second.Entry.Result()).To(Equal(ranWith("x")))
		// The record takes precedence over expiry until the retention has passed.
		Expect(table.Begin(t, hash, at(ticket.Validity+ticket.Retention-1)).Action).To(Equal(ticket.Recorded))
		Expect(table.Begin(t, otherHash, at(ticket.Validity+ticket.Retention-1)).Action).To(Equal(ticket.Reused))
	})

	// Guards against OutcomeNotRun for a command that ran but whose record was removed (R4).
	It("returns OutcomeUnknown for an expired ticket whose record may have been removed", func() {
		unused := table.Begin(newTicket(1, 0), hash, at(ticket.Validity))
		Expect(unused.Action).To(Equal(ticket.Expired))
		Expect(unused.Outcome).To(Equal(api.OutcomeNotRun))
		used := newTicket(2, time.Minute)
		Expect(table.Begin(used, hash, at(ticket.Validity)).Action).To(Equal(ticket.Run))
		table.Finish(used, ranWith("x"), at(ticket.Validity))
		late := table.Begin(used, hash, at(time.Minute+ticket.Validity+ticket.Retention))
		Expect(late.Action).To(Equal(ticket.Expired))
		Expect(late.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(table.Len()).To(BeZero())
	})

	// Guards against a second run after the record of a valid ticket was evicted to make room.
	It("refuses new tickets when full, and evicts only records of expired ones", func() {
		for id := range byte(3) {
			Expect(table.Begin(newTicket(id, time.Duration(id)*time.Second), hash, at(2*time.Second)).Action).To(Equal(ticket.Run))
			table.Finish(newTicket(id, 0), ranWith("x"), at(2*time.Second))
		}
		full := table.Begin(newTicket(9, 2*time.Second), hash, at(3*time.Second))
		Expect(full.Action).To(Equal(ticket.Full))
		Expect(full.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(table.Begin(newTicket(9, 2*time.Second), hash, at(ticket.Validity)).Action).To(Equal(ticket.Run))
		Expect(table.Begin(newTicket(0, 0), hash, at(ticket.Validity)).Outcome).To(Equal(api.OutcomeUnknown), "evicted early")
		Expect(table.Begin(newTicket(1, 0), hash, at(ticket.Validity)).Action).To(Equal(ticket.Recorded))
		Expect(table.Len()).To(Equal(3))
	})

	It("refuses new tickets when the recorded responses reach the byte limit", func() {
		table.Begin(newTicket(1, 0), hash, at(0))
		table.Finish(newTicket(1, 0), ranWith(string(make([]byte, 100))), at(0))
		Expect(table.Begin(newTicket(2, 0), hash, at(0)).Action).To(Equal(ticket.Full))
		Expect(table.Begin(newTicket(3, time.Minute), hash, at(time.Minute)).Action).To(Equal(ticket.Run))
	})

	// Guards against removal of a running command's record, after which the same ticket would run again.
	It("never removes a running command", func() {
		table.Begin(newTicket(1, 0), hash, at(0))
		Expect(table.Begin(newTicket(1, 0), hash, at(24*time.Hour)).Action).To(Equal(ticket.Wait))
	})

	// Guards against expiry by the wall clock: a step forward would remove the record, and a step back would then make
	// the ticket valid again without its record.
	It("keeps records and tickets when the wall clock steps", func() {
		now := time.Now()
		Expect(stepWallClock(now, time.Hour).Round(0)).To(BeTemporally("==", now.Round(0).Add(time.Hour)), "stepWallClock")
		table := ticket.NewTable(ticket.NewClock(now), ticket.DefaultLimits)
		t := newTicket(1, 0)
		Expect(table.Begin(t, hash, stepWallClock(now.Add(time.Second), 24*time.Hour)).Action).To(Equal(ticket.Run))
		table.Finish(t, ranWith("x"), stepWallClock(now.Add(2*time.Second), 48*time.Hour))
		Expect(table.Begin(newTicket(2, 0), hash, stepWallClock(now.Add(3*time.Second), 72*time.Hour)).Action).To(Equal(ticket.Run))
		Expect(table.Begin(t, hash, stepWallClock(now.Add(4*time.Second), -72*time.Hour)).Action).To(Equal(ticket.Recorded))
	})

	// Guards against a second run under any interleaving of Begin, Finish and clock steps, with times that have no
	// monotonic reading, and against OutcomeNotRun for a command that ran (R4, R5).
	It("returns Run at most once per ticket", func() {
		rng := rand.New(rand.NewPCG(5, 6))
		for round := range 300 {
			clock := ticket.NewClock(start)
			table := ticket.NewTable(clock, ticket.Limits{Records: 1 + rng.IntN(4), ResponseBytes: 1000})
			now := start
			var tickets []ticket.Ticket
			ran := map[uuid.UUID]bool{}
			var running []ticket.Ticket
			for range 200 {
				now = now.Add(time.Duration(rng.IntN(20_000)) * time.Millisecond)
				if rng.IntN(20) == 0 {
					now = now.Add(time.Duration(rng.IntN(1200)-600) * time.Second)
				}
				if len(tickets) == 0 || rng.IntN(4) == 0 {
					tickets = append(tickets, ticket.Ticket{ID: uuid.UUID{byte(len(tickets)), 1}, Expires: clock.Since(now) + ticket.Validity})
				}
				t := tickets[len(tickets)-1-rng.IntN(min(len(tickets), 8))]
				switch d := table.Begin(t, hash, now); d.Action {
				case ticket.Run:
					Expect(ran[t.ID]).To(BeFalse(), "second run in round %d", round)
					ran[t.ID], running = true, append(running, t)
				case ticket.Full, ticket.Expired:
					Expect(ran[t.ID] && d.Outcome == api.OutcomeNotRun).To(BeFalse(), "%s after a run in round %d", d.Action, round)
				}
				if len(running) > 0 && rng.IntN(2) == 0 {
					Expect(table.Finish(running[0], ranWith("x"), now)).To(BeTrue())
					running = running[1:]
				}
			}
		}
	})

	It("returns Run once and the same result for each when a ticket is presented concurrently", func() {
		t := newTicket(1, 0)
		outcomes := make([]string, 64)
		var wg sync.WaitGroup
		for i := range outcomes {
			wg.Go(func() {
				d := table.Begin(t, hash, at(0))
				if d.Action == ticket.Run {
					table.Finish(t, ranWith(fmt.Sprint(i)), at(0))
				}
				<-d.Entry.Done()
				outcomes[i] = string(d.Entry.Result().Response)
			})
		}
		wg.Wait()
		Expect(outcomes).To(HaveEach(outcomes[0]))
	})
})
