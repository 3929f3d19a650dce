package proc

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUplinkPassesDataInOrderAtItsRate: data of two relays shares the rate, and an idle
// link saves nothing up.
func TestUplinkPassesDataInOrderAtItsRate(t *testing.T) {
	u := NewUplink(1000)
	start := time.Unix(100, 0)
	assert.Equal(t, u.reserve(500, start), start.Add(500*time.Millisecond))
	assert.Equal(t, u.reserve(1000, start), start.Add(1500*time.Millisecond))
	later := start.Add(10 * time.Second)
	assert.Equal(t, u.reserve(1000, later), later.Add(time.Second))
}
