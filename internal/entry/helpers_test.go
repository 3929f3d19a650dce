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
	// waitTimeout is the time limit of waitUntil. Most waits end at once.
	waitTimeout = 20 * time.Second
)

// fakeAgent is a registered agent that handles tasks with its run function.
type fakeAgent struct {
	t        *testing.T
	listener *wire.Listener
	follower *controlclient.Follower
	run      taskRunner

	mu            sync.Mutex
	session       *wire.Session
	startCounts   map[[2]uint64]int
	received      map[[2]uint64]*wirepb.StartTask
	forgotten     map[uint64]bool
	messageCounts map[string]int
}

// taskRunner handles a task that a fake agent receives.
type taskRunner func(*fakeAgent, *wire.Session, *wirepb.StartTask)

// startAgentAndEntry starts an agent and an entry that has a session with it.
func startAgentAndEntry(t *testing.T, run taskRunner) (*controlfake.Fake, *fakeAgent, *Process) {
	t.Helper()
	control := newControl()
	a, p := startAgent(t, control, "a", run), startEntry(t, control, "e1")
	waitConnected(t, p, 1)
	return control, a, p
}

// startAgentAndTwoEntries is like startAgentAndEntry with a second entry.
func startAgentAndTwoEntries(t *testing.T, run taskRunner) (control *controlfake.Fake, a *fakeAgent, first, second *Process) {
	t.Helper()
	control, a, first = startAgentAndEntry(t, run)
	second = startEntry(t, control, "e2")
	waitConnected(t, second, 1)
	return control, a, first, second
}

func startAgent(t *testing.T, control controlclient.Control, name string, run taskRunner) *fakeAgent {
	a := &fakeAgent{
		t: t, run: run, startCounts: map[[2]uint64]int{}, received: map[[2]uint64]*wirepb.StartTask{},
		forgotten: map[uint64]bool{}, messageCounts: map[string]int{},
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
	t.Cleanup(a.crash)
	return a
}

// crash ends the agent without a message to any other process.
func (a *fakeAgent) crash() {
	a.follower.Close()
	a.listener.Close()
}

// echoTask completes the task at once with its payload as the result.
func echoTask(a *fakeAgent, s *wire.Session, m *wirepb.StartTask) {
	a.sendUpdate(s, m, wirepb.TaskOutcome_TASK_OUTCOME_DONE)
}

// holdTask reports the task as started and never ends it.
func holdTask(a *fakeAgent, s *wire.Session, m *wirepb.StartTask) {
	a.sendUpdate(s, m, wirepb.TaskOutcome_TASK_OUTCOME_STARTED)
}

func (a *fakeAgent) sendUpdate(s *wire.Session, m *wirepb.StartTask, o wirepb.TaskOutcome) {
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
		a.messageCounts["demand"]++
		_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_SlotGrant{SlotGrant: &wirepb.SlotGrant{Slots: 8, Sequence: 1}}})
	case *wirepb.Envelope_StartTask:
		a.messageCounts["start"]++
		m := body.StartTask
		a.startCounts[[2]uint64{m.Job, uint64(m.Task)}]++
		a.received[[2]uint64{m.Job, uint64(m.Task)}] = m
		a.run(a, s, m)
	case *wirepb.Envelope_CancelTasks:
		a.messageCounts["cancel"]++
		for _, r := range body.CancelTasks.Tasks {
			if m := a.received[[2]uint64{r.Job, uint64(r.Task)}]; m != nil {
				a.sendUpdate(s, m, wirepb.TaskOutcome_TASK_OUTCOME_FAILED)
			}
		}
	case *wirepb.Envelope_ClaimGroup:
		a.messageCounts["claim"]++
		a.handleClaim(s, body.ClaimGroup)
	case *wirepb.Envelope_ForgetJobs:
		a.messageCounts["forget"]++
		for _, j := range body.ForgetJobs.Jobs {
			a.forgotten[j] = true
		}
	case *wirepb.Envelope_QueryTasks:
		a.messageCounts["query"]++
		a.handleQuery(s, body.QueryTasks)
	}
}

// handleQuery reports received tasks as done and all others as not run.
func (a *fakeAgent) handleQuery(s *wire.Session, q *wirepb.QueryTasks) {
	r := &wirepb.QueryReport{Group: q.Group, Epoch: q.Epoch}
	for _, ref := range q.Tasks {
		m, outcome := a.received[[2]uint64{ref.Job, uint64(ref.Task)}], wirepb.TaskOutcome_TASK_OUTCOME_DONE
		if m == nil {
			m = &wirepb.StartTask{Job: ref.Job, Task: ref.Task, Group: q.Group, Epoch: q.Epoch, Attempt: ref.Attempt}
			outcome = wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
		}
		r.Tasks = append(r.Tasks, taskUpdate(m, outcome))
	}
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_QueryReport{QueryReport: r}})
}

// countStarted returns the number of tasks that the agent has received.
func (a *fakeAgent) countStarted() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.startCounts)
}

// handleClaim reports every received task of the group as done.
func (a *fakeAgent) handleClaim(s *wire.Session, c *wirepb.ClaimGroup) {
	r := &wirepb.ClaimReport{Group: c.Group, Epoch: c.Epoch}
	for _, m := range a.received {
		if m.Group == c.Group {
			r.Tasks = append(r.Tasks, taskUpdate(m, wirepb.TaskOutcome_TASK_OUTCOME_DONE))
		}
	}
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_ClaimReport{ClaimReport: r}})
}

func (a *fakeAgent) countRestarted() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, times := range a.startCounts {
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

// waitUntil waits for a condition and fails the test if it doesn't become true.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// waitConnected waits until an entry is ready and has sessions to the given number
// of agents.
func waitConnected(t *testing.T, p *Process, agents int) {
	t.Helper()
	waitUntil(t, "the agents are connected", func() bool {
		s := p.Dump().(*Status)
		return s.Ready && s.Sessions == agents
	})
}

// call sends a request to an entry and decodes the response. It returns the status.
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

func newSubmission(id string, tasks int) *apijob.Submission {
	s := &apijob.Submission{SubmissionID: id, Team: "proofs", Service: "crop"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, apijob.Task{Payload: []byte{byte(i), byte(i >> 8), 'x'}})
	}
	return s
}

func assertComplete(t *testing.T, j *apijob.Job, s *apijob.Submission) {
	t.Helper()
	assert.Equal(t, j.State, apijob.Complete, "%+v", j.Failure)
	assert.Equal(t, len(j.Results), len(s.Tasks))
	for i := range s.Tasks {
		assert.DeepEqual(t, j.Results[i].Payload, s.Tasks[i].Payload)
	}
}

func newControl() *controlfake.Fake { return controlfake.New() }

// lossyControl passes accept requests to control but loses the responses while
// loseReplies is set.
type lossyControl struct {
	controlclient.Control
	loseReplies atomic.Bool
}

func (c *lossyControl) Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	response, err := c.Control.Accept(ctx, r)
	if c.loseReplies.Load() {
		return nil, controlclient.ErrUnknownOutcome
	}
	return response, err
}

// controlClientReplaced is an event that replaces the loop's control client.
type controlClientReplaced struct{ control controlclient.Control }

func (e controlClientReplaced) handle(l *loop) { l.control = e.control }

func shortContext(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	t.Cleanup(stop)
	return ctx
}

// delayedControl holds accept requests back until release is closed, like a slow link
// to control.
type delayedControl struct {
	controlclient.Control
	release chan struct{}
}

func (c *delayedControl) Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	select {
	case <-c.release:
	case <-ctx.Done():
		return nil, controlclient.ErrUnknownOutcome
	}
	return c.Control.Accept(ctx, r)
}
