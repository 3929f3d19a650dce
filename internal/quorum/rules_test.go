package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// newSingleCore returns the core of member 1 in a cluster of five, without the
// other members. It has restarted in term 3 with two uncommitted entries of older
// terms.
func newSingleCore(t *testing.T) *Core {
	t.Helper()
	var m Membership
	for id := uint64(1); id <= 5; id++ {
		m.Voters = append(m.Voters, Member{ID: id})
	}
	c, err := New(
		Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, MaxBatchBytes: 1000, MaxInflight: 4},
		StoredState{Hard: HardState{Term: 3}, Membership: m, Entries: []*wirepb.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}})
	assert.NilError(t, err)
	return c
}

func step(t *testing.T, c *Core, from, term uint64, m *wirepb.CoreMessage) {
	t.Helper()
	m.From, m.To, m.Term = from, 1, term
	assert.NilError(t, c.Step(m))
}

// makeLeader makes the core the leader of term 4.
func makeLeader(t *testing.T, c *Core) {
	t.Helper()
	for c.role != member.preCandidate {
		c.Tick()
	}
	step(t, c, 2, 4, voteResponse(true, true))
	step(t, c, 3, 4, voteResponse(true, true))
	step(t, c, 2, 4, voteResponse(false, true))
	r := c.Ready()
	assert.Equal(t, c.role, member.candidate)
	assert.Assert(t, r.MustSync && len(r.MessagesAfterSync) == 4)
	c.Synced(r.Sync.Index, r.Sync.Term)
	assert.Equal(t, c.role, member.candidate, "two of five votes")
	step(t, c, 3, 4, voteResponse(false, true))
	assert.Equal(t, c.role, member.leader)
}

func TestOlderTermsCommitOnlyWithLeadersTerm(t *testing.T) {
	c := newSingleCore(t)
	makeLeader(t, c)
	r := c.Ready()
	c.Synced(r.Sync.Index, r.Sync.Term)
	step(t, c, 2, 4, appendResponse(2))
	step(t, c, 3, 4, appendResponse(2))
	assert.Equal(t, c.commit, uint64(0))
	step(t, c, 2, 4, appendResponse(3))
	step(t, c, 3, 4, appendResponse(3))
	assert.Equal(t, c.commit, uint64(3))
}

// TestVotesAndAcksWaitForSync checks that votes and acknowledgements are sent
// only after the sync, and that a leader counts its own entries as replicated
// only then.
func TestVotesAndAcksWaitForSync(t *testing.T) {
	for name, m := range map[string]*wirepb.CoreMessage{
		"vote":        voteRequestMessage(&wirepb.VoteRequest{LastIndex: 9, LastTerm: 3}),
		"append":      appendMessage(&wirepb.AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []*wirepb.Entry{{Index: 3, Term: 4}}}),
		"repeat":      appendMessage(&wirepb.AppendRequest{PrevIndex: 2, PrevTerm: 2}),
		"no snapshot": snapshotMessage(&wirepb.InstallSnapshot{Meta: &wirepb.SnapshotMeta{}}),
		"snapshot":    snapshotMessage(&wirepb.InstallSnapshot{Meta: &wirepb.SnapshotMeta{Index: 7, Term: 4}}),
	} {
		t.Run(name, func(t *testing.T) {
			c := newSingleCore(t)
			step(t, c, 2, 4, m)
			r := c.Ready()
			assert.Equal(t, len(r.Messages), 0)
			assert.Equal(t, len(r.MessagesAfterSync), 1)
			assert.Assert(t, r.MustSync)
		})
	}
	c := newSingleCore(t)
	makeLeader(t, c)
	step(t, c, 2, 4, appendResponse(3))
	step(t, c, 3, 4, appendResponse(3))
	assert.Equal(t, c.commit, uint64(0))
	r := c.Ready()
	c.Synced(r.Sync.Index, r.Sync.Term)
	assert.Equal(t, c.commit, uint64(3))
}

// TestJointConfigurationNeedsBothMajorities checks that, during a change of the
// voters from {1,2,3} to {1,4,5}, a quorum needs a majority of both sets.
func TestJointConfigurationNeedsBothMajorities(t *testing.T) {
	ids := func(all ...uint64) (out []Member) {
		for _, id := range all {
			out = append(out, Member{ID: id})
		}
		return out
	}
	m := Membership{Voters: ids(1, 4, 5), Outgoing: ids(1, 2, 3)}
	for _, x := range []struct {
		yes  []uint64
		want bool
	}{{[]uint64{1, 4}, false}, {[]uint64{1, 2}, false}, {[]uint64{4, 5, 2}, false}, {[]uint64{4, 5, 2, 3}, true}, {[]uint64{1, 2, 4}, true}} {
		has := func(id uint64) bool { return contains(ids(x.yes...), id) }
		assert.Equal(t, m.quorum(has), x.want, "%v", x.yes)
		match := func(id uint64) uint64 {
			if has(id) {
				return 9
			}
			return 1
		}
		assert.Equal(t, m.quorumIndex(match) == 9, x.want, "%v", x.yes)
	}
	assert.Equal(t, Membership{}.quorumIndex(func(uint64) uint64 { return 9 }), uint64(0))
}

func heartbeatResponse(round uint64) *wirepb.HeartbeatResponse {
	return &wirepb.HeartbeatResponse{Round: round}
}

// TestReplacedProposalIsLostOnlyAfterCommit checks that a proposal is not
// reported lost when another entry replaces it in this log, since it may still
// be committed from another member's log. It is lost once another entry is
// committed at its index.
func TestReplacedProposalIsLostOnlyAfterCommit(t *testing.T) {
	c := newSingleCore(t)
	makeLeader(t, c)
	first, term, err := c.Propose([]byte("a"), []byte("b"))
	assert.NilError(t, err)
	c.Ready()
	other := []*wirepb.Entry{{Index: first, Term: 5}}
	step(t, c, 2, 5, appendMessage(&wirepb.AppendRequest{PrevIndex: first - 1, PrevTerm: 4, Entries: other}))
	assert.Equal(t, len(c.Ready().LostProposals), 0)
	step(t, c, 2, 5, appendMessage(&wirepb.AppendRequest{PrevIndex: first, PrevTerm: 5, Commit: first}))
	assert.DeepEqual(t, c.Ready().LostProposals, []Span{{First: first, Last: first, Term: term}})
}
