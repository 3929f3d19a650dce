package wal

import (
	"errors"
	"fmt"
)

// Sentinel errors of the log files.
var (
	// ErrLocked means that another process has the folder open.
	ErrLocked = errors.New("wal: folder is in use by another process")
	// ErrDiskFull means that the disk is full and the log is unchanged. The same
	// call can be repeated once there is space.
	ErrDiskFull = errors.New("wal: disk is full")
	// ErrVersion means that a file has a format version that this program can't
	// read.
	ErrVersion = errors.New("wal: unknown format version")
	// ErrTooLarge means that an append exceeds MaxFrameBytes.
	ErrTooLarge = errors.New("wal: append is too large")
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("wal: closed")
)

// DamageError reports damage in data that was synced.
type DamageError struct {
	File string
	// Offset is the position of the damage in the file, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FatalError reports that the state of the disk is unknown, as after a sync that
// failed although the disk was not full. The process must end, because a later sync
// may succeed although pages were lost.
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
