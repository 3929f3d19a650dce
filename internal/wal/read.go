package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/disk"
)

// Version is the format version of the segment files.
const Version = 1

const (
	magic           = "endivwal"
	fileHeaderBytes = 16
	segmentSuffix   = ".wal"
	tempSuffix      = ".tmp"
)

// segmentName returns the file name of the segment whose first frame has the
// given sequence number.
func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// fileHeader returns the header of a segment file: magic, version and a checksum
// of both.
func fileHeader() []byte {
	buf := make([]byte, fileHeaderBytes)
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[8:], Version)
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf
}

// checkFileHeader checks the header of a segment file. A segment gets its name
// only when its first frame is synced, so a short header is damage too.
func checkFileHeader(path string, data []byte) error {
	if len(data) < fileHeaderBytes || string(data[:len(magic)]) != magic {
		return &DamageError{File: path, Reason: "no file header"}
	}
	if binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) {
		return &DamageError{File: path, Reason: "bad file header checksum"}
	}
	if v := binary.LittleEndian.Uint32(data[8:]); v != Version {
		return eris.Wrapf(ErrVersion, "%s has version %d", path, v)
	}
	return nil
}

// baseSource is the source of reader.baseIndex.
type baseSource uint8

const (
	// baseUnknown means that no entry or snapshot was read yet.
	baseUnknown baseSource = iota
	// baseFromEntry means that the base comes from the first entry read.
	baseFromEntry
	// baseFromSnapshot means that the base is the index of a snapshot.
	baseFromSnapshot
)

// reader replays the segments of a folder.
type reader struct {
	dir      string
	segments []segment
	sequence uint64
	hard     *wirepb.HardState
	entries  []*wirepb.Entry
	// baseIndex is the index before the first entry. It comes from a snapshot or
	// from the entries of the oldest segment.
	baseIndex  uint64
	baseSource baseSource
	// size is the length of the intact part of the last segment; tornBytes is
	// the length of the torn tail after it.
	size, tornBytes int64
}

// readAll replays every segment and removes unfinished segment files.
func (r *reader) readAll() error {
	names, err := r.listSegments()
	if err != nil {
		return err
	}
	for i, name := range names {
		if err := r.readSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) listSegments() ([]string, error) {
	files, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, eris.Wrap(err, "list log folder")
	}
	var names []string
	for _, f := range files {
		switch {
		case strings.HasSuffix(f.Name(), segmentSuffix+tempSuffix):
			// While the disk is full the file may have to stay. It is replaced later.
			if err := disk.RemoveFile(filepath.Join(r.dir, f.Name())); err != nil && !disk.IsFull(err) {
				return nil, eris.Wrap(err, "remove unfinished segment")
			}
		case strings.HasSuffix(f.Name(), segmentSuffix):
			names = append(names, f.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (r *reader) readSegment(name string, last bool) error {
	path := filepath.Join(r.dir, name)
	first, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	if err != nil {
		return &DamageError{File: path, Reason: "file name is not a sequence number"}
	}
	if len(r.segments) > 0 && first != r.sequence+1 {
		return &DamageError{File: path, Reason: fmt.Sprintf("segment %016x is missing before it", r.sequence+1)}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read segment")
	}
	return r.readContents(path, first, data, last)
}

// readContents replays a segment whose first frame has the given sequence number.
func (r *reader) readContents(path string, first uint64, data []byte, last bool) error {
	if err := checkFileHeader(path, data); err != nil {
		return err
	}
	r.sequence = first - 1
	r.segments = append(r.segments, segment{path: path})
	return r.readFrames(path, data, last)
}

// readFrames replays the frames of a segment. Only the last segment may end in a
// torn frame.
func (r *reader) readFrames(path string, data []byte, last bool) error {
	offset := fileHeaderBytes
	for offset < len(data) {
		h, body, ok := parseFrame(data[offset:])
		if !ok && last && torn(data, offset, r.sequence+1) {
			break
		}
		if !ok {
			return &DamageError{File: path, Offset: int64(offset), Reason: "bad frame checksum"}
		}
		if h.sequence != r.sequence+1 {
			return &DamageError{File: path, Offset: int64(offset), Reason: "frame is out of sequence"}
		}
		if err := r.replay(body); err != nil {
			return &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		r.sequence = h.sequence
		offset += frameHeaderBytes + len(body)
	}
	r.size = int64(offset)
	r.tornBytes = int64(len(data) - offset)
	return nil
}

func (r *reader) replay(body []byte) error {
	var frame wirepb.LogFrame
	if err := proto.Unmarshal(body, &frame); err != nil {
		return err
	}
	for _, rec := range frame.Records {
		if rec.Hard != nil {
			r.hard = rec.Hard
		}
		if rec.Snapshot != nil {
			r.entries = nil
			r.baseIndex, r.baseSource = rec.Snapshot.Index, baseFromSnapshot
		}
		for _, e := range rec.Entries {
			if err := r.addEntry(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// addEntry appends an entry. If an entry exists at its index, the new one replaces
// that entry and all after it.
func (r *reader) addEntry(e *wirepb.Entry) error {
	// The oldest remaining segment may begin with entries that are later replaced
	// from a smaller index on. The replaced entries at the smaller indexes were in
	// a released segment, so the log then starts with the replacing entries.
	if r.baseSource == baseUnknown || (r.baseSource == baseFromEntry && e.Index <= r.baseIndex) {
		r.baseIndex, r.baseSource = e.Index-1, baseFromEntry
		r.entries = nil
	}
	next := r.baseIndex + uint64(len(r.entries)) + 1
	if e.Index > next || e.Index <= r.baseIndex {
		return fmt.Errorf("entry %d found where %d is expected", e.Index, next)
	}
	r.entries = append(r.entries[:e.Index-r.baseIndex-1], e)
	seg := &r.segments[len(r.segments)-1]
	seg.last = max(seg.last, e.Index)
	return nil
}
