package sleep

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff pauses between attempts. The pauses double from Min to Max. Half of
// each is random, so that processes that failed together do not try again
// together.
type Backoff struct {
	// Min is the first pause, Max the longest one.
	Min, Max time.Duration
	// pause is the last pause; 0 before the first one.
	pause time.Duration
}

// Wait pauses and reports whether the pause passed before ctx ended.
func (b *Backoff) Wait(ctx context.Context) bool { return For(ctx, b.next()) }

// Reset makes the next pause the first one again. It is called after a success.
func (b *Backoff) Reset() { b.pause = 0 }

// next returns the next pause.
func (b *Backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, b.Min), b.Max)
	return b.pause/2 + rand.N(b.pause/2)
}
