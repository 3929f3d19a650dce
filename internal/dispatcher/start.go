package dispatcher

import (
	"context"
	"sync"
	"time"
)

// startWindow is how long after its start a process lets callers wait for its
// configuration and its first runner. After a power loss of all hosts these
// come within half a second; later, the time cannot be predicted.
const startWindow = time.Second

// startGate holds requests back while a process starts.
//
// When all hosts come back from a power loss at the same time, callers come
// back with them, before the control group has elected its leader. A request
// that waits some tenths of a second is served; a refused one comes back a
// second later.
type startGate struct {
	opened chan struct{}
	once   sync.Once
}

func newStartGate(window time.Duration) *startGate {
	g := &startGate{opened: make(chan struct{})}
	time.AfterFunc(window, g.open)
	return g
}

func (g *startGate) open() { g.once.Do(func() { close(g.opened) }) }

func (g *startGate) wait(ctx context.Context) {
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
}
