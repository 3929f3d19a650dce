package quorum

// progressState tells how the leader sends to a member.
type progressState uint8

const (
	// probing: where the logs agree is unknown; one append at a time.
	probing progressState = iota
	// replicating: appends are pipelined.
	replicating
	// snapshotting: the log no longer holds what the member needs.
	snapshotting
)

// String returns the state's name for dumps.
func (s progressState) String() string {
	return [...]string{"probing", "replicating", "snapshotting"}[s]
}

// progress is the leader's view of one member.
type progress struct {
	state       progressState
	match, next uint64
	// inflight holds the last index of each unanswered append, in order.
	inflight []uint64
	// probed: a probe or snapshot offer is unanswered.
	probed bool
	// spoken: an append was sent since the last heartbeat interval began.
	spoken bool
	// silent counts ticks since its last answer.
	silent int
	// round is the last read round it answered.
	round uint64
	// beatMatch is match at the last heartbeat; see Core.beat.
	beatMatch uint64
	// waitTicks counts the ticks of an unanswered snapshot offer.
	waitTicks int
}

// sendable tells whether another append may be sent now.
func (p *progress) sendable(maxInflight int) bool {
	if p.state == replicating {
		return len(p.inflight) < maxInflight
	}
	return !p.probed
}

// sent notes an append that ends at an index.
func (p *progress) sent(last uint64) {
	if p.state != replicating {
		p.probed = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// acked notes a synced match; it tells whether that is news.
func (p *progress) acked(match uint64) bool {
	p.probed = false
	p.waitTicks = 0
	news := match > p.match
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
	return news
}

// probe goes back to finding where the logs agree.
func (p *progress) probe(next uint64) {
	p.state = probing
	p.probed = false
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
}

// offer notes that a snapshot was offered.
func (p *progress) offer() {
	p.state = snapshotting
	p.probed = true
	p.waitTicks = 0
	p.inflight = p.inflight[:0]
}
