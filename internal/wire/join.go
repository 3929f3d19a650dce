package wire

import (
	"encoding/binary"
	"net"
)

// These constants describe the frame header of yamux, the stream multiplexer:
// one byte each for version and type, two bytes of flags, four of the stream
// ID, four of the length.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
	// maxCoalescedBytes is the size of the largest body that is copied behind its
	// header.
	maxCoalescedBytes = 64 << 10
)

// coalescingConn writes a frame header together with its body. yamux writes
// them in two calls from one goroutine. Combined, a message costs one system
// call and one packet.
type coalescingConn struct {
	net.Conn
	// pendingHeader is a header that is held until the next write, which is its
	// body.
	pendingHeader []byte
	buf           []byte
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 {
		if isHeaderWithBody(p) {
			c.pendingHeader = append(c.pendingHeader, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	if len(p) > maxCoalescedBytes {
		if _, err := c.Conn.Write(c.pendingHeader); err != nil {
			return 0, err
		}
		c.pendingHeader = c.pendingHeader[:0]
		return c.Conn.Write(p)
	}
	c.buf = append(append(c.buf[:0], c.pendingHeader...), p...)
	header := len(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	n, err := c.Conn.Write(c.buf)
	return max(0, n-header), err
}

// isHeaderWithBody reports whether a write is the header of a data frame with a
// body.
func isHeaderWithBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
