// Package entry serves the caller API: it authenticates and validates requests, pins a snapshot, sends the search to a
// relay as a leg and answers with the coverage that the results prove. A leg is the execution of one search in one relay.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/peer"
	"github.com/medlarshunt/medlarshunt/internal/telemetry"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

// Relay is a relay that may run the legs of a group.
type Relay struct {
	NodeID  string
	Address string
	Self    bool // the relay is this process
}

// Directory looks up live nodes.
type Directory interface {
	// Relays lists the relays that may run legs of the group in order of preference: the home relay of this failure
	// domain, its spare, then relays of other failure domains.
	Relays(group string) []Relay
	// Node returns the peer address and the incarnation of a live node.
	Node(id string) (address, incarnation string, ok bool)
}

// LocalRelay runs legs and commands in this process.
type LocalRelay interface {
	RunLeg(ctx context.Context, req peer.LegRequest) peer.LegResult
	RunCommand(ctx context.Context, req peer.CommandRequest, onlyLocal bool) api.CommandResult
}

// Peers calls other nodes. Errors are *peer.Error.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any, opts ...peer.CallOption) error
}

// Config holds the settings of an Entry.
type Config struct {
	NodeID      string
	Incarnation string
}

// Deps holds the dependencies of an Entry. Local is nil on a node without the relay role.
type Deps struct {
	Topology  *topology.Holder
	Directory Directory
	Local     LocalRelay
	Peers     Peers
	Issuer    *ticket.Issuer
	Tickets   *ticket.Table
	Ready     func() bool
	// AnswersTickets reports whether the node answers commands that carry a ticket. A draining node still does.
	AnswersTickets func() bool
	Log            *logrus.Entry
	Tracing        *telemetry.Tracing
	Metrics        *metrics.Set
	Panics         *panics.Handler // nil contains no panics
}

// Entry serves the caller API. It is safe for concurrent use.
type Entry struct {
	cfg      Config
	deps     Deps
	metrics  *entryMetrics
	inFlight atomic.Int64
}

// New returns an Entry. Its metrics are registered in deps.Metrics.
func New(cfg Config, deps Deps) *Entry {
	return &Entry{cfg: cfg, deps: deps, metrics: newEntryMetrics(deps.Metrics)}
}

// InFlight returns the number of requests that have not been answered yet.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// WaitIdle waits until all requests have been answered or ctx ends.
func (e *Entry) WaitIdle(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for e.inFlight.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
