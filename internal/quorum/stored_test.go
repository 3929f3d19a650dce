package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// TestStoredLogIsChecked checks that a core starts from any state that a disk can
// hold after a crash, and that it refuses a log that lacks synced entries.
func TestStoredLogIsChecked(t *testing.T) {
	entries := func(term uint64, indexes ...uint64) (out []*wirepb.Entry) {
		for _, i := range indexes {
			out = append(out, &wirepb.Entry{Index: i, Term: term})
		}
		return out
	}
	cases := map[string]struct {
		stored     StoredState
		err        error
		last, term uint64
	}{
		"new":             {stored: StoredState{}},
		"entries":         {stored: StoredState{Hard: HardState{Term: 2, Commit: 2}, Entries: entries(2, 1, 2, 3)}, last: 3, term: 2},
		"gap":             {stored: StoredState{Hard: HardState{Term: 2}, Entries: entries(2, 1, 3)}, err: ErrStoredLogIncomplete},
		"commit lost":     {stored: StoredState{Hard: HardState{Term: 2, Commit: 4}, Entries: entries(2, 1, 2, 3)}, err: ErrStoredLogIncomplete},
		"term lost":       {stored: StoredState{Hard: HardState{Term: 1}, Entries: entries(2, 1)}, err: ErrStoredLogIncomplete},
		"after snapshot":  {stored: StoredState{Hard: HardState{Term: 2}, SnapshotIndex: 2, SnapshotTerm: 2, Entries: entries(2, 1, 2, 3)}, last: 3, term: 2},
		"segment missing": {stored: StoredState{Hard: HardState{Term: 2}, SnapshotIndex: 2, SnapshotTerm: 2, Entries: entries(2, 4)}, err: ErrStoredLogIncomplete},
		"log replaced":    {stored: StoredState{Hard: HardState{Term: 2}, SnapshotIndex: 2, SnapshotTerm: 3, Entries: entries(2, 1, 2, 3)}, last: 2, term: 3},
		"snapshot beyond": {stored: StoredState{Hard: HardState{Term: 2, Vote: 1}, SnapshotIndex: 9, SnapshotTerm: 3, Entries: entries(2, 1)}, last: 9, term: 3},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, MaxBatchBytes: 1, MaxInflight: 1}, x.stored)
			assert.ErrorIs(t, err, x.err)
			if err != nil {
				return
			}
			s := c.Status()
			assert.Equal(t, s.Last, x.last)
			assert.Equal(t, s.Term, x.term)
		})
	}
}

// TestInstalledSnapshot checks that an installed snapshot replaces a log that
// conflicts with it, keeps a log that matches it, and makes the proposals that
// it covers unresolved.
func TestInstalledSnapshot(t *testing.T) {
	install := func(c *Core, index, term uint64) Ready {
		c.Ready()
		meta := &wirepb.SnapshotMeta{Index: index, Term: term, Membership: voters(1, 2, 3).Proto()}
		step(t, c, 2, 9, snapshotMessage(&wirepb.InstallSnapshot{Meta: meta}))
		return c.Ready()
	}
	c := newSingleCore(t)
	r := install(c, 2, 2)
	assert.Assert(t, r.Snapshot == nil)
	assert.Equal(t, len(r.Committed), 2)

	c = newSingleCore(t)
	makeLeader(t, c)
	first, term, err := c.Propose([]byte("a"))
	assert.NilError(t, err)
	r = install(c, 7, 8)
	assert.Equal(t, r.Snapshot.Index, uint64(7))
	assert.Equal(t, len(r.LostProposals)+len(r.Entries)+len(r.Committed), 0)
	assert.DeepEqual(t, r.UnresolvedProposals, []Span{{First: first, Last: first, Term: term}})
	assert.Equal(t, len(c.Membership().Voters), 3)
	assert.Equal(t, c.Status().First, uint64(8))
}
