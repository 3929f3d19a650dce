package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// stalledServer is a server with a connection that never sends a request: its
// graceful shutdown lasts until the context ends.
type stalledServer struct {
	allowed time.Duration
	closed  bool
}

func (s *stalledServer) Shutdown(ctx context.Context) error {
	end, _ := ctx.Deadline()
	s.allowed = time.Until(end)
	return context.DeadlineExceeded
}

func (s *stalledServer) Close() error {
	s.closed = true
	return nil
}

// TestSilentConnectionsDoNotDelayTheEnd guards against a slow exit of the process.
// A request that reaches the kernel after the listener was closed gets no answer,
// so the process must exit before its caller has waited 0.2 s. Silent connections
// once delayed the exit by 0.6 s (test run hunt-b928-35).
func TestSilentConnectionsDoNotDelayTheEnd(t *testing.T) {
	s := &stalledServer{}
	closeServer(t.Context(), s, logr.Discard())
	assert.Assert(t, s.allowed <= 100*time.Millisecond, "%v for each of two servers", s.allowed)
	assert.Assert(t, s.closed)
}
