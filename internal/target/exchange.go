package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// Causes of failed calls.
var (
	ErrClosed           = eris.New("client is closed")
	ErrUnresponsive     = eris.New("connection does not answer its probe")
	ErrTooLittleTime    = eris.New("too little time left to send")
	ErrResponseTooLarge = eris.New("response is longer than the limit")
	ErrEchoMismatch     = eris.New("response belongs to another call")
	errSealed           = eris.New("request was given up before it was written")
)

// exchange is one request with its response.
type exchange struct {
	method, path   string
	timeout        time.Duration
	idempotencyKey string
	// echo must be repeated by the response; nil when the responses of the path have no echo.
	echo *Echo
	// body builds the request body from the remaining time; nil means no body.
	body func(remaining time.Duration) ([]byte, error)
	// decode decodes a 200 response and returns its echo.
	decode func([]byte) (Echo, error)
}

func (c *Client) exchange(ctx context.Context, x *exchange) error {
	if x.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.timeout)
		defer cancel()
	}
	err := c.do(ctx, x)
	c.metrics.countResult(err)
	if err == nil {
		return nil
	}
	return err
}

// do runs the exchange on one connection. Its result must be compared with nil before it is returned as an error: an error
// that holds a nil *Error is not nil.
func (c *Client) do(ctx context.Context, x *exchange) *Error {
	conn, err := c.pool.acquire(ctx)
	if err != nil {
		return notSentError(err)
	}
	defer c.pool.release(conn)
	req, tracked, err := c.request(ctx, x)
	if err != nil {
		return notSentError(err)
	}
	resp, err := conn.http.RoundTrip(req)
	if err != nil {
		if tracked.seal() {
			return notSentError(err)
		}
		return lostResponseError(conn, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return lostResponseError(conn, err)
	}
	if int64(len(b)) > c.cfg.MaxResponseBytes {
		return unknownOutcomeError(FailureMalformed, ErrResponseTooLarge)
	}
	return interpret(resp.StatusCode, b, x)
}

// request builds the HTTP request. It runs after a connection was acquired, so that the body states the time that remains
// then.
func (c *Client) request(ctx context.Context, x *exchange) (*http.Request, *trackedBody, error) {
	deadline, bounded := ctx.Deadline()
	var remaining time.Duration
	if bounded {
		if remaining = time.Until(deadline); remaining < api.MinAttemptBudget {
			return nil, nil, ErrTooLittleTime
		}
	}
	// Without a body it cannot be proven that nothing was written, so the request counts as written.
	tracked := &trackedBody{deadline: deadline, wallDeadline: deadline.Round(0), readStarted: x.body == nil}
	var body io.ReadCloser
	if x.body != nil {
		b, err := x.body(remaining)
		if err != nil {
			return nil, nil, eris.Wrap(err, "encode request")
		}
		tracked.unread = bytes.NewReader(b)
		body = tracked
	}
	req, err := http.NewRequestWithContext(ctx, x.method, "http://"+c.cfg.Address+x.path, body)
	if err != nil {
		return nil, nil, eris.Wrap(err, "build request")
	}
	if body != nil {
		req.ContentLength = int64(tracked.unread.Len())
		req.Header.Set("Content-Type", "application/json")
	}
	if x.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", x.idempotencyKey)
	}
	return req, tracked, nil
}

// trackedBody is a request body that records whether the HTTP layer read any of it. All that a target needs to run a
// request is in the body, so a request whose body was never read did not run. httptrace cannot prove that: RoundTrip
// returns on cancellation while another goroutine may still be about to write. mu guards all fields.
type trackedBody struct {
	mu     sync.Mutex
	unread *bytes.Reader
	// deadline is on the monotonic clock and wallDeadline on the wall clock, because the monotonic clock stops while the
	// machine is suspended.
	deadline     time.Time
	wallDeadline time.Time
	readStarted  bool
	sealed       bool
}

// Read implements io.Reader. The first read checks the deadline on both clocks, because a pause of this process since the
// last check must not cause an expired command to run.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted && !b.sealed && !b.deadline.IsZero() {
		now := time.Now()
		b.sealed = !now.Before(b.deadline) || !now.Round(0).Before(b.wallDeadline)
	}
	if b.sealed {
		return 0, errSealed
	}
	b.readStarted = true
	return b.unread.Read(p)
}

// Close implements io.Closer.
func (b *trackedBody) Close() error { return nil }

// seal reports whether no byte of the body was read, and if so ensures that none will be.
func (b *trackedBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted {
		b.sealed = true
	}
	return b.sealed
}

func notSentError(err error) *Error {
	return &Error{Kind: FailureNotSent, Outcome: api.OutcomeNotRun, Err: err}
}

func unknownOutcomeError(kind FailureKind, err error) *Error {
	return &Error{Kind: kind, Outcome: api.OutcomeUnknown, Err: err}
}

// lostResponseError classifies an exchange that ended without a complete response after the HTTP layer began to read the
// body.
func lostResponseError(conn *connection, err error) *Error {
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return unknownOutcomeError(FailureTimeout, err)
	case conn.http.Err() != nil:
		return unknownOutcomeError(FailureConnectionLost, err)
	default: // the target reset the stream or truncated the body
		return unknownOutcomeError(FailureMalformed, err)
	}
}
