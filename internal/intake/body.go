package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBodyTooLarge is returned by ReadBody for a body beyond its limit, ErrTooSlow for one that has not arrived in time.
var (
	ErrBodyTooLarge = eris.New("the body is larger than the limit")
	ErrTooSlow      = eris.New("the body did not arrive in time")
)

// initialBodyBytes is allocated for a body before its bytes arrive; the buffer then grows with what was received, not with the
// length that the client claims.
const initialBodyBytes = 1 << 10

// ReadBody reads the whole body of a request of at most limit bytes until the deadline; a zero deadline sets none. Its memory is
// reserved in account, whose owner closes it when the request has been answered. Other errors than those of this package come
// from the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, account *Account) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, ErrBodyTooLarge
	}
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) { // recorders of tests
		return nil, err
	}
	body, err := readBounded(r.Body, limit, account)
	if err == nil {
		err = account.Complete()
	}
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{}) // an error means that the client has disconnected
		return body, nil
	}
	w.Header().Set("Connection", "close") // the rest of the body would have to be read before the next request
	switch {
	case account.isEvicted():
		return nil, ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrTooSlow
	}
	return nil, err
}

// readBounded reads until the end of r.
func readBounded(r io.Reader, limit int64, account *Account) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := grow(body, limit, account)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		account.Progress()
	}
}

// grow returns the body in a buffer of up to twice its size, or one byte more than the limit, which shows a body that is too large.
func grow(body []byte, limit int64, account *Account) ([]byte, error) {
	size := int(min(max(initialBodyBytes, 2*int64(cap(body))), limit+1))
	if err := account.Reserve(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	account.Return(cap(body))
	return grown, nil
}
