package quorum

import (
	"math/rand/v2"

	"pgregory.net/rapid"
)

// Limits of one generated run.
const (
	minSteps   = 100
	maxSteps   = 600
	maxMembers = 8
	registers  = 2
)

// chaos drives a cluster by generated events and records the operations.
//
// The events come from a generator that rapid seeds: rapid's own integers
// favour small values, which starves the rarer events. It still shrinks the
// number of steps.
type chaos struct {
	*cluster
	rt   *rapid.T
	rand *rand.Rand
	// storm: faults and elections outweigh work.
	storm bool
	now   int64
	ops   []*operation
	open  map[uint64]*operation
}

func newChaos(rt *rapid.T) *chaos {
	seed := rapid.Uint64().Draw(rt, "seed")
	x := &chaos{rt: rt, rand: rand.New(rand.NewPCG(seed, 0)), open: map[uint64]*operation{}}
	x.cluster = newCluster(rt, 3+2*x.between(0, 1))
	x.autoSync = x.between(0, 1) == 0
	x.storm = x.between(0, 1) == 0
	for _, h := range x.hosts {
		x.watch(h)
	}
	return x
}

func (x *chaos) between(low, high int) int { return low + x.rand.IntN(high-low+1) }

func (x *chaos) pick() *host {
	return x.hosts[x.ids[x.between(0, len(x.ids)-1)]]
}

// event is something that can happen in a run, with its weight in a calm run
// and in a stormy one.
type event struct {
	calm, storm int
	run         func(*chaos)
}

var events = []event{
	{2, 4, (*chaos).crashOne},
	{3, 6, (*chaos).restartAll},
	{1, 2, (*chaos).cutOne},
	{1, 2, (*chaos).cutHalf},
	{2, 2, (*chaos).freezeLeader},
	{3, 3, (*chaos).heal},
	{2, 2, (*chaos).snapshotOne},
	{4, 4, (*chaos).change},
	{1, 1, (*chaos).loseDisk},
	{1, 2, (*chaos).transfer},
	{7, 5, (*chaos).read},
	{12, 8, (*chaos).swap},
	{8, 6, (*chaos).dropOrRepeat},
	{8, 20, (*chaos).tickSome},
	{5, 1, (*chaos).calm},
	{42, 50, (*chaos).progress},
}

func (e event) weight(storm bool) int {
	if storm {
		return e.storm
	}
	return e.calm
}

func (x *chaos) step() {
	x.now++
	total := 0
	for _, e := range events {
		total += e.weight(x.storm)
	}
	left := x.between(0, total-1)
	for _, e := range events {
		if left -= e.weight(x.storm); left < 0 {
			e.run(x)
			return
		}
	}
}

func (x *chaos) heal() { x.cut = func(uint64, uint64) bool { return false } }

func (x *chaos) snapshotOne() {
	if h := x.pick(); h.core != nil && h.app.applied > 0 {
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
	h := x.pick()
	for range x.between(1, 2*testElectionTicks) {
		if h.core != nil {
			h.core.Tick()
			x.drain(h)
		}
	}
}

// target returns the leader or any member.
func (x *chaos) target() *host {
	if h := x.leader(); h != nil && x.between(0, 1) == 0 {
		return h
	}
	return x.pick()
}

// calm lets the members work for a while without new faults. The clock of one
// may stand still, as that of a stopped process.
func (x *chaos) calm() {
	var stopped uint64
	if x.between(0, 1) == 0 {
		stopped = x.target().id
	}
	x.work(x.between(1, 3*testElectionTicks), stopped)
}

// freezeLeader cuts a leader off and stops its clock until another may lead,
// so that it does not know.
func (x *chaos) freezeLeader() {
	h := x.leader()
	if h == nil {
		return
	}
	x.cut = func(from, to uint64) bool { return from == h.id || to == h.id }
	x.work(x.between(testElectionTicks, 3*testElectionTicks), h.id)
}

// work lets all members but one with a stopped clock tick, sync and exchange
// messages.
func (x *chaos) work(ticks int, stopped uint64) {
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

func (x *chaos) progress() {
	if len(x.mail) > 0 {
		x.deliver(x.between(0, len(x.mail)-1) / x.between(1, 4))
	}
	if h := x.pick(); h.core != nil && len(h.unsynced) > 0 {
		x.sync(h, x.between(1, len(h.unsynced)))
		x.drain(h)
	}
}

func (x *chaos) dropOrRepeat() {
	if len(x.mail) == 0 {
		return
	}
	i := x.between(0, len(x.mail)-1)
	if x.between(0, 1) == 0 {
		x.mail = append(x.mail, x.mail[i])
		return
	}
	x.mail = append(x.mail[:i:i], x.mail[i+1:]...)
}

func (x *chaos) crashOne() {
	h := x.pick()
	if h.core != nil {
		x.crash(h, x.between(0, len(h.unsynced)))
		x.forget(h)
	}
}

func (x *chaos) restartAll() {
	for _, id := range x.ids {
		if h := x.hosts[id]; h.core == nil {
			x.start(h)
		}
	}
}

func (x *chaos) cutOne() {
	away := x.target().id
	oneWay := x.between(0, 1) == 0
	x.cut = func(from, to uint64) bool { return from == away || (to == away && !oneWay) }
}

// cutHalf splits the members in two.
func (x *chaos) cutHalf() {
	side := map[uint64]bool{}
	for _, id := range x.ids {
		side[id] = x.between(0, 1) == 0
	}
	x.cut = func(from, to uint64) bool { return side[from] != side[to] }
}

// loseDisk replaces a host for good by an empty one with a new ID.
func (x *chaos) loseDisk() {
	lead := x.leader()
	if lead == nil || len(x.ids) >= maxMembers {
		return
	}
	h := x.pick()
	if !x.spare(h.id) {
		return
	}
	x.forget(h)
	delete(x.hosts, h.id)
	x.ids = without64(x.ids, h.id)
	x.enlist(lead)
}

// spare tells whether the members that keep their disks are a quorum of every
// configuration that may be in force anywhere, or come into force by a
// message under way.
func (x *chaos) spare(lost uint64) bool {
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
	for _, l := range x.mail {
		for _, e := range l.m.GetAppendRequest().GetEntries() {
			if e.Membership != nil && !MembershipOf(e.Membership).quorum(kept) {
				return false
			}
		}
	}
	return true
}

func without64(ids []uint64, id uint64) []uint64 {
	var out []uint64
	for _, x := range ids {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// enlist starts an empty host and proposes it as a learner.
func (x *chaos) enlist(lead *host) {
	id := uint64(100 + x.now)
	if lead.core == nil {
		return
	}
	if _, err := lead.core.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: id}}); err != nil {
		return
	}
	h := x.add(id, Membership{})
	x.watch(h)
	x.drain(lead)
}

func (x *chaos) change() {
	lead := x.leader()
	if lead == nil {
		return
	}
	if len(x.ids) < 6 && x.between(0, 1) == 0 {
		x.enlist(lead)
		return
	}
	m := lead.core.membership()
	target := x.pick().id
	ch := Change{Kind: Remove, Member: Member{ID: target}}
	if m.IsLearner(target) {
		ch.Kind = Promote
		if x.between(0, 1) == 0 {
			ch.Replace = m.Voters[x.between(0, len(m.Voters)-1)].ID
		}
	} else if len(m.Voters) < 3 {
		return
	}
	// The core knows a lost disk only by its silence, some heartbeats later;
	// whoever replaces hosts knows it at once.
	next, err := lead.core.plan(ch)
	if err != nil || !majority(next.Voters, func(id uint64) bool { return x.hosts[id] != nil }) {
		return
	}
	// Refusals are part of the contract.
	_, err = lead.core.ProposeChange(ch)
	x.drain(lead)
	if err == nil && x.between(0, 1) == 0 {
		x.cutHalf()
	}
}

func (x *chaos) dump() []Status {
	var all []Status
	for _, id := range x.ids {
		all = append(all, x.hosts[id].core.Status())
	}
	return all
}

// recover heals everything and demands that the log goes on.
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
		x.rt.Fatalf("no leader after all faults ended: %v", x.dump())
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
