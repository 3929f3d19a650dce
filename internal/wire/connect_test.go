package wire

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// occupyProcessor keeps the only processor of the process busy with other work, so that
// each goroutine waits for long until it runs.
func occupyProcessor(t *testing.T) {
	t.Helper()
	const workers = 40 // each runs for 10 ms at a time
	before := runtime.GOMAXPROCS(1)
	var stop atomic.Bool
	var ended atomic.Int32
	for range workers {
		go func() {
			defer ended.Add(1)
			for !stop.Load() {
			}
		}()
	}
	t.Cleanup(func() {
		stop.Store(true)
		runtime.GOMAXPROCS(before)
		for ended.Load() < workers {
			time.Sleep(time.Millisecond)
		}
	})
}

// TestBusyProcessGaveUpConnectionsThatWereOpen: a dispatcher without processor time found no
// control member again for as long as it was busy.
func TestBusyProcessGaveUpConnectionsThatWereOpen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	occupyProcessor(t)
	for range 3 {
		conn, err := connect(t.Context(), l.Addr().String(), ShortConnectInterval)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
}

// TestRefusedConnectionIsToldAtOnce: a host whose process does not run is not asked again
// by the same attempt.
func TestRefusedConnectionIsToldAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	began := time.Now()
	_, err = connect(t.Context(), l.Addr().String(), time.Minute)
	assert.ErrorContains(t, err, "refused")
	assert.Assert(t, time.Since(began) < handshakeTimeout)
}

// TestConnectEndsWithItsContext: neither a connection nor a goroutine is left behind.
func TestConnectEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	conn, err := connect(ctx, "127.0.0.1:1", time.Minute)
	assert.Assert(t, err != nil)
	assert.Assert(t, conn == nil)
}
