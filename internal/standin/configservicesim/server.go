package configservicesim

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
)

// DefaultReadsPerSecond is the default read limit of the platform over all readers.
const DefaultReadsPerSecond = 2_000

// MaxWatchWait is the maximum time that one watch waits.
const MaxWatchWait = 60 * time.Second

// Config describes a stand-in platform.
type Config struct {
	// Address is the listen address. Port 0 selects a free port.
	Address string
	// ControlAddress is the listen address of the control endpoint; empty means none. It differs from Address, so that
	// the platform stays read-only for its readers, and so that the fault Down can be removed.
	ControlAddress string
	// ReadsPerSecond is the read limit over all readers; 0 means DefaultReadsPerSecond.
	ReadsPerSecond int
	// Listen opens the listeners; nil means TCP.
	Listen func(address string) (net.Listener, error)
}

// Faults are the injected faults of the platform. The zero value is a healthy platform.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool `json:"down,omitempty"`
	// Stale keeps serving the state that was published when the fault was set.
	Stale bool `json:"stale,omitempty"`
	// RepeatOld answers each watch at once with the current value, even when it is not newer.
	RepeatOld bool `json:"repeat_old,omitempty"`
	// SlowMS delays each answer.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LimitExceeded answers each call as if the read limit were exceeded.
	LimitExceeded bool `json:"limit_exceeded,omitempty"`
}

// Counts are the numbers of calls by kind. A watch counts once, however long it waits. Limited counts calls over the read
// limit, which are also counted by their kind; Dropped counts calls during the fault Down, which are not.
type Counts struct {
	Gets      int64 `json:"gets"`
	Watches   int64 `json:"watches"`
	Instances int64 `json:"instances"`
	Limited   int64 `json:"limited"`
	Dropped   int64 `json:"dropped"`
	// PeakPerSecond is the maximum number of calls in one second of the wall clock.
	PeakPerSecond int64 `json:"peak_per_second"`
}

// Calls returns the number of calls that count against the read limit.
func (c Counts) Calls() int64 { return c.Gets + c.Watches + c.Instances }

// Server is one stand-in platform. mu guards the fields below it.
type Server struct {
	cfg   Config
	store *store

	mu             sync.Mutex
	faults         Faults
	counts         Counts
	currentSecond  int64 // Unix time of the second that callsInSecond counts
	callsInSecond  int64
	servers        []*http.Server
	address        string
	controlAddress string
}

// New returns a stand-in platform that does not listen yet.
func New(cfg Config) *Server {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.Listen == nil {
		cfg.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return &Server{cfg: cfg, store: newStore()}
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	address, err := s.serve(s.cfg.Address, s.handler())
	if err != nil {
		return err
	}
	control := ""
	if s.cfg.ControlAddress != "" {
		if control, err = s.serve(s.cfg.ControlAddress, s.controlHandler()); err != nil {
			s.Close()
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.controlAddress = address, control
	return nil
}

func (s *Server) serve(address string, h http.Handler) (string, error) {
	ln, err := s.cfg.Listen(address)
	if err != nil {
		return "", eris.Wrapf(err, "platformsim: listen on %s", address)
	}
	srv := &http.Server{Handler: h}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Close stops the platform and ends waiting watches.
func (s *Server) Close() {
	s.mu.Lock()
	servers := s.servers
	s.servers = nil
	s.mu.Unlock()
	for _, srv := range servers {
		_ = srv.Close()
	}
}

// Address returns the address for readers.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the address of the control endpoint, or empty.
func (s *Server) ControlAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlAddress
}

// Publish stores a value under the next revision and wakes its watches.
func (s *Server) Publish(key string, data []byte) (configservice.Value, error) {
	if len(data) > config.MaxValueBytes {
		return configservice.Value{}, eris.Errorf("platformsim: value %s has %d bytes, limit %d", key, len(data), config.MaxValueBytes)
	}
	return s.store.publish(key, data), nil
}

// PutInstance adds an instance to the list, or replaces the entry with the same id, kind and incarnation.
func (s *Server) PutInstance(instance configservice.Instance) { s.store.put(instance) }

// Mark changes the state of the entries with that id and reports whether the list has one.
func (s *Server) Mark(id string, state configservice.InstanceState) bool {
	return s.store.mark(id, state)
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.store.setStale(f.Stale)
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// countCall counts one call and reports whether it is within the read limit.
func (s *Server) countCall(counter *int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if now.Unix() != s.currentSecond {
		s.currentSecond, s.callsInSecond = now.Unix(), 0
	}
	s.callsInSecond++
	s.counts.PeakPerSecond = max(s.counts.PeakPerSecond, s.callsInSecond)
	if s.faults.LimitExceeded || s.callsInSecond > int64(s.cfg.ReadsPerSecond) {
		s.counts.Limited++
		return false
	}
	return true
}
