package wire

import (
	"encoding/binary"
	"net"
)

// Layout of a frame's header in the multiplexer's protocol: version, type, two
// bytes of flags, four of the stream, four of the length.
const (
	muxHeaderBytes  = 12
	muxTypeAt       = 1
	muxLengthAt     = 8
	muxTypeData     = 0
	muxJoinMaxBytes = 64 << 10
)

// joiningConn writes the header of a frame together with its body. The
// multiplexer writes them apart, from one goroutine; joined, a message costs
// one system call and one packet.
type joiningConn struct {
	net.Conn
	// held is a header whose body comes with the next write.
	held []byte
	buf  []byte
}

// Write implements net.Conn.
func (c *joiningConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 {
		if announcesBody(p) {
			c.held = append(c.held, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	if len(p) > muxJoinMaxBytes {
		if _, err := c.Conn.Write(c.held); err != nil {
			return 0, err
		}
		c.held = c.held[:0]
		return c.Conn.Write(p)
	}
	c.buf = append(append(c.buf[:0], c.held...), p...)
	header := len(c.held)
	c.held = c.held[:0]
	n, err := c.Conn.Write(c.buf)
	return max(0, n-header), err
}

// announcesBody tells whether a write is the header of a frame with a body.
func announcesBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeAt] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthAt:]) > 0
}
