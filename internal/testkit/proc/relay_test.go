package proc

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBreakClients checks that the target of a relay isn't told when its client is
// broken off.
func TestBreakClients(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	r, err := NewRelay("127.0.0.1:0")
	assert.NilError(t, err)
	defer r.Close()
	r.SetTarget(l.Addr().String())

	client, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	target, err := l.Accept()
	assert.NilError(t, err)
	_, err = client.Write([]byte("x"))
	assert.NilError(t, err)
	buf := make([]byte, 8)
	_, err = io.ReadFull(target, buf[:1])
	assert.NilError(t, err)

	r.BreakClients()
	_, err = client.Read(buf)
	assert.Assert(t, err != nil, "the client is broken off")
	_, err = target.Write([]byte("answer"))
	assert.NilError(t, err)
	assert.NilError(t, target.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = target.Read(buf)
	timeout, ok := err.(net.Error)
	assert.Assert(t, ok && timeout.Timeout(), "the target is not told: %v", err)
}
