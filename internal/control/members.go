package control

import (
	"errors"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
	"endivewing/internal/wire"
)

// memberDisks keeps apart members that use one ID with different disks.
type memberDisks struct {
	// recorded are the disks in the ledger, and heard those that members have
	// told, by member.
	recorded, heard map[uint64]uint64
}

func (d *memberDisks) init(self, disk uint64) {
	d.recorded = map[uint64]uint64{}
	d.heard = map[uint64]uint64{self: disk}
}

// learn takes the records of the ledger.
func (d *memberDisks) learn(state *ledger.Ledger) {
	for id := range d.heard {
		if disk := state.Disk(id); disk != 0 {
			d.recorded[id] = disk
		}
	}
}

// admits tells whether a member speaks from the disk that its ID is tied to.
func (d *memberDisks) admits(state *ledger.Ledger, id, disk uint64) bool {
	if d.heard[id] != disk {
		d.heard[id] = disk
		d.learn(state)
	}
	recorded := d.recorded[id]
	return recorded == 0 || recorded == disk
}

// handle passes a message to the core.
func (m memberMessage) handle(l *loop) {
	disk := m.session.Peer().Incarnation
	if !l.disks.admits(l.state, m.message.From, disk) {
		_ = m.session.Send(wire.LaneUrgent, wire.FaultReply(wirepb.FaultCode_FAULT_CODE_FENCED, reasonOtherDisk, ""))
		return
	}
	if err := l.core.Step(m.message); err != nil {
		l.opts.Log.V(1).Info("message refused", "error", err.Error())
	}
}

// handle ends a member whose ID belongs to another disk. It could have voted
// or acknowledged entries that it no longer has.
func (refused) handle(l *loop) {
	l.fail(eris.Wrapf(ErrDiskLost, "member %d", l.opts.ID))
}

// recordDisks proposes the disks of members that have none in the ledger.
func (l *loop) recordDisks() {
	for _, m := range l.members {
		disk := l.disks.heard[m.ID]
		if disk == 0 || l.state.Disk(m.ID) != 0 {
			continue
		}
		l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_RecordMember{
			RecordMember: &wirepb.RecordMember{Id: m.ID, Disk: disk},
		}})
	}
}

// linkMembers takes in a new configuration.
func (l *loop) linkMembers() {
	l.members = l.readMembers()
	l.directory.changed = true
	l.p.peers.update(l.members)
}

// readMembers returns the members of the configuration in force, with the
// addresses of the settings where they tell them.
func (l *loop) readMembers() []Peer {
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

// changes are the membership requests that wait for their configuration.
type changes struct {
	waiting []change
}

type change struct {
	from  caller
	index uint64
}

// onMembership reads or changes the membership.
func (l *loop) onMembership(from caller, r *wirepb.MembershipRequest) {
	if r.Action == wirepb.MembershipAction_MEMBERSHIP_ACTION_STATUS {
		l.replyMembership(from)
		return
	}
	if !l.leadership.Self {
		l.notLeader(from)
		return
	}
	ch, ok := changeOf(r)
	if !ok {
		from.fault(wirepb.FaultCode_FAULT_CODE_INVALID, reasonUnknown, "")
		return
	}
	if l.inForce(ch) {
		l.replyMembership(from)
		return
	}
	index, err := l.core.ProposeChange(ch)
	if err != nil {
		code, reason := changeFault(err)
		from.fault(code, reason, l.leaderAddress())
		return
	}
	l.linkMembers()
	l.changes.waiting = append(l.changes.waiting, change{from, index})
}

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

// inForce tells that a change has been made already, as for a resend.
func (l *loop) inForce(ch quorum.Change) bool {
	now := l.core.Status().Membership
	if now.Joint() {
		return false
	}
	voter := now.IsVoter(ch.Member.ID)
	switch ch.Kind {
	case quorum.AddLearner:
		return l.memberAt(ch.Member)
	case quorum.Promote:
		return voter && (ch.Replace == 0 || !now.IsVoter(ch.Replace))
	default:
		return !voter && !now.IsLearner(ch.Member.ID)
	}
}

// memberAt tells that a member with this ID and address exists.
func (l *loop) memberAt(asked quorum.Member) bool {
	for _, m := range l.core.Status().Membership.Members() {
		if m.ID == asked.ID {
			return decodePeer(m).Address == decodePeer(asked).Address
		}
	}
	return false
}

// changeFault is the fault for a refused change. Nothing was done; what passes
// with time is UNAVAILABLE.
func changeFault(err error) (wirepb.FaultCode, string) {
	if errors.Is(err, quorum.ErrMemberExists) || errors.Is(err, quorum.ErrUnknownMember) {
		return wirepb.FaultCode_FAULT_CODE_INVALID, err.Error()
	}
	return errCode(err)
}

// committed answers the changes that are in force for good.
func (c *changes) committed(l *loop, e *wirepb.Entry) {
	if len(e.Membership.GetOutgoing()) > 0 {
		return
	}
	var rest []change
	for _, w := range c.waiting {
		if w.index > e.Index {
			rest = append(rest, w)
			continue
		}
		l.replyMembership(w.from)
	}
	c.waiting = rest
}

func (c *changes) drop(reason, leader string) {
	for _, w := range c.waiting {
		w.from.fault(wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME, reason, leader)
	}
	c.waiting = nil
}

func (l *loop) replyMembership(from caller) {
	status := l.core.Status()
	r := &wirepb.MembershipResponse{Leader: status.Leader, Term: status.Term, Commit: status.Commit}
	for _, m := range l.members {
		r.Members = append(r.Members, &wirepb.Member{
			Id: m.ID, Name: m.Name, Address: m.Address, Zone: m.Zone,
			Learner: status.Membership.IsLearner(m.ID), Disk: l.state.Disk(m.ID),
		})
	}
	from.reply(&wirepb.Envelope{Body: &wirepb.Envelope_MembershipResponse{MembershipResponse: r}})
}
