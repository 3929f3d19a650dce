package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartGate: callers wait until the gate opens, which happens at the end of
// the window at the latest. Afterwards they don't wait.
func TestStartGate(t *testing.T) {
	for name, opens := range map[string]time.Duration{"by itself": time.Second, "earlier": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newStartGate(time.Second)
				time.AfterFunc(opens, g.open)
				began := time.Now()
				g.wait(t.Context())
				assert.Equal(t, time.Since(began), opens)
				g.wait(t.Context())
				assert.Equal(t, time.Since(began), opens)
				time.Sleep(time.Second) // the window's timer has run
			})
		})
	}
}
