package formation

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endivewing/internal/control"
)

// group is a control group on loopback addresses.
type group struct {
	t     *testing.T
	dir   string
	port  int
	seeds []string
}

func newGroup(t *testing.T) *group {
	t.Helper()
	l, err := net.Listen("tcp", "0.0.0.0:0")
	assert.NilError(t, err)
	g := &group{t: t, dir: t.TempDir(), port: l.Addr().(*net.TCPAddr).Port}
	assert.NilError(t, l.Close())
	for i := 1; i <= 3; i++ {
		g.seeds = append(g.seeds, g.address(i))
	}
	return g
}

func (g *group) address(host int) string { return fmt.Sprintf("127.0.11.%d:%d", host, g.port) }

// start runs a member on a host; disk names its data folder.
func (g *group) start(host int, disk string, first bool) *Member {
	g.t.Helper()
	m, err := Start(g.t.Context(), Options{
		Cluster: "test", Name: fmt.Sprint("member", host), Zone: "z", Address: g.address(host), ListenAddress: g.address(host), Seeds: g.seeds,
		FirstStart: first, DataDir: filepath.Join(g.dir, disk), Voters: 3, Log: logr.Discard(),
	})
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { kill(m) })
	return m
}

// startAll starts the first group, by host.
func (g *group) startAll() map[int]*Member {
	g.t.Helper()
	members := map[int]*Member{}
	for i := 1; i <= 3; i++ {
		members[i] = g.start(i, fmt.Sprint("disk", i), true)
	}
	return members
}

// kill ends a member without handing anything over.
func kill(m *Member) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.Stop(ctx)
}

func (g *group) until(what string, holds func() bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (g *group) put(m *Member, version uint64) {
	g.t.Helper()
	g.until("the document is kept", func() bool {
		return m.Put(g.t.Context(), version, []byte(fmt.Sprint("v", version))) == nil
	})
}

func (g *group) reads(m *Member, version uint64) {
	g.t.Helper()
	g.until(fmt.Sprint("version ", version, " is read"), func() bool {
		body, err := m.Get(g.t.Context())
		return err == nil && string(body) == fmt.Sprint("v", version)
	})
}

// voters are the session addresses of the members that vote, by one's view;
// none while a change is under way: until it is over, a quorum of the voters
// before is needed too, and the lost one still counts as lost.
func voters(m *Member) map[string]uint64 {
	dump := m.Dump().(control.Dump)
	found := map[string]uint64{}
	if dump.Quorum.Membership.Joint() {
		return found
	}
	for _, p := range dump.Members {
		if dump.Quorum.Membership.IsVoter(p.ID) {
			found[p.Address] = p.ID
		}
	}
	return found
}

// TestLostDiskIsReplacedByItself: a member comes back with an empty disk and
// votes again under a new number; then another is lost, and nothing is gone.
func TestLostDiskIsReplacedByItself(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 5)
	kill(members[2])
	members[2] = g.start(2, "disk2-empty", false)
	g.until("the new disk votes", func() bool {
		now := voters(members[1])
		return len(now) == 3 && now[g.address(2)] >= joinedBit
	})
	kill(members[3])
	g.put(members[1], 9)
	g.reads(members[2], 9)
	kill(members[1])
	members[1] = g.start(1, "disk1", false)
	g.reads(members[1], 9)
}

// TestHostAtAnotherAddress: a host is gone for good and an empty one comes at
// another address; the seeds no longer name all members.
func TestHostAtAnotherAddress(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 2)
	kill(members[3])
	members[4] = g.start(4, "disk4", false)
	g.until("the new host votes", func() bool {
		now := voters(members[1])
		return len(now) == 3 && now[g.address(4)] != 0
	})
	kill(members[2])
	g.put(members[4], 3)
	g.reads(members[1], 3)
}

// TestMinorityAnswersNoRead: a member that can't be sure says so.
func TestMinorityAnswersNoRead(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 2)
	kill(members[2])
	kill(members[3])
	_, err := members[1].Get(t.Context())
	assert.Assert(t, err != nil)
	assert.Assert(t, members[1].Put(t.Context(), 3, []byte("v3")) != nil)
}

// TestChangedSeedsLeadToTheGroup: a host with an empty disk starts with seeds that
// are all gone; its settings change, and it joins. The members known to it don't
// push the seeds aside.
func TestChangedSeedsLeadToTheGroup(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 2)
	seeds := g.seeds
	g.seeds = []string{g.address(7), g.address(8), g.address(9)}
	late := g.start(4, "disk4", false)
	late.Reseed(seeds)
	g.reads(late, 2)
}
