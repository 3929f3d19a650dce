package wal

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 40}) }

// model is the expected content of a log.
type model struct {
	hard *wirepb.HardState
	// first is the index of the first entry.
	first uint64
	// terms holds the term of each entry; terms[0] is that of the entry at first.
	terms []uint64
	// released is the largest index released.
	released uint64
}

func (m *model) next() uint64 { return m.first + uint64(len(m.terms)) }

// record draws a log record at random and updates the model. The record has
// entries, which may replace the last ones, and may have a new hard state and a
// snapshot that replaces the log.
func (m *model) record(rt *rapid.T, term uint64) *wirepb.LogRecord {
	r := &wirepb.LogRecord{}
	if rapid.Bool().Draw(rt, "hard") {
		m.hard = &wirepb.HardState{Term: term, Commit: m.next() - 1}
		r.Hard = m.hard
	}
	if rapid.IntRange(0, 9).Draw(rt, "snapshot") == 9 {
		m.first, m.terms = m.next()+5, nil
		r.Snapshot = &wirepb.SnapshotMeta{Index: m.first - 1, Term: term}
	}
	keep := max(len(m.terms)-rapid.IntRange(0, 3).Draw(rt, "over"), 0)
	if m.first+uint64(keep) <= m.released {
		keep = len(m.terms)
	}
	m.terms = m.terms[:keep:keep]
	for range rapid.IntRange(1, 4).Draw(rt, "entries") {
		r.Entries = append(r.Entries, record(nil, term, m.next()).Entries...)
		m.terms = append(m.terms, term)
	}
	return r
}

func (m *model) check(t *testing.T, found *Recovered) {
	t.Helper()
	assert.Equal(t, found.Hard.GetCommit(), m.hard.GetCommit())
	assert.Equal(t, found.Hard.GetTerm(), m.hard.GetTerm())
	last := found.Entries[len(found.Entries)-1].Index
	assert.Equal(t, last, m.next()-1)
	assert.Assert(t, found.Entries[0].Index <= max(m.first, m.released+1))
	for _, e := range found.Entries {
		if e.Index >= m.first {
			assert.Equal(t, e.Term, m.terms[e.Index-m.first], "entry %d", e.Index)
		}
	}
}

// TestReopenedLogIsTheOneWritten checks that a reopened log holds what was written
// to it, with replaced entries, snapshots, released segments and restarts.
func TestReopenedLogIsTheOneWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "log")
		assert.NilError(t, err)
		opts := Options{SegmentBytes: int64(rapid.IntRange(1, 400).Draw(rt, "segment"))}
		l, _, err := Open(dir, opts)
		assert.NilError(t, err)
		m := &model{first: 1}
		for term := range uint64(rapid.IntRange(1, 20).Draw(rt, "appends")) {
			assert.NilError(t, l.Append(m.record(rt, term+1), m.record(rt, term+1)))
			if rapid.IntRange(0, 4).Draw(rt, "release") == 4 {
				m.released = max(m.released, m.first, m.next()-1-min(4, m.next()-1))
				assert.NilError(t, l.Release(m.released))
			}
			if rapid.IntRange(0, 4).Draw(rt, "restart") == 4 {
				assert.NilError(t, l.Close())
				var found *Recovered
				l, found, err = Open(dir, opts)
				assert.NilError(t, err)
				m.check(t, found)
			}
		}
		assert.NilError(t, l.Close())
	})
}
