// Package sleep provides a sleep that ends early when a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether d passed before ctx ended. If d is 0 or
// less, it returns at once and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
