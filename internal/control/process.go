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
	opts     Options
	id       *identity
	listener *wire.Listener
	peers    *peers
	disk     *disk
	loop     *loop
	installs installs

	// leadership is the loop's view, for requests of the own host.
	leadership atomic.Pointer[quorum.Leadership]

	events chan event
	// quit asks the loop to end; ended is closed when it has.
	quit     chan struct{}
	quitOnce sync.Once
	ended    chan struct{}
	done     chan struct{}
	err      error // read after done
}

// Start opens the data folder and starts a member. The context bounds the
// start only.
func Start(ctx context.Context, opts Options) (*Process, error) {
	opts.setDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	p := &Process{
		opts:   opts,
		events: make(chan event, eventQueue),
		quit:   make(chan struct{}),
		ended:  make(chan struct{}),
		done:   make(chan struct{}),
	}
	p.installs.init(p)
	if err := p.open(); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		_ = p.disk.log.Close()
		return nil, err
	}
	if err := p.listen(); err != nil {
		_ = p.disk.log.Close()
		return nil, err
	}
	go p.listener.Serve()
	go p.disk.run()
	go p.run()
	return p, nil
}

func (p *Process) logDir() string      { return filepath.Join(p.opts.DataDir, "log") }
func (p *Process) snapshotDir() string { return filepath.Join(p.opts.DataDir, "snapshots") }

// open reads the data folder and builds the core and the ledger.
func (p *Process) open() error {
	if err := os.MkdirAll(p.opts.DataDir, 0o750); err != nil {
		return eris.Wrap(err, "make data folder")
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

func (p *Process) restore(log *wal.Log, recovered *wal.Recovered) error {
	id, err := openIdentity(&p.opts)
	if err != nil {
		return err
	}
	p.id = id
	stored := quorum.StoredState{Hard: quorum.HardStateOf(recovered.Hard), Entries: recovered.Entries}
	if stored.Membership, err = id.membership(); err != nil {
		return err
	}
	state, meta, err := p.readSnapshot()
	if err != nil {
		return err
	}
	if meta != nil {
		if stored.Entries, err = anchor(log, recovered.Entries, meta); err != nil {
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
	p.peers = newPeers(p.opts.ID, p.wireOptions(p.onMember))
	p.disk = newDisk(p.wrapped(log), p.peers.send, p.post)
	p.loop = newLoop(p, core, state, stored.SnapshotIndex)
	return nil
}

// anchor makes the log follow a snapshot that is newer, as after a crash
// between the two writes, and returns the entries that count. Otherwise the
// next entries would leave a hole in the log.
func anchor(log appender, entries []*wirepb.Entry, meta *wirepb.SnapshotMeta) ([]*wirepb.Entry, error) {
	if follows(entries, meta) {
		return entries, nil
	}
	record := &wirepb.LogRecord{Snapshot: &wirepb.SnapshotMeta{Index: meta.Index, Term: meta.Term}}
	return nil, eris.Wrap(log.Append(record), "anchor log")
}

// follows tells whether a log holds the snapshot's last entry, or goes on
// right after it.
func follows(entries []*wirepb.Entry, meta *wirepb.SnapshotMeta) bool {
	if len(entries) == 0 || entries[0].Index > meta.Index {
		return len(entries) > 0
	}
	at := meta.Index - entries[0].Index
	return at < uint64(len(entries)) && entries[at].Term == meta.Term
}

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

// readSnapshot returns the newest snapshot's state, or an empty ledger.
func (p *Process) readSnapshot() (*ledger.Ledger, *wirepb.SnapshotMeta, error) {
	r, findings, err := snapshot.Newest(p.snapshotDir())
	for _, finding := range findings {
		p.opts.Log.Error(finding, "snapshot skipped")
	}
	if errors.Is(err, snapshot.ErrNone) {
		return ledger.New(), nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = r.Close() }()
	state, err := ledger.Decode(r)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read %s", r.Path())
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
		Handler:   handler,
		Heartbeat: p.opts.SessionHeartbeat,
		Idle:      p.opts.SessionIdle,
		TLS:       p.opts.TLS,
		Scope:     p.opts.Scope,
		Log:       p.opts.Log,
	}
}

func (p *Process) listen() error {
	opts := p.wireOptions(p.onEnvelope)
	opts.Closed = func(s *wire.Session) {
		p.installs.drop(s)
		p.post(sessionEnded{s})
	}
	l, err := wire.Listen(p.opts.ListenAddress, opts)
	if err != nil {
		return err
	}
	p.listener = l
	return nil
}

// Address is where other processes connect, with the real port.
func (p *Process) Address() string { return p.listener.Address() }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err tells why the process ended; nil after Stop. It waits for the end.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Stop hands the leadership over, answers what is in flight, and ends. When
// ctx ends first, the process ends at once.
func (p *Process) Stop(ctx context.Context) error {
	p.post(stopAsked{})
	select {
	case <-p.done:
	case <-ctx.Done():
		p.end()
		<-p.done
	}
	return p.err
}

// end makes the loop end.
func (p *Process) end() { p.quitOnce.Do(func() { close(p.quit) }) }

// post hands an event to the loop; after the loop's end it is dropped.
func (p *Process) post(e event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
}

func (p *Process) run() {
	err := p.loop.run()
	close(p.ended)
	p.listener.Close()
	p.peers.close()
	p.installs.close()
	p.disk.close()
	p.err = err
	if err != nil {
		p.opts.Log.Error(err, "control member ended")
	}
	close(p.done)
}

// Dump returns the process's state for people, by the names of the charts.
func (p *Process) Dump() any {
	answer := make(chan Dump, 1)
	p.post(dumpAsked{answer})
	select {
	case d := <-answer:
		return d
	case <-p.ended:
		return Dump{Role: "ended"}
	}
}
