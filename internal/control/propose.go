package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
)

// proposal is a record that was proposed here and is not applied yet.
type proposal struct {
	term  uint64
	from  caller
	cmd   *wirepb.Command
	bytes int
}

// proposals are the open ones by log index.
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

// take returns the proposal that an entry came from, or nil. One whose place
// another entry took never has an effect.
func (p *proposals) take(index, term uint64, leader string) *proposal {
	prop := p.remove(index)
	if prop == nil || prop.term == term {
		return prop
	}
	prop.from.fault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonLeaderLost, leader)
	return nil
}

// lost answers proposals that never have an effect.
func (p *proposals) lost(spans []quorum.Span, leader string) {
	for _, s := range spans {
		for i := s.First; i <= s.Last; i++ {
			if prop := p.remove(i); prop != nil {
				prop.from.fault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonLeaderLost, leader)
			}
		}
	}
}

// unresolved answers proposals that a snapshot may contain.
func (p *proposals) unresolved(spans []quorum.Span) {
	for _, s := range spans {
		for i := s.First; i <= s.Last; i++ {
			if prop := p.remove(i); prop != nil {
				prop.from.fault(wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME, reasonSnapshot, "")
			}
		}
	}
}

// drop answers all: each may still take effect under the next leader.
func (p *proposals) drop(reason, leader string) {
	for index := range p.open {
		p.remove(index).from.fault(wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME, reason, leader)
	}
}

// handle proposes the record of a request.
func (c command) handle(l *loop) {
	if reason := l.refusal(len(c.data)); reason != "" {
		c.from.fault(wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, reason, "")
		return
	}
	l.propose(c.from, c.cmd, c.data)
}

// refusal is the reason why a leader takes no more records, or "".
func (l *loop) refusal(bytes int) string {
	switch {
	case !l.leadership.Self:
		return "" // answered by the core's refusal
	case !l.stopping.IsZero():
		return reasonStopping
	case l.diskFull:
		return reasonDiskFull
	case len(l.proposals.open) >= maxPending, l.proposals.bytes+bytes > maxPendingBytes:
		return reasonBusy
	}
	return ""
}

func (l *loop) propose(from caller, cmd *wirepb.Command, data []byte) bool {
	index, term, err := l.core.Propose(data)
	if err != nil {
		code, reason := errCode(err)
		from.fault(code, reason, l.leaderAddress())
		return false
	}
	l.proposals.open[index] = &proposal{term: term, from: from, cmd: cmd, bytes: len(data)}
	l.proposals.bytes += len(data)
	return true
}

// proposeOwn proposes a record that no request asked for; false when it was
// refused, and is to be tried again later.
func (l *loop) proposeOwn(cmd *wirepb.Command) bool {
	cmd.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil || l.refusal(len(data)) != "" {
		return false
	}
	return l.propose(caller{}, cmd, data)
}

// answer replies with the result of a record.
func (l *loop) answer(prop *proposal, r ledger.Result) {
	if r.Fault != nil {
		prop.from.fault(r.Fault.Code, r.Fault.Reason, "")
		return
	}
	if e := l.response(prop.cmd, r); e != nil {
		prop.from.reply(e)
	}
}

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
		l.syncs.grant(r.Register.Incarnation, time.Now().Add(l.opts.Lease))
		r.Register.LeaseMs = uint32(l.opts.Lease.Milliseconds())
		return &wirepb.Envelope{Body: &wirepb.Envelope_RegisterResponse{RegisterResponse: r.Register}}
	case cmd.GetEndInstances() != nil:
		return &wirepb.Envelope{Body: &wirepb.Envelope_LeaveResponse{LeaveResponse: &wirepb.LeaveResponse{}}}
	}
	return nil
}
