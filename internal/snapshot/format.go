// Package snapshot stores snapshots of the state machine as files in one
// folder. A file gets its final name only when it is complete and synced.
//
// A file is a file header (magic, version, checksum of both) followed by
// chunks. A chunk is its length, a checksum and its bytes. The checksum covers
// the lengths and bytes of all chunks up to and including this one. The first
// chunk holds the metadata, and an empty chunk marks the end. Numbers are
// little-endian; checksums are CRC-32C.
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
	magic            = "endivsnp"
	fileHeaderBytes  = 16
	chunkHeaderBytes = 8
	// chunkBytes is the size of a full chunk of state that a Writer writes.
	chunkBytes = 256 << 10
	// maxChunkBytes limits the length of a chunk, and so the memory that a
	// reader needs.
	maxChunkBytes = 4 << 20
	fileSuffix    = ".snap"
	tempSuffix    = ".tmp"
)

// Sentinel errors of snapshots.
var (
	// ErrNotFound means that the folder holds no valid snapshot.
	ErrNotFound = errors.New("snapshot: none found")
	// ErrVersion means that a file has a format version that this program can't
	// read.
	ErrVersion = errors.New("snapshot: unknown format version")
	// ErrDiskFull means that the disk is full and the snapshot was not stored.
	// Older snapshots are unchanged.
	ErrDiskFull = errors.New("snapshot: disk is full")
	// ErrMetadataTooLarge means that the metadata does not fit into a chunk.
	ErrMetadataTooLarge = errors.New("snapshot: metadata is too large")
	// ErrClosed means that the writer was committed or aborted.
	ErrClosed = errors.New("snapshot: writer is closed")
)

// DamageError reports that the content of a file differs from what was written.
type DamageError struct {
	File string
	// Offset is the position of the damaged chunk in the file, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("snapshot: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func fileName(index, term uint64) string {
	return fmt.Sprintf("%016x-%016x%s", index, term, fileSuffix)
}

// fileHeader returns the header of a snapshot file: magic, version and a
// checksum of both.
func fileHeader() []byte {
	buf := make([]byte, fileHeaderBytes)
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[8:], Version)
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf
}

func checkFileHeader(path string, header []byte) error {
	if string(header[:len(magic)]) != magic {
		return &DamageError{File: path, Reason: "no file header"}
	}
	if binary.LittleEndian.Uint32(header[12:]) != crc32.Checksum(header[:12], castagnoli) {
		return &DamageError{File: path, Reason: "bad file header checksum"}
	}
	if v := binary.LittleEndian.Uint32(header[8:]); v != Version {
		return eris.Wrapf(ErrVersion, "%s has version %d", path, v)
	}
	return nil
}

// chunkHeader returns the header of a chunk and the checksum of all chunks up
// to and including it. sum is the checksum of the chunks before.
func chunkHeader(sum uint32, chunk []byte) ([chunkHeaderBytes]byte, uint32) {
	var header [chunkHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(chunk)))
	// The checksum covers the length, so that an empty chunk changes it too.
	sum = crc32.Update(sum, castagnoli, header[:4])
	sum = crc32.Update(sum, castagnoli, chunk)
	binary.LittleEndian.PutUint32(header[4:], sum)
	return header, sum
}

func isSnapshot(path string) bool { return strings.HasSuffix(filepath.Base(path), fileSuffix) }

func isUnfinished(path string) bool {
	return strings.HasSuffix(filepath.Base(path), fileSuffix+tempSuffix)
}
