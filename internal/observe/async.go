package observe

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines that wait for a slow reader. Further
// lines are dropped.
const maxQueuedLines = 4096

// AsyncWriter writes lines from a queue in the background, so that Write never
// blocks. When the queue is full, lines are dropped. A line with the number of
// dropped ones is written before the next line.
type AsyncWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter returns a writer that writes to w until Close is called.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{to: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never blocks and never fails. Lines that are
// written after Close are lost.
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
		_, _ = a.to.Write(line) // an error of the log itself can't be reported
	}
}

// Close writes the queued lines and stops. It waits until they are written.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
