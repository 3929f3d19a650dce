package control

import (
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/quorum"
)

// TestWhatProcessesAreToldOfADocument: a dispatcher is told the version of a large document
// and sent a small one, a runner neither, and a process of an older version is sent both.
func TestWhatProcessesAreToldOfADocument(t *testing.T) {
	const runner = "runner"
	small, large := make([]byte, maxInlineDocumentBytes), make([]byte, maxInlineDocumentBytes+1)
	for _, c := range []struct {
		name    string
		role    string
		fetches bool
		held    uint64
		body    []byte
		version bool
		whole   bool
	}{
		{name: "dispatcher, small", role: roleDispatcher, fetches: true, body: small, whole: true},
		{name: "dispatcher, large", role: roleDispatcher, fetches: true, body: large, version: true},
		{name: "dispatcher that has it", role: roleDispatcher, fetches: true, held: 7, body: small},
		{name: "runner, small", role: runner, fetches: true, body: small},
		{name: "runner, large", role: runner, fetches: true, body: large},
		{name: "older dispatcher, large", role: roleDispatcher, body: large, whole: true},
		{name: "older runner, large", role: runner, body: large, whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &subscriber{announce: &wirepb.Announce{Role: c.role, FetchesDocuments: c.fetches}, version: c.held}
			document := &wirepb.Document{Version: 7, Body: c.body}
			update := &wirepb.DirectoryUpdate{}
			assert.Equal(t, s.addDocument(update, document), c.version || c.whole)
			assert.Equal(t, update.DocumentVersion != 0, c.version)
			assert.Equal(t, update.Document != nil, c.whole)
			assert.Assert(t, !s.addDocument(&wirepb.DirectoryUpdate{}, document), "told twice")
		})
	}
}

// TestMemberThatIsBehindOfferedItsDocument: a member is current only once it has applied what
// its leader has said to be committed.
func TestMemberThatIsBehindOfferedItsDocument(t *testing.T) {
	const term, committed = 5, 9
	core, err := quorum.New(quorum.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 1, MaxBatchBytes: 1, MaxInflight: 1}, quorum.StoredState{
		Hard:       quorum.HardState{Term: term},
		Membership: quorum.Membership{Voters: []quorum.Member{{ID: 1}, {ID: 2}, {ID: 3}}},
	})
	assert.NilError(t, err)
	l := &loop{core: core, leadership: quorum.Leadership{Leader: 2, Term: term}, appliedTerm: term, applied: committed - 1}
	assert.Assert(t, l.isCurrent(), "the leader has said nothing yet")
	heartbeat := &wirepb.CoreMessage_Heartbeat{Heartbeat: &wirepb.Heartbeat{LeaderCommit: committed}}
	assert.NilError(t, core.Step(&wirepb.CoreMessage{From: 2, To: 1, Term: term, Body: heartbeat}))
	assert.Assert(t, !l.isCurrent())
	l.applied = committed
	assert.Assert(t, l.isCurrent())
	l.leadership.Term++
	assert.Assert(t, !l.isCurrent(), "nothing of the leader's term is applied")
}
