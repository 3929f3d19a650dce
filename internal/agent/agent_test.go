package agent

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient/controlfake"
	"endivewing/internal/fakeminion"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !runHelperProcess() {
		goleak.VerifyTestMain(m)
	}
}

func TestTaskRunsOnceAfterSessionLoss(t *testing.T) {
	f := newFixture(t, 2)
	f.startTaskOnFrozenMinion()
	f.session.Close()
	f.connect()
	f.start(1, 1, "x")
	f.wantUpdate(1, started, "")
	f.query(2, 1)
	f.wantUpdate(2, notRun, "unseen")
	f.start(2, 1, "x")
	f.wantUpdate(2, notRun, "unseen")
	f.minion.Thaw()
	u := f.wantUpdate(1, done, "")
	assert.Equal(t, string(u.Result), string(fakeminion.Result([]byte("x"))))
	f.query(1, 1)
	f.wantUpdate(1, done, "")
	assert.DeepEqual(t, f.countEvents(fakeminion.EventStart), map[uint32]int{1: 1})
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
	f.minion.Thaw()
	f.wantUpdate(1, done, "")
	f.forget()
	assert.NilError(t, <-stopped)
	assert.Assert(t, (<-f.leaveRequests).Clean)
}

func TestStopWithUnsafeResultsIsNotClean(t *testing.T) {
	f := newFixture(t, 1)
	f.startTaskOnFrozenMinion()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, f.agent.Stop(ctx))
	f.wantUpdate(1, failed, "stopped")
	assert.Assert(t, !(<-f.leaveRequests).Clean)
	f.waitUntil("minion stopped it", func() bool { return f.countEvents(fakeminion.EventStopped)[1] == 1 })
}

func TestNewIncarnationHasNoStateOfTheOld(t *testing.T) {
	f := newFixture(t, 1)
	f.startTaskOnFrozenMinion()
	old := f.agent.Incarnation()
	f.control.EndIncarnation(old)
	f.waitUntil("new incarnation", func() bool { return f.agent.Incarnation() > old && f.listedAgent() != nil })
	<-f.session.Done()
	f.connect()
	group := f.entry.Incarnation()
	f.send(&wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: &wirepb.StartTask{
		Job: group + 100, Task: 1, Attempt: 1, Group: group, Epoch: 1, Incarnation: old, Service: "proof",
	}}})
	f.minion.Thaw()
	f.start(2, 1, "x")
	f.wantUpdate(2, done, "")
	assert.DeepEqual(t, f.countEvents(fakeminion.EventStart), map[uint32]int{1: 1, 2: 1})
}

func TestMinionRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.startTaskOnFrozenMinion()
	address := f.minion.Address()
	f.minion.Stop()
	f.wantUpdate(1, failed, "minion_lost")
	f.start(2, 1, "x")
	f.wantUpdate(2, notRun, "minion_down")
	f.awaitGrant(0)
	f.minion = startMinion(t, fakeminion.Options{Listen: address, RecordPath: f.recordPath})
	f.awaitGrant(1)
	f.start(1, 2, "x")
	f.wantUpdate(1, failed, "minion_lost")
	f.start(2, 2, "x")
	f.wantUpdate(2, done, "")
	assert.DeepEqual(t, f.countEvents(fakeminion.EventStart), map[uint32]int{1: 1, 2: 1})
}

func TestLostLeaseRefusesTasksUntilRenewed(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	f.start(1, 1, "x")
	f.start(2, 1, "x")
	f.wantUpdate(2, queued, "")
	f.control.SetLease(200 * time.Millisecond)
	synced := f.synced.Load()
	f.waitUntil("short lease", func() bool { return f.synced.Load() > synced+2 })
	f.failSyncs.Store(true)
	f.wantUpdate(2, notRun, "lease")
	f.awaitGrant(0)
	f.start(3, 1, "x")
	f.wantUpdate(3, notRun, "lease")
	f.control.SetLease(controlfake.DefaultLease)
	f.failSyncs.Store(false)
	f.awaitGrant(1)
	f.minion.Thaw()
	f.wantUpdate(1, done, "")
	f.start(3, 2, "x")
	f.wantUpdate(3, done, "")
}

func TestUnansweredTaskFreesItsSlotAtTheDeadline(t *testing.T) {
	f := newFixture(t, 1)
	f.minion.Freeze()
	group := f.entry.Incarnation()
	for task := range uint32(2) {
		f.send(&wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: &wirepb.StartTask{
			Job: group + 100, Task: task, Attempt: 1, Group: group, Epoch: 1, Incarnation: f.agent.Incarnation(),
			Service: "proof", BudgetMs: 500 + 60_000*task,
		}}})
	}
	f.waitUntil("task 1 waits", func() bool { return f.agent.Dump().(Dump).Gate.Load.Queued == 1 })
	f.wantUpdate(0, failed, "deadline")
	f.waitUntil("task 1 starts", func() bool { return f.countEvents(fakeminion.EventStart)[1] == 1 })
	f.minion.Thaw()
	f.wantUpdate(1, done, "")
	assert.DeepEqual(t, f.countEvents(fakeminion.EventStart), map[uint32]int{0: 1, 1: 1})
}

func TestCancelRunningAndQueuedTasks(t *testing.T) {
	f := newFixture(t, 8)
	f.minion.Freeze()
	group := f.entry.Incarnation()
	cancel := &wirepb.CancelTasks{Group: group, Epoch: 1}
	for task := range uint32(30) { // 8 run, 16 are queued, 6 are refused as the queue is full
		f.start(task, 1, "x")
		cancel.Tasks = append(cancel.Tasks, &wirepb.TaskRef{Job: group + 100, Task: task, Attempt: 1})
	}
	f.waitUntil("8 tasks run", func() bool { return f.minion.RunningTasks() == 8 })
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
	f.waitUntil("minion stopped them", func() bool { return len(f.countEvents(fakeminion.EventStopped)) == 8 })
	assert.Equal(t, len(f.countEvents(fakeminion.EventStart)), 8)
}

func TestEndpointResourceSetsDrainAndLimits(t *testing.T) {
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

func TestMinionResponses(t *testing.T) {
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
		"partial": {abortMidBody, "minion_lost"},
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
			m := newMinionClient(Options{MinionURL: server.URL, Connections: 4, MaxResultBytes: 1000})
			defer m.close()
			end, refused := m.run(context.Background(), &wirepb.StartTask{Job: 1, Service: "a b/c"}, time.Second)
			assert.Equal(t, end.Reason.String(), c.reason)
			assert.Assert(t, !refused)
			assert.Equal(t, requests.Load(), int64(1))
		})
	}
}

func abortMidBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
	panic(http.ErrAbortHandler)
}

// TestMinionThatIsBackAtOnceStartsNoTaskTwice lets one task crash the minion, which is
// back within milliseconds. The tasks that ran there have failed, those that waited run,
// and nobody starts a task again that has failed.
func TestMinionThatIsBackAtOnceStartsNoTaskTwice(t *testing.T) {
	f := newFixture(t, 3)
	f.start(1, 1, `{"sleep_ms":60000}`)
	f.start(2, 1, `{"sleep_ms":60000}`)
	f.waitUntil("two tasks run", func() bool { return f.minion.RunningTasks() == 2 })
	f.start(3, 1, `{"sleep_ms":20,"crash_ms":1}`)
	f.start(4, 1, "waits")
	outcomes := map[uint32]string{}
	for len(outcomes) < 4 {
		switch u := f.awaitUpdate(); {
		case u.Outcome == notRun:
			f.start(u.Task, u.Attempt+1, "waits")
		case u.Outcome == failed || u.Outcome == done:
			outcomes[u.Task] = fmt.Sprint(u.Outcome, " ", u.Reason)
		}
	}
	lost := fmt.Sprint(failed, " minion_lost")
	assert.DeepEqual(t, outcomes, map[uint32]string{1: lost, 2: lost, 3: lost, 4: fmt.Sprint(done, " ")})
	f.start(3, 2, `{"sleep_ms":20,"crash_ms":1}`)
	f.wantUpdate(3, failed, "minion_lost")
	assert.DeepEqual(t, f.countEvents(fakeminion.EventStart), map[uint32]int{1: 1, 2: 1, 3: 1, 4: 1})
}
