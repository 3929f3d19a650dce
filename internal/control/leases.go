package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	// minSyncRoundInterval is the minimum time between two rounds of Sync
	// responses, to which syncRoundIntervalPerLease is added for each lease. If
	// many processes follow many changes, each gets several changes in one
	// message.
	minSyncRoundInterval = 5 * time.Millisecond
	// syncRoundIntervalPerLease is the part of the minimum interval that grows
	// with the number of leases.
	syncRoundIntervalPerLease = 100 * time.Microsecond
	// leaseEndBackoff is the pause between two proposals to end the same lease.
	leaseEndBackoff = time.Second
)

// lease is the leader's state of one process.
type lease struct {
	expires time.Time
	// applied is the newest revision that the process has reported as in force.
	// It is valid if synced is set: the process has sent a Sync to this leader.
	applied uint64
	synced  bool
	// nextEndProposal is the earliest time to propose the end of the process
	// again.
	nextEndProposal time.Time
	// drainProposed is set once the draining of the process has been proposed.
	drainProposed bool
}

// heldSync is a Sync request whose response waits for a change, the end of its
// hold time or the confirmation by a quorum.
type heldSync struct {
	from    caller
	applied uint64
	until   time.Time
}

// processSyncs holds the leases of the processes and their open Sync requests, by
// incarnation. Only a leader has any. A Sync request renews the lease and asks for
// changes; it is unrelated to disk syncs.
type processSyncs struct {
	leases map[uint64]*lease
	held   map[uint64]*heldSync
	// due are the requests to answer in the next round.
	due map[uint64]*heldSync
	// timer fires when the next round is due. It runs if timerArmed is set.
	timer      *time.Timer
	timerArmed bool
	lastRound  time.Time
	// revision is the newest revision that the held requests were compared
	// with.
	revision uint64
	// inForce is the smallest revision in force at any live process; 0 until it
	// is known.
	inForce uint64
}

func (s *processSyncs) init() {
	s.leases = map[uint64]*lease{}
	s.held = map[uint64]*heldSync{}
	s.due = map[uint64]*heldSync{}
	s.timer = time.NewTimer(time.Hour)
	s.timer.Stop()
}

// grantLease extends the lease of a process to at least the given time, and
// creates the lease if there is none.
func (s *processSyncs) grantLease(incarnation uint64, until time.Time) *lease {
	l := s.leases[incarnation]
	if l == nil {
		l = &lease{}
		s.leases[incarnation] = l
	}
	if l.expires.Before(until) {
		l.expires = until
	}
	return l
}

// extendLeases extends all leases by the same time.
func (s *processSyncs) extendLeases(by time.Duration) {
	for _, l := range s.leases {
		l.expires = l.expires.Add(by)
	}
}

// releaseExpiredHolds makes the requests due whose hold time has ended.
func (s *processSyncs) releaseExpiredHolds(now time.Time) {
	for incarnation, h := range s.held {
		if !now.Before(h.until) {
			s.makeDue(incarnation, h, now)
		}
	}
}

// makeDue moves a request to the next round of responses.
func (s *processSyncs) makeDue(incarnation uint64, h *heldSync, now time.Time) {
	delete(s.held, incarnation)
	s.due[incarnation] = h
	if s.timerArmed {
		return
	}
	s.timerArmed = true
	gap := minSyncRoundInterval + time.Duration(len(s.leases))*syncRoundIntervalPerLease
	s.timer.Reset(max(0, s.lastRound.Add(gap).Sub(now)))
}

// failAll answers all open requests with a fault and drops the leases.
func (s *processSyncs) failAll(reason, leader string) {
	for _, all := range []map[uint64]*heldSync{s.held, s.due} {
		for _, h := range all {
			h.from.replyFault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reason, leader)
		}
		clear(all)
	}
	clear(s.leases)
	s.inForce = 0
}

// onSync renews the lease of a process. The response is due at once if there is
// a change for the process or it has ended; otherwise the request is held.
func (l *loop) onSync(from caller, r *wirepb.SyncRequest) {
	if !l.leadership.Self {
		l.replyNotLeader(from)
		return
	}
	now := time.Now()
	s := &l.processSyncs
	held := s.grantLease(r.Incarnation, now.Add(l.opts.Lease))
	held.applied = max(held.applied, r.Applied)
	held.synced = true
	if r.Draining && !held.drainProposed {
		held.drainProposed = l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_SetDraining{
			SetDraining: &wirepb.SetDraining{Incarnation: r.Incarnation},
		}})
	}
	delete(s.due, r.Incarnation)
	hold := &heldSync{from: from, applied: r.Applied, until: now.Add(time.Duration(r.HoldMs) * time.Millisecond)}
	if !l.isLive(r.Incarnation) || l.state.HasChanges(r.Applied, l.isAgent(r.Incarnation)) {
		s.makeDue(r.Incarnation, hold, now)
		return
	}
	s.held[r.Incarnation] = hold
}

// isLive reports whether an incarnation is registered and has not ended.
func (l *loop) isLive(incarnation uint64) bool {
	i := l.state.Instance(incarnation)
	return i != nil && !i.Ended
}

// isAgent reports whether a process is an agent. Agents are not sent changes of
// other agents.
func (l *loop) isAgent(incarnation uint64) bool {
	return l.state.Instance(incarnation).GetKind() == wirepb.InstanceKind_INSTANCE_KIND_AGENT
}

// releaseChangedSyncs makes the held requests due whose processes are affected
// by a change of the configuration.
func (l *loop) releaseChangedSyncs() {
	revision := l.state.Revision()
	if revision == l.processSyncs.revision {
		return
	}
	l.processSyncs.revision = revision
	now := time.Now()
	for incarnation, h := range l.processSyncs.held {
		if !l.isLive(incarnation) || l.state.HasChanges(h.applied, l.isAgent(incarnation)) {
			l.processSyncs.makeDue(incarnation, h, now)
		}
	}
}

// confirmSyncs starts a round of responses. One quorum confirmation serves all
// requests that are due.
func (l *loop) confirmSyncs(now time.Time) {
	s := &l.processSyncs
	s.timerArmed = false
	s.lastRound = now
	if len(s.due) == 0 {
		return
	}
	due := s.due
	s.due = map[uint64]*heldSync{}
	l.confirm(&syncRound{due: due})
}

// syncRound is the read that answers a group of Sync requests.
type syncRound struct{ due map[uint64]*heldSync }

func (r *syncRound) fail(l *loop) {
	for _, h := range r.due {
		l.replyNotLeader(h.from)
	}
}

func (r *syncRound) execute(l *loop) {
	l.updateInForce()
	for incarnation, h := range r.due {
		if !l.isLive(incarnation) {
			delete(l.processSyncs.leases, incarnation)
			h.from.replyFault(wirepb.FaultCode_FAULT_CODE_FENCED, reasonEnded, "")
			continue
		}
		h.from.reply(l.syncResponse(h.applied, l.isAgent(incarnation)))
	}
}

func (l *loop) syncResponse(applied uint64, agent bool) *wirepb.Envelope {
	resources, full := l.state.Changes(applied, agent)
	r := &wirepb.SyncResponse{
		Revision:  l.state.Revision(),
		Full:      full,
		Resources: resources,
		InForce:   l.processSyncs.inForce,
		LeaseMs:   uint32(l.opts.Lease.Milliseconds()),
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_SyncResponse{SyncResponse: r}}
}

// updateInForce computes the smallest revision in force at any live process. It
// is not known until every live process has sent a Sync to this leader. It
// never decreases.
func (l *loop) updateInForce() {
	smallest := l.state.Revision()
	for _, i := range l.state.LiveInstances() {
		granted := l.processSyncs.leases[i.Incarnation]
		if granted == nil || !granted.synced {
			return
		}
		smallest = min(smallest, granted.applied)
	}
	l.processSyncs.inForce = max(l.processSyncs.inForce, smallest)
}

// endExpiredLeases proposes the end of the processes whose leases have expired.
// A live process without a lease, as after a change of leader, is granted a full
// one.
func (l *loop) endExpiredLeases(now time.Time) {
	var expired []uint64
	for _, i := range l.state.LiveInstances() {
		granted := l.processSyncs.leases[i.Incarnation]
		if granted == nil {
			l.processSyncs.grantLease(i.Incarnation, now.Add(l.opts.Lease))
			continue
		}
		if now.After(granted.expires) && now.After(granted.nextEndProposal) {
			granted.nextEndProposal = now.Add(leaseEndBackoff)
			expired = append(expired, i.Incarnation)
		}
	}
	l.removeEndedLeases()
	if len(expired) == 0 {
		return
	}
	l.opts.Log.Info("leases have run out", "incarnations", expired)
	l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_EndInstances{
		EndInstances: &wirepb.EndInstances{Incarnations: expired},
	}})
}

// removeEndedLeases drops the leases of processes that are not live.
func (l *loop) removeEndedLeases() {
	for incarnation := range l.processSyncs.leases {
		if !l.isLive(incarnation) {
			delete(l.processSyncs.leases, incarnation)
		}
	}
}
