package quorum

import (
	"errors"

	wirepb "endivewing/api/endivewing/v1"
)

// Sentinel errors of the core.
var (
	// ErrNotLeader means that the call is allowed only at the leader.
	ErrNotLeader = errors.New("quorum: not the leader")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = errors.New("quorum: leadership is being transferred")
	// ErrBadConfig means that a field of Config is out of range.
	ErrBadConfig = errors.New("quorum: bad config")
	// ErrStoredLogIncomplete means that the persisted log has a gap, lacks a
	// committed entry, or has an entry whose term is later than that of the
	// persisted hard state.
	ErrStoredLogIncomplete = errors.New("quorum: stored log is incomplete")
	// ErrBadMessage means that a message is for another member, has no body or
	// comes from a second leader in the same term.
	ErrBadMessage = errors.New("quorum: bad message")
	// ErrChangeInProgress means that an earlier membership change is not
	// complete.
	ErrChangeInProgress = errors.New("quorum: a membership change is in progress")
	// ErrTermNotCommitted means that the leader has not yet committed an entry
	// of its term.
	ErrTermNotCommitted = errors.New("quorum: leader has no committed entry of its term")
	// ErrNotCaughtUp means that the learner is too far behind or doesn't reply.
	ErrNotCaughtUp = errors.New("quorum: learner is not caught up")
	// ErrUnknownMember means that the change names a member that is not in the
	// configuration.
	ErrUnknownMember = errors.New("quorum: unknown member")
	// ErrMemberExists means that the ID is in use or 0, or that the member is
	// already a voter.
	ErrMemberExists = errors.New("quorum: member exists")
	// ErrUnsafeChange means that the live members among the new voters are no
	// majority of them.
	ErrUnsafeChange = errors.New("quorum: change would leave no live quorum")
	// ErrNotApplied means that the index is after the last entry handed out in
	// Ready.Committed.
	ErrNotApplied = errors.New("quorum: index is not applied")
	// ErrCompacted means that the log no longer holds the entry at the index.
	ErrCompacted = errors.New("quorum: index is compacted")
)

// Config holds the settings of a core.
type Config struct {
	// ID is the ID of this member. It is not 0. A member that lost its disk must
	// not reuse its ID.
	ID uint64
	// ElectionTicks is the minimum election timeout, in ticks. Each timeout is
	// drawn at random from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// StartTicks is the minimum election timeout from the start until the member
	// hears from a leader, grants a vote or pre-vote, or starts an election, in
	// ticks. These timeouts are drawn at random from [StartTicks, 2*StartTicks). If
	// StartTicks is 0, ElectionTicks applies. Short timeouts do not depose a
	// leader, because members that hear from one ignore vote requests, and a
	// lost pre-vote changes no term.
	StartTicks int
	// HeartbeatTicks is the heartbeat interval, in ticks.
	HeartbeatTicks int
	// Seed is the random seed of the election timeouts.
	Seed uint64
	// MaxBatchBytes limits the size of the entries in one append message, in
	// bytes. A single larger entry is sent alone.
	MaxBatchBytes int
	// MaxInflight limits the number of unanswered appends to one member.
	MaxInflight int
}

// HardState is the state that must be on disk before messages that depend on
// it are sent.
type HardState struct {
	Term, Vote, Commit uint64
}

// StoredState is the persisted state from which a member starts. A member of a new
// cluster starts with only the initial Membership set. A member that joins later
// starts with the zero value.
type StoredState struct {
	Hard HardState
	// Membership is the configuration of the snapshot, or the initial one if
	// there is no snapshot.
	Membership    Membership
	SnapshotIndex uint64
	SnapshotTerm  uint64
	// Entries may start at or before SnapshotIndex.
	Entries []*wirepb.Entry
}

// Read is a confirmed read. State with all entries up to Index applied is
// current for this read.
type Read struct {
	Token, Index uint64
}

// Span is a range of consecutive entries, First to Last inclusive, that were
// proposed at this member in one term.
type Span struct {
	First, Last, Term uint64
}

// Leadership is the leader as far as this member knows.
type Leadership struct {
	// Leader is the leader's ID; 0 if unknown.
	Leader uint64
	Term   uint64
	// Self is set if this member is the leader.
	Self bool
}

// Ready is the pending work for the caller. Each Ready is handed out once.
//
// The caller must write Hard and Entries in the order of the Readys and sync
// them. It then sends MessagesAfterSync and calls Synced with Sync. Several Readys
// may share one sync. Everything else in a Ready need not wait for the sync.
type Ready struct {
	// Hard is the hard state; nil if unchanged.
	Hard *HardState
	// Entries are appended to the log. They replace all stored entries from the
	// first one's index on.
	Entries []*wirepb.Entry
	// MustSync is set if the writes must be synced before MessagesAfterSync are
	// sent.
	MustSync bool
	// Sync is the sync point to pass to Synced once Hard and Entries are synced.
	Sync SyncPoint
	// Snapshot is set if an InstallSnapshot message replaced state and log with
	// a snapshot. The caller must handle it before Entries and Committed.
	Snapshot *wirepb.SnapshotMeta
	// Messages may be sent at once.
	Messages []*wirepb.CoreMessage
	// MessagesAfterSync are messages that may be sent only after the sync.
	MessagesAfterSync []*wirepb.CoreMessage
	// Committed are the entries to apply, in order.
	Committed []*wirepb.Entry
	// Reads are the confirmed reads.
	Reads []Read
	// FailedReads are the tokens of reads that failed because the leadership
	// ended.
	FailedReads []uint64
	// LostProposals are proposals that will never be committed, because other entries
	// were committed at their indexes.
	LostProposals []Span
	// UnresolvedProposals are proposals whose outcome is unknown: the installed snapshot
	// covers their indexes but doesn't show which entries were committed there.
	UnresolvedProposals []Span
	// Leadership is set if it changed. The outcome of proposals that are not
	// committed by then follows in Committed, LostProposals or UnresolvedProposals of a later
	// Ready.
	Leadership *Leadership
}

// SyncPoint identifies a state of the disk by the last index of the log and the
// member's term.
type SyncPoint struct {
	Index, Term uint64
}

// PeerStatus is the leader's view of one member.
type PeerStatus struct {
	ID          uint64
	State       string
	Match, Next uint64
	Inflight    int
	// Live is set if the member has replied within the last heartbeat
	// intervals; see maxSilentHeartbeats.
	Live bool
}

// Status is the state of a member for debug dumps.
type Status struct {
	ID, Term, Vote, Leader        uint64
	Role                          string
	Commit, Applied, First, Last  uint64
	SnapshotIndex                 uint64
	Membership                    Membership
	MembershipIndex, TransfereeID uint64
	PendingReads                  int
	Peers                         []PeerStatus
}

// Proto returns the hard state as a protobuf message.
func (h HardState) Proto() *wirepb.HardState {
	return &wirepb.HardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}

// HardStateOf converts a protobuf message to a hard state; nil gives the zero
// value.
func HardStateOf(p *wirepb.HardState) HardState {
	return HardState{Term: p.GetTerm(), Vote: p.GetVote(), Commit: p.GetCommit()}
}

// Record returns the log record that the caller must write for a Ready.
func (r Ready) Record() *wirepb.LogRecord {
	rec := &wirepb.LogRecord{Entries: r.Entries}
	if r.Hard != nil {
		rec.Hard = r.Hard.Proto()
	}
	if r.Snapshot != nil {
		rec.Snapshot = &wirepb.SnapshotMeta{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	}
	return rec
}
