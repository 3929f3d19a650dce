package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A segment is a file header and frames. A frame is what one Append wrote:
//
//	length of body   4 bytes
//	checksum of body 4 bytes
//	sequence         8 bytes
//	checksum of the 16 bytes before 4 bytes
//	body
//
// Numbers are little-endian; checksums are CRC-32C. The sequence grows by one
// with every frame of the log.
const (
	frameHeadBytes = 20
	// MaxFrameBytes bounds the body of a frame.
	MaxFrameBytes = 64 << 20
	// sectorBytes is the unit that a disk writes whole.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frameHead struct {
	length   uint32
	checksum uint32
	sequence uint64
}

// sealFrame fills in the head of a frame whose body is buf[frameHeadBytes:].
func sealFrame(buf []byte, sequence uint64) {
	body := buf[frameHeadBytes:]
	binary.LittleEndian.PutUint32(buf[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint64(buf[8:], sequence)
	binary.LittleEndian.PutUint32(buf[16:], crc32.Checksum(buf[:16], castagnoli))
}

// parseHead reads a frame's head; false if it is short or damaged.
func parseHead(buf []byte) (frameHead, bool) {
	if len(buf) < frameHeadBytes {
		return frameHead{}, false
	}
	if binary.LittleEndian.Uint32(buf[16:]) != crc32.Checksum(buf[:16], castagnoli) {
		return frameHead{}, false
	}
	h := frameHead{
		length:   binary.LittleEndian.Uint32(buf[0:]),
		checksum: binary.LittleEndian.Uint32(buf[4:]),
		sequence: binary.LittleEndian.Uint64(buf[8:]),
	}
	return h, h.length <= MaxFrameBytes
}

// parseFrame returns the body of the frame at the start of buf; false if the
// frame is short or damaged.
func parseFrame(buf []byte) (frameHead, []byte, bool) {
	h, ok := parseHead(buf)
	if !ok || uint64(len(buf)-frameHeadBytes) < uint64(h.length) {
		return h, nil, false
	}
	body := buf[frameHeadBytes : frameHeadBytes+int(h.length)]
	return h, body, crc32.Checksum(body, castagnoli) == h.checksum
}

// torn tells whether the bad frame at an offset can be the unsynced end of a
// file: its bytes are cut off or were in part never written, and no intact
// frame follows. An intact one proves that a later sync succeeded.
func torn(file []byte, offset int, sequence uint64) bool {
	rest := file[offset:]
	return !followed(rest, sequence) && incomplete(rest, offset)
}

// followed tells whether an intact frame of a later sequence starts anywhere
// after the first byte.
func followed(rest []byte, sequence uint64) bool {
	for i := 1; i+frameHeadBytes <= len(rest); i++ {
		h, ok := parseHead(rest[i:])
		if !ok || h.sequence <= sequence {
			continue
		}
		if _, _, ok := parseFrame(rest[i:]); ok {
			return true
		}
	}
	return false
}

// incomplete tells whether the frame's bytes end early, or a part of it that
// lies in one sector is all zeros.
func incomplete(rest []byte, offset int) bool {
	if len(rest) < frameHeadBytes {
		return true
	}
	size := frameHeadBytes
	if h, ok := parseHead(rest); ok {
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
