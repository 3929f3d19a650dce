package quorum

import (
	"slices"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// liveHeartbeats is the number of heartbeat intervals after which a member
// without an answer does not count as live.
const liveHeartbeats = 3

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The kinds of membership change.
const (
	// AddLearner adds a member without a vote.
	AddLearner ChangeKind = iota + 1
	// Promote gives a learner a vote; with Replace set, it takes the place of
	// that voter in the same change.
	Promote
	// Remove removes a voter or a learner.
	Remove
)

// Change is a change of the membership.
type Change struct {
	Kind ChangeKind
	// Member is the member meant; its Context is read by AddLearner only.
	Member Member
	// Replace is the voter that leaves with a Promote; 0 is none.
	Replace uint64
}

// ProposeChange appends a membership change and returns the index of its
// entry. The change is in force when no configuration with Outgoing follows.
// Errors: ErrNotLeader, ErrTransferring, ErrChangeInProgress,
// ErrTermNotCommitted, ErrMemberExists, ErrUnknownMember, ErrNotCaughtUp,
// ErrUnsafeChange.
func (c *Core) ProposeChange(ch Change) (index uint64, err error) {
	if err := c.canChange(); err != nil {
		return 0, err
	}
	next, err := c.plan(ch)
	if err != nil {
		return 0, err
	}
	return c.appendMembership(next), nil
}

// canChange: one change at a time, and none before the leader knows that the
// configuration it stands on is committed.
func (c *Core) canChange() error {
	if err := c.canPropose(); err != nil {
		return err
	}
	if c.commit < c.lead.termStart {
		return ErrTermNotCommitted
	}
	if c.configIndex() > c.commit || c.membership().Joint() {
		return ErrChangeInProgress
	}
	return nil
}

// plan returns the configuration that starts the change.
func (c *Core) plan(ch Change) (Membership, error) {
	switch ch.Kind {
	case AddLearner:
		return c.planAdd(ch.Member)
	case Promote:
		return c.planPromote(ch.Member.ID, ch.Replace)
	case Remove:
		return c.planRemove(ch.Member.ID)
	}
	return Membership{}, eris.Errorf("quorum: unknown change %d", ch.Kind)
}

func (c *Core) planAdd(m Member) (Membership, error) {
	now := c.membership()
	if _, exists := now.find(m.ID); exists || m.ID == 0 {
		return Membership{}, eris.Wrapf(ErrMemberExists, "member %d", m.ID)
	}
	m.Learner = true
	now.Learners = append(slices.Clone(now.Learners), m)
	return now, nil
}

func (c *Core) planPromote(id, replace uint64) (Membership, error) {
	now := c.membership()
	m, ok := now.find(id)
	if !ok {
		return Membership{}, eris.Wrapf(ErrUnknownMember, "member %d", id)
	}
	if !now.IsLearner(id) {
		return Membership{}, eris.Wrapf(ErrMemberExists, "member %d is a voter", id)
	}
	if replace != 0 && !now.IsVoter(replace) {
		return Membership{}, eris.Wrapf(ErrUnknownMember, "voter %d", replace)
	}
	if !c.caughtUp(id) {
		return Membership{}, eris.Wrapf(ErrNotCaughtUp, "member %d", id)
	}
	m.Learner = false
	voters := append(without(now.Voters, replace), m)
	return c.planVoters(voters, without(now.Learners, id))
}

func (c *Core) planRemove(id uint64) (Membership, error) {
	now := c.membership()
	if now.IsLearner(id) {
		now.Learners = without(now.Learners, id)
		return now, nil
	}
	if !now.IsVoter(id) {
		return Membership{}, eris.Wrapf(ErrUnknownMember, "member %d", id)
	}
	return c.planVoters(without(now.Voters, id), now.Learners)
}

// planVoters returns the intermediate configuration on the way to new voters:
// a quorum in it is one of the old and one of the new, so that writes go on
// while the change does.
func (c *Core) planVoters(voters, learners []Member) (Membership, error) {
	if !majority(voters, c.live) {
		return Membership{}, ErrUnsafeChange
	}
	return Membership{Voters: voters, Outgoing: c.membership().Voters, Learners: learners}, nil
}

// live tells whether a member answered lately: a change that depends on one
// that does not might never end.
func (c *Core) live(id uint64) bool {
	return id == c.cfg.ID || c.lead.peers[id].silent <= liveHeartbeats*c.cfg.HeartbeatTicks
}

// caughtUp tells whether a learner has all that was committed a heartbeat
// interval ago or, at most, two. What it lacks is then under way to it.
func (c *Core) caughtUp(id uint64) bool {
	p := c.lead.peers[id]
	return c.live(id) && p.state == replicating && p.match >= c.lead.beatBefore
}

func (c *Core) appendMembership(m Membership) uint64 {
	return c.appendEntry(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: m.Proto()})
}

// finishChange goes on once the configuration in force is committed: from an
// intermediate one to the new one, and out of the lead when that excludes it.
func (c *Core) finishChange() {
	if c.configIndex() > c.commit {
		return
	}
	now := c.membership()
	if now.Joint() {
		c.appendMembership(Membership{Voters: now.Voters, Learners: now.Learners})
		return
	}
	if !now.IsVoter(c.cfg.ID) {
		c.retire()
	}
}

// retire ends the leadership of a member that is no longer a voter.
func (c *Core) retire() {
	if to := c.bestVoter(); to != 0 {
		c.send(to, timeoutNowMessage(&wirepb.TimeoutNow{}))
	}
	c.fire(member.demoted)
}
