package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A segment is a file header followed by frames. Its first frame holds the hard
// state, and each Append writes one more frame. A frame consists of:
//
//	length of the body              4 bytes
//	checksum of the body            4 bytes
//	sequence number                 8 bytes
//	checksum of the 16 bytes before 4 bytes
//	body
//
// Numbers are little-endian; checksums are CRC-32C. The sequence number grows by
// one with every frame of the log.
const (
	frameHeaderBytes = 20
	// MaxFrameBytes limits the size of a frame's body.
	MaxFrameBytes = 64 << 20
	// sectorBytes is the size of the unit that a disk writes atomically.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frameHeader struct {
	length   uint32
	checksum uint32
	sequence uint64
}

// fillFrameHeader fills in the header of a frame whose body is
// buf[frameHeaderBytes:].
func fillFrameHeader(buf []byte, sequence uint64) {
	body := buf[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(buf[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint64(buf[8:], sequence)
	binary.LittleEndian.PutUint32(buf[16:], crc32.Checksum(buf[:16], castagnoli))
}

// parseFrameHeader returns the frame header at the start of buf; false if it is
// short or damaged.
func parseFrameHeader(buf []byte) (frameHeader, bool) {
	if len(buf) < frameHeaderBytes {
		return frameHeader{}, false
	}
	if binary.LittleEndian.Uint32(buf[16:]) != crc32.Checksum(buf[:16], castagnoli) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length:   binary.LittleEndian.Uint32(buf[0:]),
		checksum: binary.LittleEndian.Uint32(buf[4:]),
		sequence: binary.LittleEndian.Uint64(buf[8:]),
	}
	return h, h.length <= MaxFrameBytes
}

// parseFrame returns the body of the frame at the start of buf; false if the
// frame is short or damaged.
func parseFrame(buf []byte) (frameHeader, []byte, bool) {
	h, ok := parseFrameHeader(buf)
	if !ok || uint64(len(buf)-frameHeaderBytes) < uint64(h.length) {
		return h, nil, false
	}
	body := buf[frameHeaderBytes : frameHeaderBytes+int(h.length)]
	return h, body, crc32.Checksum(body, castagnoli) == h.checksum
}

// torn reports whether the invalid frame at an offset can be an unsynced write at
// the end of the file. Part of the frame must be missing or never written, and
// no intact frame may follow, since one would prove that a later sync succeeded.
func torn(file []byte, offset int, sequence uint64) bool {
	rest := file[offset:]
	return !hasLaterFrame(rest, sequence) && incomplete(rest, offset)
}

// hasLaterFrame reports whether an intact frame with a larger sequence number
// starts in rest after its first byte.
func hasLaterFrame(rest []byte, sequence uint64) bool {
	for i := 1; i+frameHeaderBytes <= len(rest); i++ {
		h, ok := parseFrameHeader(rest[i:])
		if !ok || h.sequence <= sequence {
			continue
		}
		if _, _, ok := parseFrame(rest[i:]); ok {
			return true
		}
	}
	return false
}

// incomplete reports whether the file ends before the frame does, or the part of
// the frame in some sector is all zeros, which means that the sector was never
// written.
func incomplete(rest []byte, offset int) bool {
	if len(rest) < frameHeaderBytes {
		return true
	}
	size := frameHeaderBytes
	if h, ok := parseFrameHeader(rest); ok {
		size += int(h.length)
	}
	if len(rest) < size {
		return true
	}
	for start := 0; start < size; {
		end := min(size, start+sectorBytes-(offset+start)%sectorBytes)
		if len(bytes.Trim(rest[start:end], "\x00")) == 0 {
			return true
		}
		start = end
	}
	return false
}
