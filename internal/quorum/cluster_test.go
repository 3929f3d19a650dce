package quorum

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/testkit"
)

const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.Rapid{Checks: 400}) }

// failer is what *testing.T, *testing.B and *rapid.T share.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// saved is a snapshot in a host's store.
type saved struct {
	meta  *wirepb.SnapshotMeta
	state appState
}

// host is one member with a disk and a small state machine around its core.
type host struct {
	id   uint64
	core *Core
	app  appState
	// hard, entries, first and snap are on disk; unsynced is not yet.
	hard    HardState
	entries []*wirepb.Entry
	snap    *saved
	// offered is the snapshot that came with the last offer.
	offered  *saved
	first    Membership
	unsynced []Ready
	ready    func(Ready)
}

// letter is a message under way; InstallSnapshot carries its snapshot.
type letter struct {
	m    *wirepb.CoreMessage
	snap *saved
	// due is the round in which it arrives.
	due int
}

// cluster drives hosts step by step and checks safety at every step.
type cluster struct {
	t     failer
	hosts map[uint64]*host
	ids   []uint64
	mail  []letter
	// cut drops the messages between two members.
	cut func(from, to uint64) bool
	// delay is the time of a message, in rounds; nil is 1.
	delay  func(from, to uint64) int
	rounds int
	// seed of the election timeouts.
	seed      uint64
	committed map[uint64]*wirepb.Entry
	leaders   map[uint64]uint64
	// autoSync syncs as soon as something is written.
	autoSync bool
}

func newCluster(t failer, voters int) *cluster { return newSeededCluster(t, voters, 7) }

func newSeededCluster(t failer, voters int, seed uint64) *cluster {
	c := &cluster{
		t: t, seed: seed, hosts: map[uint64]*host{}, committed: map[uint64]*wirepb.Entry{}, leaders: map[uint64]uint64{},
		cut: func(uint64, uint64) bool { return false }, autoSync: true,
	}
	var m Membership
	for id := uint64(1); id <= uint64(voters); id++ {
		m.Voters = append(m.Voters, Member{ID: id})
	}
	for _, v := range m.Voters {
		c.add(v.ID, m)
	}
	return c
}

func (c *cluster) add(id uint64, first Membership) *host {
	h := &host{id: id, first: first}
	c.hosts[id] = h
	c.ids = append(c.ids, id)
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	c.t.Helper()
	s := Stored{Hard: h.hard, Membership: h.first, Entries: h.entries}
	h.app = appState{}
	if h.snap != nil {
		s.Membership = MembershipOf(h.snap.meta.Membership)
		s.SnapshotIndex, s.SnapshotTerm = h.snap.meta.Index, h.snap.meta.Term
		h.app = h.snap.state.clone()
	}
	core, err := New(Config{
		ID: h.id, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks,
		Seed: c.seed, MaxBatchBytes: 200, MaxInflight: 4,
	}, s)
	if err != nil {
		c.t.Fatalf("member %d: %v", h.id, err)
	}
	h.core = core
	c.drain(h)
}

// crash stops a host; the first kept of its unsynced writes are on disk.
func (c *cluster) crash(h *host, kept int) {
	for _, r := range h.unsynced[:min(kept, len(h.unsynced))] {
		h.write(r)
	}
	h.unsynced = nil
	h.core = nil
}

// write puts a Ready on the disk.
func (h *host) write(r Ready) {
	if r.Hard != nil {
		h.hard = *r.Hard
	}
	if r.Snapshot != nil {
		h.entries = nil
	}
	if len(r.Entries) > 0 {
		at := r.Entries[0].Index
		h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *wirepb.Entry) bool { return e.Index >= at })
		h.entries = append(h.entries, r.Entries...)
	}
}

// drain does all that the core asks for.
func (c *cluster) drain(h *host) {
	c.t.Helper()
	for h.core != nil && h.core.HasReady() {
		r := h.core.Ready()
		c.take(h, r)
		if c.autoSync {
			c.sync(h, len(h.unsynced))
		}
	}
}

func (c *cluster) take(h *host, r Ready) {
	c.t.Helper()
	if r.Snapshot != nil {
		h.app = h.offered.state.clone()
	}
	for _, e := range r.Committed {
		c.check(h, e)
		h.app.apply(e)
	}
	if r.Leadership != nil && r.Leadership.Self {
		if other, ok := c.leaders[r.Leadership.Term]; ok && other != h.id {
			c.t.Fatalf("members %d and %d lead term %d", other, h.id, r.Leadership.Term)
		}
		c.leaders[r.Leadership.Term] = h.id
	}
	c.post(h, r.Messages)
	if r.MustSync || r.Hard != nil {
		h.unsynced = append(h.unsynced, r)
	}
	if h.ready != nil {
		h.ready(r)
	}
}

// check compares an entry that is applied with what was applied before at its
// index, anywhere.
func (c *cluster) check(h *host, e *wirepb.Entry) {
	c.t.Helper()
	if e.Index != h.app.applied+1 {
		c.t.Fatalf("member %d applies %d after %d", h.id, e.Index, h.app.applied)
	}
	if old, ok := c.committed[e.Index]; ok && !proto.Equal(old, e) {
		c.t.Fatalf("member %d applies %v where %v was committed", h.id, e, old)
	}
	c.committed[e.Index] = e
}

// sync completes the first n unsynced writes with one sync.
func (c *cluster) sync(h *host, n int) {
	c.t.Helper()
	n = min(n, len(h.unsynced))
	if n == 0 {
		return
	}
	done := h.unsynced[:n]
	h.unsynced = h.unsynced[n:]
	for _, r := range done {
		h.write(r)
		c.post(h, r.Waiting)
	}
	h.core.Synced(done[n-1].Sync.Index, done[n-1].Sync.Term)
}

func (c *cluster) post(from *host, messages []*wirepb.CoreMessage) {
	for _, m := range messages {
		l := letter{m: m, due: c.rounds + 1}
		if c.delay != nil {
			l.due = c.rounds + c.delay(m.From, m.To)
		}
		if m.GetInstallSnapshot() != nil {
			l.snap = from.snap
		}
		c.mail = append(c.mail, l)
	}
}

// deliver hands over the i-th message under way.
func (c *cluster) deliver(i int) {
	c.t.Helper()
	l := c.mail[i]
	c.mail = slices.Delete(c.mail, i, i+1)
	c.hand(l)
}

func (c *cluster) hand(l letter) {
	c.t.Helper()
	h := c.hosts[l.m.To]
	if h == nil || h.core == nil || c.cut(l.m.From, l.m.To) {
		return
	}
	m := proto.Clone(l.m).(*wirepb.CoreMessage)
	if s := m.GetInstallSnapshot(); s != nil {
		s.Meta = l.snap.meta
		h.offered = l.snap
		if h.snap == nil || h.snap.meta.Index < l.snap.meta.Index {
			h.snap = l.snap
		}
	}
	if err := h.core.Step(m); err != nil {
		c.t.Fatalf("member %d: %v", h.id, err)
	}
	c.drain(h)
}

// round delivers what is due: one message delay.
func (c *cluster) round() {
	c.t.Helper()
	c.rounds++
	mail := c.mail
	c.mail = nil
	for _, l := range mail {
		if l.due > c.rounds {
			c.mail = append(c.mail, l)
			continue
		}
		c.hand(l)
	}
}

// settle delivers until nothing is under way.
func (c *cluster) settle() {
	c.t.Helper()
	for range 1000 {
		if len(c.mail) == 0 {
			return
		}
		c.round()
	}
	c.t.Fatalf("messages never end")
}

// tick advances all hosts and delivers all messages, n times.
func (c *cluster) tick(n int) {
	c.t.Helper()
	for range n {
		for _, id := range c.ids {
			if h := c.hosts[id]; h.core != nil {
				h.core.Tick()
				c.drain(h)
			}
		}
		c.settle()
	}
}

// leader returns the member that leads in the largest term, or nil.
func (c *cluster) leader() *host {
	var best *host
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.core != nil && h.core.isLeader() && (best == nil || h.core.term > best.core.term) {
			best = h
		}
	}
	return best
}

// elect ticks until a member leads.
func (c *cluster) elect() *host {
	c.t.Helper()
	for range 10 * testElectionTicks {
		if h := c.leader(); h != nil {
			return h
		}
		c.tick(1)
	}
	c.t.Fatalf("no leader")
	return nil
}

// propose proposes at a host and settles; it returns the index.
func (c *cluster) propose(h *host, data ...[]byte) uint64 {
	c.t.Helper()
	index, _, err := h.core.Propose(data...)
	if err != nil {
		c.t.Fatalf("propose at %d: %v", h.id, err)
	}
	c.drain(h)
	c.settle()
	return index
}

// snapshot stores the host's state and compacts its log.
func (c *cluster) snapshot(h *host, retain uint64) {
	c.t.Helper()
	meta, err := h.core.SnapshotMeta(h.app.applied)
	if err != nil {
		c.t.Fatalf("snapshot of %d: %v", h.id, err)
	}
	if h.snap != nil && h.snap.meta.Index >= meta.Index {
		return
	}
	h.snap = &saved{meta: meta, state: h.app.clone()}
	if err := h.core.Compact(meta.Index, retain); err != nil {
		c.t.Fatalf("compact %d: %v", h.id, err)
	}
	first := meta.Index + 1 - min(retain, meta.Index)
	h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *wirepb.Entry) bool { return e.Index < first })
}
