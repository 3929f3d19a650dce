package formation

import (
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/directory"
	"endivewing/internal/wire"
)

// visitor is a process connected to one member, with its last view.
type visitor struct {
	*directory.Client
	mu   sync.Mutex
	view directory.View
}

func visit(t *testing.T, role, name, address string) *visitor {
	v := &visitor{}
	v.Client = directory.Start(directory.Options{
		Seeds:    []string{address},
		Wire:     wire.Options{Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: role, Name: name, Cluster: "test"} }, Log: logr.Discard()},
		Announce: func() *wirepb.Announce { return &wirepb.Announce{Role: role, Name: name, Address: name} },
		Changed: func(view directory.View) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.view = view
		},
		Log: logr.Discard(),
	})
	t.Cleanup(v.Close)
	return v
}

func (v *visitor) sees(version uint64, processes int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view.Document.GetVersion() == version && len(v.view.Processes) == processes
}

// TestLoneMemberTellsWhoServes: after all members went down, the first one back
// tells dispatchers who serves, so that they can connect, but no document: there
// may be a newer one. Once there is a leader it tells that too.
func TestLoneMemberTellsWhoServes(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	for version := uint64(1); version <= 4; version++ { // the first are known as committed on disk
		g.put(members[1], version)
	}
	for i := 1; i <= 3; i++ {
		kill(members[i])
	}
	g.start(1, "disk1", false)
	dispatcher := visit(t, "dispatcher", "d", g.address(1))
	visit(t, "runner", "r", g.address(1))
	g.until("the dispatcher is told of the runner", func() bool { return dispatcher.sees(0, 2) })
	assert.Assert(t, !dispatcher.sees(4, 2))
	g.start(2, "disk2", false)
	g.until("the document is told", func() bool { return dispatcher.sees(4, 2) })
}

// TestDirectoryFollowsWhoComesAndGoes: one that leaves and one that comes back
// on a new session are told of as such.
func TestDirectoryFollowsWhoComesAndGoes(t *testing.T) {
	g := newGroup(t)
	g.startAll()
	dispatcher := visit(t, "dispatcher", "d", g.address(1))
	first := visit(t, "runner", "r", g.address(1))
	g.until("the runner is told of", func() bool { return dispatcher.sees(0, 2) })
	again := visit(t, "runner", "r", g.address(1))
	other := visit(t, "runner", "o", g.address(1))
	g.until("the other is told of", func() bool { return dispatcher.sees(0, 3) })
	first.Close()
	other.Close()
	g.until("the other has left", func() bool { return dispatcher.sees(0, 2) })
	again.Close()
	g.until("both have left", func() bool { return dispatcher.sees(0, 1) })
}
