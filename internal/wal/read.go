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
)

// Version is the format version of the files.
const Version = 1

const (
	magic         = "endivwal"
	fileHeadBytes = 16
	segmentSuffix = ".wal"
	tempSuffix    = ".tmp"
)

func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// fileHead returns the start of a segment: magic, version, checksum of both.
func fileHead() []byte {
	buf := make([]byte, fileHeadBytes)
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[8:], Version)
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf
}

// checkHead checks the start of a segment. Segments get their name only when
// whole, so a short head is damage too.
func checkHead(path string, text []byte) error {
	if len(text) < fileHeadBytes || string(text[:len(magic)]) != magic {
		return &DamageError{File: path, Reason: "no file header"}
	}
	if binary.LittleEndian.Uint32(text[12:]) != crc32.Checksum(text[:12], castagnoli) {
		return &DamageError{File: path, Reason: "file header checksum"}
	}
	if v := binary.LittleEndian.Uint32(text[8:]); v != Version {
		return eris.Wrapf(ErrVersion, "%s has version %d", path, v)
	}
	return nil
}

// anchor tells where the first entry's index comes from.
type anchor uint8

const (
	nowhere anchor = iota
	atEntry
	atSnapshot
)

// reader replays the segments of a folder.
type reader struct {
	dir      string
	segments []segment
	sequence uint64
	hard     *wirepb.HardState
	entries  []*wirepb.Entry
	// floor is the index before the first entry: that of a snapshot, or what
	// the oldest segment left begins with.
	floor  uint64
	anchor anchor
	// size and cut belong to the last segment: its whole part and the rest.
	size, cut int64
}

// readAll replays every segment and removes files that were never finished.
func (r *reader) readAll() error {
	names, err := r.list()
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

func (r *reader) list() ([]string, error) {
	files, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, eris.Wrap(err, "list log folder")
	}
	var names []string
	for _, f := range files {
		switch {
		case strings.HasSuffix(f.Name(), segmentSuffix+tempSuffix):
			if err := os.Remove(filepath.Join(r.dir, f.Name())); err != nil {
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
		return &DamageError{File: path, Reason: "file name is no sequence"}
	}
	if len(r.segments) > 0 && first != r.sequence+1 {
		return &DamageError{File: path, Reason: fmt.Sprintf("segment %016x is missing before it", r.sequence+1)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read segment")
	}
	return r.readText(path, first, text, last)
}

// readText replays a segment whose first frame has the given sequence.
func (r *reader) readText(path string, first uint64, text []byte, last bool) error {
	if err := checkHead(path, text); err != nil {
		return err
	}
	r.sequence = first - 1
	r.segments = append(r.segments, segment{path: path})
	return r.readFrames(path, text, last)
}

func (r *reader) readFrames(path string, text []byte, last bool) error {
	offset := fileHeadBytes
	for offset < len(text) {
		h, body, ok := parseFrame(text[offset:])
		if !ok && last && torn(text, offset, r.sequence+1) {
			break
		}
		if !ok {
			return &DamageError{File: path, Offset: int64(offset), Reason: "frame checksum"}
		}
		if h.sequence != r.sequence+1 {
			return &DamageError{File: path, Offset: int64(offset), Reason: "frame out of sequence"}
		}
		if err := r.replay(body); err != nil {
			return &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		r.sequence = h.sequence
		offset += frameHeadBytes + len(body)
	}
	r.size = int64(offset)
	r.cut = int64(len(text) - offset)
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
			r.floor, r.anchor = rec.Snapshot.Index, atSnapshot
		}
		for _, e := range rec.Entries {
			if err := r.add(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// add appends an entry; one at an index that is there already replaces it and
// all that follow.
func (r *reader) add(e *wirepb.Entry) error {
	// The oldest segment left may begin with entries that were replaced from
	// an index on whose first version went with a released segment.
	if r.anchor == nowhere || (r.anchor == atEntry && e.Index <= r.floor) {
		r.floor, r.anchor = e.Index-1, atEntry
		r.entries = nil
	}
	next := r.floor + uint64(len(r.entries)) + 1
	if e.Index > next || e.Index <= r.floor {
		return fmt.Errorf("entry %d where %d is next", e.Index, next)
	}
	r.entries = append(r.entries[:e.Index-r.floor-1], e)
	seg := &r.segments[len(r.segments)-1]
	seg.last = max(seg.last, e.Index)
	return nil
}
