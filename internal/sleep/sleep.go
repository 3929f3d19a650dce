// Package sleep waits for a time that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits; false when ctx ended first. It doesn't wait when d is not over 0.
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
