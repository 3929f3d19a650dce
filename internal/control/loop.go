package control

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
)

const (
	// eventBatch bounds the events taken before the core's work goes out.
	eventBatch = 1024
	// housekeepingInterval is how often leases and retention are looked at.
	housekeepingInterval = 250 * time.Millisecond
	// stopTimeout bounds the hand-over of the leadership at a stop.
	stopTimeout = 3 * time.Second
)

// loop owns the core and the ledger. Only its goroutine touches the fields.
type loop struct {
	p    *Process
	opts *Options
	core *quorum.Core
	// state has applied all up to applied; term is that of the last entry.
	state       *ledger.Ledger
	applied     uint64
	appliedTerm uint64
	leadership  quorum.Leadership
	members     []Peer // of the configuration in force

	proposals proposals
	reads     reads
	syncs     syncs
	waits     jobWaits
	changes   changes
	disks     memberDisks
	snapshots snapshotState
	offered   *snapshotOffered
	directory directory
	healing   healing

	// hard is a commit index that no sync has taken along yet.
	hard     *wirepb.HardState
	diskFull bool

	lastTick     time.Time
	housekeeping time.Time
	stopping     time.Time // zero while the process runs on
	finished     bool
	failure      error

	metrics loopMetrics
}

type loopMetrics struct {
	applied, syncs, synced tally.Counter
	commitIndex            tally.Gauge
}

func newLoop(p *Process, core *quorum.Core, state *ledger.Ledger, applied uint64) *loop {
	l := &loop{p: p, opts: &p.opts, core: core, state: state, applied: applied}
	l.proposals.init()
	l.reads.init()
	l.syncs.init()
	l.waits.init()
	l.disks.init(p.opts.ID, p.id.Disk)
	l.directory.init()
	l.healing.init()
	l.snapshots.last = applied
	scope := p.opts.Scope
	l.metrics = loopMetrics{
		applied:     scope.Counter("records_applied"),
		syncs:       scope.Counter("disk_syncs"),
		synced:      scope.Counter("disk_records"),
		commitIndex: scope.Gauge("commit_index"),
	}
	return l
}

// run takes events until the process ends; the error is why it had to.
func (l *loop) run() error {
	ticker := time.NewTicker(l.opts.Tick)
	defer ticker.Stop()
	l.lastTick = time.Now()
	l.linkMembers()
	l.flush()
	for !l.finished {
		select {
		case e := <-l.p.events:
			e.handle(l)
			l.drain()
		case now := <-ticker.C:
			l.tick(now)
		case <-l.syncs.timer.C:
			l.confirmSyncs(time.Now())
		case <-l.p.quit:
			l.finished = true
		}
		l.flush()
		l.directory.publish(l, time.Now())
	}
	l.dropLeaderWork(reasonStopping)
	return l.failure
}

// drain takes the events that wait, so that they share one sync.
func (l *loop) drain() {
	for range eventBatch {
		select {
		case e := <-l.p.events:
			e.handle(l)
		default:
			return
		}
	}
}

func (l *loop) fail(err error) {
	l.finished = true
	if l.failure == nil {
		l.failure = err
	}
}

// flush hands out the core's work until there is none.
func (l *loop) flush() {
	for l.core.HasReady() && !l.finished {
		l.ready(l.core.Ready())
	}
	l.announce()
}

func (l *loop) ready(r quorum.Ready) {
	l.store(&r)
	l.sendMessages(r.Messages)
	if r.Snapshot != nil {
		l.installed(r.Snapshot)
	}
	for _, e := range r.Committed {
		if err := l.apply(e); err != nil {
			l.fail(err)
			return
		}
	}
	l.proposals.lost(r.LostProposals, l.leaderAddress())
	l.proposals.unresolved(r.UnresolvedProposals)
	for _, read := range r.Reads {
		l.confirmed(read)
	}
	l.reads.failed(l, r.FailedReads)
	if r.Leadership != nil {
		l.changedLeader(*r.Leadership)
	}
	l.runReads()
}

// store passes what must be durable to the disk. A commit index alone waits
// for the next sync.
func (l *loop) store(r *quorum.Ready) {
	record := r.Record()
	if record.Hard != nil {
		l.hard = record.Hard
	}
	if !r.MustSync {
		return
	}
	record.Hard = l.hard
	l.hard = nil
	bytes := 0
	for _, e := range r.Entries {
		bytes += len(e.Data)
	}
	l.p.disk.push(diskJob{record: record, bytes: bytes, point: r.Sync, waiting: r.MessagesAfterSync})
}

// sendMessages passes messages on; offers of snapshots bring the snapshot.
func (l *loop) sendMessages(messages []*wirepb.CoreMessage) {
	plain := messages[:0:0]
	for _, m := range messages {
		if m.GetInstallSnapshot() != nil {
			l.p.installs.offer(m)
			continue
		}
		plain = append(plain, m)
	}
	l.p.peers.send(plain)
}

// apply executes one committed entry.
func (l *loop) apply(e *wirepb.Entry) error {
	l.applied = e.Index
	l.appliedTerm = e.Term
	l.snapshots.applied(len(e.Data), int(l.opts.RetainEntries))
	l.metrics.applied.Inc(1)
	switch e.Kind {
	case wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		l.linkMembers()
		l.changes.committed(l, e)
	case wirepb.EntryKind_ENTRY_KIND_COMMAND:
		return l.applyCommand(e)
	}
	return nil
}

func (l *loop) applyCommand(e *wirepb.Entry) error {
	prop := l.proposals.take(e.Index, e.Term, l.leaderAddress())
	var cmd *wirepb.Command
	if prop != nil {
		cmd = prop.cmd
	} else {
		cmd = new(wirepb.Command)
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			return eris.Wrapf(err, "decode record %d", e.Index)
		}
	}
	result := l.state.Apply(e.Index, cmd)
	if d := cmd.GetPutDocument().GetDocument(); d != nil {
		l.directory.changed = true
		l.opts.Log.Info("document applied", "version", d.Version, "held", result.Document.GetVersion(), "index", e.Index)
	}
	if cmd.GetRecordMember() != nil {
		l.disks.learn(l.state)
	}
	if prop != nil {
		l.answer(prop, result)
	}
	for _, job := range result.Ended {
		l.waits.ended(l, job)
	}
	return nil
}

// tick advances the core's time and looks after what has a deadline.
func (l *loop) tick(now time.Time) {
	gap := now.Sub(l.lastTick) - l.opts.Tick
	l.lastTick = now
	if gap > 2*l.opts.Tick {
		// The process stood still, and requests wait unread: nobody is to lose
		// a lease for it.
		l.syncs.extend(gap)
	}
	l.core.Tick()
	if l.leadership.Self {
		l.syncs.release(now)
		l.waits.release(l, now)
	}
	if now.Sub(l.housekeeping) >= housekeepingInterval {
		l.housekeeping = now
		l.keepHouse(now)
	}
	if !l.stopping.IsZero() {
		l.tryStop(now)
	}
}

// keepHouse does the leader's regular work, and snapshots on each member.
func (l *loop) keepHouse(now time.Time) {
	l.metrics.commitIndex.Update(float64(l.applied))
	l.saveSnapshotIfDue()
	if !l.leads() {
		return
	}
	l.endLeases(now)
	l.expireJobs()
	l.recordDisks()
	l.heal(now)
}

// leads tells that this member leads and has applied all of earlier terms.
func (l *loop) leads() bool {
	return l.leadership.Self && l.appliedTerm == l.leadership.Term
}

// expireJobs proposes the end of answers whose retention has ended.
func (l *loop) expireJobs() {
	now := time.Now()
	ended := now.Add(-l.opts.Retention).UnixMilli()
	forget := now.Add(-l.opts.Remember).UnixMilli()
	if !l.state.Due(ended, forget) {
		return
	}
	l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_ExpireJobs{
		ExpireJobs: &wirepb.ExpireJobs{EndedBeforeUnixMs: ended, ForgetBeforeUnixMs: forget, Limit: expireLimit},
	}})
}

// expireLimit bounds the jobs that one record drops.
const expireLimit = 2000

// changedLeader takes over or gives up the leader's work.
func (l *loop) changedLeader(now quorum.Leadership) {
	before := l.leadership
	l.leadership = now
	l.p.publishLeadership(now)
	l.directory.changed = true
	l.opts.Log.Info("leader changed", "leader", now.Leader, "term", now.Term, "self", now.Self)
	if before.Self {
		l.dropLeaderWork(reasonLeaderLost)
	}
	if now.Self {
		l.healing.init() // silence counts from the start of the lead
		l.opts.Log.Info("leading", "term", now.Term)
	}
}

// dropLeaderWork answers what only a leader can finish.
func (l *loop) dropLeaderWork(reason string) {
	leader := l.leaderAddress()
	l.proposals.drop(reason, leader)
	l.reads.drop(l, leader)
	l.syncs.drop(reason, leader)
	l.waits.drop(reason, leader)
	l.changes.drop(reason, leader)
}

// leaderAddress is where the leader is reached, or "".
func (l *loop) leaderAddress() string {
	if l.leadership.Leader == 0 || l.leadership.Self {
		return ""
	}
	for _, m := range l.members {
		if m.ID == l.leadership.Leader {
			return m.Address
		}
	}
	return ""
}

func (l *loop) notLeader(from caller) {
	from.fault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonNotLeader, l.leaderAddress())
}

// errCode is the fault for an error of the core: nothing was done.
func errCode(err error) (wirepb.FaultCode, string) {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonNotLeader
	case errors.Is(err, quorum.ErrTransferring):
		return wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, reasonTransferring
	default:
		return wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, err.Error()
	}
}
