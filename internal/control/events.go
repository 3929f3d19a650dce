package control

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
	"endivewing/internal/wire"
)

// event is an input of the loop.
type event interface{ handle(l *loop) }

// memberMessage is a message from the core of another member.
type memberMessage struct {
	session *wire.Session
	message *wirepb.CoreMessage
}

// command is a request that is answered once its record in the log is applied.
type command struct {
	from caller
	cmd  *wirepb.Command
	data []byte // cmd, encoded
}

// query is a request for which the loop proposes no record. Requests to change
// the membership are queries too, because the core creates their log entries.
type query struct {
	from    caller
	request *wirepb.Envelope
}

// diskSynced reports that everything up to a sync point is durable.
type diskSynced struct {
	point quorum.SyncPoint
	jobs  int // number of records in the sync
}

// diskFull reports that the disk is full or has free space again.
type diskFull struct{ full bool }

// entriesNotReleased reports that old log entries could not be removed, because the
// disk was full.
type entriesNotReleased struct{ err error }

// diskFailed reports a failed write. It ends the process, because the contents
// of the disk are unknown.
type diskFailed struct{ err error }

// snapshotSaved reports that a snapshot of this member's ledger is durable or
// could not be written.
type snapshotSaved struct {
	index uint64
	err   error
}

// snapshotReceived reports that a snapshot from the leader is durable and
// decoded.
type snapshotReceived struct {
	offer *wirepb.CoreMessage
	state *ledger.Ledger
}

// snapshotNotSent reports that a snapshot could not be sent to a member.
type snapshotNotSent struct{ to uint64 }

// memberIDRefused reports that another member refused this member's messages,
// because its ID is recorded with another disk.
type memberIDRefused struct{}

// stopRequest asks the loop to stop the process.
type stopRequest struct{}

// dumpRequest asks the loop for a Dump.
type dumpRequest struct{ answer chan<- Dump }

// caller identifies the sender of a request, for the reply. The zero value
// discards replies.
type caller struct {
	session *wire.Session
	call    uint64
	lane    wire.Lane
	// local receives the reply to a request of this process; its buffer holds
	// one message. It is nil for requests that arrived on a session.
	local chan<- *wirepb.Envelope
}

func (c caller) reply(e *wirepb.Envelope) {
	if c.local != nil {
		c.local <- e
		return
	}
	if c.session != nil {
		_ = c.session.Reply(c.lane, c.call, e)
	}
}

func (c caller) replyFault(code wirepb.FaultCode, reason, leader string) {
	c.reply(wire.FaultReply(code, reason, leader))
}
