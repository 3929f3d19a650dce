package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record collects what callers, minions and the platform see, with the time in
// milliseconds since its start.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	// broken are the findings that break the rule.
	broken []string
}

func newRecord() *record { return &record{began: time.Now()} }

// now returns the milliseconds since the start of the record.
func (r *record) now() int64 { return time.Since(r.began).Milliseconds() }

// at returns a time as milliseconds since the start of the record.
func (r *record) at(t time.Time) int64 { return t.Sub(r.began).Milliseconds() }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%7d ms  %s", r.now(), fmt.Sprintf(format, args...)))
}

// fail notes a finding that breaks the rule.
func (r *record) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// write writes the record to record.txt in a folder.
func (r *record) write(folder string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(f, line); err != nil {
			_ = f.Close()
			return err
		}
	}
	return f.Close()
}
