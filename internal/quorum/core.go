// Package quorum is the core of a replicated log: elections, replication,
// commit, confirmed reads, membership changes. It is pure: messages, ticks
// and disk completions come in as calls; messages, entries to write and
// committed entries go out through Ready. It holds no clock, goroutine, file
// or socket, and the same calls give the same results.
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

// configAt is a configuration and the index of the entry that brought it.
type configAt struct {
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
	// applied is the last index handed out in Ready.Committed.
	applied uint64
	log     memLog
	snap    snapshotAt
	// configs holds the configurations since the snapshot, oldest first. The
	// last one is in force, committed or not.
	configs []configAt

	// elapsed counts ticks since the last sign of a leader, or since the
	// leader's last quorum check.
	elapsed, timeout int
	beatElapsed      int
	votes            map[uint64]bool

	lead leaderState
	out  outbox
}

// snapshotAt names the newest snapshot.
type snapshotAt struct {
	index, term uint64
	membership  Membership
}

// leaderState is only used while this member leads.
type leaderState struct {
	peers map[uint64]*progress
	// ids are the keys of peers in order.
	ids []uint64
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// lastBeat and beatBefore are commit at the last two heartbeats.
	lastBeat, beatBefore uint64
	transferee           uint64
	transferLeft         int
	reads                readState
}

// New starts a member from what its disk gave back.
func New(cfg Config, s Stored) (*Core, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:  cfg,
		rand: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		role: member.chart.Initial(),
		term: s.Hard.Term,
		vote: s.Hard.Vote,
		snap: snapshotAt{index: s.SnapshotIndex, term: s.SnapshotTerm, membership: s.Membership},
	}
	c.log.reset(s.SnapshotIndex, s.SnapshotTerm)
	if err := c.load(s); err != nil {
		return nil, err
	}
	c.out.hard = c.hard()
	c.settle()
	c.resetTimer()
	if cfg.StartTicks > 0 {
		c.timeout = cfg.StartTicks + c.rand.IntN(cfg.StartTicks)
	}
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

func (c *Core) load(s Stored) error {
	if err := c.log.load(s.Entries); err != nil {
		return err
	}
	c.commit = max(s.Hard.Commit, s.SnapshotIndex)
	c.applied = s.SnapshotIndex
	if c.commit > c.log.last() {
		return eris.Wrapf(ErrStoredGap, "commit %d, last entry %d", c.commit, c.log.last())
	}
	if c.log.lastTerm() > c.term {
		// A snapshot can be newer than the hard state; entries cannot.
		if len(c.log.entries) > 0 {
			return eris.Wrapf(ErrStoredGap, "term %d, last entry has %d", c.term, c.log.lastTerm())
		}
		c.term, c.vote = c.log.lastTerm(), 0
	}
	c.configs = []configAt{{index: s.SnapshotIndex, membership: s.Membership}}
	c.noteConfigs(c.log.entries)
	return nil
}

// Tick advances the member's time by one tick.
func (c *Core) Tick() {
	c.elapsed++
	if c.isLeader() {
		c.tickLeader()
		return
	}
	if c.role != member.learner && c.elapsed >= c.timeout {
		c.campaign(member.electionTimeout)
	}
}

// Step takes a message from another member. ErrBadMessage: it is not for this
// member, or breaks the protocol.
func (c *Core) Step(m *wirepb.CoreMessage) error {
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == 0 || m.Body == nil {
		return eris.Wrapf(ErrBadMessage, "from %d to %d at %d", m.From, m.To, c.cfg.ID)
	}
	if m.Term < c.term {
		c.onStale(m)
		return nil
	}
	if m.Term > c.term && !c.adopt(m) {
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

// onStale answers a message of an older term. A leader or candidate of that
// term learns of the newer one; it could not make progress with this member.
func (c *Core) onStale(m *wirepb.CoreMessage) {
	switch b := m.Body.(type) {
	case *wirepb.CoreMessage_AppendRequest, *wirepb.CoreMessage_Heartbeat, *wirepb.CoreMessage_InstallSnapshot:
		c.send(m.From, appendResponseMessage(&wirepb.AppendResponse{Rejected: true}))
	case *wirepb.CoreMessage_VoteRequest:
		c.send(m.From, voteResponse(b.VoteRequest.Pre, false))
	}
}

// adopt takes over a larger term where the message calls for it; false means
// that the message is to be ignored.
func (c *Core) adopt(m *wirepb.CoreMessage) bool {
	var leader uint64
	switch b := m.Body.(type) {
	case *wirepb.CoreMessage_VoteRequest:
		// A member that has a live leader does not help to replace it.
		if c.hasLiveLeader() && !b.VoteRequest.Transfer {
			return false
		}
		if b.VoteRequest.Pre {
			return true
		}
	case *wirepb.CoreMessage_VoteResponse:
		// The answer to a question about the next term.
		if b.VoteResponse.Pre && b.VoteResponse.Granted {
			return true
		}
	case *wirepb.CoreMessage_AppendRequest, *wirepb.CoreMessage_Heartbeat, *wirepb.CoreMessage_InstallSnapshot:
		leader = m.From
	}
	c.follow(m.Term, leader, member.newerTerm)
	return true
}

// onLeaderMessage handles what only the leader of this term sends.
func (c *Core) onLeaderMessage(m *wirepb.CoreMessage) error {
	if c.isLeader() {
		return eris.Wrapf(ErrBadMessage, "second leader %d in term %d", m.From, m.Term)
	}
	c.follow(c.term, m.From, member.leaderSeen)
	c.elapsed = 0
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

// Synced tells that the disk holds everything up to a sync point. Points may
// be skipped, but come in the order of the Readys.
func (c *Core) Synced(index, term uint64) {
	// The entries of a leader's own term are never cut while it leads, so a
	// point of this term cannot mean an entry that was replaced since.
	if term != c.term {
		return
	}
	switch {
	case c.role == member.candidate:
		c.votes[c.cfg.ID] = true
		c.tally()
	case c.isLeader():
		if c.lead.peers[c.cfg.ID].acked(index) {
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

// noteConfigs puts the configurations among new entries in force.
func (c *Core) noteConfigs(entries []*wirepb.Entry) {
	for _, e := range entries {
		if e.Kind == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			c.configs = append(c.configs, configAt{index: e.Index, membership: MembershipOf(e.Membership)})
		}
	}
}

// dropConfigs goes back to the configuration in force at an index.
func (c *Core) dropConfigs(after uint64) {
	c.configs = slices.DeleteFunc(c.configs, func(x configAt) bool { return x.index > after })
}

// others returns the IDs of all members but this one.
func (c *Core) others() []uint64 {
	var ids []uint64
	for _, m := range c.membership().Members() {
		if m.ID != c.cfg.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *Core) resetTimer() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.rand.IntN(c.cfg.ElectionTicks)
}

func (c *Core) hasLiveLeader() bool {
	return c.isLeader() || (c.leader != 0 && c.elapsed < c.cfg.ElectionTicks)
}
