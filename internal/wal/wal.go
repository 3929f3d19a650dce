// Package wal is the write-ahead log of a member. It stores the replicated log
// and the hard state in segment files in one folder. Each Append writes its
// records with one sync. After a crash, the records of one Append are recovered
// all or not at all.
//
// A Log is not safe for concurrent use.
package wal

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/disk"
)

// defaultSegmentBytes is the default size at which a segment is full.
const defaultSegmentBytes = 16 << 20

// maxKeptBufferBytes limits the size of the buffer that is reused between appends.
const maxKeptBufferBytes = 1 << 20

// Options are the options of a log.
type Options struct {
	// SegmentBytes is the size at which a new segment is started; 0 means
	// defaultSegmentBytes.
	SegmentBytes int64

	// create creates a segment file; nil means createFile. Tests set it to inject
	// faults.
	create func(path string) (file, error)
}

// Recovered is the content of a log when it was opened.
type Recovered struct {
	// Hard is nil in a new folder.
	Hard    *wirepb.HardState
	Entries []*wirepb.Entry
	// TornBytes is the length of the torn tail that was truncated.
	TornBytes int64
}

// Log is an open log.
type Log struct {
	dir  string
	opts Options
	lock *os.File

	// fullSegments are the segments before the active one, oldest first. active is
	// the segment that is appended to.
	fullSegments []segment
	active       segment
	file         file
	// size is the size of the active segment, in bytes.
	size int64
	// leftover is set while the active segment may hold bytes after size, of a frame
	// that met a full disk. They have to go before the next frame.
	leftover bool
	// unsynced is set while it is unknown whether the active segment and its name are
	// durable.
	unsynced bool

	// sequence is the sequence number of the last frame.
	sequence uint64
	// hard is the last hard state written.
	hard *wirepb.HardState
	buf  []byte
	// failed is the error that Append and Release return from now on; nil if the
	// log is usable.
	failed error
}

// segment is one file of the log.
type segment struct {
	path string
	// last is the largest index of an entry in the segment.
	last uint64
}

// Open opens the log in a folder, or creates it, and reads it. A torn tail is
// truncated.
// Errors: ErrLocked, ErrVersion, *DamageError, *FatalError, ErrDiskFull.
func Open(dir string, opts Options) (*Log, *Recovered, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	if opts.create == nil {
		opts.create = createFile
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, eris.Wrap(err, "create log folder")
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, opts: opts, lock: lock}
	found, err := l.recover()
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	return l, found, nil
}

// recover reads all segments and opens the last one for appending.
func (l *Log) recover() (*Recovered, error) {
	r := reader{dir: l.dir}
	if err := r.readAll(); err != nil {
		return nil, err
	}
	l.sequence = r.sequence
	l.hard = r.hard
	if len(r.segments) == 0 {
		if err := l.startSegment(); err != nil {
			return nil, err
		}
	} else if err := l.openLastSegment(&r); err != nil {
		return nil, err
	}
	return &Recovered{Hard: r.hard, Entries: r.entries, TornBytes: r.tornBytes}, nil
}

func (l *Log) openLastSegment(r *reader) error {
	n := len(r.segments) - 1
	l.fullSegments = r.segments[:n:n]
	l.active = r.segments[n]
	l.size = r.size
	f, err := openFile(l.active.path)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	l.file = f
	// The process that wrote the last frame, or gave the segment its name, may have
	// been killed before the sync.
	l.leftover, l.unsynced = r.tornBytes > 0, true
	if err := l.settle(); err != nil && !errors.Is(err, ErrDiskFull) {
		return err
	}
	return nil
}

// settle removes what a frame that met a full disk, or a crash, has left behind, and
// makes the active segment durable. While the disk is full that may fail with
// ErrDiskFull.
func (l *Log) settle() error {
	if l.leftover {
		if err := l.file.Truncate(l.size); err != nil {
			return l.failUnlessFull("truncate", err)
		}
		l.leftover, l.unsynced = false, true
	}
	if l.unsynced {
		if err := l.file.Sync(); err != nil {
			return l.failUnlessFull("sync", err)
		}
		if err := disk.SyncDir(l.dir); err != nil {
			return l.failUnlessFull("sync the name of", err)
		}
		l.unsynced = false
	}
	return nil
}

// Append writes records and syncs once. Without records it returns once all earlier
// ones are durable. After ErrDiskFull the records are not in
// the log and the same call may be repeated. After ErrTooLarge the log can still
// be used. After any other error the log must not be used any more.
func (l *Log) Append(records ...*wirepb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.settle(); err != nil {
		return err
	}
	if empty(records) {
		return nil
	}
	if l.size >= l.opts.SegmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	frame, err := l.encode(records)
	if err != nil {
		return err
	}
	if err := l.write(frame); err != nil {
		return err
	}
	l.sequence++
	l.recordAppended(records)
	return nil
}

func empty(records []*wirepb.LogRecord) bool {
	for _, r := range records {
		if r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 {
			return false
		}
	}
	return true
}

func (l *Log) encode(records []*wirepb.LogRecord) ([]byte, error) {
	buf := append(l.buf[:0], make([]byte, frameHeaderBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &wirepb.LogFrame{Records: records})
	if err != nil {
		return nil, eris.Wrap(err, "marshal log frame")
	}
	if cap(buf) <= maxKeptBufferBytes {
		l.buf = buf
	}
	if len(buf)-frameHeaderBytes > MaxFrameBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(buf))
	}
	fillFrameHeader(buf, l.sequence+1)
	return buf, nil
}

// write appends a frame and syncs it. If the disk is full, the frame does not count
// and its bytes are removed, at once or before the next frame. A disk may find out
// at the sync that it is full; the whole frame is written again then.
func (l *Log) write(frame []byte) error {
	if _, err := l.file.Write(frame); err != nil {
		return l.undoWrite("write", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.undoWrite("sync", err)
	}
	l.size += int64(len(frame))
	return nil
}

// undoWrite handles a failed write or sync of a frame. If the disk is full, it
// removes the frame and returns ErrDiskFull. Any other error is fatal.
func (l *Log) undoWrite(op string, cause error) error {
	full := l.failUnlessFull(op, cause)
	if !errors.Is(full, ErrDiskFull) {
		return full
	}
	l.leftover = true
	if err := l.settle(); err != nil {
		return err
	}
	return full
}

// failUnlessFull returns ErrDiskFull if an operation on the active segment failed
// because the disk is full. Any other error is fatal.
func (l *Log) failUnlessFull(op string, cause error) error {
	if disk.IsFull(cause) {
		return eris.Wrapf(ErrDiskFull, "%s %s", op, l.active.path)
	}
	return l.fail(op, cause)
}

func (l *Log) fail(op string, cause error) error {
	l.failed = &FatalError{File: l.active.path, Op: op, Err: cause}
	return l.failed
}

// recordAppended updates the last hard state and the largest index of the active
// segment. The first frame of the next segment and Release need them.
func (l *Log) recordAppended(records []*wirepb.LogRecord) {
	for _, r := range records {
		if r.Hard != nil {
			l.hard = r.Hard
		}
		for _, e := range r.Entries {
			l.active.last = max(l.active.last, e.Index)
		}
	}
}

// Release removes the oldest segments, up to the first one that holds an entry
// after an index or is active. The caller must have a durable snapshot that
// covers the index. After ErrDiskFull the call may be repeated.
func (l *Log) Release(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	before := len(l.fullSegments)
	for len(l.fullSegments) > 0 && l.fullSegments[0].last <= index {
		if err := disk.RemoveFile(l.fullSegments[0].path); err != nil {
			return releaseError("remove segment", err)
		}
		l.fullSegments = l.fullSegments[1:]
	}
	if len(l.fullSegments) == before {
		return nil
	}
	return releaseError("sync log folder", disk.SyncDir(l.dir))
}

func releaseError(op string, err error) error {
	if disk.IsFull(err) {
		return eris.Wrap(ErrDiskFull, op)
	}
	return eris.Wrap(err, op)
}

// Close closes the files and releases the lock. It writes nothing.
func (l *Log) Close() error {
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	l.failed = ErrClosed
	err := l.file.Close()
	return errors.Join(err, l.lock.Close())
}

// startSegment creates the next segment. Its first frame repeats the hard state,
// so that older segments can be removed. The file gets its final name only after
// the first frame is synced.
func (l *Log) startSegment() error {
	first := l.sequence + 1
	path := filepath.Join(l.dir, segmentName(first))
	temp := path + tempSuffix
	f, size, err := l.writeFirstFrame(temp)
	if err != nil {
		_ = disk.RemoveFile(temp)
		return err
	}
	if err := l.publishSegment(temp, path); err != nil {
		_ = f.Close()
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
		l.fullSegments = append(l.fullSegments, l.active)
	}
	l.active = segment{path: path}
	l.file = f
	l.size = size
	l.sequence = first
	return nil
}

// publishSegment gives a segment its final name. If the disk is full, the name may
// be there already; the next attempt replaces the file.
func (l *Log) publishSegment(temp, path string) error {
	err := disk.RenameFile(temp, path)
	if err == nil {
		err = disk.SyncDir(l.dir)
	}
	switch {
	case err == nil:
		return nil
	case disk.IsFull(err):
		return eris.Wrapf(ErrDiskFull, "rename to %s", path)
	default:
		return l.fail("rename", err)
	}
}

func (l *Log) writeFirstFrame(path string) (file, int64, error) {
	frame, err := l.encode([]*wirepb.LogRecord{{Hard: l.hard}})
	if err != nil {
		return nil, 0, err
	}
	f, err := l.opts.create(path)
	if err != nil {
		return nil, 0, segmentError(path, "create", err)
	}
	buf := append(fileHeader(), frame...)
	if _, err := f.Write(buf); err != nil {
		_ = f.Close()
		return nil, 0, segmentError(path, "write", err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return nil, 0, segmentError(path, "sync", err)
	}
	return f, int64(len(buf)), nil
}

// segmentError returns ErrDiskFull if an operation on a new segment failed because
// the disk is full, and a *FatalError otherwise.
func segmentError(path, op string, err error) error {
	if disk.IsFull(err) {
		return eris.Wrapf(ErrDiskFull, "%s %s", op, path)
	}
	return &FatalError{File: path, Op: op, Err: err}
}
