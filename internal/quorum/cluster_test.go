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

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 400}) }

// testingTB is the common interface of *testing.T, *testing.B and *rapid.T.
type testingTB interface {
	Helper()
	Fatalf(format string, args ...any)
}

// storedSnapshot is a snapshot in a host's snapshot store.
type storedSnapshot struct {
	meta  *wirepb.SnapshotMeta
	state appState
}

// host runs one member: its core, a simulated disk and a small state machine.
type host struct {
	id   uint64
	core *Core
	app  appState
	// hard, entries, snap and initial are on disk.
	hard    HardState
	entries []*wirepb.Entry
	snap    *storedSnapshot
	// offered is the snapshot of the last InstallSnapshot message.
	offered *storedSnapshot
	// initial is the initial configuration.
	initial Membership
	// unsynced are the Readys that are not on disk yet.
	unsynced []Ready
	// onReady, if set, is called with each Ready.
	onReady func(Ready)
}

// networkMessage is an undelivered message.
type networkMessage struct {
	m *wirepb.CoreMessage
	// snap is the snapshot that goes with an InstallSnapshot message.
	snap *storedSnapshot
	// due is the round in which the message is delivered.
	due int
}

// cluster runs hosts step by step and checks the safety properties at each step.
type cluster struct {
	t           testingTB
	hosts       map[uint64]*host
	ids         []uint64
	undelivered []networkMessage
	// partitioned reports whether messages from one member to another are
	// dropped.
	partitioned func(from, to uint64) bool
	// delay returns the delay of a message, in rounds; nil means 1 round.
	delay  func(from, to uint64) int
	rounds int
	// seed is the random seed of the election timeouts.
	seed uint64
	// startTicks is the StartTicks of members that start from now on.
	startTicks int
	// committed holds the applied entries of all members by index.
	committed map[uint64]*wirepb.Entry
	// leaders holds the leader of each term.
	leaders map[uint64]uint64
	// autoSync makes each write sync at once.
	autoSync bool
}

func newCluster(t testingTB, voters int) *cluster { return newSeededCluster(t, voters, 7) }

func newSeededCluster(t testingTB, voters int, seed uint64) *cluster {
	c := &cluster{
		t: t, seed: seed, hosts: map[uint64]*host{}, committed: map[uint64]*wirepb.Entry{}, leaders: map[uint64]uint64{},
		partitioned: func(uint64, uint64) bool { return false }, autoSync: true,
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

func (c *cluster) add(id uint64, initial Membership) *host {
	h := &host{id: id, initial: initial}
	c.hosts[id] = h
	c.ids = append(c.ids, id)
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	c.t.Helper()
	s := StoredState{Hard: h.hard, Membership: h.initial, Entries: h.entries}
	h.app = appState{}
	if h.snap != nil {
		s.Membership = MembershipOf(h.snap.meta.Membership)
		s.SnapshotIndex, s.SnapshotTerm = h.snap.meta.Index, h.snap.meta.Term
		h.app = h.snap.state.clone()
	}
	core, err := New(Config{
		ID: h.id, ElectionTicks: testElectionTicks, StartTicks: c.startTicks, HeartbeatTicks: testHeartbeatTicks,
		Seed: c.seed, MaxBatchBytes: 200, MaxInflight: 4,
	}, s)
	if err != nil {
		c.t.Fatalf("member %d: %v", h.id, err)
	}
	h.core = core
	c.drain(h)
}

// crash stops a host. The first kept of its unsynced writes reach the disk, the
// others are lost.
func (c *cluster) crash(h *host, kept int) {
	for _, r := range h.unsynced[:min(kept, len(h.unsynced))] {
		h.write(r)
	}
	h.unsynced = nil
	h.core = nil
}

// write stores a Ready on the host's disk.
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

// drain handles every pending Ready of a host's core.
func (c *cluster) drain(h *host) {
	c.t.Helper()
	for h.core != nil && h.core.HasReady() {
		r := h.core.Ready()
		c.handleReady(h, r)
		if c.autoSync {
			c.sync(h, len(h.unsynced))
		}
	}
}

func (c *cluster) handleReady(h *host, r Ready) {
	c.t.Helper()
	if r.Snapshot != nil {
		h.app = h.offered.state.clone()
	}
	for _, e := range r.Committed {
		c.checkCommitted(h, e)
		h.app.apply(e)
	}
	if r.Leadership != nil && r.Leadership.Self {
		if other, ok := c.leaders[r.Leadership.Term]; ok && other != h.id {
			c.t.Fatalf("members %d and %d lead term %d", other, h.id, r.Leadership.Term)
		}
		c.leaders[r.Leadership.Term] = h.id
	}
	c.enqueue(h, r.Messages)
	if r.MustSync || r.Hard != nil {
		h.unsynced = append(h.unsynced, r)
	}
	if h.onReady != nil {
		h.onReady(r)
	}
}

// checkCommitted checks that a host applies entries in order, and that every
// host applies the same entry at an index.
func (c *cluster) checkCommitted(h *host, e *wirepb.Entry) {
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
		c.enqueue(h, r.MessagesAfterSync)
	}
	h.core.Synced(done[n-1].Sync.Index, done[n-1].Sync.Term)
}

func (c *cluster) enqueue(from *host, messages []*wirepb.CoreMessage) {
	for _, m := range messages {
		msg := networkMessage{m: m, due: c.rounds + 1}
		if c.delay != nil {
			msg.due = c.rounds + c.delay(m.From, m.To)
		}
		if m.GetInstallSnapshot() != nil {
			msg.snap = from.snap
		}
		c.undelivered = append(c.undelivered, msg)
	}
}

// deliver delivers the i-th undelivered message.
func (c *cluster) deliver(i int) {
	c.t.Helper()
	msg := c.undelivered[i]
	c.undelivered = slices.Delete(c.undelivered, i, i+1)
	c.receive(msg)
}

// receive passes a message to its recipient, unless the recipient is down or the
// message is dropped by a partition. For an InstallSnapshot message, it first
// stores the snapshot.
func (c *cluster) receive(msg networkMessage) {
	c.t.Helper()
	h := c.hosts[msg.m.To]
	if h == nil || h.core == nil || c.partitioned(msg.m.From, msg.m.To) {
		return
	}
	m := proto.Clone(msg.m).(*wirepb.CoreMessage)
	if s := m.GetInstallSnapshot(); s != nil {
		s.Meta = msg.snap.meta
		h.offered = msg.snap
		if h.snap == nil || h.snap.meta.Index < msg.snap.meta.Index {
			h.snap = msg.snap
		}
	}
	if err := h.core.Step(m); err != nil {
		c.t.Fatalf("member %d: %v", h.id, err)
	}
	c.drain(h)
}

// round advances the network by one message delay and delivers the messages that
// are due.
func (c *cluster) round() {
	c.t.Helper()
	c.rounds++
	undelivered := c.undelivered
	c.undelivered = nil
	for _, msg := range undelivered {
		if msg.due > c.rounds {
			c.undelivered = append(c.undelivered, msg)
			continue
		}
		c.receive(msg)
	}
}

// settle runs rounds until every message is delivered.
func (c *cluster) settle() {
	c.t.Helper()
	for range 1000 {
		if len(c.undelivered) == 0 {
			return
		}
		c.round()
	}
	c.t.Fatalf("messages still undelivered after 1000 rounds")
}

// tick advances the clock of every host by one tick and delivers all messages, n
// times.
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

// leader returns the leader with the largest term, or nil.
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

// elect ticks until there is a leader, and returns it.
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

// restartAll crashes every host and starts it again.
func (c *cluster) restartAll() {
	c.t.Helper()
	c.undelivered = nil
	for _, id := range c.ids {
		c.crash(c.hosts[id], 0)
	}
	for _, id := range c.ids {
		c.start(c.hosts[id])
	}
}

// propose proposes entries at a host, delivers all messages and returns the
// first index.
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

// snapshot stores a snapshot of the host's state and compacts its log.
func (c *cluster) snapshot(h *host, retain uint64) {
	c.t.Helper()
	meta, err := h.core.SnapshotMeta(h.app.applied)
	if err != nil {
		c.t.Fatalf("snapshot of %d: %v", h.id, err)
	}
	if h.snap != nil && h.snap.meta.Index >= meta.Index {
		return
	}
	h.snap = &storedSnapshot{meta: meta, state: h.app.clone()}
	if err := h.core.Compact(meta.Index, retain); err != nil {
		c.t.Fatalf("compact log of %d: %v", h.id, err)
	}
	first := meta.Index + 1 - min(retain, meta.Index)
	h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *wirepb.Entry) bool { return e.Index < first })
}
