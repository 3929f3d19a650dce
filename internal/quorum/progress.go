package quorum

// progressState is the way in which the leader replicates to a member.
type progressState uint8

const (
	// probing means that the last index at which the logs match is unknown. One
	// append is sent at a time.
	probing progressState = iota
	// replicating means that appends are pipelined.
	replicating
	// snapshotting means that the entries which the member needs were compacted
	// and a snapshot was offered to it.
	snapshotting
)

// String returns the state's name for dumps.
func (s progressState) String() string {
	return [...]string{"probing", "replicating", "snapshotting"}[s]
}

// progress is the leader's view of one member.
type progress struct {
	state progressState
	// match is the last index known to be synced at the member. next is the
	// index of the next entry to send.
	match, next uint64
	// inflight holds the last index of each unanswered append, in order.
	inflight []uint64
	// awaitingReply is set while a probe or snapshot offer is unanswered.
	awaitingReply bool
	// appendSent is set if an append was sent since the last periodic heartbeat.
	appendSent bool
	// silentTicks counts the ticks since the member's last reply.
	silentTicks int
	// round is the last read round that the member confirmed.
	round uint64
	// heartbeatMatch is match at the last periodic heartbeat; see
	// Core.heartbeatPeer.
	heartbeatMatch uint64
	// snapshotWaitTicks counts the ticks since an unanswered snapshot offer.
	snapshotWaitTicks int
}

// canSend reports whether another append or snapshot offer may be sent now.
func (p *progress) canSend(maxInflight int) bool {
	if p.state == replicating {
		return len(p.inflight) < maxInflight
	}
	return !p.awaitingReply
}

// recordSent records that an append was sent whose last entry has this index.
func (p *progress) recordSent(last uint64) {
	if p.state != replicating {
		p.awaitingReply = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// recordMatch records that the member has synced the log up to an index, and
// switches to replicating. It reports whether match has advanced.
func (p *progress) recordMatch(match uint64) bool {
	p.awaitingReply = false
	p.snapshotWaitTicks = 0
	advanced := match > p.match
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= p.match {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
	if p.state != replicating {
		p.state = replicating
		p.next = p.match + 1
		p.inflight = p.inflight[:0]
	}
	return advanced
}

// startProbing makes the leader probe for the last index at which the logs
// match, from next on.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.awaitingReply = false
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
}

// startSnapshot records that a snapshot was offered.
func (p *progress) startSnapshot() {
	p.state = snapshotting
	p.awaitingReply = true
	p.snapshotWaitTicks = 0
	p.inflight = p.inflight[:0]
}
