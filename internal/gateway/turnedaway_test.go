package gateway_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/published"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// turnedAwaySource is a store that does not answer one node while it serves the others.
type turnedAwaySource struct {
	*changingSource
	silent atomic.Bool
}

func (s *turnedAwaySource) List(ctx context.Context) (published.Listing, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return published.Listing{}, ctx.Err()
	}
	return s.changingSource.List(ctx)
}

func (s *turnedAwaySource) Watch(ctx context.Context, after uint64, wait time.Duration) ([]published.Update, uint64, error) {
	if !s.silent.Load() {
		updates, asOf, err := s.changingSource.Watch(ctx, after, wait)
		if !s.silent.Load() {
			return updates, asOf, err
		}
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against nodes that the store turns away and that learn nothing although other nodes of their failure domain are served.
func TestNodesThatTheStoreTurnsAwayLearnFromOthers(t *testing.T) {
	for turnedAway := 1; turnedAway < 4; turnedAway++ {
		t.Run(fmt.Sprint(turnedAway, " of 4"), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network, store := netsim.NewInMemory(2*time.Millisecond, time.Millisecond, 5), newChangingSource()
				var seeds []string
				var sources []*turnedAwaySource
				versions := map[string]func() int{}
				for i := range 4 {
					source := &turnedAwaySource{changingSource: store}
					sources = append(sources, source)
					name := fmt.Sprint("node-", i)
					address, version := startSilenceable(t, g, network, name, source, seeds)
					versions[name] = version
					seeds = append(seeds, address)
				}
				time.Sleep(20 * time.Second)
				for _, s := range sources[:turnedAway] {
					s.silent.Store(true)
				}
				for next := uint64(2); next < 6; next++ {
					time.Sleep(3 * time.Second)
					store.publish(next)
					time.Sleep(applyTimeout)
					for name, version := range versions {
						g.Expect(version()).To(BeEquivalentTo(next), name)
					}
				}
			})
		})
	}
}
