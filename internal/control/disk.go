package control

import (
	"errors"
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/quorum"
	"endivewing/internal/wal"
)

const (
	// diskFullRetryInterval is the pause between two attempts to append to a
	// full disk.
	diskFullRetryInterval = 100 * time.Millisecond
	// maxSyncBytes bounds the total size of the entries in one sync. It is well
	// below the size limit of a log frame.
	maxSyncBytes = 16 << 20
)

// writeJob is a unit of work for the log writer.
type writeJob struct {
	record *wirepb.LogRecord
	bytes  int
	point  quorum.SyncPoint
	// messagesAfterSync may be sent only after the record is synced.
	messagesAfterSync []*wirepb.CoreMessage
	// release is the index up to which log entries are no longer needed; 0
	// releases nothing.
	release uint64
}

// appender is the part of wal.Log that the log writer uses.
type appender interface {
	Append(records ...*wirepb.LogRecord) error
	Release(index uint64) error
	Close() error
}

// logWriter executes the write jobs of the loop on a goroutine of its own. It
// writes the records of all queued jobs with one sync.
type logWriter struct {
	log     appender
	send    func([]*wirepb.CoreMessage)
	enqueue func(event)

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []writeJob
	closed bool
	ended  chan struct{}
	stop   chan struct{}
}

func newLogWriter(log appender, send func([]*wirepb.CoreMessage), enqueue func(event)) *logWriter {
	w := &logWriter{log: log, send: send, enqueue: enqueue, ended: make(chan struct{}), stop: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	return w
}

func (w *logWriter) push(j writeJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, j)
	w.wake.Signal()
}

// close ends the writer. It waits for the write in progress and drops the
// queued jobs.
func (w *logWriter) close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	close(w.stop)
	<-w.ended
}

// nextBatch waits for jobs and returns those of the next sync. It returns nil
// once the writer is closed.
func (w *logWriter) nextBatch() []writeJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.wake.Wait()
	}
	if w.closed {
		return nil
	}
	n, bytes := 0, 0
	for n < len(w.queue) && (n == 0 || bytes+w.queue[n].bytes <= maxSyncBytes) {
		bytes += w.queue[n].bytes
		n++
	}
	jobs := w.queue[:n:n]
	w.queue = w.queue[n:]
	return jobs
}

// run executes jobs until the writer is closed or a write fails.
func (w *logWriter) run() {
	defer close(w.ended)
	defer func() { _ = w.log.Close() }()
	for {
		jobs := w.nextBatch()
		if jobs == nil {
			return
		}
		err := w.write(jobs)
		if errors.Is(err, errClosedWhileFull) {
			return
		}
		if err != nil {
			w.enqueue(diskFailed{err})
			return
		}
	}
}

// write makes the records of the jobs durable, then sends the messages that
// depend on them, reports the sync to the loop and releases log entries.
func (w *logWriter) write(jobs []writeJob) error {
	var records []*wirepb.LogRecord
	var messagesAfterSync []*wirepb.CoreMessage
	var release uint64
	for _, j := range jobs {
		if j.record != nil {
			records = append(records, j.record)
		}
		messagesAfterSync = append(messagesAfterSync, j.messagesAfterSync...)
		release = max(release, j.release)
	}
	if err := w.append(records); err != nil {
		return err
	}
	// These messages report to other members that the records are durable.
	w.send(messagesAfterSync)
	for i := len(jobs) - 1; i >= 0; i-- {
		if jobs[i].record != nil {
			w.enqueue(diskSynced{point: jobs[i].point, jobs: len(records)})
			break
		}
	}
	if release == 0 {
		return nil
	}
	return w.release(release)
}

// release removes log entries that are no longer needed. While the disk is full they
// may have to stay until the next release.
func (w *logWriter) release(index uint64) error {
	err := w.log.Release(index)
	if errors.Is(err, wal.ErrDiskFull) {
		w.enqueue(entriesNotReleased{err})
		return nil
	}
	return err
}

// errClosedWhileFull is returned if the writer is closed while it waits for disk
// space. Nothing was written, and messages that depend on the write must not be
// sent.
var errClosedWhileFull = errors.New("control: log writer closed while the disk was full")

// append appends records to the log. While the disk is full, it retries. The
// loop refuses new records in the meantime.
func (w *logWriter) append(records []*wirepb.LogRecord) error {
	if len(records) == 0 {
		return nil
	}
	err := w.log.Append(records...)
	if !errors.Is(err, wal.ErrDiskFull) {
		return err
	}
	w.enqueue(diskFull{true})
	for errors.Is(err, wal.ErrDiskFull) {
		select {
		case <-w.stop:
			return errClosedWhileFull
		case <-time.After(diskFullRetryInterval):
		}
		err = w.log.Append(records...)
	}
	w.enqueue(diskFull{false})
	return err
}
