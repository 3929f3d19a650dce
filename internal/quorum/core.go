// Package quorum is a Raft core: leader election with pre-votes, log
// replication, read index, snapshots, leadership transfer and membership
// changes by joint consensus. It is pure. Messages, ticks and completed disk
// syncs come in as method calls. Messages, entries to write and committed
// entries go out through Ready. It uses no clock, goroutine, file or socket,
// and the same calls give the same results.
//
// A Core is not safe for concurrent use.
package quorum

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/statechart"
)

// indexedConfig is a configuration with the index of its log entry, or of the
// snapshot that holds it.
type indexedConfig struct {
	index      uint64
	membership Membership
}

// Core is one member of a quorum.
type Core struct {
	cfg  Config
	rand *rand.Rand

	role               statechart.State
	term, vote, leader uint64
	commit             uint64
	// leaderCommit is the largest commit index that a leader has told this member.
	leaderCommit uint64
	// applied is the last index handed out in Ready.Committed or covered by a
	// snapshot.
	applied uint64
	log     memLog
	// snap is the newest snapshot.
	snap snapshotInfo
	// configs holds the configuration of the snapshot and those in the log
	// after it, oldest first. The last one is in force, committed or not.
	configs []indexedConfig

	// electionElapsed counts the ticks since this member last heard from a
	// leader, granted a vote or started an election. On a leader, it counts the
	// ticks since the last quorum check. electionTimeoutTicks is the current
	// election timeout, drawn at random.
	electionElapsed, electionTimeoutTicks int
	// startPhase is set after a start until this member hears from a leader,
	// grants a vote or pre-vote, or starts an election. Its election timeouts are
	// short meanwhile.
	startPhase       bool
	heartbeatElapsed int
	votes            map[uint64]bool

	lead leaderState
	out  outbox
}

// snapshotInfo identifies a snapshot and holds its configuration.
type snapshotInfo struct {
	index, term uint64
	membership  Membership
}

// leaderState is the volatile state of a leader; it is empty on other members.
type leaderState struct {
	peers map[uint64]*progress
	// ids are the keys of peers in ascending order.
	ids []uint64
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// lastHeartbeatCommit is the commit index at the last periodic heartbeat.
	// prevHeartbeatCommit is the commit index at the heartbeat before it.
	lastHeartbeatCommit, prevHeartbeatCommit uint64
	// transferee is the target of a leadership transfer in progress; 0 means
	// none.
	transferee        uint64
	transferTicksLeft int
	reads             readState
}

// New creates a member from its persisted state. It returns ErrBadConfig or
// ErrStoredLogIncomplete.
func New(cfg Config, s StoredState) (*Core, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:  cfg,
		rand: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		role: member.chart.Initial(),
		term: s.Hard.Term,
		vote: s.Hard.Vote,
		snap: snapshotInfo{index: s.SnapshotIndex, term: s.SnapshotTerm, membership: s.Membership},
	}
	c.log.reset(s.SnapshotIndex, s.SnapshotTerm)
	if err := c.load(s); err != nil {
		return nil, err
	}
	c.out.hard = c.hard()
	c.updateRole()
	c.startPhase = cfg.StartTicks > 0
	c.resetElectionTimer()
	return c, nil
}

func (cfg Config) check() error {
	switch {
	case cfg.ID == 0:
		return eris.Wrap(ErrBadConfig, "ID is 0")
	case cfg.HeartbeatTicks < 1:
		return eris.Wrap(ErrBadConfig, "HeartbeatTicks is less than 1")
	case cfg.ElectionTicks <= cfg.HeartbeatTicks:
		return eris.Wrap(ErrBadConfig, "ElectionTicks is not larger than HeartbeatTicks")
	case cfg.MaxBatchBytes < 1 || cfg.MaxInflight < 1:
		return eris.Wrap(ErrBadConfig, "MaxBatchBytes or MaxInflight is less than 1")
	}
	return nil
}

func (c *Core) load(s StoredState) error {
	if err := c.log.load(s.Entries); err != nil {
		return err
	}
	c.commit = max(s.Hard.Commit, s.SnapshotIndex)
	c.applied = s.SnapshotIndex
	if c.commit > c.log.last() {
		return eris.Wrapf(ErrStoredLogIncomplete, "commit index %d, last entry %d", c.commit, c.log.last())
	}
	if c.log.lastTerm() > c.term {
		// A snapshot can be newer than the hard state; entries cannot.
		if len(c.log.entries) > 0 {
			return eris.Wrapf(ErrStoredLogIncomplete, "term %d, last entry has term %d", c.term, c.log.lastTerm())
		}
		c.term, c.vote = c.log.lastTerm(), 0
	}
	c.configs = []indexedConfig{{index: s.SnapshotIndex, membership: s.Membership}}
	c.addConfigs(c.log.entries)
	return nil
}

// Tick advances the member's logical clock by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.isLeader() {
		c.tickLeader()
		return
	}
	if c.role != member.learner && c.electionElapsed >= c.electionTimeoutTicks {
		c.startPreVote(member.electionTimeout)
	}
}

// Step handles a message from another member. It returns ErrBadMessage if the
// message is not for this member or violates the protocol.
func (c *Core) Step(m *wirepb.CoreMessage) error {
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == 0 || m.Body == nil {
		return eris.Wrapf(ErrBadMessage, "message from %d to %d received by %d", m.From, m.To, c.cfg.ID)
	}
	if m.Term < c.term {
		c.onStaleTerm(m)
		return nil
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return nil
	}
	switch b := m.Body.(type) {
	case *wirepb.CoreMessage_VoteRequest:
		c.onVoteRequest(m.From, m.Term, b.VoteRequest)
	case *wirepb.CoreMessage_VoteResponse:
		c.onVoteResponse(m.From, m.Term, b.VoteResponse)
	case *wirepb.CoreMessage_AppendRequest, *wirepb.CoreMessage_Heartbeat, *wirepb.CoreMessage_InstallSnapshot:
		return c.onLeaderMessage(m)
	case *wirepb.CoreMessage_AppendResponse:
		c.onAppendResponse(m.From, b.AppendResponse)
	case *wirepb.CoreMessage_HeartbeatResponse:
		c.onHeartbeatResponse(m.From, b.HeartbeatResponse)
	case *wirepb.CoreMessage_TimeoutNow:
		c.onTimeoutNow()
	}
	return nil
}

// onStaleTerm replies to a message of an older term, so that a leader or
// candidate of that term sees the newer one. Without the reply it would make
// no progress with this member.
func (c *Core) onStaleTerm(m *wirepb.CoreMessage) {
	switch b := m.Body.(type) {
	case *wirepb.CoreMessage_AppendRequest, *wirepb.CoreMessage_Heartbeat, *wirepb.CoreMessage_InstallSnapshot:
		c.send(m.From, appendResponseMessage(&wirepb.AppendResponse{Rejected: true}))
	case *wirepb.CoreMessage_VoteRequest:
		c.send(m.From, voteResponse(b.VoteRequest.Pre, false))
	}
}

// adoptTerm handles the larger term of a message. The member becomes a follower
// in that term. Pre-vote requests and granted pre-votes leave its term as it is.
// adoptTerm returns false if the message must be ignored.
func (c *Core) adoptTerm(m *wirepb.CoreMessage) bool {
	var leader uint64
	switch b := m.Body.(type) {
	case *wirepb.CoreMessage_VoteRequest:
		// A member that has a live leader ignores vote requests, so that a
		// partitioned or returning member can't depose that leader.
		if c.hasLiveLeader() && !b.VoteRequest.Transfer {
			return false
		}
		if b.VoteRequest.Pre {
			return true
		}
	case *wirepb.CoreMessage_VoteResponse:
		// A granted pre-vote carries the term of the future election, which
		// has not begun.
		if b.VoteResponse.Pre && b.VoteResponse.Granted {
			return true
		}
	case *wirepb.CoreMessage_AppendRequest, *wirepb.CoreMessage_Heartbeat, *wirepb.CoreMessage_InstallSnapshot:
		leader = m.From
	}
	c.becomeFollower(m.Term, leader, member.newerTerm)
	return true
}

// onLeaderMessage handles the messages that only the leader of this term
// sends.
func (c *Core) onLeaderMessage(m *wirepb.CoreMessage) error {
	if c.isLeader() {
		return eris.Wrapf(ErrBadMessage, "second leader %d in term %d", m.From, m.Term)
	}
	c.becomeFollower(c.term, m.From, member.leaderSeen)
	c.endStartPhase()
	c.electionElapsed = 0
	switch b := m.Body.(type) {
	case *wirepb.CoreMessage_AppendRequest:
		c.onAppend(m.From, b.AppendRequest)
	case *wirepb.CoreMessage_Heartbeat:
		c.onHeartbeat(m.From, b.Heartbeat)
	case *wirepb.CoreMessage_InstallSnapshot:
		c.onInstallSnapshot(m.From, b.InstallSnapshot.GetMeta())
	}
	return nil
}

// Synced reports that the disk holds everything up to a sync point. Sync
// points may be skipped, but must be passed in the order of the Readys.
func (c *Core) Synced(index, term uint64) {
	// A leader never truncates entries of its own term, so a sync point of
	// this term can't refer to an entry that has been replaced since.
	if term != c.term {
		return
	}
	switch {
	case c.role == member.candidate:
		c.votes[c.cfg.ID] = true
		c.tally()
	case c.isLeader():
		if c.lead.peers[c.cfg.ID].recordMatch(index) {
			c.advanceCommit()
		}
	}
}

// Membership returns the configuration in force, committed or not. It is
// shared with the core and must not be changed.
func (c *Core) Membership() Membership { return c.membership() }

// membership returns the configuration in force.
func (c *Core) membership() Membership { return c.configs[len(c.configs)-1].membership }

func (c *Core) configIndex() uint64 { return c.configs[len(c.configs)-1].index }

// addConfigs puts the configurations among new entries in force. As in Raft, a
// configuration is in force from the time it is in the log.
func (c *Core) addConfigs(entries []*wirepb.Entry) {
	for _, e := range entries {
		if e.Kind == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			c.configs = append(c.configs, indexedConfig{index: e.Index, membership: MembershipOf(e.Membership)})
		}
	}
}

// truncateConfigs drops the configurations after an index, so that the last
// one at or before it is in force again.
func (c *Core) truncateConfigs(after uint64) {
	c.configs = slices.DeleteFunc(c.configs, func(x indexedConfig) bool { return x.index > after })
}

// otherMembers returns the IDs of all members but this one.
func (c *Core) otherMembers() []uint64 {
	var ids []uint64
	for _, m := range c.membership().Members() {
		if m.ID != c.cfg.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *Core) resetElectionTimer() {
	ticks := c.cfg.ElectionTicks
	if c.startPhase {
		ticks = c.cfg.StartTicks
	}
	c.electionElapsed = 0
	c.electionTimeoutTicks = ticks + c.rand.IntN(ticks)
}

// endStartPhase makes the election timeouts regular: an election is in progress
// or has ended, and its votes may take some time to reach the disks.
func (c *Core) endStartPhase() {
	if c.startPhase {
		c.startPhase = false
		c.resetElectionTimer()
	}
}

func (c *Core) hasLiveLeader() bool {
	return c.isLeader() || (c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks)
}
