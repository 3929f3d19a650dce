// Package wal keeps the replicated log and the hard state of a member in
// segment files under one folder. Append writes and syncs once for all that
// it is given; what one Append wrote survives whole or not at all.
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

// defaultSegmentBytes is the size at which a segment is full.
const defaultSegmentBytes = 16 << 20

// keptBufferBytes bounds the buffer that is kept between appends.
const keptBufferBytes = 1 << 20

// Options of a log.
type Options struct {
	// SegmentBytes is the size at which a new segment is begun; 0 is
	// defaultSegmentBytes.
	SegmentBytes int64

	// create opens a new file; tests put failing files here.
	create func(path string) (file, error)
}

// Recovered is what Open found.
type Recovered struct {
	// Hard is nil in a new folder.
	Hard    *wirepb.HardState
	Entries []*wirepb.Entry
	// CutBytes is the length of the torn tail that was cut.
	CutBytes int64
}

// Log is an open log.
type Log struct {
	dir  string
	opts Options
	lock *os.File

	// segments are the full ones, oldest first; active is the last one.
	segments []segment
	active   segment
	file     file
	size     int64

	sequence uint64
	hard     *wirepb.HardState
	buf      []byte
	failed   error
}

// segment is one file of the log.
type segment struct {
	path string
	// last is the largest index of any entry in it.
	last uint64
}

// Open opens or makes the log in a folder and reads it. A torn tail is cut.
// Errors: ErrLocked, ErrVersion, *DamageError, *FatalError, ErrDiskFull.
func Open(dir string, opts Options) (*Log, *Recovered, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	if opts.create == nil {
		opts.create = createFile
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, eris.Wrap(err, "make log folder")
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
		if err := l.begin(); err != nil {
			return nil, err
		}
	} else if err := l.reopen(&r); err != nil {
		return nil, err
	}
	return &Recovered{Hard: r.hard, Entries: r.entries, CutBytes: r.cut}, nil
}

func (l *Log) reopen(r *reader) error {
	n := len(r.segments) - 1
	l.segments = r.segments[:n:n]
	l.active = r.segments[n]
	l.size = r.size
	f, err := openFile(l.active.path)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	l.file = f
	if r.cut == 0 {
		return nil
	}
	if err := f.Truncate(l.size); err != nil {
		return &FatalError{File: l.active.path, Op: "truncate", Err: err}
	}
	if err := f.Sync(); err != nil {
		return &FatalError{File: l.active.path, Op: "sync", Err: err}
	}
	return nil
}

// Append writes records and syncs once. After ErrDiskFull nothing was written
// and the same call may be repeated; after any other error but ErrTooLarge
// the log refuses everything.
func (l *Log) Append(records ...*wirepb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if empty(records) {
		return nil
	}
	if l.size >= l.opts.SegmentBytes {
		if err := l.begin(); err != nil {
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
	l.note(records)
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
	buf := append(l.buf[:0], make([]byte, frameHeadBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &wirepb.LogFrame{Records: records})
	if err != nil {
		return nil, eris.Wrap(err, "marshal log frame")
	}
	if cap(buf) <= keptBufferBytes {
		l.buf = buf
	}
	if len(buf)-frameHeadBytes > MaxFrameBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(buf))
	}
	sealFrame(buf, l.sequence+1)
	return buf, nil
}

// write appends a frame and syncs it, or leaves the file as it was.
func (l *Log) write(frame []byte) error {
	if _, err := l.file.Write(frame); err != nil {
		return l.undo(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", err)
	}
	l.size += int64(len(frame))
	return nil
}

func (l *Log) undo(cause error) error {
	if !disk.IsFull(cause) {
		return l.fail("write", cause)
	}
	if err := l.file.Truncate(l.size); err != nil {
		return l.fail("truncate", err)
	}
	return eris.Wrapf(ErrDiskFull, "append to %s", l.active.path)
}

func (l *Log) fail(op string, cause error) error {
	l.failed = &FatalError{File: l.active.path, Op: op, Err: cause}
	return l.failed
}

// note keeps what the next segment's first frame and Release need.
func (l *Log) note(records []*wirepb.LogRecord) {
	for _, r := range records {
		if r.Hard != nil {
			l.hard = r.Hard
		}
		for _, e := range r.Entries {
			l.active.last = max(l.active.last, e.Index)
		}
	}
}

// Release removes the segments that hold no entry after an index. The caller
// has a durable snapshot that covers the index.
func (l *Log) Release(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	n := 0
	for n < len(l.segments) && l.segments[n].last <= index {
		if err := os.Remove(l.segments[n].path); err != nil {
			return eris.Wrap(err, "remove segment")
		}
		n++
	}
	if n == 0 {
		return nil
	}
	l.segments = l.segments[n:]
	return disk.SyncDir(l.dir)
}

// Close releases files and lock. It writes nothing.
func (l *Log) Close() error {
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	l.failed = ErrClosed
	err := l.file.Close()
	return errors.Join(err, l.lock.Close())
}

// begin makes the next segment. Its first frame repeats the hard state, so
// that older segments can go. It appears under its name only when it is whole.
func (l *Log) begin() error {
	first := l.sequence + 1
	path := filepath.Join(l.dir, segmentName(first))
	temp := path + tempSuffix
	f, size, err := l.writeFirst(temp)
	if err != nil {
		_ = os.Remove(temp)
		return err
	}
	if err := errors.Join(os.Rename(temp, path), disk.SyncDir(l.dir)); err != nil {
		_ = f.Close()
		return l.fail("rename", err)
	}
	if l.file != nil {
		_ = l.file.Close()
		l.segments = append(l.segments, l.active)
	}
	l.active = segment{path: path}
	l.file = f
	l.size = size
	l.sequence = first
	return nil
}

func (l *Log) writeFirst(path string) (file, int64, error) {
	frame, err := l.encode([]*wirepb.LogRecord{{Hard: l.hard}})
	if err != nil {
		return nil, 0, err
	}
	f, err := l.opts.create(path)
	if err != nil {
		return nil, 0, firstError(path, "create", err)
	}
	buf := append(fileHead(), frame...)
	if _, err := f.Write(buf); err != nil {
		_ = f.Close()
		return nil, 0, firstError(path, "write", err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return nil, 0, &FatalError{File: path, Op: "sync", Err: err}
	}
	return f, int64(len(buf)), nil
}

func firstError(path, op string, err error) error {
	if disk.IsFull(err) {
		return eris.Wrapf(ErrDiskFull, "%s %s", op, path)
	}
	return &FatalError{File: path, Op: op, Err: err}
}
