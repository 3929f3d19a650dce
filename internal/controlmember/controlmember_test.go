package controlmember

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endivewing/internal/control"
	"endivewing/internal/testkit"
)

// group is a control group on loopback addresses.
type group struct {
	t     testing.TB
	dir   string
	port  int
	seeds []string
	// scope receives the metrics of the members; it may be nil.
	scope tally.Scope
}

func newGroup(t testing.TB) *group { return newGroupOf(t, 3) }

// newGroupOf returns a group of the given size.
func newGroupOf(t testing.TB, members int) *group {
	t.Helper()
	g := &group{t: t, dir: t.TempDir(), port: testkit.Port()}
	for i := 1; i <= members; i++ {
		g.seeds = append(g.seeds, g.address(i))
	}
	return g
}

func (g *group) address(host int) string { return fmt.Sprintf("127.0.11.%d:%d", host, g.port) }

// start runs a member on a host. disk names its data folder.
func (g *group) start(host int, disk string, first bool) *Member {
	g.t.Helper()
	m, err := Start(g.t.Context(), Options{
		Cluster: "test", Name: fmt.Sprint("member", host), Zone: "z", Address: g.address(host), ListenAddress: g.address(host), Seeds: g.seeds,
		FirstStart: first, DataDir: filepath.Join(g.dir, disk), Voters: len(g.seeds), Log: logr.Discard(), Scope: g.scope,
	})
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { kill(m) })
	return m
}

// startAll starts the initial group and returns its members by host number.
func (g *group) startAll() map[int]*Member {
	g.t.Helper()
	members := map[int]*Member{}
	for i := 1; i <= len(g.seeds); i++ {
		members[i] = g.start(i, fmt.Sprint("disk", i), true)
	}
	return members
}

// kill ends a member without a transfer of its leadership.
func kill(m *Member) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.Stop(ctx)
}

func (g *group) waitFor(what string, condition func() bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (g *group) put(m *Member, version uint64) {
	g.t.Helper()
	g.waitFor("the document is stored", func() bool {
		return m.Put(g.t.Context(), version, []byte(fmt.Sprint("v", version))) == nil
	})
}

func (g *group) waitForRead(m *Member, version uint64) {
	g.t.Helper()
	g.waitFor(fmt.Sprint("version ", version, " is read"), func() bool {
		body, err := m.Get(g.t.Context())
		return err == nil && string(body) == fmt.Sprint("v", version)
	})
}

// voters returns the IDs of the voters by session address, as m sees them. It
// returns none while a membership change is in progress, because until its end
// a quorum of the former voters is needed too, and a lost one still counts as
// lost.
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

// TestMemberRejoinsWithEmptyDisk: a member that comes back with an empty disk
// votes again under a new ID. Then another member is lost, and no document is
// gone.
func TestMemberRejoinsWithEmptyDisk(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 5)
	kill(members[2])
	members[2] = g.start(2, "disk2-empty", false)
	g.waitFor("the member with the new disk votes", func() bool {
		current := voters(members[1])
		return len(current) == 3 && current[g.address(2)] >= joinedMemberBit
	})
	kill(members[3])
	g.put(members[1], 9)
	g.waitForRead(members[2], 9)
	kill(members[1])
	members[1] = g.start(1, "disk1", false)
	g.waitForRead(members[1], 9)
}

// TestReplacementHostAtNewAddressVotes: a host is gone for good and an empty
// one starts at another address, so the seeds no longer name all members.
func TestReplacementHostAtNewAddressVotes(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 2)
	kill(members[3])
	members[4] = g.start(4, "disk4", false)
	g.waitFor("the new host votes", func() bool {
		current := voters(members[1])
		return len(current) == 3 && current[g.address(4)] != 0
	})
	kill(members[2])
	g.put(members[4], 3)
	g.waitForRead(members[1], 3)
}

// TestMinorityRefusesReadsAndWrites: a member without a quorum returns an error
// for reads and writes.
func TestMinorityRefusesReadsAndWrites(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 2)
	kill(members[2])
	kill(members[3])
	_, err := members[1].Get(t.Context())
	assert.Assert(t, err != nil)
	assert.Assert(t, members[1].Put(t.Context(), 3, []byte("v3")) != nil)
}

// TestMemberJoinsThroughChangedSeeds: a host with an empty disk starts with
// seeds that are all gone, and joins once its settings change. The members
// known to it must not replace the seeds.
func TestMemberJoinsThroughChangedSeeds(t *testing.T) {
	g := newGroup(t)
	members := g.startAll()
	g.put(members[1], 2)
	seeds := g.seeds
	g.seeds = []string{g.address(7), g.address(8), g.address(9)}
	late := g.start(4, "disk4", false)
	late.SetSeeds(seeds)
	g.waitForRead(late, 2)
}
