package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// directCalls is the number of calls that measure the latency of the stand-in itself.
const directCalls = 300

// DirectLatency is the latency of a stand-in target that is called directly and sequentially, without the tier.
type DirectLatency struct{ P50, P99 time.Duration }

// measureDirectLatency calls the first target of the first group directly.
func measureDirectLatency(ctx context.Context, d config.Document, c config.Catalogue, network *netsim.Network) (DirectLatency, error) {
	g := d.Groups[0]
	client, err := target.NewClient(target.Config{
		ID: "bare", Group: g.Name, Address: g.Services[0].Targets[0].Address, MaxConnections: 1, Dial: network.Dial,
	})
	if err != nil {
		return DirectLatency{}, eris.Wrap(err, "create client of the stand-in")
	}
	defer client.Close(ctx)
	snapshot := newestSnapshot(c, g.Name)
	latencies := make([]time.Duration, 0, directCalls)
	for i := range directCalls {
		start := time.Now()
		_, err := client.Search(ctx, target.SearchCall{
			RequestID: fmt.Sprintf("bare-%d", i), AttemptID: "1", Service: g.Services[0].Name, Snapshot: snapshot, Limit: 10,
			Query: []byte(`"bare"`), Timeout: time.Minute,
		})
		if err != nil {
			return DirectLatency{}, eris.Wrap(err, "call the stand-in")
		}
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	return DirectLatency{P50: latencies[directCalls/2], P99: latencies[directCalls*99/100]}, nil
}

// newestSnapshot returns the newest snapshot in the catalogue of a group.
func newestSnapshot(c config.Catalogue, group string) api.Snapshot {
	for _, g := range c.Groups {
		if g.Group == group && len(g.Versions) > 0 {
			v := g.Versions[len(g.Versions)-1]
			return api.Snapshot{IndexVersion: v.Index, MapVersion: v.Map}
		}
	}
	return api.Snapshot{}
}
