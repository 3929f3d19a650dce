package wire

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// countingConn keeps what is written, a write an entry.
type countingConn struct {
	net.Conn
	writes []string
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

func TestHeaderLeavesWithItsBody(t *testing.T) {
	under := &countingConn{}
	c := &joiningConn{Conn: under}
	data := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	update := []byte{0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 9}
	empty := []byte{0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	for _, p := range [][]byte{data, []byte("abc"), update, empty, data, []byte("def")} {
		n, err := c.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	assert.DeepEqual(t, under.writes, []string{string(data) + "abc", string(update), string(empty), string(data) + "def"})

	large := make([]byte, muxJoinMaxBytes+1)
	_, err := c.Write(data)
	assert.NilError(t, err)
	_, err = c.Write(large)
	assert.NilError(t, err)
	assert.Equal(t, len(under.writes), 6)
}
