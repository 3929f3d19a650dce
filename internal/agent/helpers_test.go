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
	"endivewing/internal/standin"
	"endivewing/internal/wire"
)

const (
	notRun  = wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
	queued  = wirepb.TaskOutcome_TASK_OUTCOME_QUEUED
	started = wirepb.TaskOutcome_TASK_OUTCOME_STARTED
	done    = wirepb.TaskOutcome_TASK_OUTCOME_DONE
	failed  = wirepb.TaskOutcome_TASK_OUTCOME_FAILED
)

// waitLimit bounds each wait of a test; no verdict depends on it.
const waitLimit = 20 * time.Second

// fixture is an agent with a minion, a control and one entry.
type fixture struct {
	controlclient.Control
	t       testing.TB
	control *controlfake.Fake
	minion  *standin.Minion
	record  string
	agent   *Process
	entry   *controlclient.Follower
	session *wire.Session
	inbox   chan *wirepb.Envelope
	granted uint32
	// left receives what the agent says when it leaves.
	left chan *wirepb.LeaveRequest
	// cut makes the agent's syncs fail; synced counts the others.
	cut    atomic.Bool
	synced atomic.Int64
}

// Sync fails while the agent is cut off.
func (f *fixture) Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	if f.cut.Load() {
		return nil, controlclient.ErrNotRun
	}
	defer f.synced.Add(1)
	return f.Control.Sync(ctx, r)
}

// Leave notes the request on its way to control.
func (f *fixture) Leave(ctx context.Context, r *wirepb.LeaveRequest) error {
	f.left <- r
	return f.Control.Leave(ctx, r)
}

func newFixture(t testing.TB, slots int) *fixture {
	record := filepath.Join(t.TempDir(), "record")
	m := startMinion(t, standin.Options{RecordPath: record})
	f := newFixtureWith(t, m.URL(), slots)
	f.minion, f.record = m, record
	return f
}

// newFixtureWith leaves the minion to the caller.
func newFixtureWith(t testing.TB, minionURL string, slots int) *fixture {
	f := &fixture{t: t, control: controlfake.New(), left: make(chan *wirepb.LeaveRequest, 1)}
	f.Control = f.control
	f.startAgent(minionURL, slots)
	f.entry = controlclient.Follow(context.Background(), f.control, controlclient.FollowOptions{
		Instance: &wirepb.Instance{Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: "e"}, Log: logr.Discard(),
	})
	t.Cleanup(f.entry.Close)
	f.until("agent is listed", func() bool { return f.listed().GetIncarnation() != 0 })
	f.connect()
	return f
}

func startMinion(t testing.TB, opts standin.Options) *standin.Minion {
	m, err := standin.Start(opts)
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

func (f *fixture) until(what string, ok func() bool) {
	f.t.Helper()
	check := func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}
	poll.WaitOn(f.t, check, poll.WithDelay(time.Millisecond), poll.WithTimeout(waitLimit))
}

// listed is the live agent as the entry's configuration shows it.
func (f *fixture) listed() *wirepb.Instance {
	for _, i := range f.entry.View().Instances {
		if i.Name == "a" && !i.Ended && i.Incarnation == f.agent.Incarnation() {
			return i
		}
	}
	return nil
}

// connect opens a session, waits for slots, and drops what came before.
func (f *fixture) connect() {
	inbox := make(chan *wirepb.Envelope, 10000)
	s, err := wire.Dial(context.Background(), f.agent.Address(), wire.Options{
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Role: "entry", Name: "e", Cluster: "c", Incarnation: f.entry.Incarnation()}
		},
		Handler: func(_ *wire.Session, e *wirepb.Envelope) { inbox <- e },
		Log:     logr.Discard(),
	})
	assert.NilError(f.t, err)
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
	case <-time.After(waitLimit):
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

// startFrozen starts task 1 at a minion that doesn't answer until its Release.
func (f *fixture) startFrozen() {
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.until("start", func() bool { return f.minion.Running() == 1 })
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

// events counts the events of the minion's record by task.
func (f *fixture) events(event standin.Event) map[uint32]int {
	lines, err := standin.ReadRecord(f.record)
	assert.NilError(f.t, err)
	n := map[uint32]int{}
	for _, line := range lines {
		if line.Event == event {
			n[line.Task]++
		}
	}
	return n
}
