package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/wire"
)

// TestNoReportEndsTheProcess: the dispatcher survives any report of a runner,
// such as ends of unknown runs and inconsistent capacities.
func TestNoReportEndsTheProcess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := testProcess("d").loop
		now := time.Now()
		s := new(wire.Session)
		l.sessions[s] = &session{wire: s, id: 1, link: &link{name: "r", zone: "a"}}
		answers := make(chan dispatch.Answer, 8)
		for i := range rapid.IntRange(1, 12).Draw(rt, "events") {
			if i%4 == 1 {
				jobSubmitted{drawJob(rt, now), answers}.handle(l, now)
			}
			runnerReported{s, drawReport(rt)}.handle(l, now)
			l.flush()
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond)
			l.core.Tick(now)
			l.flush()
		}
		assert.Assert(rt, l.core.Jobs() >= 0)
	})
}

func drawJob(t *rapid.T, now time.Time) *dispatch.Job {
	return &dispatch.Job{
		ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), Service: "s", Arrived: now, MaxAttempts: 2,
		Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second),
		Steps: []dispatch.Step{{
			Count: rapid.IntRange(1, 5).Draw(t, "count"), Need: dispatch.Need{CPU: 1000}, Estimate: 50 * time.Millisecond,
		}},
	}
}

func drawReport(t *rapid.T) *wirepb.RunnerReport {
	number := rapid.SampledFrom([]uint32{0, 1, 2, 3000, 1<<32 - 1})
	r := &wirepb.RunnerReport{}
	if rapid.Bool().Draw(t, "room") {
		r.Room = &wirepb.Room{
			Service: "s", Endpoint: "i", Ready: rapid.Bool().Draw(t, "ready"), Placed: uint64(number.Draw(t, "placed")),
			Free: &wirepb.Need{CpuMilli: number.Draw(t, "free")}, Capacity: &wirepb.Need{CpuMilli: 4000},
			PaceMilli: number.Draw(t, "pace"), SuspicionMilli: number.Draw(t, "suspicion"),
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "crashes") {
		c := &wirepb.MinionCrash{Endpoint: "i", StartedUnixMs: int64(number.Draw(t, "born"))}
		for range rapid.IntRange(0, 3).Draw(t, "crashed") {
			c.Runs = append(c.Runs, &wirepb.CrashedRun{
				Job: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "job"), Step: number.Draw(t, "step"), Index: number.Draw(t, "index"),
			})
		}
		r.Crashes = append(r.Crashes, c)
	}
	for range rapid.IntRange(0, 3).Draw(t, "ends") {
		r.Ends = append(r.Ends, &wirepb.TaskEnd{
			Job: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "job"), Step: number.Draw(t, "step"), Index: number.Draw(t, "index"),
			Run: number.Draw(t, "run"), Outcome: wirepb.RunOutcome(rapid.IntRange(-1, 6).Draw(t, "outcome")),
		})
	}
	return r
}
