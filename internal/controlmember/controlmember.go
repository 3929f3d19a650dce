// Package controlmember runs a control member that becomes part of the control
// group on its own. On the first start of a deployment the seeds form the
// group. A member with an empty disk joins the group of the seeds. A member
// that was removed from the group joins it again. The leader decides which
// learners become voters (package control).
package controlmember

import (
	"context"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/control"
	"endivewing/internal/controlclient"
	"endivewing/internal/directory"
	"endivewing/internal/sleep"
)

const (
	// joinCheckInterval is the interval between two checks whether the member
	// has a leader.
	joinCheckInterval = 300 * time.Millisecond
	// noLeaderTimeout is the time without a leader after which a member asks to
	// be added to the group. It is longer than an election.
	noLeaderTimeout = 1200 * time.Millisecond
	// requestTimeout limits a request to the group. It is shorter than the
	// second after which the operator tries another host.
	requestTimeout = 850 * time.Millisecond
	// electionTimeout is the time without a message of the leader after which
	// an election starts.
	electionTimeout = 500 * time.Millisecond
	// startTicks is the time between two attempts of a member to be elected
	// after its start, in tenths of electionTimeout, until there is a leader.
	startTicks = 1
	// snapshotEntries is the number of log entries between snapshots, and the
	// number kept after one. It keeps the log short, because documents are
	// large and few.
	snapshotEntries = 400
	// snapshotBytes is the size of the log entries after which a snapshot is due even
	// if they are few. A member's disk holds 128 MB: these entries, as many that are
	// kept, a part of a segment before them, and two snapshots.
	snapshotBytes = 16 << 20
)

// Options configures a Member.
type Options struct {
	Cluster, Name, Zone string
	// Address is the session address under which others reach this member.
	Address string
	// ListenAddress is the address on which sessions are accepted.
	ListenAddress string
	// Seeds are the session addresses of the members to contact first.
	Seeds []string
	// FirstStart is true if the deployment starts for the first time, with
	// empty disks.
	FirstStart bool
	DataDir    string
	// Voters is the number of voters that the group aims for.
	Voters int

	Log   logr.Logger
	Scope tally.Scope
}

// Member is a running control member.
type Member struct {
	opts     Options
	identity *identity
	process  *control.Process
	client   *controlclient.Client
	// seeds are the session addresses of the current settings.
	seeds        atomic.Pointer[[]string]
	cancel       context.CancelFunc
	joinLoopDone chan struct{}
}

// Start opens the data folder and runs the member.
func Start(ctx context.Context, opts Options) (*Member, error) {
	id, err := loadIdentity(&opts)
	if err != nil {
		return nil, err
	}
	m := &Member{opts: opts, identity: id, joinLoopDone: make(chan struct{})}
	m.seeds.Store(&opts.Seeds)
	if m.process, err = control.Start(ctx, m.controlOptions()); err != nil {
		return nil, eris.Wrap(err, "start control")
	}
	m.client = controlclient.New(controlclient.Options{
		Addresses: m.addresses(nil),
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Role: "operator", Name: opts.Name, Zone: opts.Zone, Cluster: opts.Cluster}
		},
		Log: opts.Log, Scope: opts.Scope, Budget: requestTimeout,
	})
	var joinCtx context.Context
	joinCtx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go m.joinLoop(joinCtx)
	opts.Log.Info("control member started", "member", id.ID, "first", len(id.InitialMembers) > 0, "first_start", opts.FirstStart)
	return m, nil
}

func (m *Member) controlOptions() control.Options {
	return control.Options{
		Cluster: m.opts.Cluster, Name: m.opts.Name, Zone: m.opts.Zone,
		ID: m.identity.ID, ListenAddress: m.opts.ListenAddress, DataDir: filepath.Join(m.opts.DataDir, "log"),
		Join: len(m.identity.InitialMembers) == 0, Members: m.identity.initialPeers(),
		Tick: electionTimeout / control.DefaultElectionTicks, StartTicks: startTicks,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, RetainEntries: snapshotEntries,
		Voters: m.opts.Voters, SessionHeartbeatInterval: directory.SessionHeartbeatInterval, SessionIdleTimeout: directory.SessionIdleTimeout,
		Log: m.opts.Log, Scope: m.opts.Scope,
	}
}

// addresses returns the addresses at which the group may be reached, without
// duplicates: the own address, the given members, the seeds. The own member
// comes first because it names the leader.
func (m *Member) addresses(members []control.Peer) []string {
	all := []string{m.opts.Address}
	for _, p := range members {
		all = append(all, p.Address)
	}
	all = append(all, *m.seeds.Load()...)
	seen := map[string]bool{}
	return slices.DeleteFunc(all, func(a string) bool {
		duplicate := seen[a]
		seen[a] = true
		return duplicate || a == ""
	})
}

// joinLoop asks for a place in the group whenever the member has had no leader
// for noLeaderTimeout.
func (m *Member) joinLoop(ctx context.Context) {
	defer close(m.joinLoopDone)
	leaderSeen := time.Now()
	for sleep.For(ctx, joinCheckInterval) {
		dump, ok := m.process.Dump().(control.Dump)
		if !ok {
			return
		}
		m.client.SetAddresses(m.addresses(dump.Members))
		if dump.Leader != 0 || dump.Quorum.Leader != 0 {
			leaderSeen = time.Now()
			continue
		}
		if time.Since(leaderSeen) > noLeaderTimeout {
			m.join(ctx)
		}
	}
}

// join asks the group to add this member as a learner.
func (m *Member) join(ctx context.Context) {
	_, err := m.client.Membership(ctx, &wirepb.MembershipRequest{
		Action: wirepb.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER,
		Member: &wirepb.Member{Id: m.identity.ID, Name: m.opts.Name, Address: m.opts.Address, Zone: m.opts.Zone},
	})
	if err != nil {
		m.opts.Log.Info("join request failed", "member", m.identity.ID, "error", err.Error())
		return
	}
	m.opts.Log.Info("join request accepted", "member", m.identity.ID)
}

// SetSeeds replaces the seeds. From the next check of the group on, they are
// tried when the known members do not respond.
func (m *Member) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

// Put stores a document on a quorum unless its version is not higher than the
// stored one. Errors: those of control.Process.Request.
func (m *Member) Put(ctx context.Context, version uint64, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	document := &wirepb.Document{Version: version, Body: body}
	reply, err := m.process.Request(ctx, func() *wirepb.Envelope {
		request := &wirepb.PutDocumentRequest{Document: document}
		return &wirepb.Envelope{Body: &wirepb.Envelope_PutDocumentRequest{PutDocumentRequest: request}}
	})
	stored := reply.GetPutDocumentResponse().GetVersion()
	m.opts.Log.Info("configuration document write finished", "version", version, "held", stored, "error", errorText(err))
	return err
}

// Get returns the newest document, confirmed by a quorum, or nil if there is
// none. Errors: those of control.Process.Request.
func (m *Member) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := m.process.Request(ctx, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_GetDocumentRequest{GetDocumentRequest: &wirepb.GetDocumentRequest{}}}
	})
	document := reply.GetGetDocumentResponse().GetDocument()
	m.opts.Log.Info("configuration document read finished", "version", document.GetVersion(), "error", errorText(err))
	return document.GetBody(), err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Address returns the address at which other processes connect.
func (m *Member) Address() string { return m.process.Address() }

// Done returns a channel that is closed when the member has ended.
func (m *Member) Done() <-chan struct{} { return m.process.Done() }

// Err returns why the member ended.
func (m *Member) Err() error { return m.process.Err() }

// Dump returns a description of the state of the member for operators.
func (m *Member) Dump() any { return m.process.Dump() }

// Stop transfers the leadership if the member holds it, and ends the member.
func (m *Member) Stop(ctx context.Context) {
	m.cancel()
	<-m.joinLoopDone
	if err := m.process.Stop(ctx); err != nil {
		m.opts.Log.Error(err, "control member ended with an error")
	}
	m.client.Close()
}
