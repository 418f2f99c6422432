package configservice

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Defaults of the client.
const (
	// DefaultReadsPerSecond keeps the two readers in each of 18 failure domains far below the platform's limit of
	// 2,000 reads a second.
	DefaultReadsPerSecond = 10
	DefaultBurst          = 20
	DefaultTimeout        = 2 * time.Second
	// maxResponseBytes is enough for the largest value in base64 with its envelope, and for the list of all instances at
	// the planned size.
	maxResponseBytes = 8 << 20
	// watchMargin is the time by which the response to a watch may exceed the wait of the watch.
	watchMargin = 2 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the IP address and port of the platform.
	Address string
	// ReadsPerSecond and Burst limit the reads of this node, waiting watches included.
	ReadsPerSecond float64
	Burst          int
	// Timeout bounds one read, and each dial, since net/http continues a dial after its read has timed out. A watch is
	// bounded by its wait plus watchMargin instead.
	Timeout time.Duration
	// Dial opens a TCP connection; nil uses net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics receives the metrics of the client; nil means a set of the client's own.
	Metrics *metrics.Set
}

// Validate checks the settings and fills in defaults.
func (c *Config) Validate() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return eris.Wrapf(err, "platform: address %q", c.Address)
	}
	if c.ReadsPerSecond < 0 || c.Burst < 0 || c.Timeout < 0 {
		return eris.New("platform: reads per second, burst and timeout must not be negative")
	}
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
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

// Client implements Source over HTTP. A read above the client's own limit fails at once, so that a caller that retries in a
// loop cannot consume the share of other nodes. mu guards limiter.
type Client struct {
	cfg      Config
	http     *http.Client
	reads    *metrics.Counter
	failures *metrics.Counter

	mu      sync.Mutex
	limiter *tokenBucket
}

var _ Source = (*Client)(nil)

// NewClient returns a client, which connects on the first read.
func NewClient(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
		defer cancel()
		return cfg.Dial(ctx, address)
	}
	return &Client{
		cfg:      cfg,
		http:     &http.Client{Transport: transport},
		reads:    cfg.Metrics.GetOrCreateCounter("medlarshunt_platform_reads_total"),
		failures: cfg.Metrics.GetOrCreateCounter("medlarshunt_platform_read_failures_total"),
		limiter:  newTokenBucket(cfg.ReadsPerSecond, cfg.Burst, time.Now()),
	}, nil
}

// Get implements Source.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	b, err := c.read(ctx, key, PathValues+escapeKey(key), nil, c.cfg.Timeout)
	if err != nil {
		return Value{}, err
	}
	return c.decode(key, b)
}

// Watch implements Source.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{
		ParamAfter:     {strconv.FormatUint(after, 10)},
		ParamTimeoutMS: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	b, err := c.read(ctx, key, PathWatch+escapeKey(key), query, wait+watchMargin)
	if err != nil {
		return Value{}, err
	}
	v, err := c.decode(key, b)
	if err == nil && v.Revision <= after {
		// A stale platform can return an older revision than the caller has seen.
		return Value{}, &Error{Kind: ErrorNoChange, Key: key}
	}
	return v, err
}

// Instances implements Source.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	b, err := c.read(ctx, "", PathInstances, nil, c.cfg.Timeout)
	if err != nil {
		return InstanceList{}, err
	}
	var l InstanceList
	if err := json.Unmarshal(b, &l); err != nil {
		return InstanceList{}, c.countFailure(&Error{Kind: ErrorMalformed, Err: err})
	}
	return l, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) read(ctx context.Context, key, path string, query url.Values, timeout time.Duration) ([]byte, error) {
	c.mu.Lock()
	retryAfter := c.limiter.take(time.Now())
	c.mu.Unlock()
	if retryAfter > 0 {
		return nil, c.countFailure(&Error{Kind: ErrorLimited, Key: key, RetryAfter: retryAfter})
	}
	c.reads.Inc()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := "http://" + c.cfg.Address + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, c.countFailure(&Error{Kind: ErrorMalformed, Key: key, Err: err})
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections() // they may be as dead as the one of this request
		return nil, c.countFailure(transportError(key, err))
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, c.countFailure(transportError(key, err))
	}
	if e := statusError(key, resp.StatusCode, len(b)); e != nil {
		return nil, c.countFailure(e)
	}
	return b, nil
}

func (c *Client) countFailure(e *Error) *Error {
	if e.Kind != ErrorNoChange {
		c.failures.Inc()
	}
	return e
}

func (c *Client) decode(key string, b []byte) (Value, error) {
	v, err := decodeValue(key, b)
	if err != nil {
		return Value{}, c.countFailure(err)
	}
	return v, nil
}

func decodeValue(key string, b []byte) (Value, *Error) {
	var v Value
	if err := json.Unmarshal(b, &v); err != nil {
		return Value{}, &Error{Kind: ErrorMalformed, Key: key, Err: err}
	}
	if v.Key != key {
		return Value{}, &Error{Kind: ErrorMalformed, Key: key, Err: eris.Errorf("response is for key %q", v.Key)}
	}
	if len(v.Data) > config.MaxValueBytes {
		return Value{}, &Error{Kind: ErrorTooLarge, Key: key}
	}
	return v, nil
}

func transportError(key string, err error) *Error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &Error{Kind: ErrorTimeout, Key: key, Err: err}
	}
	return &Error{Kind: ErrorUnavailable, Key: key, Err: err}
}

func statusError(key string, status, size int) *Error {
	switch {
	case status == http.StatusNoContent:
		return &Error{Kind: ErrorNoChange, Key: key}
	case status == http.StatusNotFound:
		return &Error{Kind: ErrorNotFound, Key: key}
	case status == http.StatusTooManyRequests:
		return &Error{Kind: ErrorRefused, Key: key}
	case status != http.StatusOK:
		return &Error{Kind: ErrorUnavailable, Key: key, Err: eris.Errorf("status %d", status)}
	case size > maxResponseBytes:
		return &Error{Kind: ErrorTooLarge, Key: key}
	}
	return nil
}

// escapeKey escapes a key for use in a path. It keeps the slashes, which are part of the path.
func escapeKey(key string) string { return (&url.URL{Path: key}).EscapedPath() }
