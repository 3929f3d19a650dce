package control

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
	"endivewing/internal/wire"
)

// event is one input of the loop.
type event interface{ handle(l *loop) }

// memberMessage is a message of another member's core.
type memberMessage struct {
	session *wire.Session
	message *wirepb.CoreMessage
}

// command is a request that needs a record in the log.
type command struct {
	from caller
	cmd  *wirepb.Command
	data []byte // cmd, encoded
}

// query is a request that reads.
type query struct {
	from    caller
	request *wirepb.Envelope
}

// diskSynced: everything up to a point is durable.
type diskSynced struct {
	point quorum.SyncPoint
	jobs  int // records in the sync
}

// diskFull tells that the disk is full, or has room again.
type diskFull struct{ full bool }

// diskFailed ends the process: what the disk holds is not known.
type diskFailed struct{ err error }

// snapshotSaved: a snapshot of the own state is durable, or failed.
type snapshotSaved struct {
	index uint64
	err   error
}

// snapshotOffered: a snapshot from the leader is durable and decoded.
type snapshotOffered struct {
	offer *wirepb.CoreMessage
	state *ledger.Ledger
}

// snapshotNotSent: a member did not get the snapshot.
type snapshotNotSent struct{ to uint64 }

// refused: a member says that this ID belongs to another disk.
type refused struct{}

type stopAsked struct{}

type dumpAsked struct{ answer chan<- Dump }

// caller is where an answer goes.
type caller struct {
	session *wire.Session
	call    uint64
	lane    wire.Lane
	// local takes the answer of a request of the own host; it has room for one.
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

func (c caller) fault(code wirepb.FaultCode, reason, leader string) {
	c.reply(wire.FaultReply(code, reason, leader))
}
