package wal

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// benchEntryBytes is the data size of one entry, as large as the acceptance of a
// small job.
const benchEntryBytes = 256

// BenchmarkGroupCommit appends one entry of each writer with a single sync. With
// one writer, each entry has its own sync.
func BenchmarkGroupCommit(b *testing.B) {
	for _, writers := range []int{1, 8, 64, 256, 1024} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			l, _ := mustOpen(b, b.TempDir(), Options{})
			var index uint64
			for b.Loop() {
				r := &wirepb.LogRecord{}
				for range writers {
					index++
					r.Entries = append(r.Entries, benchEntry(index))
				}
				assert.NilError(b, l.Append(r))
			}
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(float64(folderBytes(b, l.dir))/float64(index), "disk-B/entry")
		})
	}
}

// BenchmarkOpen opens a log of 10,000 entries.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	l, _, err := Open(dir, Options{})
	assert.NilError(b, err)
	for batch := range uint64(100) {
		r := &wirepb.LogRecord{}
		for i := range uint64(100) {
			r.Entries = append(r.Entries, benchEntry(batch*100+i+1))
		}
		assert.NilError(b, l.Append(r))
	}
	assert.NilError(b, l.Close())
	for b.Loop() {
		l, found, err := Open(dir, Options{})
		assert.NilError(b, err)
		assert.Equal(b, len(found.Entries), 10_000)
		assert.NilError(b, l.Close())
	}
}

func benchEntry(index uint64) *wirepb.Entry {
	return &wirepb.Entry{
		Index: index, Term: 3, Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: make([]byte, benchEntryBytes),
	}
}

func folderBytes(b *testing.B, dir string) int64 {
	b.Helper()
	files, err := os.ReadDir(dir)
	assert.NilError(b, err)
	var sum int64
	for _, f := range files {
		info, err := f.Info()
		assert.NilError(b, err)
		sum += info.Size()
	}
	return sum
}
