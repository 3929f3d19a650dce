package quorum

import (
	"slices"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
)

// maxSilentHeartbeats is the number of heartbeat intervals for which a member
// without a reply still counts as live.
const maxSilentHeartbeats = 3

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The kinds of membership change.
const (
	// AddLearner adds a member without a vote.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter. With Replace set, the same change
	// removes that voter.
	Promote
	// Remove removes a voter or a learner.
	Remove
)

// Change is a change of the membership.
type Change struct {
	Kind ChangeKind
	// Member is the member to change. Only AddLearner reads its Context.
	Member Member
	// Replace is the ID of the voter that a Promote removes; 0 means none.
	Replace uint64
}

// ProposeChange appends a membership change and returns the index of its
// entry. A change of voters passes through a joint configuration; it is
// complete once the configuration without Outgoing is committed.
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

// canChange returns an error if a membership change can't be proposed now.
// Only one change is allowed at a time. None is allowed before the leader has
// committed an entry of its term, since only then is the configuration in
// force known to be committed.
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

// plan returns the configuration to append for the change: the joint one if
// the voters change, the final one otherwise.
func (c *Core) plan(ch Change) (Membership, error) {
	switch ch.Kind {
	case AddLearner:
		return c.planAddLearner(ch.Member)
	case Promote:
		return c.planPromote(ch.Member.ID, ch.Replace)
	case Remove:
		return c.planRemove(ch.Member.ID)
	}
	return Membership{}, eris.Errorf("quorum: unknown kind of change %d", ch.Kind)
}

func (c *Core) planAddLearner(m Member) (Membership, error) {
	current := c.membership()
	if _, exists := current.find(m.ID); exists || m.ID == 0 {
		return Membership{}, eris.Wrapf(ErrMemberExists, "member %d", m.ID)
	}
	m.Learner = true
	current.Learners = append(slices.Clone(current.Learners), m)
	return current, nil
}

func (c *Core) planPromote(id, replace uint64) (Membership, error) {
	current := c.membership()
	m, ok := current.find(id)
	if !ok {
		return Membership{}, eris.Wrapf(ErrUnknownMember, "member %d", id)
	}
	if !current.IsLearner(id) {
		return Membership{}, eris.Wrapf(ErrMemberExists, "member %d is a voter", id)
	}
	if replace != 0 && !current.IsVoter(replace) {
		return Membership{}, eris.Wrapf(ErrUnknownMember, "voter %d", replace)
	}
	if !c.caughtUp(id) {
		return Membership{}, eris.Wrapf(ErrNotCaughtUp, "member %d", id)
	}
	m.Learner = false
	voters := append(without(current.Voters, replace), m)
	return c.planJoint(voters, without(current.Learners, id))
}

func (c *Core) planRemove(id uint64) (Membership, error) {
	current := c.membership()
	if current.IsLearner(id) {
		current.Learners = without(current.Learners, id)
		return current, nil
	}
	if !current.IsVoter(id) {
		return Membership{}, eris.Wrapf(ErrUnknownMember, "member %d", id)
	}
	return c.planJoint(without(current.Voters, id), current.Learners)
}

// planJoint returns the joint configuration for a change to new voters. It
// requires a majority of the old voters and one of the new, so that writes
// continue during the change.
func (c *Core) planJoint(voters, learners []Member) (Membership, error) {
	if !majority(voters, c.live) {
		return Membership{}, ErrUnsafeChange
	}
	return Membership{Voters: voters, Outgoing: c.membership().Voters, Learners: learners}, nil
}

// live reports whether a member has replied recently. A change that depends
// on a member that doesn't reply might never complete.
func (c *Core) live(id uint64) bool {
	return id == c.cfg.ID || c.lead.peers[id].silentTicks <= maxSilentHeartbeats*c.cfg.HeartbeatTicks
}

// caughtUp reports whether a learner has every entry that was committed one
// to two heartbeat intervals ago. The entries that it still lacks have been
// sent to it.
func (c *Core) caughtUp(id uint64) bool {
	p := c.lead.peers[id]
	return c.live(id) && p.state == replicating && p.match >= c.lead.prevHeartbeatCommit
}

func (c *Core) appendMembership(m Membership) uint64 {
	return c.appendEntry(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: m.Proto()})
}

// advanceChange takes the next step of a membership change once the
// configuration in force is committed. A joint configuration is followed by
// the final one. A leader that is not a voter of the final one steps down.
func (c *Core) advanceChange() {
	if c.configIndex() > c.commit {
		return
	}
	current := c.membership()
	if current.Joint() {
		c.appendMembership(Membership{Voters: current.Voters, Learners: current.Learners})
		return
	}
	if !current.IsVoter(c.cfg.ID) {
		c.stepDownAfterRemoval()
	}
}

// stepDownAfterRemoval ends the leadership of a member that is no longer a
// voter. It asks the most up-to-date live voter to start an election.
func (c *Core) stepDownAfterRemoval() {
	if to := c.transferTarget(); to != 0 {
		c.send(to, timeoutNowMessage(&wirepb.TimeoutNow{}))
	}
	c.fire(member.demoted)
}
