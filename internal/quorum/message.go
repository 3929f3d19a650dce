package quorum

import wirepb "endivewing/api/endivewing/v1"

func (c *Core) address(term, to uint64, m *wirepb.CoreMessage) *wirepb.CoreMessage {
	m.From = c.cfg.ID
	m.To = to
	m.Term = term
	return m
}

func voteRequestMessage(b *wirepb.VoteRequest) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_VoteRequest{VoteRequest: b}}
}

func voteResponseMessage(b *wirepb.VoteResponse) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_VoteResponse{VoteResponse: b}}
}

func appendMessage(b *wirepb.AppendRequest) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_AppendRequest{AppendRequest: b}}
}

func appendResponseMessage(b *wirepb.AppendResponse) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_AppendResponse{AppendResponse: b}}
}

func heartbeatMessage(b *wirepb.Heartbeat) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_Heartbeat{Heartbeat: b}}
}

func heartbeatResponseMessage(b *wirepb.HeartbeatResponse) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_HeartbeatResponse{HeartbeatResponse: b}}
}

func snapshotMessage(b *wirepb.InstallSnapshot) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_InstallSnapshot{InstallSnapshot: b}}
}

func timeoutNowMessage(b *wirepb.TimeoutNow) *wirepb.CoreMessage {
	return &wirepb.CoreMessage{Body: &wirepb.CoreMessage_TimeoutNow{TimeoutNow: b}}
}
