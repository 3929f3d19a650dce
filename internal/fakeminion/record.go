package fakeminion

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Event is the kind of a recorded task event.
type Event string

const (
	// EventStart is recorded before the task begins to run.
	EventStart Event = "start"
	// EventEnd is recorded when the task has a result, before the response is
	// sent.
	EventEnd Event = "end"
	// EventFailed is recorded when the task ends without a result.
	EventFailed Event = "failed"
	// EventStopped is recorded when the request was cancelled or its
	// connection was closed while the task ran.
	EventStopped Event = "stopped"
	// EventCrash is recorded before the task makes the minion crash. The other tasks
	// that run there are recorded as stopped.
	EventCrash Event = "crash"
	// EventRefused is recorded when no slot is free. The task is not started.
	EventRefused Event = "refused"
)

// RecordLine is one line of a record file, written as JSON.
type RecordLine struct {
	// Sequence numbers the lines that one minion has written since it
	// started, from 1.
	Sequence uint64 `json:"seq"`
	Event    Event  `json:"event"`
	Job      uint64 `json:"job"`
	Task     uint32 `json:"task"`
	// Payload is the SHA-256 hash of the payload, in hex.
	Payload string `json:"payload"`
	// UnixNS is the wall clock time in nanoseconds since the Unix epoch.
	UnixNS int64 `json:"unix_ns"`
}

// recorder appends lines to a record file, each with a single write call. With a
// nil file it records nothing.
type recorder struct {
	mu           sync.Mutex
	file         *os.File
	lastSequence uint64
}

func openRecorder(path string) (*recorder, error) {
	if path == "" {
		return &recorder{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open record file for appending")
	}
	return &recorder{file: file}, nil
}

// write appends one line. It panics if the line can't be written, because tests
// that count starts would pass on an incomplete record.
func (r *recorder) write(event Event, id taskID, payload []byte) {
	if r.file == nil {
		return
	}
	line := RecordLine{Event: event, Job: id.job, Task: id.task, Payload: hashHex(payload)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequence++
	line.Sequence = r.lastSequence
	line.UnixNS = time.Now().UnixNano()
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	if _, err := r.file.Write(append(text, '\n')); err != nil {
		panic(eris.Wrap(err, "write record line"))
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
	}
}

// ReadRecord returns the lines of a record file. A last line without a newline is
// skipped, because the minion may have been killed while it wrote it. On a read
// or parse error the lines before it are returned with the error.
func ReadRecord(path string) ([]RecordLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open record file for reading")
	}
	defer func() { _ = file.Close() }()
	var lines []RecordLine
	r := bufio.NewReader(file)
	for {
		text, err := r.ReadBytes('\n')
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return lines, eris.Wrap(err, "read record file")
		}
		var line RecordLine
		if err := json.Unmarshal(text, &line); err != nil {
			return lines, eris.Wrapf(err, "parse record line %d", len(lines)+1)
		}
		lines = append(lines, line)
	}
}
