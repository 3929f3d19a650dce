package agent

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/controlclient/controlfake"
	"endivewing/internal/standin"
	"endivewing/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !runRole() {
		goleak.VerifyTestMain(m)
	}
}

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
	// cut makes the agent's syncs fail; refused counts those.
	cut     atomic.Bool
	refused atomic.Int64
}

// Sync fails while the agent is cut off.
func (f *fixture) Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	if f.cut.Load() {
		f.refused.Add(1)
		return nil, controlclient.ErrNotRun
	}
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
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_Demand{Demand: &wirepb.Demand{}}})
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

func TestTaskRunsOnceThroughLossOfItsSession(t *testing.T) {
	f := newFixture(t, 2)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.until("start", func() bool { return f.minion.Running() == 1 })
	f.session.Close()
	f.connect()
	f.start(1, 1, "x")
	f.wantUpdate(1, started, "")
	f.query(2, 1)
	f.wantUpdate(2, notRun, "unseen")
	f.start(2, 1, "x")
	f.wantUpdate(2, notRun, "unseen")
	f.minion.Release()
	u := f.wantUpdate(1, done, "")
	assert.Equal(t, string(u.Result), string(standin.Result([]byte("x"))))
	f.query(1, 1)
	f.wantUpdate(1, done, "")
	assert.DeepEqual(t, f.events(standin.EventStart), map[uint32]int{1: 1})
}

func TestStopIsCleanWhenResultsAreSafe(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.start(2, 1, "x")
	f.wantUpdate(2, queued, "")
	stopped := make(chan error)
	go func() { stopped <- f.agent.Stop(context.Background()) }()
	f.wantUpdate(2, notRun, "draining")
	f.start(3, 1, "x")
	f.wantUpdate(3, notRun, "draining")
	f.minion.Release()
	f.wantUpdate(1, done, "")
	f.forget()
	assert.NilError(t, <-stopped)
	assert.Assert(t, (<-f.left).Clean)
}

func TestStopWithUnsafeResultsIsNotClean(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.until("start", func() bool { return f.minion.Running() == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, f.agent.Stop(ctx))
	f.wantUpdate(1, failed, "stopped")
	assert.Assert(t, !(<-f.left).Clean)
	f.until("minion stopped it", func() bool { return f.events(standin.EventStopped)[1] == 1 })
}

func TestNewIncarnationKnowsNothingOfTheOld(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.until("start", func() bool { return f.minion.Running() == 1 })
	old := f.agent.Incarnation()
	f.control.End(old)
	f.until("new incarnation", func() bool { return f.agent.Incarnation() > old && f.listed() != nil })
	<-f.session.Done()
	f.connect()
	group := f.entry.Incarnation()
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: &wirepb.StartTask{
		Job: group + 100, Task: 1, Attempt: 1, Group: group, Epoch: 1, Incarnation: old, Service: "proof",
	}}})
	f.minion.Release()
	f.start(2, 1, "x")
	f.wantUpdate(2, done, "")
	assert.DeepEqual(t, f.events(standin.EventStart), map[uint32]int{1: 1, 2: 1})
}

func TestMinionDiesAndReturns(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.until("start", func() bool { return f.minion.Running() == 1 })
	address := f.minion.Address()
	f.minion.Stop()
	f.wantUpdate(1, failed, "minion_lost")
	f.start(2, 1, "x")
	f.wantUpdate(2, notRun, "minion_down")
	f.awaitGrant(0)
	f.minion = startMinion(t, standin.Options{Listen: address, RecordPath: f.record})
	f.awaitGrant(1)
	f.start(1, 2, "x")
	f.wantUpdate(1, failed, "minion_lost")
	f.start(2, 2, "x")
	f.wantUpdate(2, done, "")
	assert.DeepEqual(t, f.events(standin.EventStart), map[uint32]int{1: 1, 2: 1})
}

func TestLostLeaseClosesTheGateAndARenewedOneOpensIt(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.start(2, 1, "x")
	f.wantUpdate(2, queued, "")
	f.control.SetLease(time.Millisecond)
	f.wantUpdate(2, notRun, "lease")
	f.awaitGrant(0)
	f.cut.Store(true)
	f.until("no sync is in flight", func() bool { return f.refused.Load() > 0 })
	f.until("the last lease has ended", func() bool { return !f.agent.follower.LeaseValid(time.Now()) })
	f.start(3, 1, "x")
	f.wantUpdate(3, notRun, "lease")
	f.control.SetLease(controlfake.DefaultLease)
	f.cut.Store(false)
	f.awaitGrant(1)
	f.minion.Release()
	f.wantUpdate(1, done, "")
	f.start(3, 2, "x")
	f.wantUpdate(3, done, "")
}

func TestCancelWave(t *testing.T) {
	f := newFixture(t, 8)
	f.minion.Freeze()
	group := f.entry.Incarnation()
	cancel := &wirepb.CancelTasks{Group: group, Epoch: 1}
	for task := range uint32(30) { // 8 run, 16 are queued, 6 find the queue full
		f.start(task, 1, "x")
		cancel.Tasks = append(cancel.Tasks, &wirepb.TaskRef{Job: group + 100, Task: task, Attempt: 1})
	}
	f.until("start", func() bool { return f.minion.Running() == 8 })
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_CancelTasks{CancelTasks: cancel}})
	final := map[uint32]string{}
	for len(final) < 30 {
		if u := f.awaitUpdate(); u.Outcome == failed || u.Outcome == notRun {
			final[u.Task] = fmt.Sprint(u.Outcome, " ", u.Reason)
		}
	}
	count := map[string]int{}
	for _, outcome := range final {
		count[outcome]++
	}
	want := map[string]int{
		fmt.Sprint(failed, " cancelled"): 8, fmt.Sprint(notRun, " cancelled"): 16, fmt.Sprint(notRun, " queue_full"): 6,
	}
	assert.DeepEqual(t, count, want)
	f.until("minion stopped them", func() bool { return len(f.events(standin.EventStopped)) == 8 })
	assert.Equal(t, len(f.events(standin.EventStart)), 8)
}

func TestOperatorsDrainAndLimits(t *testing.T) {
	f := newFixture(t, 8)
	apply := func(revision uint64, spec string) uint64 {
		r, err := f.control.Apply(context.Background(), &wirepb.ApplyRequest{
			RequestId: spec, ExpectedRevision: revision,
			Resource: &wirepb.Resource{Kind: "endpoint", Name: "a", Spec: []byte(spec)},
		})
		assert.NilError(t, err)
		return r.Resource.Revision
	}
	revision := apply(0, `{"slots":3}`)
	f.awaitGrant(3)
	revision = apply(revision, `{"drain":true}`)
	f.awaitGrant(0)
	f.start(1, 1, "x")
	f.wantUpdate(1, notRun, "draining")
	apply(revision, `{"services":["crop"]}`)
	f.awaitGrant(8)
	f.start(1, 2, "x")
	f.wantUpdate(1, notRun, "unknown_service")
	assert.Equal(t, f.agent.Dump().(Dump).State, "serving")
}

func TestAnswersOfTheMinion(t *testing.T) {
	var requests atomic.Int64
	cases := map[string]struct {
		handler http.HandlerFunc
		reason  string
	}{
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}, "minion_error"},
		"error":   {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) }, "minion_error"},
		"cut":     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "minion_lost"},
		"partial": {cutInTheMiddle, "minion_lost"},
		"large":   {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2000)) }, "result_too_large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			requests.Store(0)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				c.handler(w, r)
			}))
			defer server.Close()
			m := newMinionClient(Options{MinionURL: server.URL, Connections: 4, MaxResult: 1000})
			defer m.close()
			end, refused := m.run(context.Background(), &wirepb.StartTask{Job: 1, Service: "a b/c"}, time.Second)
			assert.Equal(t, end.Reason.String(), c.reason)
			assert.Assert(t, !refused)
			assert.Equal(t, requests.Load(), int64(1))
		})
	}
}

func cutInTheMiddle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
	panic(http.ErrAbortHandler)
}
