package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Event is what happened to a task at the minion.
type Event string

const (
	// EventStart is written before anything of the task runs.
	EventStart Event = "start"
	// EventEnd is written before the result is answered.
	EventEnd Event = "end"
	// EventFailed is an end without a result.
	EventFailed Event = "failed"
	// EventStopped is an end because the request was cut off.
	EventStopped Event = "stopped"
	// EventRefused is a task that found no free slot and was not started.
	EventRefused Event = "refused"
)

// Line is one line of the record.
type Line struct {
	// Sequence orders the lines of one record, from 1.
	Sequence uint64 `json:"seq"`
	Event    Event  `json:"event"`
	Job      uint64 `json:"job"`
	Task     uint32 `json:"task"`
	// Payload is the SHA-256 of the payload, in hex.
	Payload string `json:"payload"`
	// UnixNS is the wall clock in nanoseconds.
	UnixNS int64 `json:"unix_ns"`
}

// recorder appends lines to a file, each by one write. A nil file drops them.
type recorder struct {
	mu   sync.Mutex
	file *os.File
	last uint64
}

func openRecorder(path string) (*recorder, error) {
	if path == "" {
		return &recorder{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open record")
	}
	return &recorder{file: file}, nil
}

// write appends one line. A record that can't be written would make a judge
// blind, so a failure panics.
func (r *recorder) write(event Event, id taskID, payload []byte) {
	if r.file == nil {
		return
	}
	line := Line{Event: event, Job: id.job, Task: id.task, Payload: hashHex(payload)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	line.Sequence = r.last
	line.UnixNS = time.Now().UnixNano()
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	if _, err := r.file.Write(append(text, '\n')); err != nil {
		panic(eris.Wrap(err, "write record"))
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
	}
}

// ReadRecord reads the lines of a record file. A last line without its end is
// left out, since a minion may have died in the middle of it.
func ReadRecord(path string) ([]Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open record")
	}
	defer func() { _ = file.Close() }()
	var lines []Line
	r := bufio.NewReader(file)
	for {
		text, err := r.ReadBytes('\n')
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return lines, eris.Wrap(err, "read record")
		}
		var line Line
		if err := json.Unmarshal(text, &line); err != nil {
			return lines, eris.Wrapf(err, "record line %d", len(lines)+1)
		}
		lines = append(lines, line)
	}
}
