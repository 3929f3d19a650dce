package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	// answerGap and answerGapEach set the shortest time between two rounds of
	// sync answers: when many processes follow many changes, each gets several
	// in one message.
	answerGap     = 5 * time.Millisecond
	answerGapEach = 100 * time.Microsecond
	// endingRetry is how long a lease's end is not proposed again.
	endingRetry = time.Second
)

// lease is what the leader remembers of one process.
type lease struct {
	expires time.Time
	// applied is the revision in force there; known once it has synced.
	applied uint64
	known   bool
	// ending: no other end is proposed before.
	ending time.Time
	// drained: its draining was proposed.
	drained bool
}

// heldSync is a Sync that waits for a change, its hold or the quorum.
type heldSync struct {
	from    caller
	applied uint64
	until   time.Time
}

// syncs are the leases and the syncs in flight, by incarnation.
type syncs struct {
	leases map[uint64]*lease
	held   map[uint64]*heldSync
	// due are to be answered with the next round.
	due   map[uint64]*heldSync
	timer *time.Timer
	armed bool
	last  time.Time // of the last round
	// revision is the newest that the held ones were compared with.
	revision uint64
	inForce  uint64
}

func (s *syncs) init() {
	s.leases = map[uint64]*lease{}
	s.held = map[uint64]*heldSync{}
	s.due = map[uint64]*heldSync{}
	s.timer = time.NewTimer(time.Hour)
	s.timer.Stop()
}

// grant gives a process a lease until a time at least.
func (s *syncs) grant(incarnation uint64, until time.Time) *lease {
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

// extend moves the end of all leases.
func (s *syncs) extend(by time.Duration) {
	for _, l := range s.leases {
		l.expires = l.expires.Add(by)
	}
}

// release makes the syncs due whose hold is over.
func (s *syncs) release(now time.Time) {
	for incarnation, h := range s.held {
		if !now.Before(h.until) {
			s.makeDue(incarnation, h, now)
		}
	}
}

// makeDue answers a sync with the next round.
func (s *syncs) makeDue(incarnation uint64, h *heldSync, now time.Time) {
	delete(s.held, incarnation)
	s.due[incarnation] = h
	if s.armed {
		return
	}
	s.armed = true
	gap := answerGap + time.Duration(len(s.leases))*answerGapEach
	s.timer.Reset(max(0, s.last.Add(gap).Sub(now)))
}

func (s *syncs) drop(reason, leader string) {
	for _, all := range []map[uint64]*heldSync{s.held, s.due} {
		for _, h := range all {
			h.from.fault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reason, leader)
		}
		clear(all)
	}
	clear(s.leases)
	s.inForce = 0
}

// onSync renews a lease and answers at once or holds the request.
func (l *loop) onSync(from caller, r *wirepb.SyncRequest) {
	if !l.leadership.Self {
		l.notLeader(from)
		return
	}
	now := time.Now()
	s := &l.syncs
	held := s.grant(r.Incarnation, now.Add(l.opts.Lease))
	held.applied = max(held.applied, r.Applied)
	held.known = true
	if r.Draining && !held.drained {
		held.drained = l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_SetDraining{
			SetDraining: &wirepb.SetDraining{Incarnation: r.Incarnation},
		}})
	}
	delete(s.due, r.Incarnation)
	hold := &heldSync{from: from, applied: r.Applied, until: now.Add(time.Duration(r.HoldMs) * time.Millisecond)}
	if !l.live(r.Incarnation) || l.state.Changed(r.Applied, l.agent(r.Incarnation)) {
		s.makeDue(r.Incarnation, hold, now)
		return
	}
	s.held[r.Incarnation] = hold
}

func (l *loop) live(incarnation uint64) bool {
	i := l.state.Instance(incarnation)
	return i != nil && !i.Ended
}

// agent tells that a process is one that need not know of other agents.
func (l *loop) agent(incarnation uint64) bool {
	return l.state.Instance(incarnation).GetKind() == wirepb.InstanceKind_INSTANCE_KIND_AGENT
}

// announce makes the held syncs due that a change concerns.
func (l *loop) announce() {
	revision := l.state.Revision()
	if revision == l.syncs.revision {
		return
	}
	l.syncs.revision = revision
	now := time.Now()
	for incarnation, h := range l.syncs.held {
		if !l.live(incarnation) || l.state.Changed(h.applied, l.agent(incarnation)) {
			l.syncs.makeDue(incarnation, h, now)
		}
	}
}

// confirmSyncs asks the quorum once for all syncs that are due.
func (l *loop) confirmSyncs(now time.Time) {
	s := &l.syncs
	s.armed = false
	s.last = now
	if len(s.due) == 0 {
		return
	}
	due := s.due
	s.due = map[uint64]*heldSync{}
	l.confirm(&syncRound{due: due})
}

// syncRound is a number of syncs that are answered together.
type syncRound struct{ due map[uint64]*heldSync }

func (r *syncRound) refuse(l *loop) {
	for _, h := range r.due {
		l.notLeader(h.from)
	}
}

func (r *syncRound) run(l *loop) {
	l.measureInForce()
	for incarnation, h := range r.due {
		if !l.live(incarnation) {
			delete(l.syncs.leases, incarnation)
			h.from.fault(wirepb.FaultCode_FAULT_CODE_FENCED, reasonEnded, "")
			continue
		}
		h.from.reply(l.syncResponse(h.applied, l.agent(incarnation)))
	}
}

func (l *loop) syncResponse(applied uint64, agent bool) *wirepb.Envelope {
	resources, full := l.state.Changes(applied, agent)
	r := &wirepb.SyncResponse{
		Revision:  l.state.Revision(),
		Full:      full,
		Resources: resources,
		InForce:   l.syncs.inForce,
		LeaseMs:   uint32(l.opts.Lease.Milliseconds()),
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_SyncResponse{SyncResponse: r}}
}

// measureInForce finds the smallest revision in force at a live process. It is
// not known before each one has synced with this leader, and never falls.
func (l *loop) measureInForce() {
	smallest := l.state.Revision()
	for _, i := range l.state.Live() {
		held := l.syncs.leases[i.Incarnation]
		if held == nil || !held.known {
			return
		}
		smallest = min(smallest, held.applied)
	}
	l.syncs.inForce = max(l.syncs.inForce, smallest)
}

// endLeases gives each process that this leader does not know yet a full
// lease, and proposes the end of those whose lease has run out.
func (l *loop) endLeases(now time.Time) {
	var expired []uint64
	for _, i := range l.state.Live() {
		held := l.syncs.leases[i.Incarnation]
		if held == nil {
			l.syncs.grant(i.Incarnation, now.Add(l.opts.Lease))
			continue
		}
		if now.After(held.expires) && now.After(held.ending) {
			held.ending = now.Add(endingRetry)
			expired = append(expired, i.Incarnation)
		}
	}
	l.forgetEnded()
	if len(expired) == 0 {
		return
	}
	l.opts.Log.Info("leases have run out", "incarnations", expired)
	l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_EndInstances{
		EndInstances: &wirepb.EndInstances{Incarnations: expired},
	}})
}

func (l *loop) forgetEnded() {
	for incarnation := range l.syncs.leases {
		if !l.live(incarnation) {
			delete(l.syncs.leases, incarnation)
		}
	}
}
