// Package formation runs a control member that finds its place by itself: a
// seed of a first start forms the group with the others, an empty disk joins
// the group that the seeds belong to, and a member that is in no group any
// more joins again. Which learners become voters is the leader's decision
// (package control).
package formation

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
	// joinInterval is how often a member looks whether it belongs to a group.
	joinInterval = 300 * time.Millisecond
	// joinAfter is how long a member is without a leader before it asks to be
	// added: longer than an election.
	joinAfter = 1200 * time.Millisecond
	// requestBudget bounds a request to the group: the operator goes on to
	// another host after a second.
	requestBudget = 850 * time.Millisecond
	// electionTime is the silence of a leader after which an election starts.
	electionTime = 500 * time.Millisecond
	// startTicks of a tenth of electionTime is the wait for a leader after a
	// start: time for the sessions to the others.
	startTicks = 3
	// snapshotEntries keeps the log short: documents are large and few.
	snapshotEntries = 400
)

// Options are the settings of a member.
type Options struct {
	Cluster, Name, Zone string
	// Address is the own session address, as others reach it.
	Address string
	// ListenAddress is where sessions are taken.
	ListenAddress string
	// Seeds are session addresses of members to begin with.
	Seeds []string
	// FirstStart: the deployment starts for the first time, with empty disks.
	FirstStart bool
	DataDir    string
	// Voters is the number of voters wanted.
	Voters int

	Log   logr.Logger
	Scope tally.Scope
}

// Member is a running control member.
type Member struct {
	opts   Options
	id     *identity
	member *control.Process
	client *controlclient.Client
	// seeds are the session addresses of the settings in force.
	seeds  atomic.Pointer[[]string]
	cancel context.CancelFunc
	joined chan struct{}
}

// Start opens the disk and runs the member.
func Start(ctx context.Context, opts Options) (*Member, error) {
	id, err := openIdentity(&opts)
	if err != nil {
		return nil, err
	}
	m := &Member{opts: opts, id: id, joined: make(chan struct{})}
	m.seeds.Store(&opts.Seeds)
	if m.member, err = control.Start(ctx, m.controlOptions()); err != nil {
		return nil, eris.Wrap(err, "start control")
	}
	m.client = controlclient.New(controlclient.Options{
		Addresses: m.addresses(nil),
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Role: "operator", Name: opts.Name, Zone: opts.Zone, Cluster: opts.Cluster}
		},
		Log: opts.Log, Scope: opts.Scope, Budget: requestBudget,
	})
	var joining context.Context
	joining, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go m.keepJoined(joining)
	opts.Log.Info("control member started", "member", id.ID, "first", len(id.First) > 0, "first_start", opts.FirstStart)
	return m, nil
}

func (m *Member) controlOptions() control.Options {
	return control.Options{
		Cluster: m.opts.Cluster, Name: m.opts.Name, Zone: m.opts.Zone,
		ID: m.id.ID, ListenAddress: m.opts.ListenAddress, DataDir: filepath.Join(m.opts.DataDir, "log"),
		Join: len(m.id.First) == 0, Members: m.id.peers(),
		Tick: electionTime / control.DefaultElectionTicks, StartTicks: startTicks,
		SnapshotEntries: snapshotEntries, RetainEntries: snapshotEntries,
		Voters: m.opts.Voters, SessionHeartbeat: directory.SessionHeartbeat, SessionIdle: directory.SessionIdle,
		Log: m.opts.Log, Scope: m.opts.Scope,
	}
}

// addresses are where the group may be reached, the own member first: it
// names the leader.
func (m *Member) addresses(members []control.Peer) []string {
	all := []string{m.opts.Address}
	for _, p := range members {
		all = append(all, p.Address)
	}
	all = append(all, *m.seeds.Load()...)
	seen := map[string]bool{}
	return slices.DeleteFunc(all, func(a string) bool {
		known := seen[a]
		seen[a] = true
		return known || a == ""
	})
}

// keepJoined asks for a place in the group whenever the member has had no
// leader for a while.
func (m *Member) keepJoined(ctx context.Context) {
	defer close(m.joined)
	led := time.Now()
	for sleep.For(ctx, joinInterval) {
		dump, ok := m.member.Dump().(control.Dump)
		if !ok {
			return
		}
		m.client.SetAddresses(m.addresses(dump.Members))
		if dump.Leader != 0 || dump.Quorum.Leader != 0 {
			led = time.Now()
			continue
		}
		if time.Since(led) > joinAfter {
			m.join(ctx)
		}
	}
}

func (m *Member) join(ctx context.Context) {
	_, err := m.client.Membership(ctx, &wirepb.MembershipRequest{
		Action: wirepb.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER,
		Member: &wirepb.Member{Id: m.id.ID, Name: m.opts.Name, Address: m.opts.Address, Zone: m.opts.Zone},
	})
	if err != nil {
		m.opts.Log.Info("group not reached", "member", m.id.ID, "error", err.Error())
		return
	}
	m.opts.Log.Info("group reached", "member", m.id.ID)
}

// Reseed takes changed seeds in. They are used when the members known don't
// answer, from the next look at the group on.
func (m *Member) Reseed(seeds []string) { m.seeds.Store(&seeds) }

// Put makes a document durable unless its version is not higher than the one
// held. Errors: those of
// control.Process.Request.
func (m *Member) Put(ctx context.Context, version uint64, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestBudget)
	defer cancel()
	document := &wirepb.Document{Version: version, Body: body}
	reply, err := m.member.Request(ctx, func() *wirepb.Envelope {
		request := &wirepb.PutDocumentRequest{Document: document}
		return &wirepb.Envelope{Body: &wirepb.Envelope_PutDocumentRequest{PutDocumentRequest: request}}
	})
	held := reply.GetPutDocumentResponse().GetVersion()
	m.opts.Log.Info("document put", "version", version, "held", held, "error", errorText(err))
	return err
}

// Get reads the newest document, confirmed by a quorum; nil when there is
// none. Errors: those of control.Process.Request.
func (m *Member) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestBudget)
	defer cancel()
	reply, err := m.member.Request(ctx, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_GetDocumentRequest{GetDocumentRequest: &wirepb.GetDocumentRequest{}}}
	})
	d := reply.GetGetDocumentResponse().GetDocument()
	m.opts.Log.Info("document read", "version", d.GetVersion(), "error", errorText(err))
	return d.GetBody(), err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Address is where other processes connect.
func (m *Member) Address() string { return m.member.Address() }

// Done is closed when the member ended by itself.
func (m *Member) Done() <-chan struct{} { return m.member.Done() }

// Err tells why the member ended.
func (m *Member) Err() error { return m.member.Err() }

// Dump returns the member's state for people.
func (m *Member) Dump() any { return m.member.Dump() }

// Stop hands the leadership over and ends.
func (m *Member) Stop(ctx context.Context) {
	m.cancel()
	<-m.joined
	if err := m.member.Stop(ctx); err != nil {
		m.opts.Log.Error(err, "control member ended with an error")
	}
	m.client.Close()
}
