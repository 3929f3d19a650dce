package agent

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/controlclient/controlfake"
	"endivewing/internal/fakeminion"
	"endivewing/internal/wire"
)

const (
	notRun  = wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
	queued  = wirepb.TaskOutcome_TASK_OUTCOME_QUEUED
	started = wirepb.TaskOutcome_TASK_OUTCOME_STARTED
	done    = wirepb.TaskOutcome_TASK_OUTCOME_DONE
	failed  = wirepb.TaskOutcome_TASK_OUTCOME_FAILED
)

// waitTimeout bounds each wait of a test. It is long enough that no test result
// depends on it.
const waitTimeout = 20 * time.Second

// fixture is an agent with a minion, a fake control and one entry. The agent
// reaches control through the fixture.
type fixture struct {
	controlclient.Control
	t          testing.TB
	control    *controlfake.Fake
	minion     *fakeminion.Minion
	recordPath string
	agent      *Process
	entry      *controlclient.Follower
	session    *wire.Session
	inbox      chan *wirepb.Envelope
	granted    uint32
	// leaveRequests receives the agent's leave request.
	leaveRequests chan *wirepb.LeaveRequest
	// failSyncs makes the agent's syncs fail; synced counts all other syncs.
	failSyncs atomic.Bool
	synced    atomic.Int64
}

// Sync forwards a sync to control, or fails while failSyncs is set.
func (f *fixture) Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	if f.failSyncs.Load() {
		return nil, controlclient.ErrNotRun
	}
	defer f.synced.Add(1)
	return f.Control.Sync(ctx, r)
}

// Leave records a leave request and forwards it to control.
func (f *fixture) Leave(ctx context.Context, r *wirepb.LeaveRequest) error {
	f.leaveRequests <- r
	return f.Control.Leave(ctx, r)
}

func newFixture(t testing.TB, slots int) *fixture {
	recordPath := filepath.Join(t.TempDir(), "record")
	m := startMinion(t, fakeminion.Options{RecordPath: recordPath})
	f := newFixtureWith(t, m.URL(), slots)
	f.minion, f.recordPath = m, recordPath
	return f
}

// newFixtureWith returns a fixture for a minion that the caller has started.
func newFixtureWith(t testing.TB, minionURL string, slots int) *fixture {
	f := &fixture{t: t, control: controlfake.New(), leaveRequests: make(chan *wirepb.LeaveRequest, 1)}
	f.Control = f.control
	f.startAgent(minionURL, slots)
	f.entry = controlclient.Follow(context.Background(), f.control, controlclient.FollowOptions{
		Instance: &wirepb.Instance{Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: "e"}, Log: logr.Discard(),
	})
	t.Cleanup(f.entry.Close)
	f.waitUntil("agent is listed", func() bool { return f.listedAgent().GetIncarnation() != 0 })
	f.connect()
	return f
}

func startMinion(t testing.TB, opts fakeminion.Options) *fakeminion.Minion {
	m, err := fakeminion.Start(opts)
	assert.NilError(t, err)
	t.Cleanup(m.Stop)
	return m
}

func (f *fixture) startAgent(minionURL string, slots int) {
	ctx, kill := context.WithCancel(context.Background())
	p, err := Start(ctx, Options{
		Cluster: "c", Name: "a", Zone: "z", ListenAddress: "127.0.0.1:0", Control: f, MinionURL: minionURL,
		Slots: slots, Connections: 64, QueueTasks: 16, QueueBytes: 1 << 20, ResultBytes: 1 << 20,
		Hold: 20 * time.Millisecond,
	})
	assert.NilError(f.t, err)
	f.agent = p
	f.t.Cleanup(func() {
		kill()
		<-p.Done()
	})
}

func (f *fixture) waitUntil(what string, ok func() bool) {
	f.t.Helper()
	check := func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}
	poll.WaitOn(f.t, check, poll.WithDelay(time.Millisecond), poll.WithTimeout(waitTimeout))
}

// listedAgent returns the agent's present incarnation as the entry's configuration
// lists it; nil if it isn't listed.
func (f *fixture) listedAgent() *wirepb.Instance {
	for _, i := range f.entry.View().Instances {
		if i.Name == "a" && !i.Ended && i.Incarnation == f.agent.Incarnation() {
			return i
		}
	}
	return nil
}

// connect opens a new session and waits until the agent grants slots. A new
// incarnation may be listed before its listener is open, so connect dials again
// until it is. Messages that arrive before the grant are dropped.
func (f *fixture) connect() {
	inbox := make(chan *wirepb.Envelope, 10000)
	opts := wire.Options{
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Role: "entry", Name: "e", Cluster: "c", Incarnation: f.entry.Incarnation()}
		},
		Handler: func(_ *wire.Session, e *wirepb.Envelope) { inbox <- e },
		Log:     logr.Discard(),
	}
	var s *wire.Session
	f.waitUntil("a session with the agent", func() (connected bool) {
		var err error
		s, err = wire.Dial(context.Background(), f.agent.Address(), opts)
		return err == nil
	})
	s.Start()
	f.t.Cleanup(s.Close)
	f.session, f.inbox = s, inbox
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_Demand{Demand: &wirepb.Demand{Lend: true}}})
	f.granted = 0
	for f.granted == 0 {
		f.receive()
	}
}

func (f *fixture) send(e *wirepb.Envelope) {
	assert.NilError(f.t, f.session.Send(wire.LaneTraffic, e))
}

func (f *fixture) receive() *wirepb.Envelope {
	f.t.Helper()
	select {
	case e := <-f.inbox:
		if g := e.GetSlotGrant(); g != nil {
			f.granted = g.Slots
		}
		return e
	case <-time.After(waitTimeout):
		f.t.Fatal("no message")
		return nil
	}
}

func (f *fixture) awaitGrant(slots uint32) {
	f.t.Helper()
	for f.granted != slots {
		f.receive()
	}
}

func (f *fixture) awaitUpdate() *wirepb.TaskUpdate {
	f.t.Helper()
	for {
		e := f.receive()
		if u := e.GetTaskUpdate(); u != nil {
			return u
		}
		if r := e.GetQueryReport(); r != nil && len(r.Tasks) > 0 {
			return r.Tasks[0]
		}
	}
}

func (f *fixture) wantUpdate(task uint32, outcome wirepb.TaskOutcome, reason string) *wirepb.TaskUpdate {
	f.t.Helper()
	u := f.awaitUpdate()
	assert.Equal(f.t, fmt.Sprint(u.Task, u.Outcome, u.Reason), fmt.Sprint(task, outcome, reason), "%v", u)
	return u
}

// startTaskOnFrozenMinion starts task 1 at the minion, which doesn't answer until
// its Thaw is called.
func (f *fixture) startTaskOnFrozenMinion() {
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.waitUntil("task 1 runs", func() bool { return f.minion.RunningTasks() == 1 })
}

func (f *fixture) start(task, attempt uint32, payload string) {
	group := f.entry.Incarnation()
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: &wirepb.StartTask{
		Job: group + 100, Task: task, Attempt: attempt, Group: group, Epoch: 1, Incarnation: f.agent.Incarnation(),
		Service: "proof", Payload: []byte(payload),
	}}})
}

func (f *fixture) query(task, attempt uint32) {
	group := f.entry.Incarnation()
	refs := []*wirepb.TaskRef{{Job: group + 100, Task: task, Attempt: attempt}}
	q := &wirepb.QueryTasks{Group: group, Epoch: 1, Tasks: refs}
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_QueryTasks{QueryTasks: q}})
}

func (f *fixture) forget() {
	group := f.entry.Incarnation()
	m := &wirepb.ForgetJobs{Group: group, Epoch: 1, Jobs: []uint64{group + 100}}
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_ForgetJobs{ForgetJobs: m}})
}

// countEvents returns the number of events of a kind per task in the minion's
// record.
func (f *fixture) countEvents(event fakeminion.Event) map[uint32]int {
	lines, err := fakeminion.ReadRecord(f.recordPath)
	assert.NilError(f.t, err)
	n := map[uint32]int{}
	for _, line := range lines {
		if line.Event == event {
			n[line.Task]++
		}
	}
	return n
}
