package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/balance"
	"github.com/medlarshunt/medlarshunt/internal/hedge"
	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/target"
	"github.com/medlarshunt/medlarshunt/internal/targetqueue"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
)

// objectKind is a kind of object of which a node holds many. create returns n of them.
type objectKind struct {
	name   string
	create func(n int) any
}

var objectKinds = []objectKind{
	{"memory: estimators", func(n int) any {
		return makeList(n, func(int) *hedge.Estimator { return hedge.NewEstimator() })
	}},
	{"memory: pickers of 3 targets", func(n int) any { return makeList(n, newPicker) }},
	{"memory: target queues", func(n int) any {
		return makeList(n, func(int) *targetqueue.Gate { return targetqueue.NewGate(2, time.Now) })
	}},
	{"memory: target clients without connection", func(n int) any { return makeList(n, idleClient) }},
	{"memory: finished commands (tickets)", newTicketTable},
	{"memory: quarantine records", newQuarantineGuard},
}

func makeList[T any](n int, newItem func(int) T) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = newItem(i)
	}
	return out
}

func newPicker(i int) *balance.Picker {
	p := balance.NewPicker(balance.Config{})
	p.Update([]balance.Target{
		{ID: fmt.Sprint("a", i), Domain: "north", Slots: 2}, {ID: fmt.Sprint("b", i), Domain: "east", Slots: 2},
		{ID: fmt.Sprint("c", i), Domain: "south", Slots: 2},
	}, time.Now())
	return p
}

func idleClient(i int) *target.Client {
	c, err := target.NewClient(target.Config{Address: "127.0.0.1:1", ID: fmt.Sprint("target-", i), MaxConnections: 1})
	if err != nil {
		return nil // cannot occur: the configuration is valid for every i
	}
	return c
}

func newTicketTable(n int) any {
	now := time.Now()
	t := ticket.NewTable(ticket.NewClock(now), ticket.Limits{Records: n + 1, ResponseBytes: 1 << 30})
	for i := range n {
		id := ticket.Ticket{NodeID: "node", ID: uuid.New(), Expires: ticket.Validity}
		body := ticket.HashCommand(api.Command{Group: "records", Key: uint64(i)})
		t.Begin(id, body, now)
		t.Finish(id, api.CommandResult{RequestID: fmt.Sprint("request-", i), Outcome: api.OutcomeRan, Response: json.RawMessage(`{"done":true}`)}, now)
	}
	return t
}

func newQuarantineGuard(n int) any {
	now := time.Now()
	g := quarantine.NewGuard(n + 1)
	records := make([]quarantine.Record, n)
	for i := range records {
		fp := quarantine.FingerprintOf("records", "", []byte(fmt.Sprint(i)))
		data := `{"suspected":1,"left_ms":600000}`
		_ = json.Unmarshal([]byte(data), &records[i]) // cannot fail: data is a constant
		records[i].Fingerprint, records[i].Group, records[i].Service = fp, "records", "records-00"
	}
	g.Merge(records, now)
	return g
}

func measureMemory(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("objects")
	err := o.forEachSize(ctx, o.sizes(100, 500, 1000, 2000), func(size int) error {
		for _, k := range objectKinds {
			t.add(size, k.name, "KB", retainedBytes(func() any { return k.create(size) }, nil)/1e3)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := o.forEachSize(ctx, o.sizes(10, 50, 100, 200), func(size int) error { return measureConnections(ctx, t, size) }); err != nil {
		return nil, err
	}
	parts := newTable("parts in flight")
	err = o.forEachSize(ctx, o.sizes(50, 100, 250, 500), func(size int) error { return measureLegInFlight(ctx, parts, size) })
	return append(t.result(), parts.result()...), err
}

// measureConnections records the memory of open connections to one stand-in target, counting both ends.
func measureConnections(ctx context.Context, t *table, size int) error {
	s, err := startStandIn()
	if err != nil {
		return err
	}
	defer s.Close()
	var lastErr error
	bytes := retainedBytes(func() []*target.Client {
		return makeList(size, func(int) *target.Client {
			c, err := target.NewClient(target.Config{Address: s.Address(), ID: "measured", MaxConnections: 1})
			if err != nil {
				lastErr = err
				return nil
			}
			if err := callTarget(ctx, c, 1, 1); err != nil {
				lastErr = err
			}
			return c
		})
	}, func(clients []*target.Client) {
		for _, c := range clients {
			_ = c.Close(ctx) // returns at once, because the clients are idle
		}
	})
	t.add(size, "memory: clients with a connection, both ends", "KB", bytes/1e3)
	return lastErr
}

// measureLegInFlight records the memory of a leg whose targets have not answered yet.
func measureLegInFlight(ctx context.Context, t *table, size int) error {
	const legs = 4
	release := make(chan struct{})
	r, assignments, err := newRelay(ctx, size, defaultReplicas, release)
	if err != nil {
		return err
	}
	defer r.Close(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	bytes := retainedBytes(func() int {
		for i := range legs {
			wg.Go(func() {
				if res := r.RunLeg(ctx, legRequest(assignments, i)); res.Refusal != nil {
					mu.Lock()
					defer mu.Unlock()
					refused++
				}
			})
		}
		time.Sleep(200 * time.Millisecond) // until all calls are in flight
		return legs
	}, nil)
	close(release)
	wg.Wait()
	if refused > 0 {
		return eris.Errorf("%d legs were refused", refused)
	}
	t.add(size, "memory: one leg in flight", "KB", bytes/legs/1e3)
	return nil
}
