package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	testEntry   = 5
	testSession = SessionID(1)
)

// testbed is a gate with one connected entry that owns group 5.
type testbed struct {
	t   testing.TB
	g   *Gate
	now time.Duration
}

func testLimits() Limits {
	return Limits{Slots: 1, Connections: 64, QueueTasks: 4, QueueBytes: 1 << 20, ResultBytes: 1 << 20, MaxRunTime: time.Minute}
}

func newTestbed(t testing.TB, limits Limits) *testbed {
	b := &testbed{t: t, g: New(Config{Incarnation: 9, Limits: limits})}
	b.g.SetLease(true)
	b.configure(1, testEntry)
	b.g.AddSession(b.now, testSession, testEntry)
	b.g.Demand(b.now, testSession, &wirepb.Demand{Lend: true})
	b.settle()
	return b
}

func (b *testbed) configure(epoch, owner uint64) {
	groups := map[uint64]*wirepb.Group{testEntry: {Group: testEntry, Epoch: epoch, Owner: owner}}
	b.g.Configure(b.now, b.g.revision+10, groups)
}

func (b *testbed) start(task, attempt uint32) {
	b.g.StartTask(b.now, testSession, &wirepb.StartTask{
		Job: 7, Task: task, Attempt: attempt, Group: testEntry, Epoch: 1, Incarnation: 9, Payload: []byte("p"), BudgetMs: 5000,
	})
}

// settle returns the started tasks and all task updates, including the updates
// in reports.
func (b *testbed) settle() (started []uint32, updates []*wirepb.TaskUpdate) {
	actions := b.g.Settle(b.now)
	for _, s := range actions.Starts {
		started = append(started, s.Key.Task)
	}
	for _, s := range actions.Sends {
		if u := s.Envelope.GetTaskUpdate(); u != nil {
			updates = append(updates, u)
		}
		updates = append(updates, s.Envelope.GetClaimReport().GetTasks()...)
		updates = append(updates, s.Envelope.GetQueryReport().GetTasks()...)
	}
	b.g.ClearActions()
	return started, updates
}

func (b *testbed) wantUpdate(task, attempt uint32, outcome wirepb.TaskOutcome, reason Reason) {
	if t, ok := b.t.(*testing.T); ok {
		t.Helper()
	}
	_, updates := b.settle()
	assert.Assert(b.t, len(updates) == 1, "%v", updates)
	u := updates[0]
	assert.Equal(b.t, u.Task, task)
	assert.Equal(b.t, u.Attempt, attempt)
	assert.Equal(b.t, u.Outcome, outcome)
	assert.Equal(b.t, u.Reason, reason.String())
}

func refs(task, attempt uint32) []*wirepb.TaskRef {
	return []*wirepb.TaskRef{{Job: 7, Task: task, Attempt: attempt}}
}

func (b *testbed) recall(task, attempt uint32) {
	b.g.Recall(b.now, testSession, &wirepb.RecallTasks{Group: testEntry, Epoch: 1, Tasks: refs(task, attempt)})
}

func (b *testbed) cancel(task, attempt uint32) {
	b.g.Cancel(b.now, testSession, &wirepb.CancelTasks{Group: testEntry, Epoch: 1, Tasks: refs(task, attempt)})
}

func (b *testbed) query(task, attempt uint32) {
	b.g.Query(testSession, &wirepb.QueryTasks{Group: testEntry, Epoch: 1, Tasks: refs(task, attempt)})
}

const (
	notRun  = wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
	queued  = wirepb.TaskOutcome_TASK_OUTCOME_QUEUED
	started = wirepb.TaskOutcome_TASK_OUTCOME_STARTED
	done    = wirepb.TaskOutcome_TASK_OUTCOME_DONE
	failed  = wirepb.TaskOutcome_TASK_OUTCOME_FAILED
)

// withdrawals are the messages that make a task "not run" before it arrives.
var withdrawals = map[string]struct {
	withdraw func(b *testbed, task, attempt uint32)
	reason   Reason
}{
	"recall": {(*testbed).recall, ReasonRecalled},
	"cancel": {(*testbed).cancel, ReasonCancelled},
	"query":  {(*testbed).query, ReasonUnseen},
}

func TestWithdrawnPlacementNeverStartsButALaterOneDoes(t *testing.T) {
	for name, w := range withdrawals {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, testLimits())
			w.withdraw(b, 3, 2)
			b.wantUpdate(3, 2, notRun, w.reason)
			b.start(3, 2)
			b.wantUpdate(3, 2, notRun, w.reason)
			b.start(3, 3)
			started, _ := b.settle()
			assert.DeepEqual(t, started, []uint32{3})
		})
	}
}

func TestQueuedTaskIsRecalledAndARunningOneIsNot(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.settle()
	b.start(2, 1)
	_, updates := b.settle()
	assert.Equal(t, len(updates), 0)
	assert.Equal(t, b.g.NextWake(b.now), waitReportDelay)
	b.now = waitReportDelay
	_, updates = b.settle()
	assert.Equal(t, updates[0].Outcome, queued)
	assert.Equal(t, updates[0].Load, uint32(2))
	b.now += waitReportDelay
	_, updates = b.settle()
	assert.Equal(t, len(updates), 0)
	b.recall(1, 1)
	b.wantUpdate(1, 1, started, ReasonNone)
	// The owner recalls a later placement that has not arrived. A start request
	// for that placement must not start the task either.
	b.recall(2, 4)
	b.wantUpdate(2, 4, notRun, ReasonRecalled)
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Result: []byte("r")})
	b.wantUpdate(1, 1, done, ReasonNone)
	b.start(2, 4)
	b.wantUpdate(2, 4, notRun, ReasonRecalled)
}

func TestQueueIsOrderedByKeyAndThenByArrival(t *testing.T) {
	b := newTestbed(t, testLimits())
	var order []uint32
	for task, key := range []uint64{0, 5, 9, 5, 1} {
		b.g.StartTask(b.now, testSession, &wirepb.StartTask{
			Job: 7, Task: uint32(task), Attempt: 1, Group: testEntry, Epoch: 1, Incarnation: 9, Key: key,
		})
	}
	for range 5 {
		started, _ := b.settle()
		order = append(order, started...)
		b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, order[len(order)-1]}, Result: []byte("r")})
	}
	assert.DeepEqual(t, order, []uint32{0, 4, 1, 3, 2})
}

func TestCancelStopsARunningTask(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.settle()
	b.cancel(1, 1)
	b.cancel(1, 1)
	assert.DeepEqual(t, b.g.Settle(b.now).Stops, []Key{{7, 1}})
	b.g.ClearActions()
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Kind: EndError, Reason: ReasonMinionLost})
	b.wantUpdate(1, 1, failed, ReasonCancelled)
}

func TestDeadline(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.settle()
	b.now += 500 * time.Millisecond
	b.start(2, 1)
	b.settle()
	b.now = 1500 * time.Millisecond
	b.wantUpdate(2, 1, queued, ReasonNone)
	assert.Equal(t, b.g.NextWake(b.now), 5*time.Second)
	b.now = 5 * time.Second
	assert.DeepEqual(t, b.g.Settle(b.now).Stops, []Key{{7, 1}})
	b.g.ClearActions()
	assert.Equal(t, b.g.NextWake(b.now), 5500*time.Millisecond)
	b.now = 5500 * time.Millisecond
	b.wantUpdate(2, 1, notRun, ReasonDeadline)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		reason Reason
		set    func(b *testbed)
	}{
		{ReasonDraining, func(b *testbed) { b.g.SetDraining(true) }},
		{ReasonLease, func(b *testbed) { b.g.SetLease(false) }},
		{ReasonMinionDown, func(b *testbed) { b.g.SetMinionDown(true) }},
		{ReasonUnknownService, func(b *testbed) { b.g.SetServices([]string{"crop"}) }},
		{ReasonQueueFull, func(b *testbed) { b.g.SetLimits(Limits{ResultBytes: 1, QueueBytes: 1}) }},
		{ReasonQueueFull, func(b *testbed) { b.g.SetLimits(Limits{ResultBytes: 1, QueueTasks: 1}) }},
		{ReasonResultsFull, func(b *testbed) { b.g.SetLimits(Limits{Slots: 1, Connections: 1}) }},
	}
	for _, c := range cases {
		t.Run(c.reason.String(), func(t *testing.T) {
			b := newTestbed(t, testLimits())
			c.set(b)
			b.settle()
			b.start(1, 1)
			b.wantUpdate(1, 1, notRun, c.reason)
			assert.Assert(t, b.g.SafeToLeave())
		})
	}
}

// TestQueuedTaskStartedAfterItsServiceWasTakenAway guards against a queued task that starts
// at a minion from which an operator has taken its service. What runs there goes on.
func TestQueuedTaskStartedAfterItsServiceWasTakenAway(t *testing.T) {
	b := newTestbed(t, testLimits())
	for task, service := range map[uint32]string{1: "crop", 2: "print", 3: "crop"} {
		b.g.StartTask(b.now, testSession, &wirepb.StartTask{
			Job: 7, Task: task, Attempt: 1, Group: testEntry, Epoch: 1, Incarnation: 9, Service: service, Key: uint64(task),
		})
	}
	started, _ := b.settle()
	assert.DeepEqual(t, started, []uint32{1})
	b.g.SetServices([]string{"print"})
	b.wantUpdate(3, 1, notRun, ReasonUnknownService)
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{Job: 7, Task: 1}, Kind: EndResult})
	started, _ = b.settle()
	assert.DeepEqual(t, started, []uint32{2})
}

func TestDrainRefusesQueuedTasksAndRevokesGrants(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.start(2, 1)
	b.settle()
	b.g.SetDraining(true)
	actions := b.g.Settle(b.now)
	assert.Equal(t, actions.Sends[0].Envelope.GetSlotGrant().GetSlots(), uint32(0))
	assert.Equal(t, actions.Sends[1].Envelope.GetDraining().GetIncarnation(), uint64(9))
	assert.Equal(t, actions.Sends[2].Envelope.GetTaskUpdate().GetOutcome(), notRun)
	assert.Assert(t, b.g.Busy() && !b.g.SafeToLeave())
}

func TestNewOwnerReceivesAllRecordedOutcomes(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.settle()
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Result: []byte("r"), Run: time.Millisecond})
	b.start(2, 1)
	b.start(3, 1)
	b.query(4, 1)
	b.settle()
	b.g.AddSession(b.now, 2, 6)
	b.g.Claim(b.now, 2, &wirepb.ClaimGroup{Group: testEntry, Epoch: 2})
	_, updates := b.settle()
	var outcomes []wirepb.TaskOutcome
	for _, u := range updates {
		outcomes = append(outcomes, u.Outcome)
		assert.Equal(t, u.Epoch, uint64(2))
	}
	assert.DeepEqual(t, outcomes, []wirepb.TaskOutcome{done, started, queued, notRun})
	assert.Equal(t, string(updates[0].Result), "r")
	b.start(5, 1)
	actions := b.g.Settle(b.now)
	assert.Assert(t, len(actions.Starts) == 0)
	assert.Assert(t, actions.Sends[0].Envelope.GetClaimReport().GetFenced())
}

func TestForgottenJobIsRemoved(t *testing.T) {
	forget := func(m *wirepb.ForgetJobs) func(b *testbed) {
		m.Group, m.Epoch = testEntry, 1
		return func(b *testbed) { b.g.Forget(b.now, testSession, m) }
	}
	forms := map[string]func(b *testbed){
		"by number": forget(&wirepb.ForgetJobs{Jobs: []uint64{7}}),
		"by floor":  forget(&wirepb.ForgetJobs{OpenFrom: 8}),
		"by a start": func(b *testbed) {
			b.g.StartTask(b.now, testSession, &wirepb.StartTask{Job: 7, Group: testEntry, Epoch: 1, Incarnation: 9, OpenFrom: 8})
		},
	}
	for name, forgetJob := range forms {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, testLimits())
			b.start(1, 1)
			b.start(2, 1)
			b.settle()
			forgetJob(b)
			assert.Assert(t, b.g.Busy())
			b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Result: []byte("r")})
			assert.Assert(t, b.g.SafeToLeave() && !b.g.Busy())
			b.start(3, 1)
			b.query(1, 1)
			started, updates := b.settle()
			assert.Assert(t, len(started)+len(updates) == 0)
			assert.Equal(t, len(b.g.jobs), 0)
		})
	}
}

func TestEndedGroupStartsNoTask(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.settle()
	b.g.Configure(b.now, 100, nil)
	b.start(2, 1)
	started, updates := b.settle()
	assert.Assert(t, len(started)+len(updates) == 0)
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Result: []byte("r")})
	assert.Assert(t, b.g.SafeToLeave())
}

// TestTaskReportedAsStartedMayStillNotRun asks for a task while the agent dials its
// minion, which is down.
func TestTaskReportedAsStartedMayStillNotRun(t *testing.T) {
	b := newTestbed(t, testLimits())
	b.start(1, 1)
	b.settle()
	b.query(1, 1)
	b.wantUpdate(1, 1, started, ReasonNone)
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Kind: EndUnsent, Reason: ReasonMinionDown})
	b.wantUpdate(1, 1, notRun, ReasonMinionDown)
	b.start(1, 1)
	b.wantUpdate(1, 1, notRun, ReasonMinionDown)
	b.start(1, 2)
	started, _ := b.settle()
	assert.DeepEqual(t, started, []uint32{1})
}

// TestNoStartGoesOutInThePassThatClosesTheGate closes the gate, or ends a task, after
// the task was accepted and before the gate's actions are taken.
func TestNoStartGoesOutInThePassThatClosesTheGate(t *testing.T) {
	cases := map[string]struct {
		reason Reason
		do     func(b *testbed)
	}{
		"drain":       {ReasonDraining, func(b *testbed) { b.g.SetDraining(true) }},
		"lost lease":  {ReasonLease, func(b *testbed) { b.g.SetLease(false) }},
		"minion down": {ReasonMinionDown, func(b *testbed) { b.g.SetMinionDown(true) }},
		"cancel":      {ReasonCancelled, func(b *testbed) { b.cancel(1, 1) }},
		"recall":      {ReasonRecalled, func(b *testbed) { b.recall(1, 1) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, testLimits())
			b.start(1, 1)
			c.do(b)
			actions := b.g.Settle(b.now)
			assert.Equal(t, len(actions.Starts), 0)
			b.wantUpdate(1, 1, notRun, c.reason)
			assert.Assert(t, b.g.SafeToLeave())
		})
	}
}

// TestWhatIsBeingStoppedHoldsItsSlot shrinks and grows the slots while two tasks are
// being stopped.
func TestWhatIsBeingStoppedHoldsItsSlot(t *testing.T) {
	limits := testLimits()
	limits.Slots = 2
	b := newTestbed(t, limits)
	b.start(1, 1)
	b.start(2, 1)
	b.settle()
	b.cancel(1, 1)
	b.cancel(2, 1)
	b.start(3, 1)
	b.start(4, 1)
	for _, slots := range []int{2, 1, 2} {
		limits.Slots = slots
		b.g.SetLimits(limits)
		started, _ := b.settle()
		assert.Equal(t, len(started), 0, "with %d slots", slots)
	}
	limits.Slots = 1
	b.g.SetLimits(limits)
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Kind: EndError, Reason: ReasonMinionLost})
	started, _ := b.settle()
	assert.Equal(t, len(started), 0)
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 2}, Kind: EndError, Reason: ReasonMinionLost})
	started, _ = b.settle()
	assert.DeepEqual(t, started, []uint32{3})
}

// TestErrorDetailsOfRefusedRequestsFilledTheAgent places a task again and again while the
// minion is down, which gives an error detail each time.
func TestErrorDetailsOfRefusedRequestsFilledTheAgent(t *testing.T) {
	limits := testLimits()
	limits.ResultBytes = 100 // room for some details
	b := newTestbed(t, limits)
	for attempt := range uint32(20) {
		b.start(1, attempt+1)
		started, _ := b.settle()
		assert.DeepEqual(t, started, []uint32{1})
		b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}, Kind: EndUnsent, Reason: ReasonMinionDown, Detail: "connection refused"})
		b.wantUpdate(1, attempt+1, notRun, ReasonMinionDown)
	}
	b.start(1, 21)
	b.settle()
	b.g.HandleRequestEnd(b.now, RequestEnd{Key: Key{7, 1}})
	_, updates := b.settle()
	assert.Equal(t, updates[0].Outcome, done)
	assert.Equal(t, updates[0].Detail, "", "a detail of an earlier placement")
}
