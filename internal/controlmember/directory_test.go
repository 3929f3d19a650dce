package controlmember

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/directory"
	"endivewing/internal/wire"
)

// testProcess is a process connected to one member. It keeps the last view, and
// the minion that the member remembers of it.
type testProcess struct {
	*directory.Client
	mu         sync.Mutex
	view       directory.View
	lastMinion *wirepb.MinionRecord
}

func connectProcess(t testing.TB, role, name, address string) *testProcess {
	return connectAnnounced(t, &wirepb.Announce{Role: role, Name: name, Address: name}, address)
}

// connectAnnounced connects a process with a given announcement to members.
func connectAnnounced(t testing.TB, announce *wirepb.Announce, address ...string) *testProcess {
	p := &testProcess{}
	hello := &wirepb.Hello{Role: announce.Role, Name: announce.Name, Cluster: "test"}
	p.Client = directory.Start(directory.Options{
		Seeds:    address,
		Wire:     wire.Options{Hello: func() *wirepb.Hello { return proto.CloneOf(hello) }, Log: logr.Discard()},
		Announce: func() *wirepb.Announce { return proto.CloneOf(announce) },
		OnLastMinion: func(minion *wirepb.MinionRecord) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lastMinion = minion
		},
		OnChange: func(view directory.View) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.view = view
		},
		UsesDocuments: announce.Role == "dispatcher",
		Log:           logr.Discard(),
	})
	t.Cleanup(p.Close)
	return p
}

func (p *testProcess) hasView(version uint64, processes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Document.GetVersion() == version && len(p.view.Processes) == processes
}

// TestMemberWithoutQuorumReportsProcesses: after all members went down, the
// first one that is back reports the connected processes, so that dispatchers
// can connect. It reports no document, because a newer one may exist. It
// reports the document once there is a leader.
func TestMemberWithoutQuorumReportsProcesses(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	for version := uint64(1); version <= 4; version++ { // only the earlier ones are known as committed on disk
		g.put(members[1], version)
	}
	for i := 1; i <= 3; i++ {
		kill(members[i])
	}
	g.start(1, "disk1", false)
	dispatcher := connectProcess(t, "dispatcher", "d", g.address(1))
	connectProcess(t, "runner", "r", g.address(1))
	g.waitFor("the dispatcher sees the runner", func() bool { return dispatcher.hasView(0, 2) })
	assert.Assert(t, !dispatcher.hasView(4, 2))
	g.start(2, "disk2", false)
	g.waitFor("the dispatcher sees the document", func() bool { return dispatcher.hasView(4, 2) })
}

// TestDirectoryTracksProcesses: the view shows a process that leaves, and it
// keeps a process that has connected again on a new session when the old
// session ends.
func TestDirectoryTracksProcesses(t *testing.T) {
	g := newGroup(t)
	g.startAll()
	dispatcher := connectProcess(t, "dispatcher", "d", g.address(1))
	first := connectProcess(t, "runner", "r", g.address(1))
	g.waitFor("the dispatcher sees the runner", func() bool { return dispatcher.hasView(0, 2) })
	again := connectProcess(t, "runner", "r", g.address(1))
	other := connectProcess(t, "runner", "o", g.address(1))
	g.waitFor("the dispatcher sees the other runner", func() bool { return dispatcher.hasView(0, 3) })
	first.Close()
	other.Close()
	g.waitFor("the other runner has left", func() bool { return dispatcher.hasView(0, 2) })
	again.Close()
	g.waitFor("both runners have left", func() bool { return dispatcher.hasView(0, 1) })
}

// TestMemberRemembersMinions replays the kill of all processes: the first member
// that is back, without a quorum, tells a runner which minion it had. Members do
// not pass the record on to dispatchers.
func TestMemberRemembersMinions(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	minion := &wirepb.MinionRecord{Endpoint: "i-1", Service: "s", StartedUnixMs: 5, Capacity: &wirepb.Need{CpuMilli: 16_000}}
	connectAnnounced(t, &wirepb.Announce{Role: "runner", Name: "r", Address: "r", Service: "s", Minion: minion}, g.address(1))
	dispatcher := connectProcess(t, "dispatcher", "d", g.address(1))
	g.waitFor("the dispatcher sees the runner", func() bool { return dispatcher.hasView(0, 2) })
	for _, process := range dispatcher.view.Processes {
		assert.Assert(t, process.Minion == nil)
	}
	g.waitFor("the record is on disk", func() bool {
		_, err := os.Stat(filepath.Join(g.dir, "disk1", "log", "minions"))
		return !errors.Is(err, os.ErrNotExist)
	})
	for i := 1; i <= 3; i++ {
		kill(members[i])
	}
	g.start(1, "disk1", false)
	returned := connectProcess(t, "runner", "r", g.address(1))
	g.waitFor("the runner knows its minion", func() bool {
		returned.mu.Lock()
		defer returned.mu.Unlock()
		return proto.Equal(returned.lastMinion, minion)
	})
}

// TestProcessOfAnOlderVersionGetsWholeDocuments: a dispatcher that has not been upgraded
// yet requests none.
func TestProcessOfAnOlderVersionGetsWholeDocuments(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 3)
	updates := make(chan *wirepb.DirectoryUpdate, 16)
	s, err := wire.Dial(t.Context(), g.address(2), wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "dispatcher", Name: "old", Cluster: "test"} },
		Handler: func(_ *wire.Session, e *wirepb.Envelope) {
			if update := e.GetDirectoryUpdate(); update != nil {
				updates <- update
			}
		},
		Log: logr.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Start()
	announce := &wirepb.Announce{Role: "dispatcher", Name: "old"}
	assert.NilError(t, s.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}}))
	g.waitFor("the dispatcher has the document", func() bool {
		select {
		case update := <-updates:
			return string(update.Document.GetBody()) == "v3"
		default:
			return false
		}
	})
}
