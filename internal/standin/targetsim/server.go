package targetsim

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

// Server is one stand-in target. It outlives simulated crashes and restarts, which keep the address and the counts and
// change the incarnation. mu guards the fields below it.
type Server struct {
	cfg    Config
	counts *counter
	gate   *gate
	slots  *slots

	mu          sync.Mutex
	faults      Faults
	incarnation string
	drainSince  time.Time
	indexes     []Index
	maps        map[uint64][]api.KeyRange
	previous    []byte // last response body, for Faults.SwappedResponses
	listener    *listener
	http        *http.Server
	control     *http.Server
	controlAddr string
	address     string
}

// New returns a stand-in target that does not listen yet.
func New(cfg Config) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	maps := make(map[uint64][]api.KeyRange, len(cfg.Maps))
	for v, r := range cfg.Maps {
		maps[v] = slices.Clone(r)
	}
	return &Server{cfg: cfg, counts: newCounter(), gate: newGate(), slots: newSlots(cfg.Slots, cfg.Queue),
		indexes: slices.Clone(cfg.Indexes), maps: maps, address: cfg.Address}, nil
}

// Start listens on the configured address and serves until Close, Shutdown or a crash.
func (s *Server) Start() error {
	if err := s.startControl(); err != nil {
		return err
	}
	return s.listen()
}

// Restart serves again after a crash, on the same address with a new incarnation. It also ends a drain.
func (s *Server) Restart() error {
	s.stopServing()
	return s.listen()
}

func (s *Server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := s.cfg.Listen(s.address)
	if err != nil {
		return eris.Wrapf(err, "targetsim: listen on %s", s.address)
	}
	s.address = raw.Addr().String()
	s.incarnation = uuid.NewString()
	s.drainSince = time.Time{}
	s.listener = newListener(raw, s.cfg, s.gate, s.counts)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: s.handler(), Protocols: &protocols,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: s.cfg.MaxStreams}}
	go func(h *http.Server, l net.Listener) { _ = h.Serve(l) }(s.http, s.listener)
	return nil
}

func (s *Server) stopServing() {
	s.mu.Lock()
	ln, h := s.listener, s.http
	s.listener, s.http = nil, nil
	s.mu.Unlock()
	if ln == nil {
		return
	}
	_ = ln.Close()
	ln.resetAll()
	_ = h.Close()
}

// Close stops the target and its control endpoint.
func (s *Server) Close() {
	s.stopServing()
	s.mu.Lock()
	control := s.control
	s.control = nil
	s.mu.Unlock()
	if control != nil {
		_ = control.Close()
	}
}

// Shutdown stops the target gracefully: it refuses new work and lets running requests finish until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	var err error
	if h != nil {
		err = h.Shutdown(ctx)
	}
	s.Close()
	return eris.Wrap(err, "targetsim: shutdown")
}

// Crash simulates the death of the process: it closes the listener and resets all connections. Config.OnCrash replaces
// this.
func (s *Server) Crash() {
	s.counts.update(func(c *Counts) { c.Crashes++ })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
		return
	}
	s.stopServing()
}

func (s *Server) dropConnections() {
	s.mu.Lock()
	ln := s.listener
	s.mu.Unlock()
	if ln != nil {
		ln.resetAll()
	}
}

// Address returns the listen address of the target, also while it is down.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the address of the control endpoint, or empty.
func (s *Server) ControlAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlAddr
}

// Incarnation returns the id of the current incarnation.
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.gate.setFrozen(f.Freeze)
}

// Drain starts a drain: the target reports that it is draining, and refuses new requests after Config.DrainGrace.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainSince.IsZero() {
		s.drainSince = time.Now()
	}
}

// Undrain ends a drain.
func (s *Server) Undrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainSince = time.Time{}
}

// HoldIndex adds an index version, with the key ranges that the target holds in its map version.
func (s *Server) HoldIndex(ix Index, ranges []api.KeyRange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maps[ix.Map] = slices.Clone(ranges)
	s.indexes = append(slices.DeleteFunc(s.indexes, func(o Index) bool { return o.Version == ix.Version }), ix)
}

// RetireIndex removes an index version; requests for it are refused from then on.
func (s *Server) RetireIndex(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.indexes = slices.DeleteFunc(s.indexes, func(ix Index) bool { return ix.Version == version })
}

// Counts returns the counters and the number of connections that are open now.
func (s *Server) Counts() Counts {
	c := s.counts.snapshot()
	s.mu.Lock()
	ln := s.listener
	s.mu.Unlock()
	if ln != nil {
		c.ConnectionsOpen = ln.openCount()
	}
	return c
}

// Runs returns how many times the target has started to run a request.
func (s *Server) Runs(requestID string) int { return s.counts.runs(requestID) }

// load returns the true load of the target, which Faults.Load can replace in responses.
func (s *Server) load() target.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := target.Load{InFlight: s.slots.inFlight(), Queued: s.slots.queued(), Draining: !s.drainSince.IsZero(),
		Incarnation: s.incarnation}
	for _, ix := range s.indexes {
		l.IndexVersions = append(l.IndexVersions, ix.Version)
	}
	slices.Sort(l.IndexVersions)
	return l
}

// drainDuration returns the time since the drain started, at least 1 ns, or 0 without a drain.
func (s *Server) drainDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainSince.IsZero() {
		return 0
	}
	return max(time.Since(s.drainSince), 1)
}

// heldRanges returns the key ranges that the target holds in a snapshot, and whether it holds the snapshot at all.
func (s *Server) heldRanges(snap api.Snapshot) ([]api.KeyRange, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.indexes, Index{Version: snap.IndexVersion, Map: snap.MapVersion}) {
		return nil, false
	}
	return s.maps[snap.MapVersion], true
}
