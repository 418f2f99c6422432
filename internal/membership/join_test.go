package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// randomRecord returns a random record of one node. Content depends on generation, incarnation and revision only, as one
// writer produces it.
func randomRecord(rng *rand.Rand) Record {
	r := Record{ID: "n", Generation: rng.Uint64N(3), Rev: rng.Uint64N(3), Counter: rng.Uint64N(4), Domain: "a"}
	r.Incarnation = fmt.Sprint("run", rng.IntN(2))
	r.Address = fmt.Sprint(r.Generation, r.Incarnation, r.Rev)
	r.Held.Config = config.Version{Epoch: rng.Uint64N(2), Number: rng.Uint64N(3)}
	r.Held.Catalogue = config.Version{Epoch: rng.Uint64N(2), Number: rng.Uint64N(3)}
	r.Down = Down{Counter: rng.Uint64N(3), SinceMS: rng.Int64N(3)}
	return r
}

// checkSemilattice checks that merge is commutative, idempotent and associative on the values that draw returns.
func checkSemilattice[T any](t *testing.T, draw func(*rand.Rand) T, merge func(a, b T) T) {
	rng := rand.New(rand.NewPCG(3, 9))
	for range 20_000 {
		a, b, c := draw(rng), draw(rng), draw(rng)
		if !reflect.DeepEqual(merge(a, b), merge(b, a)) {
			t.Fatalf("not commutative: %+v %+v", a, b)
		}
		if !reflect.DeepEqual(merge(a, a), a) {
			t.Fatalf("not idempotent: %+v", a)
		}
		if !reflect.DeepEqual(merge(merge(a, b), c), merge(a, merge(b, c))) {
			t.Fatalf("not associative: %+v %+v %+v", a, b, c)
		}
	}
}

// Guards against views that stay different because nodes received the same changes in another order.
func TestJoinsAreSemilattices(t *testing.T) {
	t.Run("records", func(t *testing.T) { checkSemilattice(t, randomRecord, joinRecords) })
	t.Run("marks", func(t *testing.T) {
		checkSemilattice(t, func(rng *rand.Rand) LeavingMark {
			return LeavingMark{Source: LeavingSource(fmt.Sprint(rng.IntN(3))), ExpiresMS: rng.Int64N(3)}
		}, joinMarks)
	})
	t.Run("quarantine", func(t *testing.T) {
		checkSemilattice(t, func(rng *rand.Rand) QuarantineEntry {
			return QuarantineEntry{Revision: rng.Uint64N(3), ExpiresMS: rng.Int64N(3),
				Payload: json.RawMessage(fmt.Sprint(rng.IntN(3)))}
		}, joinEntries)
	})
}

// Guards against a view that depends on the order or the repetition of messages.
func TestViewsMergeInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var messages []Message
		for range 30 {
			r := randomRecord(rng)
			r.ID, r.Counter = fmt.Sprint("n", rng.IntN(4)), 1+r.Counter
			r.Down = Down{}
			messages = append(messages, Message{From: "peer", Records: []Record{r},
				Marks: []LeavingMark{{Target: fmt.Sprint(rng.IntN(4)), Incarnation: "i", ExpiresMS: 1e9 + rng.Int64N(9)}}})
		}
		state := func() string {
			v := NewView(Record{ID: "self", Incarnation: "x", Domain: "a"}, ClockReading{})
			for _, i := range rng.Perm(2 * len(messages)) {
				v.Apply(messages[i%len(messages)])
			}
			var records []Record // without statuses, which depend on when a heartbeat was heard
			for _, m := range v.Members("a") {
				if m.ID != "self" {
					records = append(records, m.Record)
				}
			}
			return fmt.Sprint(records, v.Marks(), v.Known(), v.changes.checksum)
		}
		g.Expect(state()).To(Equal(state()))
	}
}
