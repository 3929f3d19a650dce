package control

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/quorum"
	"endivewing/internal/snapshot"
	"endivewing/internal/wal"
	"endivewing/internal/wire"
)

// Process is a running control member.
type Process struct {
	opts              Options
	id                *identity
	listener          *wire.Listener
	peers             *peers
	logWriter         *logWriter
	loop              *loop
	snapshotTransfers snapshotTransfers
	documents         documents

	// leadership is the leadership last seen by the loop, for requests of this
	// process.
	leadership atomic.Pointer[quorum.Leadership]

	events chan event
	// quit is closed to end the loop. loopEnded is closed when the loop has
	// ended.
	quit      chan struct{}
	quitOnce  sync.Once
	loopEnded chan struct{}
	done      chan struct{}
	err       error // may be read once done is closed
}

// Start opens the data folder and starts a member. The context applies to the
// start only, not to the running member.
func Start(ctx context.Context, opts Options) (*Process, error) {
	opts.setDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	p := &Process{
		opts:      opts,
		events:    make(chan event, eventQueueSize),
		quit:      make(chan struct{}),
		loopEnded: make(chan struct{}),
		done:      make(chan struct{}),
	}
	p.snapshotTransfers.init(p)
	if err := p.open(); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		_ = p.logWriter.log.Close()
		return nil, err
	}
	if err := p.listen(); err != nil {
		_ = p.logWriter.log.Close()
		return nil, err
	}
	go p.listener.Serve()
	go p.logWriter.run()
	go p.run()
	return p, nil
}

func (p *Process) logDir() string      { return filepath.Join(p.opts.DataDir, "log") }
func (p *Process) snapshotDir() string { return filepath.Join(p.opts.DataDir, "snapshots") }

// open reads the data folder and creates the core, the ledger and the loop.
func (p *Process) open() error {
	if err := os.MkdirAll(p.opts.DataDir, 0o750); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	log, recovered, err := wal.Open(p.logDir(), wal.Options{})
	if err != nil {
		return err
	}
	if err := p.restore(log, recovered); err != nil {
		_ = log.Close()
		return err
	}
	return nil
}

// restore creates the core, the ledger and the loop from the recovered log and
// the newest snapshot.
func (p *Process) restore(log *wal.Log, recovered *wal.Recovered) error {
	id, err := openIdentity(&p.opts)
	if err != nil {
		return err
	}
	p.id = id
	stored := quorum.StoredState{Hard: quorum.HardStateOf(recovered.Hard), Entries: recovered.Entries}
	if stored.Membership, err = id.decodeMembership(); err != nil {
		return err
	}
	state, meta, err := p.readSnapshot()
	if err != nil {
		return err
	}
	if meta != nil {
		if stored.Entries, err = rebaseLog(log, recovered.Entries, meta); err != nil {
			return err
		}
		stored.Membership = quorum.MembershipOf(meta.Membership)
		stored.SnapshotIndex = meta.Index
		stored.SnapshotTerm = meta.Term
	}
	core, err := quorum.New(p.coreConfig(), stored)
	if err != nil {
		return err
	}
	p.peers = newPeers(p.opts.ID, p.wireOptions(p.onOutboundEnvelope))
	p.logWriter = newLogWriter(p.wrapped(log), p.peers.send, p.enqueue)
	p.loop = newLoop(p, core, state, stored.SnapshotIndex)
	return nil
}

// rebaseLog returns the log entries to start with. If the snapshot is newer
// than the log, because the process crashed between the two writes, it records
// the snapshot in the log and returns no entries. Without that record, the next
// entries would leave a gap in the log.
func rebaseLog(log appender, entries []*wirepb.Entry, meta *wirepb.SnapshotMeta) ([]*wirepb.Entry, error) {
	if logCoversSnapshot(entries, meta) {
		return entries, nil
	}
	record := &wirepb.LogRecord{Snapshot: &wirepb.SnapshotMeta{Index: meta.Index, Term: meta.Term}}
	return nil, eris.Wrap(log.Append(record), "start log after snapshot")
}

// logCoversSnapshot reports whether the log holds the snapshot's last entry or
// continues right after it.
func logCoversSnapshot(entries []*wirepb.Entry, meta *wirepb.SnapshotMeta) bool {
	if len(entries) == 0 || entries[0].Index > meta.Index {
		return len(entries) > 0
	}
	at := meta.Index - entries[0].Index
	return at < uint64(len(entries)) && entries[at].Term == meta.Term
}

// wrapped returns the log, wrapped by a test's wrapLog if there is one.
func (p *Process) wrapped(log appender) appender {
	if p.opts.wrapLog == nil {
		return log
	}
	return p.opts.wrapLog(log)
}

func (p *Process) coreConfig() quorum.Config {
	return quorum.Config{
		ID:             p.opts.ID,
		ElectionTicks:  p.opts.ElectionTicks,
		StartTicks:     p.opts.StartTicks,
		HeartbeatTicks: p.opts.HeartbeatTicks,
		Seed:           p.id.Disk ^ uint64(time.Now().UnixNano()),
		MaxBatchBytes:  maxBatchBytes,
		MaxInflight:    maxInflight,
	}
}

// readSnapshot returns the state and the metadata of the newest snapshot. If
// there is none, it returns an empty ledger and nil.
func (p *Process) readSnapshot() (*ledger.Ledger, *wirepb.SnapshotMeta, error) {
	r, findings, err := snapshot.OpenNewest(p.snapshotDir())
	for _, finding := range findings {
		p.opts.Log.Error(finding, "snapshot skipped")
	}
	if errors.Is(err, snapshot.ErrNotFound) {
		return ledger.New(), nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = r.Close() }()
	state, err := ledger.Decode(r)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "decode snapshot %s", r.Path())
	}
	return state, r.Meta(), nil
}

func (p *Process) wireOptions(handler wire.Handler) wire.Options {
	return wire.Options{
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{
				Role: roleControl, Name: p.opts.Name, Zone: p.opts.Zone,
				Cluster: p.opts.Cluster, Incarnation: p.id.Disk,
			}
		},
		Handler:           handler,
		HeartbeatInterval: p.opts.SessionHeartbeatInterval,
		IdleTimeout:       p.opts.SessionIdleTimeout,
		TLS:               p.opts.TLS,
		Scope:             p.opts.Scope,
		Log:               p.opts.Log,
	}
}

func (p *Process) listen() error {
	opts := p.wireOptions(p.onInboundEnvelope)
	opts.OnClosed = func(s *wire.Session) {
		p.snapshotTransfers.dropSession(s)
		p.enqueue(sessionEnded{s})
	}
	l, err := wire.Listen(p.opts.ListenAddress, opts)
	if err != nil {
		return err
	}
	p.listener = l
	return nil
}

// Address returns the address for connections of other processes, with the
// port that the kernel chose if ListenAddress had port 0.
func (p *Process) Address() string { return p.listener.Address() }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err waits until the process has ended and returns the reason; nil after Stop.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Stop transfers the leadership, answers the open requests and ends the
// process. If ctx ends first, the process ends at once.
func (p *Process) Stop(ctx context.Context) error {
	p.enqueue(stopRequest{})
	select {
	case <-p.done:
	case <-ctx.Done():
		p.quitLoop()
		<-p.done
	}
	return p.err
}

// quitLoop ends the loop, and with it the process.
func (p *Process) quitLoop() { p.quitOnce.Do(func() { close(p.quit) }) }

// enqueue sends an event to the loop. It blocks while the queue is full. Once
// the loop has ended, events are dropped.
func (p *Process) enqueue(e event) {
	select {
	case p.events <- e:
	case <-p.loopEnded:
	}
}

// run runs the loop to its end, then releases all resources.
func (p *Process) run() {
	err := p.loop.run()
	close(p.loopEnded)
	p.listener.Close()
	p.peers.close()
	p.snapshotTransfers.close()
	p.logWriter.close()
	p.err = err
	if err != nil {
		p.opts.Log.Error(err, "control member ended")
	}
	close(p.done)
}

// Dump returns the state of the process as a value of type Dump, for operators
// and debugging. After the end of the loop only the role "ended" is set.
func (p *Process) Dump() any {
	answer := make(chan Dump, 1)
	p.enqueue(dumpRequest{answer})
	select {
	case d := <-answer:
		return d
	case <-p.loopEnded:
		return Dump{Role: "ended"}
	}
}
