package snapshot

import (
	"bufio"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/disk"
)

// Writer writes one snapshot. What is written counts only after Commit.
type Writer struct {
	dir, temp, path string
	file            *os.File
	buf             *bufio.Writer
	chunk           []byte
	sum             uint32
	bytes           int64
	closed          bool
}

// Create begins a snapshot. Errors: ErrDiskFull, ErrTooLarge, those of the
// file system.
func Create(dir string, meta *wirepb.SnapshotMeta) (*Writer, error) {
	text, err := proto.Marshal(meta)
	if err != nil {
		return nil, eris.Wrap(err, "marshal snapshot meta data")
	}
	if len(text) > maxChunkBytes {
		return nil, ErrTooLarge
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, wrap(err, "make snapshot folder")
	}
	path := filepath.Join(dir, fileName(meta.Index, meta.Term))
	f, err := os.Create(path + tempSuffix)
	if err != nil {
		return nil, wrap(err, "create snapshot")
	}
	w := &Writer{dir: dir, temp: path + tempSuffix, path: path, file: f, buf: bufio.NewWriterSize(f, chunkBytes)}
	if err := w.begin(text); err != nil {
		w.Abort()
		return nil, err
	}
	return w, nil
}

func (w *Writer) begin(meta []byte) error {
	if _, err := w.buf.Write(fileHead()); err != nil {
		return wrap(err, "write snapshot")
	}
	return w.put(meta)
}

// Write implements io.Writer. Errors: ErrDiskFull, ErrClosed.
func (w *Writer) Write(p []byte) (int, error) {
	if w.closed {
		return 0, ErrClosed
	}
	n := len(p)
	for len(p) > 0 {
		take := min(len(p), chunkBytes-len(w.chunk))
		w.chunk = append(w.chunk, p[:take]...)
		p = p[take:]
		if len(w.chunk) == chunkBytes {
			if err := w.flush(); err != nil {
				return n - len(p), err
			}
		}
	}
	w.bytes += int64(n)
	return n, nil
}

// Bytes returns the length of the state written so far.
func (w *Writer) Bytes() int64 { return w.bytes }

func (w *Writer) flush() error {
	if len(w.chunk) == 0 {
		return nil
	}
	err := w.put(w.chunk)
	w.chunk = w.chunk[:0]
	return err
}

func (w *Writer) put(chunk []byte) error {
	head, sum := chunkHead(w.sum, chunk)
	w.sum = sum
	if _, err := w.buf.Write(head[:]); err != nil {
		return wrap(err, "write snapshot")
	}
	if _, err := w.buf.Write(chunk); err != nil {
		return wrap(err, "write snapshot")
	}
	return nil
}

// Commit makes the snapshot durable under its name. After an error nothing of
// it is kept.
func (w *Writer) Commit() error {
	if w.closed {
		return ErrClosed
	}
	if err := w.finish(); err != nil {
		w.Abort()
		return err
	}
	w.closed = true
	if err := os.Rename(w.temp, w.path); err != nil {
		_ = os.Remove(w.temp)
		return wrap(err, "rename snapshot")
	}
	return disk.SyncDir(w.dir)
}

func (w *Writer) finish() error {
	if err := w.flush(); err != nil {
		return err
	}
	if err := w.put(nil); err != nil {
		return err
	}
	if err := w.buf.Flush(); err != nil {
		return wrap(err, "write snapshot")
	}
	if err := w.file.Sync(); err != nil {
		return wrap(err, "sync snapshot")
	}
	return wrap(w.file.Close(), "close snapshot")
}

// Abort drops the snapshot; after Commit it does nothing.
func (w *Writer) Abort() {
	if w.closed {
		return
	}
	w.closed = true
	_ = w.file.Close()
	_ = os.Remove(w.temp)
}

func wrap(err error, what string) error {
	if disk.IsFull(err) {
		return eris.Wrap(ErrDiskFull, what)
	}
	return eris.Wrap(err, what)
}
