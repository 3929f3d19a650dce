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

// Writer writes one snapshot. The snapshot exists only after Commit.
type Writer struct {
	dir, temp, path string
	file            *disk.File
	buf             *bufio.Writer
	chunk           []byte
	checksum        uint32
	stateBytes      int64
	closed          bool
}

// Create starts a snapshot. Errors: ErrDiskFull, ErrTooLarge, those of the file
// system.
func Create(dir string, meta *wirepb.SnapshotMeta) (*Writer, error) {
	metadata, err := proto.Marshal(meta)
	if err != nil {
		return nil, eris.Wrap(err, "marshal snapshot metadata")
	}
	if len(metadata) > maxChunkBytes {
		return nil, ErrMetadataTooLarge
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, wrap(err, "create snapshot folder")
	}
	path := filepath.Join(dir, fileName(meta.Index, meta.Term))
	f, err := disk.CreateFile(path + tempSuffix)
	if err != nil {
		return nil, wrap(err, "create snapshot")
	}
	w := &Writer{dir: dir, temp: path + tempSuffix, path: path, file: f, buf: bufio.NewWriterSize(f, chunkBytes)}
	if err := w.writeHeader(metadata); err != nil {
		w.Abort()
		return nil, err
	}
	return w, nil
}

func (w *Writer) writeHeader(metadata []byte) error {
	if _, err := w.buf.Write(fileHeader()); err != nil {
		return wrap(err, "write snapshot")
	}
	return w.writeChunk(metadata)
}

// Write implements io.Writer. Errors: ErrDiskFull, ErrClosed, those of the file
// system.
func (w *Writer) Write(p []byte) (int, error) {
	if w.closed {
		return 0, ErrClosed
	}
	n := len(p)
	for len(p) > 0 {
		size := min(len(p), chunkBytes-len(w.chunk))
		w.chunk = append(w.chunk, p[:size]...)
		p = p[size:]
		if len(w.chunk) == chunkBytes {
			if err := w.flushChunk(); err != nil {
				return n - len(p), err
			}
		}
	}
	w.stateBytes += int64(n)
	return n, nil
}

// Bytes returns the number of bytes of state written so far.
func (w *Writer) Bytes() int64 { return w.stateBytes }

func (w *Writer) flushChunk() error {
	if len(w.chunk) == 0 {
		return nil
	}
	err := w.writeChunk(w.chunk)
	w.chunk = w.chunk[:0]
	return err
}

func (w *Writer) writeChunk(chunk []byte) error {
	header, sum := chunkHeader(w.checksum, chunk)
	w.checksum = sum
	if _, err := w.buf.Write(header[:]); err != nil {
		return wrap(err, "write snapshot")
	}
	if _, err := w.buf.Write(chunk); err != nil {
		return wrap(err, "write snapshot")
	}
	return nil
}

// Commit makes the snapshot durable under its final name. After an error the
// file is gone and the snapshot does not count as stored.
func (w *Writer) Commit() error {
	if w.closed {
		return ErrClosed
	}
	if err := w.finish(); err != nil {
		w.Abort()
		return err
	}
	w.closed = true
	return w.publish()
}

// publish gives the file its final name. If the name can't be made durable, it is
// taken back, unless it stood for an earlier file: the contents are the same.
func (w *Writer) publish() error {
	_, err := os.Stat(w.path)
	replaces := err == nil
	if err := disk.RenameFile(w.temp, w.path); err != nil {
		_ = disk.RemoveFile(w.temp)
		return wrap(err, "rename snapshot")
	}
	err = disk.SyncDir(w.dir)
	if err != nil && !replaces {
		_ = disk.RemoveFile(w.path)
	}
	return wrap(err, "sync snapshot folder")
}

func (w *Writer) finish() error {
	if err := w.flushChunk(); err != nil {
		return err
	}
	if err := w.writeChunk(nil); err != nil {
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

// Abort discards the snapshot. It does nothing after Commit.
func (w *Writer) Abort() {
	if w.closed {
		return
	}
	w.closed = true
	_ = w.file.Close()
	_ = disk.RemoveFile(w.temp)
}

// wrap adds the failed operation to an error. The result wraps ErrDiskFull if
// the disk or the quota is full.
func wrap(err error, operation string) error {
	if disk.IsFull(err) {
		return eris.Wrap(ErrDiskFull, operation)
	}
	return eris.Wrap(err, operation)
}
