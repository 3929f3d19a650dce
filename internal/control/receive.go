package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// roleControl is the role in a member's hello.
const roleControl = "control"

// maxCommandBytes bounds one record, so that it fits in a frame to another
// member and delays the heartbeats behind it by less than an election timeout.
const maxCommandBytes = 16 << 20

// Reasons of faults besides those of the ledger.
const (
	reasonNotLeader    = "not_leader"
	reasonTransferring = "transferring"
	reasonStopping     = "stopping"
	reasonDiskFull     = "disk_full"
	reasonBusy         = "busy"
	reasonLeaderLost   = "leadership_lost"
	reasonSnapshot     = "replaced_by_snapshot"
	reasonEnded        = "incarnation_ended"
	reasonUnknown      = "unknown_request"
	reasonTooLarge     = "record_too_large"
	reasonOtherDisk    = "member_has_another_disk"
)

// onMember receives messages on sessions that this member opened.
func (p *Process) onMember(s *wire.Session, e *wirepb.Envelope) {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_CoreMessage:
		p.post(memberMessage{s, body.CoreMessage})
	case *wirepb.Envelope_Fault:
		if body.Fault.Reason == reasonOtherDisk {
			p.post(refused{})
		}
	}
}

// onEnvelope receives messages on sessions that others opened.
func (p *Process) onEnvelope(s *wire.Session, e *wirepb.Envelope) {
	fromMember := s.Peer().Role == roleControl
	if m := e.GetCoreMessage(); m != nil {
		if !fromMember {
			return
		}
		p.peers.heard(m.From, s)
		p.post(memberMessage{s, m})
		return
	}
	if a := e.GetAnnounce(); a != nil {
		p.post(announced{s, a})
		return
	}
	from := caller{session: s, call: e.Call, lane: laneOf(e)}
	if chunk := e.GetSnapshotChunk(); chunk != nil && fromMember {
		p.installs.receive(from, chunk)
		return
	}
	p.take(from, e)
}

// take hands a request to the loop.
func (p *Process) take(from caller, e *wirepb.Envelope) {
	if cmd := commandOf(e); cmd != nil {
		p.postCommand(from, cmd)
		return
	}
	p.post(query{from, e})
}

// laneOf is the lane on which a request travels and is answered.
func laneOf(e *wirepb.Envelope) wire.Lane {
	switch e.Body.(type) {
	case *wirepb.Envelope_RegisterRequest, *wirepb.Envelope_SyncRequest,
		*wirepb.Envelope_LeaveRequest, *wirepb.Envelope_MembershipRequest:
		return wire.LaneUrgent
	default:
		return wire.LaneTraffic
	}
}

// commandOf returns the record that a request needs, or nil.
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

// postCommand encodes a record here, not in the loop.
func (p *Process) postCommand(from caller, cmd *wirepb.Command) {
	cmd.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		from.fault(wirepb.FaultCode_FAULT_CODE_INVALID, err.Error(), "")
		return
	}
	if len(data) > maxCommandBytes {
		from.fault(wirepb.FaultCode_FAULT_CODE_INVALID, reasonTooLarge, "")
		return
	}
	p.post(command{from: from, cmd: cmd, data: data})
}
