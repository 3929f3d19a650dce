// Package snapshot keeps snapshots of the state machine as files in one
// folder. A file appears under its name only when it is whole and synced.
//
// A file is a head (magic, version, checksum of both) and chunks. A chunk is
// its length, the checksum of everything in the chunks up to and including
// it, and its bytes. The first chunk is the meta data; an empty one is the
// end. Numbers are little-endian; checksums are CRC-32C.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// Version is the format version of the files.
const Version = 1

const (
	magic          = "endivsnp"
	headBytes      = 16
	chunkHeadBytes = 8
	// chunkBytes is the size of the chunks that a Writer makes.
	chunkBytes = 256 << 10
	// maxChunkBytes bounds what a reader takes into memory at once.
	maxChunkBytes = 4 << 20
	suffix        = ".snap"
	tempSuffix    = ".tmp"
)

// Sentinel errors of snapshots.
var (
	// ErrNone: the folder holds no valid snapshot.
	ErrNone = errors.New("snapshot: none found")
	// ErrVersion: a file has a format version that this program cannot read.
	ErrVersion = errors.New("snapshot: unknown format version")
	// ErrDiskFull: the snapshot was not kept; older ones are untouched.
	ErrDiskFull = errors.New("snapshot: disk is full")
	// ErrTooLarge: the meta data does not fit in a chunk.
	ErrTooLarge = errors.New("snapshot: meta data is too large")
	// ErrClosed: the writer was committed or aborted.
	ErrClosed = errors.New("snapshot: writer is closed")
)

// DamageError tells that a file is not what was written.
type DamageError struct {
	File string
	// Offset of the chunk that is damaged, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("snapshot: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func fileName(index, term uint64) string {
	return fmt.Sprintf("%016x-%016x%s", index, term, suffix)
}

func fileHead() []byte {
	buf := make([]byte, headBytes)
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[8:], Version)
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf
}

func checkHead(path string, head []byte) error {
	if string(head[:len(magic)]) != magic {
		return &DamageError{File: path, Reason: "no file header"}
	}
	if binary.LittleEndian.Uint32(head[12:]) != crc32.Checksum(head[:12], castagnoli) {
		return &DamageError{File: path, Reason: "file header checksum"}
	}
	if v := binary.LittleEndian.Uint32(head[8:]); v != Version {
		return eris.Wrapf(ErrVersion, "%s has version %d", path, v)
	}
	return nil
}

// chunkHead builds the head of a chunk and returns the running checksum.
func chunkHead(sum uint32, chunk []byte) ([chunkHeadBytes]byte, uint32) {
	var head [chunkHeadBytes]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(len(chunk)))
	// The length is part of the checksum, so that an empty chunk has one too.
	sum = crc32.Update(sum, castagnoli, head[:4])
	sum = crc32.Update(sum, castagnoli, chunk)
	binary.LittleEndian.PutUint32(head[4:], sum)
	return head, sum
}

func isSnapshot(path string) bool { return strings.HasSuffix(filepath.Base(path), suffix) }

func isUnfinished(path string) bool { return strings.HasSuffix(filepath.Base(path), suffix+tempSuffix) }
