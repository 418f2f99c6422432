package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/creachadair/jrpc2/channel"
	"github.com/rotisserie/eris"
)

const (
	// maxMessageBytes bounds one message between nodes. The largest is the published state: about 250 bytes for each of
	// 11,000 targets, and a configuration of at most 1 MB.
	maxMessageBytes = 8 << 20
	// readBufferBytes holds a heartbeat, so that one read is enough.
	readBufferBytes = 4 << 10
)

var errMessageTooLarge = eris.New("message of a peer is larger than the limit")

// lineChannel sends and receives one JSON value per line: encoding/json never writes a raw line feed inside a value. Received
// lines are bounded. A message that is too large ends the connection. It implements channel.Channel.
type lineChannel struct {
	reader *bufio.Reader
	conn   io.WriteCloser
}

func newLineChannel(r io.Reader, conn io.WriteCloser) channel.Channel {
	return &lineChannel{reader: bufio.NewReaderSize(r, readBufferBytes), conn: conn}
}

// Send implements channel.Channel.
func (c *lineChannel) Send(message []byte) error {
	line := make([]byte, 0, len(message)+1)
	_, err := c.conn.Write(append(append(line, message...), '\n'))
	return err
}

// Recv implements channel.Channel.
func (c *lineChannel) Recv() ([]byte, error) {
	var line []byte
	for {
		part, err := c.reader.ReadSlice('\n')
		if len(line)+len(part) > maxMessageBytes {
			return nil, errMessageTooLarge
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
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
