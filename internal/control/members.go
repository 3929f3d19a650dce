package control

import (
	"errors"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
	"endivewing/internal/wire"
)

// memberDisks detects members that use the same ID with different disks.
type memberDisks struct {
	// recorded maps member IDs to the disks in the ledger. reported maps them
	// to the disks that the members have named themselves.
	recorded, reported map[uint64]uint64
}

func (d *memberDisks) init(self, disk uint64) {
	d.recorded = map[uint64]uint64{}
	d.reported = map[uint64]uint64{self: disk}
}

// loadRecorded updates recorded from the ledger.
func (d *memberDisks) loadRecorded(state *ledger.Ledger) {
	for id := range d.reported {
		if disk := state.MemberDisk(id); disk != 0 {
			d.recorded[id] = disk
		}
	}
}

// admits reports whether a member's messages are accepted: its ID is recorded
// with the disk that it has named, or with none.
func (d *memberDisks) admits(state *ledger.Ledger, id, disk uint64) bool {
	if d.reported[id] != disk {
		d.reported[id] = disk
		d.loadRecorded(state)
	}
	recorded := d.recorded[id]
	return recorded == 0 || recorded == disk
}

// handle passes the message to the core, or refuses it if the sender's ID is
// recorded with another disk.
func (m memberMessage) handle(l *loop) {
	disk := m.session.Peer().Incarnation
	if !l.disks.admits(l.state, m.message.From, disk) {
		_ = m.session.Send(wire.LaneUrgent, wire.FaultReply(wirepb.FaultCode_FAULT_CODE_FENCED, reasonOtherDisk, ""))
		return
	}
	if err := l.core.Step(m.message); err != nil {
		l.opts.Log.V(1).Info("member message refused", "error", err.Error())
	}
}

// handle ends the member. On the recorded disk, this ID may have cast votes or
// acknowledged entries that the present disk does not hold.
func (memberIDRefused) handle(l *loop) {
	l.fail(eris.Wrapf(ErrDiskLost, "member %d", l.opts.ID))
}

// recordDisks proposes records of the disks of members that have none in the
// ledger.
func (l *loop) recordDisks() {
	for _, m := range l.members {
		disk := l.disks.reported[m.ID]
		if disk == 0 || l.state.MemberDisk(m.ID) != 0 {
			continue
		}
		l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_RecordMember{
			RecordMember: &wirepb.RecordMember{Id: m.ID, Disk: disk},
		}})
	}
}

// updateMembers applies the core's present membership to the links to the other
// members and to the directory.
func (l *loop) updateMembers() {
	l.members = l.currentMembers()
	l.directory.changed, l.directory.membersChanged = true, true
	l.p.peers.update(l.members)
}

// currentMembers returns the members of the latest configuration. For members
// that are in Options.Members, the settings override the log.
func (l *loop) currentMembers() []Peer {
	var all []Peer
	for _, m := range l.core.Status().Membership.Members() {
		p := decodePeer(m)
		for _, known := range l.opts.Members {
			if known.ID == p.ID {
				p = known
			}
		}
		all = append(all, p)
	}
	return all
}

// pendingChanges are the membership requests that wait until their change is
// committed.
type pendingChanges struct {
	waiting []pendingChange
}

// pendingChange is a membership request and the index of its log entry.
type pendingChange struct {
	from  caller
	index uint64
}

// onMembership handles a request to read or change the membership.
func (l *loop) onMembership(from caller, r *wirepb.MembershipRequest) {
	if r.Action == wirepb.MembershipAction_MEMBERSHIP_ACTION_STATUS {
		l.replyMembership(from)
		return
	}
	if !l.leadership.Self {
		l.replyNotLeader(from)
		return
	}
	ch, ok := changeOf(r)
	if !ok {
		from.replyFault(wirepb.FaultCode_FAULT_CODE_INVALID, reasonUnknown, "")
		return
	}
	if l.alreadyInForce(ch) {
		l.replyMembership(from)
		return
	}
	index, err := l.core.ProposeChange(ch)
	if err != nil {
		code, reason := changeFault(err)
		from.replyFault(code, reason, l.leaderAddress())
		return
	}
	l.updateMembers()
	l.pendingChanges.waiting = append(l.pendingChanges.waiting, pendingChange{from, index})
}

// changeOf returns the change that a request asks for, and whether it is valid.
func changeOf(r *wirepb.MembershipRequest) (quorum.Change, bool) {
	p := Peer{ID: r.Member.GetId(), Name: r.Member.GetName(), Address: r.Member.GetAddress(), Zone: r.Member.GetZone()}
	ch := quorum.Change{Member: quorum.Member{ID: p.ID, Context: encodePeer(p)}}
	switch r.Action {
	case wirepb.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER:
		ch.Kind = quorum.AddLearner
		return ch, p.ID != 0 && p.Address != ""
	case wirepb.MembershipAction_MEMBERSHIP_ACTION_PROMOTE:
		ch.Kind = quorum.Promote
		ch.Replace = r.Replace
	case wirepb.MembershipAction_MEMBERSHIP_ACTION_REMOVE:
		ch.Kind = quorum.Remove
	default:
		return ch, false
	}
	return ch, p.ID != 0
}

// alreadyInForce reports whether a change has already been made, as is the case
// for a resent request.
func (l *loop) alreadyInForce(ch quorum.Change) bool {
	now := l.core.Status().Membership
	if now.Joint() {
		return false
	}
	voter := now.IsVoter(ch.Member.ID)
	switch ch.Kind {
	case quorum.AddLearner:
		return l.hasMemberAt(ch.Member)
	case quorum.Promote:
		return voter && (ch.Replace == 0 || !now.IsVoter(ch.Replace))
	default:
		return !voter && !now.IsLearner(ch.Member.ID)
	}
}

// hasMemberAt reports whether there is a member with this ID and address.
func (l *loop) hasMemberAt(asked quorum.Member) bool {
	for _, m := range l.core.Status().Membership.Members() {
		if m.ID == asked.ID {
			return decodePeer(m).Address == decodePeer(asked).Address
		}
	}
	return false
}

// changeFault returns the code and reason of the fault for a refused change.
// Nothing was done. Temporary errors are UNAVAILABLE or NOT_LEADER.
func changeFault(err error) (wirepb.FaultCode, string) {
	if errors.Is(err, quorum.ErrMemberExists) || errors.Is(err, quorum.ErrUnknownMember) {
		return wirepb.FaultCode_FAULT_CODE_INVALID, err.Error()
	}
	return coreFault(err)
}

// replyCommitted answers the changes that are complete once a membership entry
// is applied. An entry with outgoing voters belongs to a joint configuration and
// completes none.
func (c *pendingChanges) replyCommitted(l *loop, e *wirepb.Entry) {
	if len(e.Membership.GetOutgoing()) > 0 {
		return
	}
	var rest []pendingChange
	for _, w := range c.waiting {
		if w.index > e.Index {
			rest = append(rest, w)
			continue
		}
		l.replyMembership(w.from)
	}
	c.waiting = rest
}

// failAll answers all pending changes with a fault. Their outcome is unknown,
// because the next leader may still commit them.
func (c *pendingChanges) failAll(reason, leader string) {
	for _, w := range c.waiting {
		w.from.replyFault(wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME, reason, leader)
	}
	c.waiting = nil
}

func (l *loop) replyMembership(from caller) {
	status := l.core.Status()
	r := &wirepb.MembershipResponse{Leader: status.Leader, Term: status.Term, Commit: status.Commit}
	for _, m := range l.members {
		r.Members = append(r.Members, &wirepb.Member{
			Id: m.ID, Name: m.Name, Address: m.Address, Zone: m.Zone,
			Learner: status.Membership.IsLearner(m.ID), Disk: l.state.MemberDisk(m.ID),
		})
	}
	from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_MembershipResponse{MembershipResponse: r}})
}
