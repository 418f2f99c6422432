package entry

import (
	"context"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// SearchForExplain runs a search for the administration API. The search counts as in flight, so that shutdown waits for it,
// but not in the metrics of the caller API.
func (e *Entry) SearchForExplain(ctx context.Context, s api.Search, g *config.Group, budget time.Duration) (api.Answer, *api.Error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if !e.deps.Ready() {
		return api.Answer{}, api.NewRefusal(api.CodeNotReady, "", "this node takes no new work; use another one").WithRetryAfter(time.Second)
	}
	return e.Search(ctx, s, g, budget)
}
