package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldConn is a connection whose failed reads return only once released, like
// those of a receive loop that gets no processor time.
type heldConn struct {
	net.Conn
	released chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.released
	}
	return n, err
}

// TestClosingSessionEndsReadsBeforeItsReceiveLoop checks that the reads of the
// lanes of a closing session return although the receive loop has not ended.
// They would spin otherwise, and on one core the loop would wait for them.
func TestClosingSessionEndsReadsBeforeItsReceiveLoop(t *testing.T) {
	l, err := Listen("127.0.0.1:0", testOptions("c", ignore))
	assert.NilError(t, err)
	go l.Serve()
	defer l.Close()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Address())
	assert.NilError(t, err)
	held := &heldConn{Conn: conn, released: make(chan struct{})}
	s, err := newSession(held, testOptions("c", ignore), true)
	assert.NilError(t, err)
	ended := make(chan error, laneCount)
	for _, lane := range s.lanes {
		go func() {
			_, err := lane.conn.Read(make([]byte, 1))
			ended <- err
		}()
	}
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	for range laneCount {
		select {
		case err := <-ended:
			assert.Check(t, err != nil)
		case <-time.After(20 * time.Second):
			t.Error("a read of a lane goes on")
		}
	}
	close(held.released)
	<-closed
}
