package wal

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

func record(hard *wirepb.HardState, term uint64, indexes ...uint64) *wirepb.LogRecord {
	r := &wirepb.LogRecord{Hard: hard}
	for _, i := range indexes {
		r.Entries = append(r.Entries, &wirepb.Entry{Index: i, Term: term, Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: []byte("data")})
	}
	return r
}

func mustOpen(t testing.TB, dir string, opts Options) (*Log, *Recovered) {
	t.Helper()
	l, found, err := Open(dir, opts)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	return l, found
}

func TestAppendedRecordsAreRecovered(t *testing.T) {
	dir := t.TempDir()
	l, found := mustOpen(t, dir, Options{SegmentBytes: 100})
	assert.Assert(t, found.Hard == nil)
	assert.NilError(t, l.Append(record(&wirepb.HardState{Term: 1, Vote: 2}, 1, 1, 2, 3)))
	assert.NilError(t, l.Append(record(nil, 1, 4), record(&wirepb.HardState{Term: 2, Commit: 2}, 2, 3, 4, 5)))
	assert.NilError(t, l.Append(record(nil, 2, 6, 7)))
	_, _, err := Open(dir, Options{})
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, l.Close())

	l, found = mustOpen(t, dir, Options{SegmentBytes: 100})
	assert.Assert(t, len(l.fullSegments) > 0)
	assert.Equal(t, found.Hard.Term, uint64(2))
	assert.Equal(t, len(found.Entries), 7)
	assert.Equal(t, found.Entries[2].Term, uint64(2))
	assert.NilError(t, l.Release(7))
	assert.NilError(t, l.Close())

	_, found = mustOpen(t, dir, Options{})
	assert.Equal(t, found.Hard.Term, uint64(2))
	last := found.Entries[len(found.Entries)-1]
	assert.Equal(t, last.Index, uint64(7))
}
