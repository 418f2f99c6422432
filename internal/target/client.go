package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Defaults of the client.
const (
	DefaultMaxResponseBytes = 4 << 20
	DefaultOpenTimeout      = time.Second
	DefaultProbeAfter       = 100 * time.Millisecond
	DefaultProbeTimeout     = 100 * time.Millisecond
	// DefaultDeadAfter is long compared with the pauses of a target, because closing a connection costs the target a new one.
	DefaultDeadAfter = 5 * time.Second
	DefaultRedialMin = 100 * time.Millisecond
	DefaultRedialMax = 5 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the IP address and port of the target.
	Address string
	// ID is the ID of the target in the configuration.
	ID string
	// Group labels the metrics of the client.
	Group string
	// MaxConnections bounds the connections that are open or being opened.
	MaxConnections int
	// MaxResponseBytes bounds a response body; a longer one fails the call with FailureMalformed.
	MaxResponseBytes int64
	// OpenTimeout bounds the time from the start of the dial to the first response of the target.
	OpenTimeout time.Duration
	// A connection with outstanding calls is probed when no bytes were received for ProbeAfter. It is unresponsive when
	// none arrive within ProbeTimeout of the probe, and closed when none arrive within DeadAfter of it.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	DeadAfter    time.Duration
	// RedialMin and RedialMax bound the backoff after a failed open; it doubles with each failure.
	RedialMin time.Duration
	RedialMax time.Duration
	// OpenAfter delays the opening of connections until it is closed; with nil there is no delay.
	OpenAfter <-chan struct{}
	// Dial opens a TCP connection; nil uses net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics receives the metrics of the client; nil means a set of the client's own.
	Metrics *metrics.Set
}

// Validate checks the settings and fills in defaults.
func (c *Config) Validate() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return eris.Wrapf(err, "target: address %q", c.Address)
	}
	if c.MaxConnections <= 0 {
		return eris.Errorf("target: max connections must be above 0, got %d", c.MaxConnections)
	}
	for _, d := range []struct {
		name         string
		value        *time.Duration
		defaultValue time.Duration
	}{
		{"open timeout", &c.OpenTimeout, DefaultOpenTimeout},
		{"probe after", &c.ProbeAfter, DefaultProbeAfter},
		{"probe timeout", &c.ProbeTimeout, DefaultProbeTimeout},
		{"dead after", &c.DeadAfter, DefaultDeadAfter},
		{"redial min", &c.RedialMin, DefaultRedialMin},
		{"redial max", &c.RedialMax, DefaultRedialMax},
	} {
		if *d.value < 0 {
			return eris.Errorf("target: %s must not be negative, got %s", d.name, *d.value)
		}
		if *d.value == 0 {
			*d.value = d.defaultValue
		}
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if c.Dial == nil {
		var d net.Dialer
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return nil
}

// Client implements Caller over HTTP/2 cleartext. It writes a request at most once: no layer below it replays one.
type Client struct {
	cfg     Config
	pool    *pool
	metrics *clientMetrics
}

var _ Caller = (*Client)(nil)

// NewClient returns a client that has no connection yet; the first call opens one.
func NewClient(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := newClientMetrics(cfg.Metrics, cfg.Group)
	return &Client{cfg: cfg, metrics: m, pool: newPool(cfg, m)}, nil
}

// Search implements Caller.
func (c *Client) Search(ctx context.Context, call SearchCall) (SearchReply, error) {
	echo := Echo{RequestID: call.RequestID, AttemptID: call.AttemptID, Service: call.Service}
	var resp SearchResponse
	err := c.exchange(ctx, &exchange{
		method: http.MethodPost, path: PathSearch, timeout: call.Timeout, echo: &echo,
		body: func(remaining time.Duration) ([]byte, error) {
			return json.Marshal(SearchRequest{Echo: echo, IndexVersion: call.Snapshot.IndexVersion,
				MapVersion: call.Snapshot.MapVersion, TimeoutMS: remaining.Milliseconds(), Ranges: call.Ranges,
				Limit: call.Limit, Body: call.Query})
		},
		decode: func(b []byte) (Echo, error) {
			err := decodeSearch(b, &resp)
			return resp.Echo, err
		},
	})
	if err != nil {
		return SearchReply{}, err
	}
	return SearchReply{RequestID: resp.RequestID, AttemptID: resp.AttemptID, Service: resp.Service,
		Snapshot: api.Snapshot{IndexVersion: resp.IndexVersion, MapVersion: resp.MapVersion},
		Ranges:   resp.Ranges, Hits: resp.Hits, Truncated: resp.Truncated, Load: resp.Load}, nil
}

// Command implements Caller.
func (c *Client) Command(ctx context.Context, call CommandCall) (CommandReply, error) {
	echo := Echo{RequestID: call.RequestID, AttemptID: call.AttemptID, Service: call.Service}
	var resp CommandResponse
	err := c.exchange(ctx, &exchange{
		method: http.MethodPost, path: PathCommand, timeout: call.Timeout, echo: &echo,
		// Lets the target detect a duplicate itself.
		idempotencyKey: call.RequestID,
		body: func(remaining time.Duration) ([]byte, error) {
			return json.Marshal(CommandRequest{Echo: echo, Key: call.Key, TimeoutMS: remaining.Milliseconds(), Body: call.Body})
		},
		decode: func(b []byte) (Echo, error) {
			err := decodeCommand(b, &resp)
			return resp.Echo, err
		},
	})
	if err != nil {
		return CommandReply{}, err
	}
	return CommandReply{RequestID: resp.RequestID, AttemptID: resp.AttemptID, Service: resp.Service,
		Response: resp.Response, Load: resp.Load}, nil
}

// Health implements Caller.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var h Health
	err := c.exchange(ctx, &exchange{
		method: http.MethodGet, path: PathHealth,
		decode: func(b []byte) (Echo, error) { return Echo{}, decodeHealth(b, &h) },
	})
	if err != nil {
		return Health{}, err
	}
	return h, nil
}

// Connections implements Caller.
func (c *Client) Connections() int { return c.pool.count() }

// Close implements Caller.
func (c *Client) Close(ctx context.Context) error {
	return c.pool.close(ctx)
}
