package control

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "5")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	if os.Getenv(memberEnvVar) != "" {
		os.Exit(runMember())
	}
	code := m.Run()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Println(err)
			code = 1
		}
	}
	os.Exit(code)
}

// clientTimeout is the time limit of a client's request. It is generous, so that
// no test fails on a slow machine.
const clientTimeout = time.Minute

// cluster runs control members in the test process.
type cluster struct {
	t         testing.TB
	members   []Peer
	dirs      map[uint64]string
	running   map[uint64]*Process
	configure func(*Options)
}

// startCluster starts n members and waits for a leader. configure may change the
// options of each member; it may be nil.
func startCluster(t testing.TB, n int, configure func(*Options)) *cluster {
	c := &cluster{t: t, dirs: map[uint64]string{}, running: map[uint64]*Process{}, configure: configure}
	for i := range n {
		c.members = append(c.members, c.newPeer(uint64(i+1)))
	}
	for _, m := range c.members {
		c.start(m.ID, false)
	}
	t.Cleanup(c.stop)
	c.leader()
	return c
}

// newPeer returns a new member with an empty data folder. Its port stays free
// until the member starts and while it is down.
func (c *cluster) newPeer(id uint64) Peer {
	c.dirs[id] = c.t.TempDir()
	return Peer{ID: id, Name: fmt.Sprint("control", id), Address: fmt.Sprint("127.0.12.1:", testkit.Port()), Zone: "z"}
}

func (c *cluster) peer(id uint64) Peer {
	for _, m := range c.members {
		if m.ID == id {
			return m
		}
	}
	panic("no such member")
}

func (c *cluster) options(id uint64, join bool) Options {
	o := Options{
		Cluster: "test", Name: fmt.Sprint("control", id), ListenAddress: c.peer(id).Address,
		Members: c.members, ID: id, DataDir: c.dirs[id], Join: join,
		Tick: 10 * time.Millisecond, Log: logr.Discard(),
	}
	if c.configure != nil {
		c.configure(&o)
	}
	return o
}

func (c *cluster) start(id uint64, join bool) *Process {
	p, err := Start(context.Background(), c.options(id, join))
	assert.NilError(c.t, err)
	c.running[id] = p
	return p
}

// kill ends a member without a leadership transfer, as a crash does.
func (c *cluster) kill(id uint64) {
	c.running[id].quitLoop()
	<-c.running[id].Done()
	delete(c.running, id)
}

func (c *cluster) stop() {
	for id := range c.running {
		c.kill(id)
	}
}

func (c *cluster) dump(id uint64) Dump { return c.running[id].Dump().(Dump) }

// leader waits until a running member is the leader and returns its ID.
func (c *cluster) leader() uint64 {
	var leader uint64
	waitUntil(c.t, "a leader", func() bool {
		for id := range c.running {
			if c.dump(id).Role == "leader" {
				leader = id
				return true
			}
		}
		return false
	})
	return leader
}

func (c *cluster) client() *controlclient.Client {
	var addresses []string
	for _, m := range c.members {
		addresses = append(addresses, m.Address)
	}
	client := controlclient.New(controlclient.Options{
		Addresses: addresses, Log: logr.Discard(), Budget: clientTimeout,
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Role: "entry", Name: "e", Cluster: "test"} },
	})
	c.t.Cleanup(client.Close)
	return client
}

// waitCaughtUp waits until all running members have the same applied index.
func (c *cluster) waitCaughtUp() {
	waitUntil(c.t, "members catch up", func() bool {
		var indexes []uint64
		for id := range c.running {
			indexes = append(indexes, c.dump(id).Quorum.Applied)
		}
		for _, i := range indexes {
			if i != indexes[0] {
				return false
			}
		}
		return true
	})
}

// waitUntil polls a condition and fails the test if it does not become true.
func waitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t.(poll.TestingT), func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(30*time.Second))
}

func entryInstance(name string) *wirepb.Instance {
	return &wirepb.Instance{Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: name, Zone: "z"}
}

// lastToken makes the tokens of registrations and accepts unique.
var lastToken atomic.Uint64

// register registers an entry and returns its incarnation.
func register(t testing.TB, c controlclient.Control, name string) uint64 {
	i := entryInstance(name)
	i.Token = fmt.Sprint(name, lastToken.Add(1))
	r, err := c.Register(context.Background(), &wirepb.RegisterRequest{Instance: i})
	assert.NilError(t, err)
	return r.Incarnation
}

func acceptRequest(owner uint64, submission string) *wirepb.AcceptRequest {
	return &wirepb.AcceptRequest{
		Spec:   &wirepb.JobSpec{Team: "t", Submission: submission, Service: "s", Tasks: []*wirepb.Task{{Payload: make([]byte, 100)}}},
		Digest: []byte("digest of " + submission), Owner: owner, Token: lastToken.Add(1),
	}
}

func completeRequest(owner, group, epoch uint64, jobs ...uint64) *wirepb.CompleteRequest {
	r := &wirepb.CompleteRequest{Owner: owner, Group: group, Epoch: epoch}
	for _, job := range jobs {
		r.Completions = append(r.Completions, &wirepb.JobCompletion{
			Job: job, Answer: &wirepb.JobAnswer{Complete: true, Results: [][]byte{[]byte("result")}},
		})
	}
	return r
}
