package main

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// record is the log of a case: one JSON line for each event that callers, minions and
// the platform see, with the milliseconds since the start of the case.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: f, writer: bufio.NewWriter(f)}, nil
}

// fields are the properties of an event.
type fields map[string]any

func (r *record) add(event string, f fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fields{"ms": time.Since(r.begun).Milliseconds(), "event": event}
	for key, value := range f {
		line[key] = value
	}
	text, _ := json.Marshal(line)
	_, _ = r.writer.Write(append(text, '\n'))
}

// ms returns a time as milliseconds since the start of the case.
func (r *record) ms(t time.Time) int64 { return t.Sub(r.begun).Milliseconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
