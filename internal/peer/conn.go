package peer

import (
	"net"
	"time"
)

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
