package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// roleControl is the role in the Hello of a control member.
const roleControl = "control"

// maxCommandBytes bounds the encoded size of one record. The record must fit in a
// frame to another member and delay the heartbeats behind it by less than an
// election timeout.
const maxCommandBytes = 16 << 20

// Reasons of faults, in addition to those of package ledger.
const (
	reasonNotLeader    = "not_leader"
	reasonTransferring = "transferring"
	reasonStopping     = "stopping"
	reasonDiskFull     = "disk_full"
	reasonBusy         = "busy"
	reasonLeaderLost   = "leadership_lost"
	reasonSnapshot     = "replaced_by_snapshot"
	// reasonSnapshotOverdue means that the log has to be shortened first.
	reasonSnapshotOverdue = "snapshot_overdue"
	reasonEnded           = "incarnation_ended"
	reasonUnknown         = "unknown_request"
	reasonTooLarge        = "record_too_large"
	reasonOtherDisk       = "member_has_another_disk"
	reasonNoDocument      = "no_such_document"
)

// onOutboundEnvelope handles messages on sessions that this member opened.
func (p *Process) onOutboundEnvelope(s *wire.Session, e *wirepb.Envelope) {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_CoreMessage:
		p.enqueue(memberMessage{s, body.CoreMessage})
	case *wirepb.Envelope_Fault:
		if body.Fault.Reason == reasonOtherDisk {
			p.enqueue(memberIDRefused{})
		}
	}
}

// onInboundEnvelope handles messages on sessions that other processes opened.
func (p *Process) onInboundEnvelope(s *wire.Session, e *wirepb.Envelope) {
	fromMember := s.Peer().Role == roleControl
	if m := e.GetCoreMessage(); m != nil {
		if !fromMember {
			return
		}
		p.peers.setInbound(m.From, s)
		p.enqueue(memberMessage{s, m})
		return
	}
	if a := e.GetAnnounce(); a != nil {
		p.enqueue(processAnnounced{s, a})
		return
	}
	if jobs := e.GetSharedJobs(); jobs != nil {
		p.enqueue(jobsShared{s, jobs})
		return
	}
	from := caller{session: s, call: e.Call, lane: laneOf(e)}
	if request := e.GetFetchDocumentRequest(); request != nil {
		from.reply(p.documents.response(request))
		return
	}
	if chunk := e.GetSnapshotChunk(); chunk != nil && fromMember {
		p.snapshotTransfers.receive(from, chunk)
		return
	}
	p.enqueueRequest(from, e)
}

// enqueueRequest sends a request to the loop as a command or a query.
func (p *Process) enqueueRequest(from caller, e *wirepb.Envelope) {
	if cmd := commandOf(e); cmd != nil {
		p.enqueueCommand(from, cmd)
		return
	}
	p.enqueue(query{from, e})
}

// laneOf returns the lane for a request and its reply.
func laneOf(e *wirepb.Envelope) wire.Lane {
	switch e.Body.(type) {
	case *wirepb.Envelope_RegisterRequest, *wirepb.Envelope_SyncRequest,
		*wirepb.Envelope_LeaveRequest, *wirepb.Envelope_MembershipRequest:
		return wire.LaneUrgent
	default:
		return wire.LaneTraffic
	}
}

// commandOf returns the record for the log that a request needs, or nil.
func commandOf(e *wirepb.Envelope) *wirepb.Command {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_AcceptRequest:
		return &wirepb.Command{Body: &wirepb.Command_Accept{Accept: body.AcceptRequest}}
	case *wirepb.Envelope_CompleteRequest:
		return &wirepb.Command{Body: &wirepb.Command_Complete{Complete: body.CompleteRequest}}
	case *wirepb.Envelope_RegisterRequest:
		return &wirepb.Command{Body: &wirepb.Command_Register{Register: body.RegisterRequest}}
	case *wirepb.Envelope_PutDocumentRequest:
		return &wirepb.Command{Body: &wirepb.Command_PutDocument{PutDocument: body.PutDocumentRequest}}
	case *wirepb.Envelope_ApplyRequest:
		return &wirepb.Command{Body: &wirepb.Command_Apply{Apply: body.ApplyRequest}}
	case *wirepb.Envelope_LeaveRequest:
		return &wirepb.Command{Body: &wirepb.Command_EndInstances{EndInstances: &wirepb.EndInstances{
			Incarnations: []uint64{body.LeaveRequest.Incarnation},
			Clean:        body.LeaveRequest.Clean,
		}}}
	}
	return nil
}

// enqueueCommand encodes a record and sends it to the loop. It encodes on the
// goroutine of the caller, to save time in the loop.
func (p *Process) enqueueCommand(from caller, cmd *wirepb.Command) {
	cmd.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		from.replyFault(wirepb.FaultCode_FAULT_CODE_INVALID, err.Error(), "")
		return
	}
	if len(data) > maxCommandBytes {
		from.replyFault(wirepb.FaultCode_FAULT_CODE_INVALID, reasonTooLarge, "")
		return
	}
	p.enqueue(command{from: from, cmd: cmd, data: data})
}
