package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

var begin = time.Unix(1000, 0)

func ms(n int) time.Time { return begin.Add(time.Duration(n) * time.Millisecond) }

// minionStatus returns the report of a minion with 10 cores.
func minionStatus(endpoint string, free int64, labels ...string) RunnerStatus {
	return RunnerStatus{
		Name: endpoint, Service: "s", Zone: "z", Endpoint: endpoint, Labels: labels,
		Capacity: Need{CPU: 10_000, Memory: 1000}, Free: Need{CPU: free, Memory: 1000}, Ready: true,
	}
}

// fleet returns a dispatcher with two empty minions.
func fleet() *Dispatcher {
	d := New("z")
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 10_000, "a"))
	d.UpdateRunner(ms(0), 2, minionStatus("m2", 10_000, "b"))
	return d
}

func testJob(steps ...Step) *Job {
	j := &Job{ID: "job", Queue: "q", Service: "s", MaxAttempts: 2, Steps: steps, Arrived: ms(0), Deadline: ms(10_000)}
	j.SetObjective(2, time.Second)
	return j
}

func step(count int, cpu int64) Step {
	return Step{Count: count, Need: Need{CPU: cpu, Memory: 1}, Estimate: 100 * time.Millisecond}
}

// tasksPerRunner returns the number of placed tasks by runner.
func tasksPerRunner(out Output) map[RunnerID]int {
	at := map[RunnerID]int{}
	for _, p := range out.Placements {
		at[p.Runner] += len(p.Runs)
	}
	return at
}

// runEnd returns the end of the first run of a placement.
func runEnd(out Output, i int, outcome runtable.Outcome, reason string) (RunnerID, TaskEnd) {
	p := out.Placements[i]
	return p.Runner, TaskEnd{RunID: p.Runs[0], Outcome: outcome, Reason: reason}
}

func TestJobsThatNoMinionCanRun(t *testing.T) {
	cases := []struct {
		name, service string
		step          Step
		reason        string
	}{
		{"unknown service", "nobody", step(1, 1), ReasonNoMinion},
		{"too large", "s", step(1, 10_001), ReasonTooLarge},
		{"no such label", "s", Step{Count: 1, Label: "x"}, ReasonTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := fleet()
			j := testJob(c.step)
			j.Service = c.service
			d.Submit(ms(0), j)
			out := d.TakeOutput()
			assert.Equal(t, out.Answers[0].Result, Refused)
			assert.Equal(t, out.Answers[0].Reason, c.reason)
			assert.Assert(t, out.Answers[0].RetryAfter >= time.Second)
			assert.Equal(t, len(out.Placements), 0)
		})
	}
}

func TestTasksRespectLabelAndSpread(t *testing.T) {
	d := fleet()
	labelled := step(3, 1000)
	labelled.Label = "b"
	d.Submit(ms(0), testJob(labelled))
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{2: 3})

	d = fleet()
	spread := step(6, 1000)
	spread.MaxPerMinion = 2
	d.Submit(ms(0), testJob(spread))
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 2, 2: 2})
}

func TestDrainingMinionGetsNothing(t *testing.T) {
	d := fleet()
	leaving := minionStatus("m1", 10_000)
	leaving.Ready = false
	d.UpdateRunner(ms(1), 1, leaving)
	d.Submit(ms(2), testJob(step(4, 1000)))
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{2: 4})
}

// TestStepsInOrder: a step starts when all tasks of the steps that it comes
// after are done.
func TestStepsInOrder(t *testing.T) {
	d := fleet()
	second := step(1, 1000)
	second.After = []int{0}
	d.Submit(ms(0), testJob(step(2, 6000), second))
	out := d.TakeOutput()
	assert.DeepEqual(t, tasksPerRunner(out), map[RunnerID]int{1: 1, 2: 1})
	id, end := runEnd(out, 0, runtable.Done, "")
	d.RunEnded(ms(100), id, end)
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	id, end = runEnd(out, 1, runtable.Done, "")
	d.RunEnded(ms(110), id, end)
	out = d.TakeOutput()
	assert.Equal(t, out.Placements[0].Step, 1)
	id, end = runEnd(out, 0, runtable.Done, "")
	d.RunEnded(ms(200), id, end)
	assert.Equal(t, d.TakeOutput().Answers[0].Result, Completed)
}

// TestAttemptsAreCounted: a task that failed is retried on another minion, and
// its job fails when the attempts are used up. Runs that never ran don't count.
func TestAttemptsAreCounted(t *testing.T) {
	d := fleet()
	d.Submit(ms(0), testJob(step(1, 1000)))
	out := d.TakeOutput()
	first := out.Placements[0].Runner
	id, end := runEnd(out, 0, runtable.NotRun, runtable.ReasonNoCapacity)
	d.RunEnded(ms(5), id, end)
	out = d.TakeOutput()
	id, end = runEnd(out, 0, runtable.Failed, runtable.ReasonFailed)
	d.RunEnded(ms(50), id, end)
	out = d.TakeOutput()
	assert.Assert(t, out.Placements[0].Runner != id, "first %d", first)
	assert.Equal(t, out.Placements[0].Runs[0].Run, uint32(3))
	id, end = runEnd(out, 0, runtable.Failed, runtable.ReasonFailed)
	d.RunEnded(ms(90), id, end)
	answer := d.TakeOutput().Answers[0]
	assert.Equal(t, answer.Result, Failed)
	assert.Equal(t, answer.Reason, ReasonAttempts)
}

// TestRunsOfALostRunnerAreRequeuedAfterATimeout: runs may still be active until
// the runner has noticed the silence or the lease has ended.
func TestRunsOfALostRunnerAreRequeuedAfterATimeout(t *testing.T) {
	d := fleet()
	d.Submit(ms(0), testJob(step(1, 1000)))
	out := d.TakeOutput()
	d.RunnerLost(ms(100), out.Placements[0].Runner)
	d.Tick(ms(1000))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.Tick(ms(100).Add(LostRunTimeout))
	out = d.TakeOutput()
	assert.Equal(t, len(out.Placements), 1)
	assert.Equal(t, out.Placements[0].Runs[0].Run, uint32(2))
}

// TestNoRefusalAfterAPossibleStart: a job of which a run may have started is
// not refused.
func TestNoRefusalAfterAPossibleStart(t *testing.T) {
	d := fleet()
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 0))
	d.UpdateRunner(ms(0), 2, minionStatus("m2", 0))
	d.Submit(ms(0), testJob(step(1, 1000)))
	d.Tick(ms(5000))
	assert.Equal(t, d.TakeOutput().Answers[0].Result, Refused)

	d = fleet()
	d.Submit(ms(0), testJob(step(1, 1000)))
	d.TakeOutput()
	d.Tick(ms(9000))
	assert.Equal(t, len(d.TakeOutput().Answers), 0)
	d.Tick(ms(10_001))
	out := d.TakeOutput()
	assert.Equal(t, out.Answers[0].Result, GivenUp)
	assert.Equal(t, len(out.Stops), 1)
}

func TestCancelAndStall(t *testing.T) {
	d := fleet()
	d.Submit(ms(0), testJob(step(2, 6000)))
	d.TakeOutput()
	d.Cancel(ms(10), "job")
	out := d.TakeOutput()
	assert.Equal(t, len(out.Stops), 2)
	assert.Equal(t, out.Answers[0].Reason, ReasonCallerLeft)
	d.Submit(ms(20), testJob(step(1, 1000)))
	d.TakeOutput()
	d.AbortAll(ms(3000))
	assert.Equal(t, d.TakeOutput().Answers[0].Reason, ReasonStalled)
	assert.Equal(t, d.Jobs(), 0)
}

// TestOutdatedReport: tasks that a report does not account for yet reduce the
// free capacity.
func TestOutdatedReport(t *testing.T) {
	d := New("z")
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 2000))
	first, second := testJob(step(2, 1000)), testJob(step(1, 1000))
	first.Priority, second.Priority, second.ID = 1, 1, "second"
	d.Submit(ms(0), first)
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 2})
	d.Submit(ms(0), second)
	old := minionStatus("m1", 2000) // sent before the tasks arrived
	d.UpdateRunner(ms(1), 1, old)
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	updated := minionStatus("m1", 1000)
	updated.Placed = 2
	d.UpdateRunner(ms(2), 1, updated)
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 1})
}

// TestUrgentTaskWaitsAtFullRunner: where nothing is free, one task of the most
// urgent jobs waits at each runner, and none at a suspect one. Less urgent jobs
// wait at the dispatcher until they have begun.
func TestUrgentTaskWaitsAtFullRunner(t *testing.T) {
	d := fleet()
	for id, free := range map[RunnerID]int64{1: 0, 2: 300, 3: 500} {
		status := minionStatus(fmt.Sprint("m", id), free)
		status.Capacity.CPU = 10_000
		if id == 3 {
			status.FailureRate = 0.9
		}
		d.UpdateRunner(ms(0), id, status)
	}
	low := testJob(step(1, 1000))
	low.ID, low.Priority = "low", 1
	d.Submit(ms(0), low)
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	urgent := testJob(step(1, 1000))
	d.Submit(ms(0), urgent)
	out := d.TakeOutput()
	assert.DeepEqual(t, tasksPerRunner(out), map[RunnerID]int{2: 1})
	assert.Equal(t, out.Placements[0].Wait > minRunnerWait, true)
	wide := testJob(step(4, 1000))
	wide.ID = "wide"
	d.Submit(ms(1), wide)
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 1})
	assert.Equal(t, d.WaitingJobs(), 2)
}

// TestSuspectMinionGetsProbes: a minion that fails most tasks gets one task at
// a time.
func TestSuspectMinionGetsProbes(t *testing.T) {
	d := New("z")
	failing := minionStatus("m1", 10_000)
	failing.FailureRate = 0.9
	d.UpdateRunner(ms(0), 1, failing)
	d.Submit(ms(0), testJob(step(3, 1000)))
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 1})
	d.UpdateRunner(ms(100), 1, failing)
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
}

// TestNeedsOfEveryKindArePlaced: jobs below the first priority wait until all
// their tasks fit. Tasks may need memory alone, or nothing.
func TestNeedsOfEveryKindArePlaced(t *testing.T) {
	for _, need := range []Need{{}, {Memory: 400}, {CPU: 4000}, {CPU: 4000, Memory: 1}} {
		d := fleet()
		j := testJob(Step{Count: 4, Need: need, Estimate: 100 * time.Millisecond})
		j.Priority = 1
		d.Submit(ms(0), j)
		total := 0
		for _, n := range tasksPerRunner(d.TakeOutput()) {
			total += n
		}
		assert.Equal(t, total, 4, "%+v", need)
	}
	d := fleet()
	j := testJob(step(5, 4000))
	j.Priority = 1
	d.Submit(ms(0), j)
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
}

// TestEventsShareOnePlacement: many jobs wait while reports arrive one
// after the other. Only the next TakeOutput places tasks.
func TestEventsShareOnePlacement(t *testing.T) {
	d := New("z")
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 0))
	for i := range 100 {
		j := testJob(step(1, 1000))
		j.ID, j.Priority = fmt.Sprintf("job-%03d", i), 1
		d.Submit(ms(0), j)
	}
	for i := range 10 {
		d.UpdateRunner(ms(1), 1, minionStatus("m1", int64(1000*i)))
		assert.Equal(t, len(d.out.Placements), 0)
	}
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 9})
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
}

// TestFreeCapacityIsPerService: free capacity is computed for each
// service.
func TestFreeCapacityIsPerService(t *testing.T) {
	d := fleet()
	other := minionStatus("m3", 500)
	other.Service = "other"
	d.UpdateRunner(ms(0), 3, other)
	for _, service := range []string{"other", "s", "other"} {
		j := testJob(step(1, 1000))
		j.Service, j.ID, j.Priority = service, fmt.Sprint(service, len(d.jobs)), 1
		d.Submit(ms(0), j)
	}
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 1})
}

// TestRetiredRunnerGetsNoTasks: a retired runner finishes its tasks and gets no
// new ones.
func TestRetiredRunnerGetsNoTasks(t *testing.T) {
	d := fleet()
	d.Submit(ms(0), testJob(step(2, 4000)))
	out := d.TakeOutput()
	gone, end := runEnd(out, 0, runtable.Done, "")
	d.Retire(gone, true)
	outstanding := d.Outstanding(gone)
	assert.Assert(t, outstanding > 0)
	next := testJob(step(2, 4000))
	next.ID = "next"
	d.Submit(ms(1), next)
	assert.Equal(t, tasksPerRunner(d.TakeOutput())[gone], 0)
	d.RunEnded(ms(2), gone, end)
	assert.Equal(t, d.Outstanding(gone), outstanding-1)
	d.Retire(gone, false)
	free, capacity := d.CPUCapacity()
	assert.Assert(t, free > 0 && capacity == 20_000)
}

// TestJobsDelayedByTheStartAreServed: jobs that waited for the process to start
// may be past the start deadline, counted from their arrival, or past their
// objective. They are served if capacity is free.
func TestJobsDelayedByTheStartAreServed(t *testing.T) {
	d := fleet()
	late := testJob(step(1, 4000))
	late.Objective = ms(150)
	d.Submit(ms(500), late)
	d.Tick(ms(501))
	out := d.TakeOutput()
	assert.Equal(t, len(out.Answers), 0)
	assert.Equal(t, len(out.Placements), 1)
	d.RunEnded(ms(600), out.Placements[0].Runner, TaskEnd{RunID: out.Placements[0].Runs[0], Outcome: runtable.Done})
	assert.Equal(t, d.TakeOutput().Answers[0].Result, Completed)
}

// TestJobThatWasSentElsewhereIsGivenUp: a dispatcher whose caller had sent the job
// to another one went on placing its tasks, beside those of the other.
func TestJobThatWasSentElsewhereIsGivenUp(t *testing.T) {
	for _, outcome := range []runtable.Outcome{runtable.Stopped, runtable.NotRun} {
		d := fleet()
		d.Submit(ms(0), testJob(step(2, 6000)))
		out := d.TakeOutput()
		id, end := runEnd(out, 0, outcome, runtable.ReasonResubmitted)
		d.RunEnded(ms(50), id, end)
		after := d.TakeOutput()
		assert.Equal(t, len(after.Placements), 0)
		assert.Equal(t, after.Answers[0].Result, GivenUp)
		assert.Equal(t, after.Answers[0].Reason, ReasonElsewhere)
		assert.DeepEqual(t, after.Stops, []Stop{{Runner: out.Placements[1].Runner, Job: "job"}})
		assert.Equal(t, d.Jobs(), 0)
	}
}
