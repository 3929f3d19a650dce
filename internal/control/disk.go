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
	// fullRetry is how often an append to a full disk is tried again.
	fullRetry = 100 * time.Millisecond
	// syncBytes bounds the entries of one sync, well under a log frame.
	syncBytes = 16 << 20
)

// diskJob is one step for the disk goroutine.
type diskJob struct {
	record *wirepb.LogRecord
	bytes  int
	point  quorum.SyncPoint
	// waiting may be sent once the record is synced.
	waiting []*wirepb.CoreMessage
	// release is the index up to which the log may go; 0 is none.
	release uint64
}

// appender is the part of wal.Log that the disk goroutine uses.
type appender interface {
	Append(records ...*wirepb.LogRecord) error
	Release(index uint64) error
	Close() error
}

// disk writes what the loop hands it, all that waits with one sync.
type disk struct {
	log  appender
	send func([]*wirepb.CoreMessage)
	post func(event)

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []diskJob
	closed bool
	ended  chan struct{}
	stop   chan struct{}
}

func newDisk(log appender, send func([]*wirepb.CoreMessage), post func(event)) *disk {
	d := &disk{log: log, send: send, post: post, ended: make(chan struct{}), stop: make(chan struct{})}
	d.wake = sync.NewCond(&d.mu)
	return d
}

func (d *disk) push(j diskJob) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue = append(d.queue, j)
	d.wake.Signal()
}

// close waits for the end of the write in progress; the rest is dropped.
func (d *disk) close() {
	d.mu.Lock()
	d.closed = true
	d.wake.Signal()
	d.mu.Unlock()
	close(d.stop)
	<-d.ended
}

// take returns the jobs for one sync; none when the disk is closed.
func (d *disk) take() []diskJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.queue) == 0 && !d.closed {
		d.wake.Wait()
	}
	if d.closed {
		return nil
	}
	n, bytes := 0, 0
	for n < len(d.queue) && (n == 0 || bytes+d.queue[n].bytes <= syncBytes) {
		bytes += d.queue[n].bytes
		n++
	}
	jobs := d.queue[:n:n]
	d.queue = d.queue[n:]
	return jobs
}

func (d *disk) run() {
	defer close(d.ended)
	defer func() { _ = d.log.Close() }()
	for {
		jobs := d.take()
		if jobs == nil {
			return
		}
		err := d.write(jobs)
		if errors.Is(err, errDiskClosed) {
			return
		}
		if err != nil {
			d.post(diskFailed{err})
			return
		}
	}
}

// write makes the jobs durable, then lets go what waited for them.
func (d *disk) write(jobs []diskJob) error {
	var records []*wirepb.LogRecord
	var waiting []*wirepb.CoreMessage
	var release uint64
	for _, j := range jobs {
		if j.record != nil {
			records = append(records, j.record)
		}
		waiting = append(waiting, j.waiting...)
		release = max(release, j.release)
	}
	if err := d.append(records); err != nil {
		return err
	}
	// What waited is a promise that the records are durable.
	d.send(waiting)
	for i := len(jobs) - 1; i >= 0; i-- {
		if jobs[i].record != nil {
			d.post(diskSynced{point: jobs[i].point, jobs: len(records)})
			break
		}
	}
	if release == 0 {
		return nil
	}
	return d.log.Release(release)
}

// errDiskClosed is the end of a wait for room: nothing was written, and what
// waited for it must not be sent.
var errDiskClosed = errors.New("control: disk closed while full")

// append tries until the disk has room; the loop refuses new work meanwhile.
func (d *disk) append(records []*wirepb.LogRecord) error {
	if len(records) == 0 {
		return nil
	}
	err := d.log.Append(records...)
	if !errors.Is(err, wal.ErrDiskFull) {
		return err
	}
	d.post(diskFull{true})
	for errors.Is(err, wal.ErrDiskFull) {
		select {
		case <-d.stop:
			return errDiskClosed
		case <-time.After(fullRetry):
		}
		err = d.log.Append(records...)
	}
	d.post(diskFull{false})
	return err
}
