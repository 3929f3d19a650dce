package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
)

// proposal is a record that this member has proposed and not yet applied.
type proposal struct {
	term  uint64
	from  caller
	cmd   *wirepb.Command
	bytes int
}

// proposals holds the open proposals by log index, and their total size.
type proposals struct {
	open  map[uint64]*proposal
	bytes int
}

func (p *proposals) init() { p.open = map[uint64]*proposal{} }

func (p *proposals) remove(index uint64) *proposal {
	prop := p.open[index]
	if prop != nil {
		delete(p.open, index)
		p.bytes -= prop.bytes
	}
	return prop
}

// takeApplied removes and returns the proposal of an applied entry, or returns
// nil if this member has not proposed the entry. A proposal at the same index
// with another term was replaced by the entry and never takes effect; it is
// answered with a fault.
func (p *proposals) takeApplied(index, term uint64, leader string) *proposal {
	prop := p.remove(index)
	if prop == nil || prop.term == term {
		return prop
	}
	prop.from.replyFault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonLeaderLost, leader)
	return nil
}

// failLost answers proposals that will never be committed.
func (p *proposals) failLost(spans []quorum.Span, leader string) {
	for _, s := range spans {
		for i := s.First; i <= s.Last; i++ {
			if prop := p.remove(i); prop != nil {
				prop.from.replyFault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonLeaderLost, leader)
			}
		}
	}
}

// failUnresolved answers proposals whose outcome is unknown, because an
// installed snapshot covers their indexes.
func (p *proposals) failUnresolved(spans []quorum.Span) {
	for _, s := range spans {
		for i := s.First; i <= s.Last; i++ {
			if prop := p.remove(i); prop != nil {
				prop.from.replyFault(wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME, reasonSnapshot, "")
			}
		}
	}
}

// failAll answers all open proposals with a fault. Their outcome is unknown,
// because the next leader may still commit them.
func (p *proposals) failAll(reason, leader string) {
	for index := range p.open {
		p.remove(index).from.replyFault(wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME, reason, leader)
	}
}

// handle proposes the record of the request.
func (c command) handle(l *loop) {
	if reason := l.refusal(len(c.data)); reason != "" {
		c.from.replyFault(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, reason, "")
		return
	}
	l.propose(c.from, c.cmd, c.data)
}

// refusal returns the reason why a leader accepts no further record of the given
// size in bytes, or "".
func (l *loop) refusal(bytes int) string {
	switch {
	case !l.leadership.Self:
		return "" // the core refuses the proposal
	case !l.stoppingSince.IsZero():
		return reasonStopping
	case l.diskFull:
		return reasonDiskFull
	case len(l.proposals.open) >= maxOpenProposals, l.proposals.bytes+bytes > maxOpenProposalBytes:
		return reasonBusy
	case l.snapshots.overdue(l.opts.SnapshotBytes):
		return reasonSnapshotOverdue
	}
	return ""
}

// propose proposes an encoded command and reports whether the core accepted it.
// If not, it answers the caller with a fault.
func (l *loop) propose(from caller, cmd *wirepb.Command, data []byte) bool {
	index, term, err := l.core.Propose(data)
	if err != nil {
		code, reason := coreFault(err)
		from.replyFault(code, reason, l.leaderAddress())
		return false
	}
	l.proposals.open[index] = &proposal{term: term, from: from, cmd: cmd, bytes: len(data)}
	l.proposals.bytes += len(data)
	return true
}

// proposeOwn proposes a record that no request asked for. It reports whether the
// record was proposed; if not, the caller must try again later.
func (l *loop) proposeOwn(cmd *wirepb.Command) bool {
	cmd.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil || l.refusal(len(data)) != "" {
		return false
	}
	return l.propose(caller{}, cmd, data)
}

// answer replies to the request of an applied record.
func (l *loop) answer(prop *proposal, r ledger.Result) {
	if r.Fault != nil {
		prop.from.replyFault(r.Fault.Code, r.Fault.Reason, "")
		return
	}
	if e := l.response(prop.cmd, r); e != nil {
		prop.from.reply(e)
	}
}

// response returns the response to the request of an applied record, or nil for
// a record without a response. For a Register, it also grants the lease.
func (l *loop) response(cmd *wirepb.Command, r ledger.Result) *wirepb.Envelope {
	switch {
	case r.Accept != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_AcceptResponse{AcceptResponse: r.Accept}}
	case r.Complete != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_CompleteResponse{CompleteResponse: r.Complete}}
	case r.Document != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_PutDocumentResponse{PutDocumentResponse: r.Document}}
	case r.Apply != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_ApplyResponse{ApplyResponse: r.Apply}}
	case r.Register != nil:
		l.processSyncs.grantLease(r.Register.Incarnation, time.Now().Add(l.opts.Lease))
		r.Register.LeaseMs = uint32(l.opts.Lease.Milliseconds())
		return &wirepb.Envelope{Body: &wirepb.Envelope_RegisterResponse{RegisterResponse: r.Register}}
	case cmd.GetEndInstances() != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_LeaveResponse{LeaveResponse: &wirepb.LeaveResponse{}}}
	}
	return nil
}
