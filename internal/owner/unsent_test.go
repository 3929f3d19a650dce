package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// placementLog records the tasks that an Owner hands to placement again, and the
// answers of its jobs.
type placementLog struct {
	noEffects
	placed  []uint32
	again   []uint32
	answers []*wirepb.JobAnswer
}

func (p *placementLog) Place(r PlacementRequest)             { p.placed = append(p.placed, r.Tasks...) }
func (p *placementLog) PlaceAgain(_ uint64, task uint32)     { p.again = append(p.again, task) }
func (p *placementLog) Answer(_ uint64, a *wirepb.JobAnswer) { p.answers = append(p.answers, a) }

const (
	testJob   = 10
	testAgent = 2
)

var testStart = time.Unix(1000, 0)

// newOwnerWithTask returns an owner of a job with one task, which is placed at
// testAgent.
func newOwnerWithTask(t *testing.T) (*Owner, *placementLog) {
	log := &placementLog{}
	o := New(Config{Incarnation: 1, ResolveGrace: time.Second}, log)
	o.AgentConnected(testAgent)
	o.Accept(testRecord(), testStart.Add(time.Minute))
	assert.Assert(t, o.AssignTask(testJob, 0, testAgent, 0, testStart))
	return o, log
}

func testRecord() *wirepb.JobRecord {
	spec := &wirepb.JobSpec{Tasks: []*wirepb.Task{{}}}
	return &wirepb.JobRecord{Job: testJob, Group: 1, Spec: spec}
}

func testUpdate(attempt uint32, outcome wirepb.TaskOutcome) *wirepb.TaskUpdate {
	return &wirepb.TaskUpdate{Job: testJob, Group: 1, Epoch: 1, Attempt: attempt, Outcome: outcome}
}

// TestTaskReportedAsRunningWhoseRequestWasNeverSentWaitedForItsDeadline loses a
// session while the agent dials its minion, which has crashed. The agent reports the
// task as started when it is asked, and as not run when the dial has failed.
func TestTaskReportedAsRunningWhoseRequestWasNeverSentWaitedForItsDeadline(t *testing.T) {
	o, log := newOwnerWithTask(t)
	o.AgentDisconnected(testAgent)
	o.AgentConnected(testAgent)
	o.HandleTaskUpdate(testAgent, testUpdate(1, started), testStart)
	o.HandleTaskUpdate(testAgent, testUpdate(1, notRun), testStart)
	assert.DeepEqual(t, log.again, []uint32{0})
	assert.Assert(t, o.AssignTask(testJob, 0, testAgent, 0, testStart))

	// Copies of the reports on the first placement do not free the task again.
	o.HandleTaskUpdate(testAgent, testUpdate(1, notRun), testStart)
	assert.DeepEqual(t, log.again, []uint32{0})
	o.HandleTaskUpdate(testAgent, testUpdate(2, done), testStart)
	assert.Equal(t, len(log.answers), 1)
	assert.Assert(t, log.answers[0].Complete)
}

// TestJobWhoseTaskWasNeverSentAfterAllWasKeptInMemory lets the job end before the
// agent says that the task did not run after all.
func TestJobWhoseTaskWasNeverSentAfterAllWasKeptInMemory(t *testing.T) {
	o, log := newOwnerWithTask(t)
	o.HandleTaskUpdate(testAgent, testUpdate(1, started), testStart)
	o.Cancel(testJob, testStart)
	assert.Equal(t, len(log.answers), 1)
	assert.Assert(t, !log.answers[0].NotRun, "a task that was reported as started")
	o.CompletionsRecorded([]uint64{testJob})
	o.HandleTaskUpdate(testAgent, testUpdate(1, notRun), testStart)
	assert.Equal(t, o.JobCount(), 0)
}

// TestTaskSeenRunningInATakeoverIsPlacedAgainIfItWasNeverSent lets the agent's dial
// fail after it has answered the claim, before and after the claim is settled.
func TestTaskSeenRunningInATakeoverIsPlacedAgainIfItWasNeverSent(t *testing.T) {
	for _, settledFirst := range []bool{false, true} {
		log := &placementLog{}
		o := New(Config{Incarnation: 5, ResolveGrace: time.Second}, log)
		o.AgentConnected(testAgent)
		o.AgentConnected(testAgent + 1)
		o.ClaimGroup(1, 2)
		o.AddInheritedJobs(1, 2, []InheritedJob{{Record: testRecord(), Deadline: testStart.Add(time.Minute)}}, true, testStart)
		running := testUpdate(1, started)
		running.Epoch = 2
		o.HandleClaimReport(testAgent, &wirepb.ClaimReport{Group: 1, Epoch: 2, Tasks: []*wirepb.TaskUpdate{running}}, testStart)
		unsent := testUpdate(1, notRun)
		unsent.Epoch = 2
		settle := func() { o.HandleClaimReport(testAgent+1, &wirepb.ClaimReport{Group: 1, Epoch: 2}, testStart) }
		if settledFirst {
			settle()
		}
		o.HandleTaskUpdate(testAgent, unsent, testStart)
		assert.Equal(t, len(log.placed) > 0, false, "placed before the claim was settled")
		if !settledFirst {
			settle()
		}
		assert.Equal(t, len(log.placed)+len(log.again), 1, "settled first: %v", settledFirst)
	}
}
