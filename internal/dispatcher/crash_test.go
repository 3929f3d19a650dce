package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// TestTaskStartedAgainBesideTheReportOfItsCrash: a report holds the crash that gives a job
// up, and the end of its run, which alone would place the task again.
func TestTaskStartedAgainBesideTheReportOfItsCrash(t *testing.T) {
	l := testProcess("d").loop
	now := time.Now()
	s := new(wire.Session)
	l.sessions[s] = &session{wire: s, id: 1, link: &link{name: "r", zone: "a"}}
	capacity := &wirepb.Need{CpuMilli: 4000, MemoryMb: 100}
	room := &wirepb.Room{Service: "s", Endpoint: "i", Ready: true, Capacity: capacity, Free: capacity}
	runnerReported{s, &wirepb.RunnerReport{Room: room}}.handle(l, now)
	answer := make(chan dispatch.Answer, 1)
	jobSubmitted{&dispatch.Job{
		ID: "j", Service: "s", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
		Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
	}, answer}.handle(l, now)
	for i := range 2 {
		run := l.core.TakeOutput().Placements[0].Runs[0]
		assert.Equal(t, len(answer), 0)
		runnerReported{s, &wirepb.RunnerReport{
			Room:    room,
			Crashes: []*wirepb.MinionCrash{{Endpoint: fmt.Sprint("i", i), StartedUnixMs: 7, Runs: []*wirepb.CrashedRun{{Job: "j", Run: run.Run, Begun: true}}}},
			Ends: []*wirepb.TaskEnd{{
				Job: "j", Run: run.Run, Outcome: wirepb.RunOutcome_RUN_OUTCOME_STOPPED, Reason: runtable.ReasonLeaseExpired,
			}},
		}}.handle(l, now)
	}
	l.flush()
	assert.Equal(t, l.core.Jobs(), 0)
	a := <-answer
	assert.Equal(t, a.Result, dispatch.Failed)
	assert.Equal(t, a.Reason, dispatch.ReasonCrashes)
}
