package wire

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// recordingConn records each write as one entry.
type recordingConn struct {
	net.Conn
	writes []string
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

func TestHeaderIsWrittenWithItsBody(t *testing.T) {
	recorder := &recordingConn{}
	c := &coalescingConn{Conn: recorder}
	data := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	windowUpdate := []byte{0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 9}
	empty := []byte{0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	for _, p := range [][]byte{data, []byte("abc"), windowUpdate, empty, data, []byte("def")} {
		n, err := c.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	assert.DeepEqual(t, recorder.writes, []string{string(data) + "abc", string(windowUpdate), string(empty), string(data) + "def"})

	large := make([]byte, maxCoalescedBytes+1)
	_, err := c.Write(data)
	assert.NilError(t, err)
	_, err = c.Write(large)
	assert.NilError(t, err)
	assert.Equal(t, len(recorder.writes), 6)
}
