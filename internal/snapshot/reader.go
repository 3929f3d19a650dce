package snapshot

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/disk"
)

// Reader streams the state of one snapshot. Every byte it returns has been
// checked.
type Reader struct {
	path   string
	src    io.Reader
	closer io.Closer
	meta   *wirepb.SnapshotMeta
	sum    uint32
	offset int64
	chunk  []byte
	done   bool
}

// Newest opens the newest snapshot that is whole; it reads each candidate to
// its end first. Damaged ones are skipped and told in findings. Errors:
// ErrNone, ErrVersion, those of the file system.
func Newest(dir string) (r *Reader, findings []error, err error) {
	paths, err := list(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, path := range slices.Backward(paths) {
		err := verify(path)
		var damage *DamageError
		switch {
		case errors.As(err, &damage):
			findings = append(findings, err)
			continue
		case err != nil:
			return nil, findings, err
		}
		r, err := open(path)
		return r, findings, err
	}
	return nil, findings, ErrNone
}

// list returns the paths of finished snapshots, oldest first.
func list(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, eris.Wrap(err, "list snapshot folder")
	}
	var paths []string
	for _, f := range files {
		if isSnapshot(f.Name()) {
			paths = append(paths, filepath.Join(dir, f.Name()))
		}
	}
	// Names are index and term in fixed width, so order by name is by age.
	slices.Sort(paths)
	return paths, nil
}

// verify reads a file to its end.
func verify(path string) error {
	r, err := open(path)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r)
	return errors.Join(err, r.Close())
}

func open(path string) (*Reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open snapshot")
	}
	r, err := newReader(path, bufio.NewReaderSize(f, chunkBytes), f)
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return r, nil
}

// newReader reads head and meta data.
func newReader(path string, src io.Reader, closer io.Closer) (*Reader, error) {
	r := &Reader{path: path, src: src, closer: closer}
	head := make([]byte, headBytes)
	if _, err := io.ReadFull(src, head); err != nil {
		return nil, r.short(err)
	}
	if err := checkHead(path, head); err != nil {
		return nil, err
	}
	r.offset = headBytes
	text, err := r.next()
	if err != nil {
		return nil, err
	}
	r.meta = new(wirepb.SnapshotMeta)
	if err := proto.Unmarshal(text, r.meta); err != nil {
		return nil, r.damage("meta data")
	}
	return r, nil
}

// Meta tells what the snapshot stands for.
func (r *Reader) Meta() *wirepb.SnapshotMeta { return r.meta }

// Path returns the file's path.
func (r *Reader) Path() string { return r.path }

// Read implements io.Reader. Errors: io.EOF after the last byte of a whole
// snapshot, *DamageError.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 {
		if r.done {
			return 0, io.EOF
		}
		chunk, err := r.next()
		if err != nil {
			return 0, err
		}
		r.done = len(chunk) == 0
		r.chunk = chunk
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

// next reads and checks one chunk.
func (r *Reader) next() ([]byte, error) {
	var head [chunkHeadBytes]byte
	if _, err := io.ReadFull(r.src, head[:]); err != nil {
		return nil, r.short(err)
	}
	length := binary.LittleEndian.Uint32(head[0:])
	if length > maxChunkBytes {
		return nil, r.damage("chunk length")
	}
	chunk := make([]byte, length)
	if _, err := io.ReadFull(r.src, chunk); err != nil {
		return nil, r.short(err)
	}
	want, sum := chunkHead(r.sum, chunk)
	if want != head {
		return nil, r.damage("chunk checksum")
	}
	r.sum = sum
	r.offset += chunkHeadBytes + int64(length)
	return chunk, nil
}

func (r *Reader) short(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return r.damage("file ends early")
	}
	return eris.Wrapf(err, "read %s", r.path)
}

func (r *Reader) damage(reason string) error {
	return &DamageError{File: r.path, Offset: r.offset, Reason: reason}
}

// Close releases the file.
func (r *Reader) Close() error { return r.closer.Close() }

// Prune removes unfinished snapshots and those older than one that is known
// to be whole. It must not run while a Writer is open in the folder.
func Prune(dir string, index uint64) error {
	files, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "list snapshot folder")
	}
	oldest := fileName(index, 0)
	var errs []error
	for _, f := range files {
		old := isSnapshot(f.Name()) && f.Name() < oldest
		if old || isUnfinished(f.Name()) {
			errs = append(errs, os.Remove(filepath.Join(dir, f.Name())))
		}
	}
	return eris.Wrap(errors.Join(append(errs, disk.SyncDir(dir))...), "prune snapshots")
}
