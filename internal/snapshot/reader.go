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

// Reader streams the state of one snapshot. It returns only bytes whose
// checksum was verified.
type Reader struct {
	path     string
	src      io.Reader
	closer   io.Closer
	meta     *wirepb.SnapshotMeta
	checksum uint32
	offset   int64
	chunk    []byte
	done     bool
}

// OpenNewest opens the newest valid snapshot. It first verifies each candidate by
// reading it to its end. Damaged files are skipped and returned as findings.
// Errors: ErrNotFound, ErrVersion, those of the file system.
func OpenNewest(dir string) (r *Reader, findings []error, err error) {
	paths, err := listSnapshots(dir)
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
	return nil, findings, ErrNotFound
}

// listSnapshots returns the paths of the committed snapshots, oldest first.
func listSnapshots(dir string) ([]string, error) {
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
	// A name is index and term in fixed width, so the order by name is the order
	// by age.
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

// newReader reads the file header and the metadata.
func newReader(path string, src io.Reader, closer io.Closer) (*Reader, error) {
	r := &Reader{path: path, src: src, closer: closer}
	header := make([]byte, fileHeaderBytes)
	if _, err := io.ReadFull(src, header); err != nil {
		return nil, r.shortReadError(err)
	}
	if err := checkFileHeader(path, header); err != nil {
		return nil, err
	}
	r.offset = fileHeaderBytes
	metadata, err := r.nextChunk()
	if err != nil {
		return nil, err
	}
	r.meta = new(wirepb.SnapshotMeta)
	if err := proto.Unmarshal(metadata, r.meta); err != nil {
		return nil, r.damageError("bad metadata")
	}
	return r, nil
}

// Meta returns the metadata of the snapshot, such as its index and term.
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
		chunk, err := r.nextChunk()
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

// nextChunk reads one chunk and verifies its checksum.
func (r *Reader) nextChunk() ([]byte, error) {
	var header [chunkHeaderBytes]byte
	if _, err := io.ReadFull(r.src, header[:]); err != nil {
		return nil, r.shortReadError(err)
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length > maxChunkBytes {
		return nil, r.damageError("bad chunk length")
	}
	chunk := make([]byte, length)
	if _, err := io.ReadFull(r.src, chunk); err != nil {
		return nil, r.shortReadError(err)
	}
	want, sum := chunkHeader(r.checksum, chunk)
	if want != header {
		return nil, r.damageError("bad chunk checksum")
	}
	r.checksum = sum
	r.offset += chunkHeaderBytes + int64(length)
	return chunk, nil
}

// shortReadError returns the error of a failed read. The end of the file counts
// as damage.
func (r *Reader) shortReadError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return r.damageError("file ends early")
	}
	return eris.Wrapf(err, "read %s", r.path)
}

func (r *Reader) damageError(reason string) error {
	return &DamageError{File: r.path, Offset: r.offset, Reason: reason}
}

// Close closes the file.
func (r *Reader) Close() error { return r.closer.Close() }

// Prune removes unfinished snapshots and the snapshots with a smaller index
// than the given one, which must be that of a valid snapshot. It must not run
// while a Writer is open in the folder.
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
			errs = append(errs, disk.RemoveFile(filepath.Join(dir, f.Name())))
		}
	}
	return eris.Wrap(errors.Join(append(errs, disk.SyncDir(dir))...), "prune snapshots")
}
