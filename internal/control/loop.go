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
	// maxEventBatch bounds the number of queued events that are handled before
	// the core's output is processed.
	maxEventBatch = 1024
	// housekeepingInterval is the period of runHousekeeping.
	housekeepingInterval = 250 * time.Millisecond
	// stopTimeout bounds the leadership transfer at a stop.
	stopTimeout = 3 * time.Second
)

// loop is the event loop. It owns the core and the ledger. Its fields are used
// only by the goroutine of run.
type loop struct {
	p    *Process
	opts *Options
	core *quorum.Core
	// state has applied all entries up to index applied. appliedTerm is the
	// term of the last of them.
	state       *ledger.Ledger
	applied     uint64
	appliedTerm uint64
	leadership  quorum.Leadership
	members     []Peer // of the latest configuration

	proposals        proposals
	reads            reads
	processSyncs     processSyncs
	waits            jobWaits
	pendingChanges   pendingChanges
	disks            memberDisks
	snapshots        snapshotSchedule
	receivedSnapshot *snapshotReceived
	directory        directory
	sharedJobs       sharedJobs
	minions          minionRecords
	memberActivity   memberActivity

	// unsyncedHard is a hard state that differs from the stored one only in its
	// commit index; it is written with the next sync. It is nil if there is
	// none.
	unsyncedHard *wirepb.HardState
	diskFull     bool

	lastTick         time.Time
	lastHousekeeping time.Time
	stoppingSince    time.Time // zero unless the process is stopping
	finished         bool
	failure          error

	metrics loopMetrics
}

type loopMetrics struct {
	applied, diskSyncs, diskRecords tally.Counter
	commitIndex                     tally.Gauge
}

func newLoop(p *Process, core *quorum.Core, state *ledger.Ledger, applied uint64) *loop {
	l := &loop{p: p, opts: &p.opts, core: core, state: state, applied: applied}
	l.proposals.init()
	l.reads.init()
	l.processSyncs.init()
	l.waits.init()
	l.disks.init(p.opts.ID, p.id.Disk)
	l.directory.init()
	l.sharedJobs.init()
	l.minions.load(p)
	l.memberActivity.init()
	l.snapshots.lastIndex = applied
	scope := p.opts.Scope
	l.metrics = loopMetrics{
		applied:     scope.Counter("records_applied"),
		diskSyncs:   scope.Counter("disk_syncs"),
		diskRecords: scope.Counter("disk_records"),
		commitIndex: scope.Gauge("commit_index"),
	}
	return l
}

// run handles events until the process is to end. It returns the failure that
// forced the end, or nil.
func (l *loop) run() error {
	ticker := time.NewTicker(l.opts.Tick)
	defer ticker.Stop()
	l.lastTick = time.Now()
	l.updateMembers()
	l.flush()
	for !l.finished {
		select {
		case e := <-l.p.events:
			e.handle(l)
			l.handleQueued()
		case now := <-ticker.C:
			l.tick(now)
		case <-l.processSyncs.timer.C:
			l.confirmSyncs(time.Now())
		case <-l.p.quit:
			l.finished = true
		}
		l.flush()
		l.directory.publish(l, time.Now())
		l.sharedJobs.publish(l, time.Now())
	}
	l.failLeaderRequests(reasonStopping)
	return l.failure
}

// handleQueued handles the queued events, up to maxEventBatch, so that their
// records share one sync.
func (l *loop) handleQueued() {
	for range maxEventBatch {
		select {
		case e := <-l.p.events:
			e.handle(l)
		default:
			return
		}
	}
}

// fail ends the loop; the first error is kept.
func (l *loop) fail(err error) {
	l.finished = true
	if l.failure == nil {
		l.failure = err
	}
}

// flush processes the core's output until there is none left.
func (l *loop) flush() {
	for l.core.HasReady() && !l.finished {
		l.handleReady(l.core.Ready())
	}
	l.releaseChangedSyncs()
	l.saveSnapshotIfDue()
}

// handleReady processes one Ready of the core.
func (l *loop) handleReady(r quorum.Ready) {
	l.persist(&r)
	l.sendMessages(r.Messages)
	if r.Snapshot != nil {
		l.installSnapshot(r.Snapshot)
	}
	for _, e := range r.Committed {
		if err := l.apply(e); err != nil {
			l.fail(err)
			return
		}
	}
	l.proposals.failLost(r.LostProposals, l.leaderAddress())
	l.proposals.failUnresolved(r.UnresolvedProposals)
	for _, read := range r.Reads {
		l.confirmed(read)
	}
	l.reads.failTokens(l, r.FailedReads)
	if r.Leadership != nil {
		l.leadershipChanged(*r.Leadership)
	}
	l.runReads()
}

// persist passes the parts of a Ready that must be durable to the log writer. A
// change of the commit index alone is kept for the next sync.
func (l *loop) persist(r *quorum.Ready) {
	record := r.Record()
	if record.Hard != nil {
		l.unsyncedHard = record.Hard
	}
	if !r.MustSync {
		return
	}
	record.Hard = l.unsyncedHard
	l.unsyncedHard = nil
	bytes := 0
	for _, e := range r.Entries {
		bytes += len(e.Data)
	}
	l.p.logWriter.push(writeJob{record: record, bytes: bytes, point: r.Sync, messagesAfterSync: r.MessagesAfterSync})
}

// sendMessages sends messages to the other members. An InstallSnapshot message
// is sent together with the snapshot.
func (l *loop) sendMessages(messages []*wirepb.CoreMessage) {
	plain := messages[:0:0]
	for _, m := range messages {
		if m.GetInstallSnapshot() != nil {
			l.p.snapshotTransfers.startSend(m)
			continue
		}
		plain = append(plain, m)
	}
	l.p.peers.send(plain)
}

// apply applies one committed entry.
func (l *loop) apply(e *wirepb.Entry) error {
	l.applied = e.Index
	l.appliedTerm = e.Term
	l.snapshots.applied(len(e.Data), int(l.opts.RetainEntries))
	l.metrics.applied.Inc(1)
	switch e.Kind {
	case wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		l.updateMembers()
		l.pendingChanges.replyCommitted(l, e)
	case wirepb.EntryKind_ENTRY_KIND_COMMAND:
		return l.applyCommand(e)
	}
	return nil
}

// applyCommand applies the record in a committed entry to the ledger and
// answers the requests that wait for it.
func (l *loop) applyCommand(e *wirepb.Entry) error {
	prop := l.proposals.takeApplied(e.Index, e.Term, l.leaderAddress())
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
		l.disks.loadRecorded(l.state)
	}
	if prop != nil {
		l.answer(prop, result)
	}
	for _, job := range result.EndedJobs {
		l.waits.replyEnded(l, job)
	}
	return nil
}

// tick advances the core's logical clock and handles expired deadlines.
func (l *loop) tick(now time.Time) {
	gap := now.Sub(l.lastTick) - l.opts.Tick
	l.lastTick = now
	if gap > 2*l.opts.Tick {
		// The process was stalled, and Sync requests that arrived meanwhile are
		// still unread. No lease may end for that reason.
		l.processSyncs.extendLeases(gap)
	}
	l.core.Tick()
	if l.leadership.Self {
		l.processSyncs.releaseExpiredHolds(now)
		l.waits.releaseExpired(l, now)
	}
	if now.Sub(l.lastHousekeeping) >= housekeepingInterval {
		l.lastHousekeeping = now
		l.runHousekeeping(now)
	}
	if !l.stoppingSince.IsZero() {
		l.tryStop(now)
	}
}

// runHousekeeping writes a failed snapshot again and the minion records if they are due. On
// the leader, it also runs the periodic checks of leases, retention, disks and
// membership.
func (l *loop) runHousekeeping(now time.Time) {
	l.metrics.commitIndex.Update(float64(l.applied))
	l.saveSnapshotIfDue()
	l.minions.saveIfDue(l, now)
	if !l.isCaughtUpLeader() {
		return
	}
	l.endExpiredLeases(now)
	l.expireJobs()
	l.recordDisks()
	l.healMembership(now)
}

// isCaughtUpLeader reports whether this member is the leader and has applied
// all entries of earlier terms.
func (l *loop) isCaughtUpLeader() bool {
	return l.leadership.Self && l.appliedTerm == l.leadership.Term
}

// expireJobs proposes a record that drops the answers of jobs that ended longer
// than Options.AnswerRetention ago, and forgets the submissions of jobs that ended
// longer than Options.SubmissionRetention ago. It does nothing if there are no such jobs.
func (l *loop) expireJobs() {
	now := time.Now()
	ended := now.Add(-l.opts.AnswerRetention).UnixMilli()
	forget := now.Add(-l.opts.SubmissionRetention).UnixMilli()
	if !l.state.ExpiryDue(ended, forget) {
		return
	}
	l.proposeOwn(&wirepb.Command{Body: &wirepb.Command_ExpireJobs{
		ExpireJobs: &wirepb.ExpireJobs{EndedBeforeUnixMs: ended, ForgetBeforeUnixMs: forget, Limit: maxExpiredJobs},
	}})
}

// maxExpiredJobs bounds the number of jobs that one ExpireJobs record expires,
// and the number that it forgets.
const maxExpiredJobs = 2000

// leadershipChanged publishes the new leadership. If this member has lost the
// leadership, it answers the requests that only a leader can finish.
func (l *loop) leadershipChanged(now quorum.Leadership) {
	before := l.leadership
	l.leadership = now
	l.p.publishLeadership(now)
	l.directory.changed = true
	l.opts.Log.Info("leader changed", "leader", now.Leader, "term", now.Term, "self", now.Self)
	if before.Self {
		l.failLeaderRequests(reasonLeaderLost)
	}
	if now.Self {
		l.memberActivity.init() // silence is measured from the start of this leadership
		l.opts.Log.Info("leading", "term", now.Term)
	}
}

// failLeaderRequests answers all requests that only a leader can finish with a
// fault.
func (l *loop) failLeaderRequests(reason string) {
	leader := l.leaderAddress()
	l.proposals.failAll(reason, leader)
	l.reads.failAll(l, leader)
	l.processSyncs.failAll(reason, leader)
	l.waits.failAll(reason, leader)
	l.pendingChanges.failAll(reason, leader)
}

// leaderAddress returns the address of the leader, or "" if it is unknown or
// this member is the leader.
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

func (l *loop) replyNotLeader(from caller) {
	from.replyFault(wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonNotLeader, l.leaderAddress())
}

// coreFault returns the code and reason of the fault for an error of the core.
// Such an error means that nothing was done.
func coreFault(err error) (wirepb.FaultCode, string) {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return wirepb.FaultCode_FAULT_CODE_NOT_LEADER, reasonNotLeader
	case errors.Is(err, quorum.ErrTransferring):
		return wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, reasonTransferring
	default:
		return wirepb.FaultCode_FAULT_CODE_UNAVAILABLE, err.Error()
	}
}
