package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/internal/controlclient"
	"endivewing/internal/controlclient/controlfake"
	"endivewing/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	cluster = "test"
	// patience bounds the waits of tests that should end at once.
	patience = 20 * time.Second
)

// fakeAgent is a registered agent that runs tasks as its run function says.
type fakeAgent struct {
	t        *testing.T
	listener *wire.Listener
	follower *controlclient.Follower
	run      taskRunner

	mu        sync.Mutex
	session   *wire.Session
	started   map[[2]uint64]int
	held      map[[2]uint64]*wirepb.StartTask
	forgotten map[uint64]bool
	kinds     map[string]int
}

// taskRunner is what a fake agent does with a task that it is sent.
type taskRunner func(*fakeAgent, *wire.Session, *wirepb.StartTask)

// startOne starts an agent and an entry that has a session with it.
func startOne(t *testing.T, run taskRunner) (*controlfake.Fake, *fakeAgent, *Process) {
	t.Helper()
	control := newControl()
	a, p := startAgent(t, control, "a", run), startEntry(t, control, "e1")
	connected(t, p, 1)
	return control, a, p
}

// startTwo is startOne with a second entry.
func startTwo(t *testing.T, run taskRunner) (control *controlfake.Fake, a *fakeAgent, first, second *Process) {
	t.Helper()
	control, a, first = startOne(t, run)
	second = startEntry(t, control, "e2")
	connected(t, second, 1)
	return control, a, first, second
}

func startAgent(t *testing.T, control controlclient.Control, name string, run taskRunner) *fakeAgent {
	a := &fakeAgent{
		t: t, run: run, started: map[[2]uint64]int{}, held: map[[2]uint64]*wirepb.StartTask{},
		forgotten: map[uint64]bool{}, kinds: map[string]int{},
	}
	l, err := wire.Listen("127.0.0.1:0", wire.Options{
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{Role: "agent", Name: name, Cluster: cluster, Incarnation: a.follower.Incarnation()}
		},
		Handler: a.handle, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	a.listener = l
	a.follower = controlclient.Follow(context.Background(), control, controlclient.FollowOptions{
		Instance: &wirepb.Instance{
			Kind: wirepb.InstanceKind_INSTANCE_KIND_AGENT, Name: name, Address: l.Address(),
			Slots: 8, Connections: 64, Services: []string{"crop"},
		},
		Log: logr.Discard(),
	})
	go l.Serve()
	t.Cleanup(a.stop)
	return a
}

// stop is a crash: nothing is told to anybody.
func (a *fakeAgent) stop() {
	a.follower.Close()
	a.listener.Close()
}

// echoTask answers at once with the payload.
func echoTask(a *fakeAgent, s *wire.Session, m *wirepb.StartTask) {
	a.update(s, m, wirepb.TaskOutcome_TASK_OUTCOME_DONE)
}

// holdTask starts the task and never ends it.
func holdTask(a *fakeAgent, s *wire.Session, m *wirepb.StartTask) {
	a.update(s, m, wirepb.TaskOutcome_TASK_OUTCOME_STARTED)
}

func (a *fakeAgent) update(s *wire.Session, m *wirepb.StartTask, o wirepb.TaskOutcome) {
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_TaskUpdate{TaskUpdate: taskUpdate(m, o)}})
}

func taskUpdate(m *wirepb.StartTask, o wirepb.TaskOutcome) *wirepb.TaskUpdate {
	return &wirepb.TaskUpdate{
		Job: m.Job, Task: m.Task, Group: m.Group, Epoch: m.Epoch, Attempt: m.Attempt,
		Outcome: o, Result: m.Payload, RunUs: 100,
	}
}

func (a *fakeAgent) handle(s *wire.Session, e *wirepb.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.session = s
	switch body := e.Body.(type) {
	case *wirepb.Envelope_Demand:
		a.kinds["demand"]++
		_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_SlotGrant{SlotGrant: &wirepb.SlotGrant{Slots: 8, Sequence: 1}}})
	case *wirepb.Envelope_StartTask:
		a.kinds["start"]++
		m := body.StartTask
		a.started[[2]uint64{m.Job, uint64(m.Task)}]++
		a.held[[2]uint64{m.Job, uint64(m.Task)}] = m
		a.run(a, s, m)
	case *wirepb.Envelope_CancelTasks:
		a.kinds["cancel"]++
		for _, r := range body.CancelTasks.Tasks {
			if m := a.held[[2]uint64{r.Job, uint64(r.Task)}]; m != nil {
				a.update(s, m, wirepb.TaskOutcome_TASK_OUTCOME_FAILED)
			}
		}
	case *wirepb.Envelope_ClaimGroup:
		a.kinds["claim"]++
		a.claim(s, body.ClaimGroup)
	case *wirepb.Envelope_ForgetJobs:
		a.kinds["forget"]++
		for _, j := range body.ForgetJobs.Jobs {
			a.forgotten[j] = true
		}
	case *wirepb.Envelope_QueryTasks:
		a.kinds["query"]++
		a.query(s, body.QueryTasks)
	}
}

// query reports what was seen as done, and the rest as not run.
func (a *fakeAgent) query(s *wire.Session, q *wirepb.QueryTasks) {
	r := &wirepb.QueryReport{Group: q.Group, Epoch: q.Epoch}
	for _, ref := range q.Tasks {
		m, outcome := a.held[[2]uint64{ref.Job, uint64(ref.Task)}], wirepb.TaskOutcome_TASK_OUTCOME_DONE
		if m == nil {
			m = &wirepb.StartTask{Job: ref.Job, Task: ref.Task, Group: q.Group, Epoch: q.Epoch, Attempt: ref.Attempt}
			outcome = wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
		}
		r.Tasks = append(r.Tasks, taskUpdate(m, outcome))
	}
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_QueryReport{QueryReport: r}})
}

// startedTasks is the number of tasks that the agent was sent.
func (a *fakeAgent) startedTasks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.started)
}

// claim reports every task seen as done.
func (a *fakeAgent) claim(s *wire.Session, c *wirepb.ClaimGroup) {
	r := &wirepb.ClaimReport{Group: c.Group, Epoch: c.Epoch}
	for _, m := range a.held {
		if m.Group == c.Group {
			r.Tasks = append(r.Tasks, taskUpdate(m, wirepb.TaskOutcome_TASK_OUTCOME_DONE))
		}
	}
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_ClaimReport{ClaimReport: r}})
}

func (a *fakeAgent) startedTwice() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, times := range a.started {
		if times > 1 {
			n++
		}
	}
	return n
}

func startEntry(t *testing.T, control controlclient.Control, name string) *Process {
	t.Helper()
	p, err := Start(context.Background(), Options{Cluster: cluster, Name: name, Control: control, Log: logr.Discard()})
	assert.NilError(t, err)
	t.Cleanup(func() { stopEntry(p) })
	return p
}

func stopEntry(p *Process) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	_ = p.Stop(ctx)
	http.DefaultClient.CloseIdleConnections()
}

// until waits for a condition that has to come true.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// connected waits until an entry has sessions to a number of agents.
func connected(t *testing.T, p *Process, agents int) {
	t.Helper()
	until(t, "agents connected", func() bool {
		s := p.Dump().(*Status)
		return s.Ready && s.Sessions == agents
	})
}

// call sends a request and decodes its answer.
func call(t *testing.T, p *Process, method, path string, body, into any) int {
	t.Helper()
	text, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequest(method, "http://"+p.HTTPAddress()+path, bytes.NewReader(text))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	if into != nil {
		assert.NilError(t, json.Unmarshal(answer, into), "%s", answer)
	}
	return response.StatusCode
}

func submission(id string, tasks int) *apijob.Submission {
	s := &apijob.Submission{SubmissionID: id, Team: "proofs", Service: "crop"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, apijob.Task{Payload: []byte{byte(i), byte(i >> 8), 'x'}})
	}
	return s
}

func wantWhole(t *testing.T, j *apijob.Job, s *apijob.Submission) {
	t.Helper()
	assert.Equal(t, j.State, apijob.Complete, "%+v", j.Failure)
	assert.Equal(t, len(j.Results), len(s.Tasks))
	for i := range s.Tasks {
		assert.DeepEqual(t, j.Results[i].Payload, s.Tasks[i].Payload)
	}
}

func newControl() *controlfake.Fake { return controlfake.New() }

// lossyControl makes accepts durable and loses their answers.
type lossyControl struct {
	controlclient.Control
	lose atomic.Bool
}

func (c *lossyControl) Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	response, err := c.Control.Accept(ctx, r)
	if c.lose.Load() {
		return nil, controlclient.ErrUnknownOutcome
	}
	return response, err
}

// swapControl replaces the loop's control.
type swapControl struct{ control controlclient.Control }

func (s swapControl) apply(l *loop) { l.control = s.control }

func shortContext(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	t.Cleanup(stop)
	return ctx
}
