package quorum

import (
	"errors"

	wirepb "endivewing/api/endivewing/v1"
)

// Sentinel errors of the core.
var (
	// ErrNotLeader: only the leader takes proposals, changes and reads.
	ErrNotLeader = errors.New("quorum: not the leader")
	// ErrTransferring: the leader is handing its role over.
	ErrTransferring = errors.New("quorum: leadership is being transferred")
	// ErrBadConfig: a field of Config is out of range.
	ErrBadConfig = errors.New("quorum: bad config")
	// ErrStoredGap: what the disk gave back has a hole or lacks a committed
	// entry.
	ErrStoredGap = errors.New("quorum: stored log is incomplete")
	// ErrBadMessage: a message is for another member or has no body.
	ErrBadMessage = errors.New("quorum: bad message")
	// ErrChangeInProgress: one membership change at a time.
	ErrChangeInProgress = errors.New("quorum: a membership change is in progress")
	// ErrTermNotCommitted: the leader has not committed in its term yet.
	ErrTermNotCommitted = errors.New("quorum: leader has no committed entry of its term")
	// ErrNotCaughtUp: the learner lacks too much of the log.
	ErrNotCaughtUp = errors.New("quorum: learner is not caught up")
	// ErrUnknownMember: the change names a member that is not there.
	ErrUnknownMember = errors.New("quorum: unknown member")
	// ErrMemberExists: the id is in use, or the change is already in force.
	ErrMemberExists = errors.New("quorum: member exists")
	// ErrUnsafeChange: too few of the new voters answer to form a quorum.
	ErrUnsafeChange = errors.New("quorum: change would leave no live quorum")
	// ErrNotApplied: the index is beyond what was handed out for applying.
	ErrNotApplied = errors.New("quorum: index is not applied")
	// ErrCompacted: the index is before the start of the log.
	ErrCompacted = errors.New("quorum: index is compacted")
)

// Config holds the settings of a core.
type Config struct {
	// ID of this member; not 0 and never reused after a lost disk.
	ID uint64
	// ElectionTicks is the shortest election timeout, in ticks. The timeout
	// of each wait is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// StartTicks is the shortest wait for a leader after the start, in ticks;
	// the wait is drawn from [StartTicks, 2*StartTicks). 0 is ElectionTicks. A
	// member that has just started disturbs no leader with it: others don't
	// vote while they hear one.
	StartTicks int
	// HeartbeatTicks is the heartbeat interval, in ticks.
	HeartbeatTicks int
	// Seed of the election timeouts.
	Seed uint64
	// MaxBatchBytes bounds the entries of one append message, in bytes.
	MaxBatchBytes int
	// MaxInflight bounds the unanswered appends to one member.
	MaxInflight int
}

// HardState is what must be on disk before the messages that depend on it.
type HardState struct {
	Term, Vote, Commit uint64
}

// Stored is what the disk gave back at start. A member of a new cluster gets
// the first Membership with nothing else; one that joins later gets nothing.
type Stored struct {
	Hard HardState
	// Membership is that of the snapshot, or the first one.
	Membership    Membership
	SnapshotIndex uint64
	SnapshotTerm  uint64
	// Entries may start before the end of the snapshot.
	Entries []*wirepb.Entry
}

// Read is a confirmed read: state that has applied Index is current.
type Read struct {
	Token, Index uint64
}

// Span is a run of entries that were proposed here in one term.
type Span struct {
	First, Last, Term uint64
}

// Leadership tells who leads, as far as this member knows.
type Leadership struct {
	// Leader is 0 when unknown.
	Leader uint64
	Term   uint64
	// Self: this member is the leader.
	Self bool
}

// Ready is work for the host. Each Ready is handed out once.
//
// The host writes Hard and Entries, in the order of the Readys, syncs, sends
// Waiting, and calls Synced with Sync. Several Readys may share one sync.
// Everything else may be done at once.
type Ready struct {
	// Hard is set when it changed.
	Hard *HardState
	// Entries replace everything at and after the first one's index.
	Entries []*wirepb.Entry
	// MustSync: Hard or Entries must be synced before Waiting is sent.
	MustSync bool
	// Sync is the argument of Synced after that sync.
	Sync SyncPoint
	// Snapshot was installed by InstallSnapshot: state and log start from it.
	// It is before Entries and Committed.
	Snapshot *wirepb.SnapshotMeta
	// Messages may leave at once.
	Messages []*wirepb.CoreMessage
	// Waiting may leave after the sync.
	Waiting []*wirepb.CoreMessage
	// Committed entries are to be applied in order.
	Committed []*wirepb.Entry
	// Reads are confirmed.
	Reads []Read
	// LostReads are tokens of reads that were not confirmed.
	LostReads []uint64
	// Lost proposals have no effect and never will: other entries were
	// committed in their place.
	Lost []Span
	// Unresolved proposals may be part of the installed snapshot or not.
	Unresolved []Span
	// Leadership is set when it changed. Proposals that are not committed by
	// then are open: a later entry or Lost tells their fate.
	Leadership *Leadership
}

// SyncPoint names a state of the disk.
type SyncPoint struct {
	Index, Term uint64
}

// PeerStatus is the leader's view of one member.
type PeerStatus struct {
	ID          uint64
	State       string
	Match, Next uint64
	Inflight    int
	// Live: it answered within the last heartbeat intervals.
	Live bool
}

// Status is a view for dumps.
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

// Proto returns the hard state as a message.
func (h HardState) Proto() *wirepb.HardState {
	return &wirepb.HardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}

// HardStateOf reads a hard state from its message; nil is the first one.
func HardStateOf(p *wirepb.HardState) HardState {
	return HardState{Term: p.GetTerm(), Vote: p.GetVote(), Commit: p.GetCommit()}
}

// Record returns what the log file is to hold of a Ready.
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
