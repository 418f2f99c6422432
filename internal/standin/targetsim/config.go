// Package targetsim is a stand-in for a target, for tests and development. It serves the target protocol with slots, a
// queue, a connection limit and deterministic documents, and it injects faults on demand.
package targetsim

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Defaults of a stand-in target.
const (
	DefaultDocuments = 10_000
	DefaultQueue     = 16
	// maxRequestBytes bounds the body of one request.
	maxRequestBytes = 4 << 20
)

// Config describes one stand-in target.
type Config struct {
	ID      string
	Service string
	// Address is the listen address. Port 0 selects a free port, which a restart keeps.
	Address string
	// ControlAddress is the listen address of the control endpoint; empty means none. The endpoint has its own
	// listener because a frozen or crashed target does not answer on Address.
	ControlAddress string
	// Slots is the number of requests that run concurrently; Queue is the number of further requests that may wait.
	Slots int
	Queue int
	// ConnectionLimit is the maximum number of open connections; further ones are closed at once. 0 means no limit.
	ConnectionLimit int
	// MaxStreams is the maximum number of concurrent HTTP/2 streams per connection; 0 means the default of net/http.
	MaxStreams int
	// ConnectCost is the time that it takes to accept one connection; connections are accepted one after another.
	ConnectCost time.Duration
	ServiceTime ServiceTime
	// NetworkDelay is the one-way delay added to each request and to each response.
	NetworkDelay time.Duration
	// DrainGrace is how long a draining target still runs new requests, while its draining flag is set.
	DrainGrace time.Duration
	// Documents is the number of documents in the whole key space, over all services of the group.
	Documents int
	Indexes   []Index
	Maps      map[uint64][]api.KeyRange // held key ranges, by partition map version
	// Listen opens the listener of the target; nil means TCP. Tests in virtual time use in-memory listeners.
	Listen func(address string) (net.Listener, error)
	// OnCrash replaces the default reaction to a crash, which closes the listener and resets all connections.
	OnCrash func()
}

// Index is an index version that the target holds, and the version of the partition map that it was built with.
type Index struct {
	Version uint64 `json:"version"`
	Map     uint64 `json:"map"`
}

// Validate checks the settings and fills in defaults.
func (c *Config) Validate() error {
	if c.Service == "" {
		return eris.New("targetsim: service is required")
	}
	if c.Slots <= 0 {
		return eris.New("targetsim: slots must be above 0")
	}
	if c.Queue < 0 || c.ConnectionLimit < 0 || c.ConnectCost < 0 || c.Documents < 0 {
		return eris.New("targetsim: queue, connection limit, connect cost and documents must not be negative")
	}
	for _, ix := range c.Indexes {
		if _, ok := c.Maps[ix.Map]; !ok {
			return eris.Errorf("targetsim: index version %d names map version %d, which has no key ranges", ix.Version, ix.Map)
		}
	}
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Listen == nil {
		c.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if c.ID == "" {
		c.ID = c.Service + "-0"
	}
	if c.Documents == 0 {
		c.Documents = DefaultDocuments
	}
	return nil
}
