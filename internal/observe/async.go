package observe

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is how many lines wait for a slow reader before more are dropped.
const asyncLines = 4096

// AsyncWriter passes lines on without making the writer wait: when its reader
// falls behind, lines are dropped, counted, and the count is written.
type AsyncWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter starts to write to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{to: w, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; it never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(a.to, "{\"level\":\"error\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
		}
		_, _ = a.to.Write(line) // nobody to tell
	}
}

// Close writes what waits and ends.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
