package wal

import (
	"errors"
	"fmt"
)

// Sentinel errors of the log files.
var (
	// ErrLocked: another process has the folder open.
	ErrLocked = errors.New("wal: folder is in use by another process")
	// ErrDiskFull: nothing was written; the same append can be tried again
	// once there is room.
	ErrDiskFull = errors.New("wal: disk is full")
	// ErrVersion: a file has a format version that this program cannot read.
	ErrVersion = errors.New("wal: unknown format version")
	// ErrTooLarge: an append exceeds MaxFrameBytes.
	ErrTooLarge = errors.New("wal: append is too large")
	// ErrClosed: the log was closed.
	ErrClosed = errors.New("wal: closed")
)

// DamageError tells that a file is damaged where a sync had succeeded.
type DamageError struct {
	File string
	// Offset of the damage in the file, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FatalError tells that the state of the disk is unknown, as after a failed
// sync. The process must end: a later sync may succeed without the lost pages.
type FatalError struct {
	File string
	Op   string
	Err  error
}

// Error implements error.
func (e *FatalError) Error() string {
	return fmt.Sprintf("wal: %s of %s failed: %v", e.Op, e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FatalError) Unwrap() error { return e.Err }
