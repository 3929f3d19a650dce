package quorum

import (
	"math/rand/v2"

	"pgregory.net/rapid"
)

// Limits of one generated test run.
const (
	minSteps   = 100
	maxSteps   = 600
	maxMembers = 8
	registers  = 2
)

// chaos drives a cluster with generated events and records the operations of its
// clients.
//
// Only the seed and the number of steps come from rapid. The events come from a
// random generator with that seed, because rapid's own integers favour small
// values, so that rare events would hardly occur. rapid can still shrink the
// number of steps.
type chaos struct {
	*cluster
	rt   *rapid.T
	rand *rand.Rand
	// faultHeavy makes faults and elections more frequent than client operations.
	faultHeavy bool
	// now is the logical time, in steps.
	now     int64
	ops     []*operation
	pending map[uint64]*operation
}

func newChaos(rt *rapid.T) *chaos {
	seed := rapid.Uint64().Draw(rt, "seed")
	x := &chaos{rt: rt, rand: rand.New(rand.NewPCG(seed, 0)), pending: map[uint64]*operation{}}
	x.cluster = newCluster(rt, 3+2*x.between(0, 1))
	x.autoSync = x.between(0, 1) == 0
	x.faultHeavy = x.between(0, 1) == 0
	for _, h := range x.hosts {
		x.recordCompletions(h)
	}
	return x
}

func (x *chaos) between(low, high int) int { return low + x.rand.IntN(high-low+1) }

func (x *chaos) pickHost() *host {
	return x.hosts[x.ids[x.between(0, len(x.ids)-1)]]
}

// event is a generated event.
type event struct {
	// normal is the event's weight in a normal run. faultHeavy is its weight in
	// a run with frequent faults.
	normal, faultHeavy int
	run                func(*chaos)
}

var events = []event{
	{2, 4, (*chaos).crashOne},
	{3, 6, (*chaos).restartAll},
	{1, 2, (*chaos).isolateOne},
	{1, 2, (*chaos).partitionHalves},
	{2, 2, (*chaos).freezeLeader},
	{3, 3, (*chaos).heal},
	{2, 2, (*chaos).snapshotOne},
	{4, 4, (*chaos).proposeChange},
	{1, 1, (*chaos).loseDisk},
	{1, 2, (*chaos).transfer},
	{7, 5, (*chaos).read},
	{12, 8, (*chaos).compareAndSet},
	{8, 6, (*chaos).dropOrRepeat},
	{8, 20, (*chaos).tickSome},
	{5, 1, (*chaos).quietPeriod},
	{42, 50, (*chaos).deliverOrSync},
}

func (e event) weight(faultHeavy bool) int {
	if faultHeavy {
		return e.faultHeavy
	}
	return e.normal
}

func (x *chaos) step() {
	x.now++
	total := 0
	for _, e := range events {
		total += e.weight(x.faultHeavy)
	}
	remaining := x.between(0, total-1)
	for _, e := range events {
		if remaining -= e.weight(x.faultHeavy); remaining < 0 {
			e.run(x)
			return
		}
	}
}

func (x *chaos) heal() { x.partitioned = func(uint64, uint64) bool { return false } }

func (x *chaos) snapshotOne() {
	if h := x.pickHost(); h.core != nil && h.app.applied > 0 {
		x.snapshot(h, uint64(x.between(0, 5)))
	}
}

func (x *chaos) transfer() {
	if h := x.leader(); h != nil {
		h.core.TransferLeader(0)
		x.drain(h)
	}
}

func (x *chaos) tickSome() {
	h := x.pickHost()
	for range x.between(1, 2*testElectionTicks) {
		if h.core != nil {
			h.core.Tick()
			x.drain(h)
		}
	}
}

// leaderOrAny returns the leader with a probability of one half, and otherwise a
// random member.
func (x *chaos) leaderOrAny() *host {
	if h := x.leader(); h != nil && x.between(0, 1) == 0 {
		return h
	}
	return x.pickHost()
}

// quietPeriod runs the members for some ticks without new faults. One of them
// may have a stopped clock, like a suspended process.
func (x *chaos) quietPeriod() {
	var stopped uint64
	if x.between(0, 1) == 0 {
		stopped = x.leaderOrAny().id
	}
	x.runMembers(x.between(1, 3*testElectionTicks), stopped)
}

// freezeLeader partitions a leader and stops its clock long enough for another
// leader to be elected, so that the old one still considers itself the leader.
func (x *chaos) freezeLeader() {
	h := x.leader()
	if h == nil {
		return
	}
	x.partitioned = func(from, to uint64) bool { return from == h.id || to == h.id }
	x.runMembers(x.between(testElectionTicks, 3*testElectionTicks), h.id)
}

// runMembers lets all members sync and exchange messages for some ticks. The
// clock of the stopped member doesn't advance.
func (x *chaos) runMembers(ticks int, stopped uint64) {
	for range ticks {
		x.now++
		for _, id := range x.ids {
			if h := x.hosts[id]; h.core != nil {
				if id != stopped {
					h.core.Tick()
				}
				x.drain(h)
				x.sync(h, len(h.unsynced))
				x.drain(h)
			}
		}
		x.round()
	}
}

func (x *chaos) deliverOrSync() {
	if len(x.undelivered) > 0 {
		x.deliver(x.between(0, len(x.undelivered)-1) / x.between(1, 4))
	}
	if h := x.pickHost(); h.core != nil && len(h.unsynced) > 0 {
		x.sync(h, x.between(1, len(h.unsynced)))
		x.drain(h)
	}
}

func (x *chaos) dropOrRepeat() {
	if len(x.undelivered) == 0 {
		return
	}
	i := x.between(0, len(x.undelivered)-1)
	if x.between(0, 1) == 0 {
		x.undelivered = append(x.undelivered, x.undelivered[i])
		return
	}
	x.undelivered = append(x.undelivered[:i:i], x.undelivered[i+1:]...)
}

func (x *chaos) crashOne() {
	h := x.pickHost()
	if h.core != nil {
		x.crash(h, x.between(0, len(h.unsynced)))
		x.abandonOps(h)
	}
}

func (x *chaos) restartAll() {
	for _, id := range x.ids {
		if h := x.hosts[id]; h.core == nil {
			x.start(h)
		}
	}
}

func (x *chaos) isolateOne() {
	isolated := x.leaderOrAny().id
	oneWay := x.between(0, 1) == 0
	x.partitioned = func(from, to uint64) bool { return from == isolated || (to == isolated && !oneWay) }
}

// partitionHalves splits the members at random into two partitions.
func (x *chaos) partitionHalves() {
	inFirstHalf := map[uint64]bool{}
	for _, id := range x.ids {
		inFirstHalf[id] = x.between(0, 1) == 0
	}
	x.partitioned = func(from, to uint64) bool { return inFirstHalf[from] != inFirstHalf[to] }
}

// loseDisk removes a host for good and adds an empty one with a new ID.
func (x *chaos) loseDisk() {
	lead := x.leader()
	if lead == nil || len(x.ids) >= maxMembers {
		return
	}
	h := x.pickHost()
	if !x.canLoseDisk(h.id) {
		return
	}
	x.abandonOps(h)
	delete(x.hosts, h.id)
	x.ids = withoutID(x.ids, h.id)
	x.joinLearner(lead)
}

// canLoseDisk reports whether the members that keep their disks are a quorum of
// every configuration in the log of any member or in an undelivered message. It
// returns false while any host is down.
func (x *chaos) canLoseDisk(lost uint64) bool {
	kept := func(id uint64) bool { return id != lost && x.hosts[id] != nil }
	for _, h := range x.hosts {
		if h.core == nil {
			return false
		}
		for _, at := range h.core.configs {
			if len(at.membership.Voters) > 0 && !at.membership.quorum(kept) {
				return false
			}
		}
	}
	for _, msg := range x.undelivered {
		for _, e := range msg.m.GetAppendRequest().GetEntries() {
			if e.Membership != nil && !MembershipOf(e.Membership).quorum(kept) {
				return false
			}
		}
	}
	return true
}

func withoutID(ids []uint64, id uint64) []uint64 {
	var out []uint64
	for _, x := range ids {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// joinLearner proposes a new learner and starts an empty host for it.
func (x *chaos) joinLearner(lead *host) {
	id := uint64(100 + x.now)
	if lead.core == nil {
		return
	}
	if _, err := lead.core.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: id}}); err != nil {
		return
	}
	h := x.add(id, Membership{})
	x.recordCompletions(h)
	x.drain(lead)
}

func (x *chaos) proposeChange() {
	lead := x.leader()
	if lead == nil {
		return
	}
	if len(x.ids) < 6 && x.between(0, 1) == 0 {
		x.joinLearner(lead)
		return
	}
	m := lead.core.membership()
	target := x.pickHost().id
	ch := Change{Kind: Remove, Member: Member{ID: target}}
	if m.IsLearner(target) {
		ch.Kind = Promote
		if x.between(0, 1) == 0 {
			ch.Replace = m.Voters[x.between(0, len(m.Voters)-1)].ID
		}
	} else if len(m.Voters) < 3 {
		return
	}
	// The core notices a lost disk only after some heartbeats without a reply.
	// An operator knows at once and would not propose this change.
	next, err := lead.core.plan(ch)
	if err != nil || !majority(next.Voters, func(id uint64) bool { return x.hosts[id] != nil }) {
		return
	}
	// The core may refuse the change.
	_, err = lead.core.ProposeChange(ch)
	x.drain(lead)
	if err == nil && x.between(0, 1) == 0 {
		x.partitionHalves()
	}
}

func (x *chaos) statuses() []Status {
	var all []Status
	for _, id := range x.ids {
		all = append(all, x.hosts[id].core.Status())
	}
	return all
}

// recover ends all faults and requires that the cluster elects a leader
// and commits a new entry at every member.
func (x *chaos) recover() {
	x.heal()
	x.autoSync = true
	x.restartAll()
	for _, id := range x.ids {
		x.drain(x.hosts[id])
		x.sync(x.hosts[id], len(x.hosts[id].unsynced))
		x.drain(x.hosts[id])
	}
	x.now++
	x.tick(30 * testElectionTicks)
	lead := x.leader()
	if lead == nil {
		x.rt.Fatalf("no leader after all faults ended: %v", x.statuses())
	}
	index := x.propose(lead, []byte("end"))
	x.tick(2 * testHeartbeatTicks)
	if lead.app.applied < index {
		x.rt.Fatalf("nothing commits after all faults ended: %+v", lead.core.Status())
	}
	for _, m := range lead.core.membership().Members() {
		if h := x.hosts[m.ID]; h != nil && h.app.applied < index {
			x.rt.Fatalf("member %d is behind after all faults ended: %+v", m.ID, lead.core.Status())
		}
	}
}
