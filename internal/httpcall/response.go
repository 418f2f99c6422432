package httpcall

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes and maxHeadLines bound the status line and the header lines of one response. The lines are bounded too,
	// because a parsed header takes many times the bytes of a short line.
	maxHeadBytes = 32 << 10
	maxHeadLines = 128
	// maxTrailerBytes and maxTrailerLines bound the trailer of a chunked body.
	maxTrailerBytes = 4 << 10
	maxTrailerLines = 32
	// initialBodyBytes is allocated for a body before its bytes arrive; the buffer then grows with what was received, not
	// with the length that the target claims.
	initialBodyBytes = 1 << 10
)

var (
	errHeadTooLarge    = eris.New("response head is larger than the limit")
	errTrailerTooLarge = eris.New("response trailer is larger than the limit")
	errBodyTooLarge    = eris.New("response body is larger than the limit")
	errNoStatus        = eris.New("response has a status that is none")
	errTruncatedHead   = eris.New("response head ends within a line")
)

// headReaders holds readers for heads that have been received in full.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readHead reads and parses the head of a response. The body of the result is nil: readBody reads it from the connection.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	head, err := readLines(c.reader, maxHeadBytes, maxHeadLines, errHeadTooLarge)
	if err != nil {
		return nil, err
	}
	r := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(r)
	r.Reset(bytes.NewReader(head))
	resp, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	resp.Body = nil
	if !isStatus(resp.StatusCode) {
		return nil, errNoStatus
	}
	return resp, nil
}

// isStatus reports whether a number is a status of a response that may come on a connection of this package, interim or final. 101
// would hand the connection over to another protocol, for which no request asks.
func isStatus(code int) bool {
	return code >= 100 && code <= 599 && code != http.StatusSwitchingProtocols
}

// readLines reads lines up to and including the first empty one.
func readLines(r *bufio.Reader, maxBytes, maxLines int, tooLarge error) ([]byte, error) {
	var all []byte
	lineStart := 0
	for lines := 0; lines <= maxLines; {
		part, err := r.ReadSlice('\n')
		if len(all)+len(part) > maxBytes {
			return nil, tooLarge
		}
		all = append(all, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(all) > lineStart:
			return nil, errTruncatedHead
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(all[lineStart:], "\r\n")) == 0 {
			return all, nil
		}
		lineStart = len(all)
		lines++
	}
	return nil, tooLarge
}

// readBody reads the whole body. A body without a length ends with the connection: an orderly close completes it, a
// reset does not.
func (c *conn) readBody(resp *http.Response, call *Call) ([]byte, error) {
	limit := call.MaxResponseBytes
	if limit <= 0 {
		limit = maxResponseBytes
	}
	switch {
	case call.NoResponseBody, !allowsBody(resp.StatusCode), resp.ContentLength == 0:
		return nil, nil
	case resp.ContentLength > limit:
		return nil, errBodyTooLarge
	case resp.ContentLength > 0:
		return readBounded(c.reader, resp.ContentLength, limit, call.Reserve)
	case slices.Contains(resp.TransferEncoding, "chunked"):
		body, err := readBounded(httputil.NewChunkedReader(c.reader), unknownLength, limit, call.Reserve)
		if err != nil {
			return nil, err
		}
		_, err = readLines(c.reader, maxTrailerBytes, maxTrailerLines, errTrailerTooLarge)
		return body, err
	default:
		return readBounded(c.reader, unknownLength, limit, call.Reserve)
	}
}

// allowsBody reports whether a response with the status may have a body.
func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// unknownLength stands for the length of a body that ends with its last chunk or with the connection.
const unknownLength = -1

// readBounded reads length bytes, or until the end of r if the length is unknown. It fails beyond limit bytes and when reserve,
// which may be nil, refuses more memory.
func readBounded(r io.Reader, length, limit int64, reserve func(int) error) ([]byte, error) {
	largest := length
	if length == unknownLength {
		largest = limit
	}
	var body []byte
	for int64(len(body)) < largest {
		if len(body) == cap(body) {
			grown := min(max(initialBodyBytes, 2*int64(cap(body))), largest)
			if reserve != nil {
				if err := reserve(int(grown) - cap(body)); err != nil {
					return nil, err
				}
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && length == unknownLength:
			return body, nil
		case errors.Is(err, io.EOF) && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	if length != unknownLength {
		return body, nil
	}
	return body, expectEnd(r)
}

// expectEnd fails unless r is at its end.
func expectEnd(r io.Reader) error {
	var next [1]byte
	for {
		n, err := r.Read(next[:])
		switch {
		case n > 0:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
