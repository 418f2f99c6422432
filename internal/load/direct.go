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

// bareCalls is the number of calls by which the stand-in's own latency is measured.
const bareCalls = 300

// Bare is the latency of a stand-in target that is called directly, one call after another, without the tier.
type Bare struct{ P50, P99 time.Duration }

// measureBare calls the first target of the first group directly.
func measureBare(ctx context.Context, d config.Document, c config.Catalogue, network *netsim.Network) (Bare, error) {
	g := d.Groups[0]
	client, err := target.NewClient(target.Config{
		ID: "bare", Group: g.Name, Address: g.Services[0].Targets[0].Address, MaxConnections: 1, Dial: network.Dial,
	})
	if err != nil {
		return Bare{}, eris.Wrap(err, "client of the stand-in")
	}
	defer client.Close(ctx)
	pinned := newest(c, g.Name)
	took := make([]time.Duration, 0, bareCalls)
	for i := range bareCalls {
		start := time.Now()
		_, err := client.Search(ctx, target.SearchCall{
			RequestID: fmt.Sprintf("bare-%d", i), AttemptID: "1", Service: g.Services[0].Name, Snapshot: pinned, Limit: 10,
			Query: []byte(`"bare"`), Timeout: time.Minute,
		})
		if err != nil {
			return Bare{}, eris.Wrap(err, "call the stand-in")
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	return Bare{P50: took[bareCalls/2], P99: took[bareCalls*99/100]}, nil
}

// newest is the newest snapshot in the catalogue of a group.
func newest(c config.Catalogue, group string) api.Snapshot {
	for _, g := range c.Groups {
		if g.Group == group && len(g.Versions) > 0 {
			v := g.Versions[len(g.Versions)-1]
			return api.Snapshot{IndexVersion: v.Index, MapVersion: v.Map}
		}
	}
	return api.Snapshot{}
}
