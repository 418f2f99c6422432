package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/rotisserie/eris"
)

const (
	// maxMessageBytes bounds one message between nodes. The largest is the published state: about 250 bytes for each of
	// 11,000 targets, and a configuration of at most 1 MB.
	maxMessageBytes = 8 << 20
	// readBufferBytes holds a heartbeat, so that one read is enough.
	readBufferBytes = 4 << 10
)

var (
	errMessageTooLarge = eris.New("message of a peer is larger than the limit")
	errMalformed       = eris.New("message of a peer is not a request")
)

// lineChannel sends and receives one JSON value per line: encoding/json never writes a raw line feed inside a value. Received
// lines are bounded and passed to check. A message that is too large or fails the check ends the connection. It implements
// channel.Channel.
type lineChannel struct {
	reader *bufio.Reader
	conn   io.WriteCloser
	check  func([]byte) error
	memory *incoming // of the messages received; nil sets no bound
}

func newLineChannel(r io.Reader, conn io.WriteCloser, check func([]byte) error) *lineChannel {
	return &lineChannel{reader: bufio.NewReaderSize(r, readBufferBytes), conn: conn, check: check}
}

// acceptAll accepts every message. The results that a client receives are checked when they are decoded.
func acceptAll([]byte) error { return nil }

// checkRequest accepts single requests and notifications that jrpc2 considers well-formed. The jrpc2 server answers any other
// message, also when the connection has ended meanwhile, which panics in a goroutine of its own.
func checkRequest(message []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(message, &fields); err != nil {
		return errMalformed
	}
	for name := range fields {
		if !slices.Contains([]string{"jsonrpc", "id", "method", "params"}, name) {
			return errMalformed
		}
	}
	var version, method string
	if json.Unmarshal(fields["jsonrpc"], &version) != nil || version != jrpc2.Version || json.Unmarshal(fields["method"], &method) != nil || method == "" {
		return errMalformed
	}
	id, hasID := fields["id"]
	if hasID && !isStringOrNumber(id) {
		return errMalformed
	}
	if params, ok := fields["params"]; ok && params[0] != '{' && params[0] != '[' {
		return errMalformed
	}
	return nil
}

// isStringOrNumber reports whether a valid JSON value is a string or a number.
func isStringOrNumber(value json.RawMessage) bool {
	return value[0] == '"' || value[0] == '-' || value[0] >= '0' && value[0] <= '9'
}

// Send implements channel.Channel.
func (c *lineChannel) Send(message []byte) error {
	line := make([]byte, 0, len(message)+1)
	_, err := c.conn.Write(append(append(line, message...), '\n'))
	if c.memory != nil { // a server sends one message for each call that it has handled
		c.memory.release()
	}
	return err
}

// Recv implements channel.Channel.
func (c *lineChannel) Recv() ([]byte, error) {
	if c.memory == nil {
		return c.readLine(func(int) error { return nil })
	}
	if err := c.memory.awaitRoom(); err != nil {
		return nil, err
	}
	line, err := c.readLine(c.memory.grow)
	if err == nil {
		err = c.memory.accept(len(line))
	}
	return line, err
}

// readLine reads a line. grow is called with the size of what has been received, before it is kept.
func (c *lineChannel) readLine(grow func(size int) error) ([]byte, error) {
	var line []byte
	for {
		part, err := c.reader.ReadSlice('\n')
		if len(line)+len(part) > maxMessageBytes {
			return nil, errMessageTooLarge
		}
		if err := grow(len(line) + len(part)); err != nil {
			return nil, err
		}
		line = append(line, part...)
		switch {
		case err == nil:
			line = line[:len(line)-1]
			if err := c.check(line); err != nil {
				return nil, err
			}
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// Close implements channel.Channel.
func (c *lineChannel) Close() error { return c.conn.Close() }

// writeTimeout limits one write. jrpc2 holds its lock while it writes, so a peer that stopped reading would otherwise block
// every call to it once the socket buffers are full.
const writeTimeout = 250 * time.Millisecond

// writeTimeoutConn applies writeTimeout to each write. It closes the connection when a write fails, because a partial message
// breaks the framing.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if err != nil {
		c.Conn.Close()
	}
	return n, err
}
