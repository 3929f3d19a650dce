package wire

import (
	"net"
	"time"
)

// closingConn runs a function before the connection closes.
//
// A yamux session that closes wakes the reads of its streams, then closes its
// connection and waits for its receive loop, and only then marks the streams as
// closed. In between, a blocked read finds nothing to read and no reason to
// return: it polls in a loop and takes the processor from the receive loop that
// it waits for. On a host with one core, each session that ends costs many
// milliseconds.
type closingConn struct {
	net.Conn
	beforeClose func()
}

// Close implements net.Conn.
func (c *closingConn) Close() error {
	c.beforeClose()
	return c.Conn.Close()
}

// expireReads makes blocked reads of the lanes return. Bytes that have arrived
// can still be read.
func (s *Session) expireReads() {
	if !s.established.Load() {
		return // the handshake has deadlines of its own
	}
	for _, l := range s.lanes {
		_ = l.conn.SetReadDeadline(time.Unix(1, 0)) // fails only for a closed stream
	}
}
