package node

import (
	"context"
	"fmt"
	"math"
	"path/filepath"
	"runtime/debug"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"endivewing/internal/config"
	"endivewing/internal/testkit"
)

// TestMemberGrewBeyondItsMemory: many large documents let the heap of a member grow
// until the process was ended, since it knew of no limit.
func TestMemberGrewBeyondItsMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	assert.Equal(t, before, int64(math.MaxInt64))
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	s := config.Default()
	s.Cluster, s.Name, s.Zone, s.Roles = "test", "m", "z", []string{config.RoleMember}
	s.TLS.TrustedNetwork = true
	s.Debug.Listen = ""
	s.StopTimeout = config.Duration(time.Second)
	s.Fleet.Address, s.Fleet.SessionPort = "127.0.14.1", uint64(testkit.Port())
	operators := fmt.Sprint("127.0.14.1:", testkit.Port())
	s.Fleet.Seeds, s.Fleet.Operators = []string{operators}, operators
	s.Fleet.FirstStart, s.Fleet.Data, s.Fleet.Memory = true, filepath.Join(t.TempDir(), "member"), 100<<20
	n, err := Start(t.Context(), &s, logr.Discard())
	assert.NilError(t, err)
	n.Stop(context.WithoutCancel(t.Context()))
	limit := debug.SetMemoryLimit(-1)
	assert.Assert(t, limit > 0 && limit < 100<<20, "%d", limit)
}
