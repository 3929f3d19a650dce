package sleep

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBackoffDoublesUpToItsMaximum checks the bounds of each pause, and that a
// success starts them anew.
func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	b := Backoff{Min: 20 * time.Millisecond, Max: 100 * time.Millisecond}
	for range 2 {
		for _, longest := range []time.Duration{20, 40, 80, 100, 100} {
			longest *= time.Millisecond
			pause := b.next()
			assert.Assert(t, pause >= longest/2 && pause < longest, "%v of %v", pause, longest)
		}
		b.Reset()
	}
}

func TestBackoffEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := Backoff{Min: time.Hour, Max: time.Hour}
	assert.Assert(t, !b.Wait(ctx))
}
