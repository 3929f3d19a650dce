package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// TestLastCrashUnderAnEndingJobWasLost: the crash with which a task must be given up under a task is reported after the end of
// its run, while another run of the job, which its caller gave up, is still at work. The job is
// sent again and must not be started any more.
func TestLastCrashUnderAnEndingJobWasLost(t *testing.T) {
	d := largeFleet(6)
	d.Submit(ms(0), namedJob("deadly", 2))
	out := d.TakeOutput()
	var first, other runtable.RunID
	var firstAt, otherAt RunnerID
	for _, p := range out.Placements {
		for _, r := range p.Runs {
			if r.Index == 0 {
				first, firstAt = r, p.Runner
			} else {
				other, otherAt = r, p.Runner
			}
		}
	}
	// Crashes beside another suspect that was started later, under earlier submissions.
	for born := range int64(maxCrashes - 1) {
		d.MinionCrashed(ms(1), Crash{Endpoint: "m9", StartedUnixMs: born, Runs: []runtable.RunID{first, runOf("x", 0, 1)}})
	}
	assert.Assert(t, !d.crashes.givenUp("deadly"))
	d.Cancel(ms(10), "deadly")
	// The minion is silent: the lease ends the run first, the crash is known when it is back.
	d.RunEnded(ms(900), firstAt, TaskEnd{RunID: first, Outcome: runtable.Stopped, Reason: runtable.ReasonLeaseExpired})
	d.MinionCrashed(ms(901), Crash{Endpoint: fmt.Sprint("m", firstAt), StartedUnixMs: 7, Runs: []runtable.RunID{first}})
	assert.Check(t, d.crashes.givenUp("deadly"), "after the last crash")
	d.RunEnded(ms(950), otherAt, TaskEnd{RunID: other, Outcome: runtable.Stopped, Reason: runtable.ReasonStopped})
	d.TakeOutput()
	starts := 0
	for born := int64(10); born < 20; born++ {
		d.Submit(ms(int(1000+born)), namedJob("deadly", 2))
		out := d.TakeOutput()
		if len(out.Placements) == 0 {
			break
		}
		for _, p := range out.Placements {
			for _, r := range p.Runs {
				if r.Index == 0 {
					starts++
					d.MinionCrashed(ms(int(1000+born)), Crash{Endpoint: "m", StartedUnixMs: born, Runs: []runtable.RunID{r}})
				}
			}
		}
		d.Cancel(ms(int(1000+born)), "deadly")
		for _, p := range out.Placements {
			for _, r := range p.Runs {
				d.RunEnded(ms(int(1000+born)), p.Runner, TaskEnd{RunID: r, Outcome: runtable.Stopped})
			}
		}
		d.TakeOutput()
	}
	assert.Equal(t, starts, 0, "starts after the last crash")
}

// BenchmarkPlaceSuspects measures one report of a runner with waiting suspects.
func BenchmarkPlaceSuspects(b *testing.B) {
	for _, c := range [][2]int{{62, 40}, {62, 100}, {62, 200}, {300, 200}, {300, 400}, {300, 600}, {300, 1000}} {
		runners, n := c[0], c[1]
		b.Run(fmt.Sprint(runners, "_runners_", n, "_suspect_jobs"), func(b *testing.B) { benchmarkSuspects(b, runners, n, 0) })
	}
}

func benchmarkSuspects(b *testing.B, runners, suspects, others int) {
	d := New("z")
	for id := range runners {
		d.UpdateRunner(ms(0), RunnerID(id+1), minionStatus(fmt.Sprint("m", id), 10_000))
	}
	submit := func(id string, tasks int) {
		j := testJob(step(tasks, 1000))
		j.ID, j.Objective, j.Deadline = id, ms(0).Add(time.Hour), ms(0).Add(time.Hour)
		d.Submit(ms(0), j)
	}
	var runs []runtable.RunID
	for i := range suspects {
		for k := range 3 {
			runs = append(runs, runOf(fmt.Sprint("s", i), uint32(k), 1))
		}
	}
	d.MinionCrashed(ms(0), Crash{Endpoint: "gone", StartedUnixMs: 1, Runs: runs})
	for i := range suspects {
		submit(fmt.Sprint("s", i), 3)
	}
	for i := range others {
		submit(fmt.Sprint("job", i), 1)
	}
	d.TakeOutput()
	b.ReportMetric(float64(d.WaitingJobs()), "waiting")
	b.ResetTimer()
	for i := range b.N {
		id := RunnerID(i%runners + 1)
		status := minionStatus(fmt.Sprint("m", id-1), d.runners[id].Free.CPU)
		status.Placed = d.runners[id].sent
		d.UpdateRunner(ms(0), id, status)
		d.TakeOutput()
	}
}

// BenchmarkPlaceBesideCrashes measures one report with 3000 running and one waiting job, with and
// without a remembered crash of some other job.
func BenchmarkPlaceBesideCrashes(b *testing.B) {
	for _, crashes := range []int{0, 1, 2000} {
		b.Run(fmt.Sprint(crashes, "_crashed_jobs"), func(b *testing.B) {
			d := New("z")
			const runners = 300
			for id := range runners {
				d.UpdateRunner(ms(0), RunnerID(id+1), minionStatus(fmt.Sprint("m", id), 10_000))
			}
			for i := range 3001 {
				j := testJob(step(1, 1000))
				j.ID, j.Objective, j.Deadline = fmt.Sprint("job", i), ms(0).Add(time.Hour), ms(0).Add(time.Hour)
				j.Priority = 1
				d.Submit(ms(0), j)
			}
			d.TakeOutput()
			if crashes == 2000 { // jobs that are here
				for i := range crashes {
					d.MinionCrashed(ms(0), Crash{Endpoint: "gone", StartedUnixMs: 1, Runs: []runtable.RunID{runOf(fmt.Sprint("job", i), 0, 1)}})
				}
			} else if crashes == 1 {
				d.MinionCrashed(ms(0), Crash{Endpoint: "gone", StartedUnixMs: 1, Runs: []runtable.RunID{runOf("x", 0, 1)}})
			}
			b.ReportMetric(float64(d.WaitingJobs()), "waiting")
			b.ResetTimer()
			for i := range b.N {
				id := RunnerID(i%runners + 1)
				status := minionStatus(fmt.Sprint("m", id-1), 0)
				status.Placed = d.runners[id].sent
				d.UpdateRunner(ms(0), id, status)
				d.TakeOutput()
			}
		})
	}
}

// TestSuspectWentToASlowMinion: a minion that is slow, fails or is far from the data has the least
// at work, since other tasks avoid it.
func TestSuspectWentToASlowMinion(t *testing.T) {
	for name, spoil := range map[string]func(*RunnerStatus){
		"slow":          func(s *RunnerStatus) { s.RuntimeRatio = 2.4 },
		"failing":       func(s *RunnerStatus) { s.FailureRate = 0.45 },
		"far from data": func(s *RunnerStatus) { s.Labels = nil },
	} {
		d := suspectFleet(1, "a")
		poor, good := minionStatus("m1", 10_000, "r1"), minionStatus("m2", 9_000, "r1")
		spoil(&poor)
		d.UpdateRunner(ms(1), 1, poor)
		d.UpdateRunner(ms(1), 2, good)
		for _, o := range d.jobs {
			o.Steps[0].Rack = "r1"
		}
		assert.Check(t, tasksPerRunner(d.TakeOutput())[2] == 1, name)
	}
}

// TestLargeCrashReportHeldUpADispatcher: a million runs in one report, which fits a frame.
func TestLargeCrashReportHeldUpADispatcher(t *testing.T) {
	for name, run := range map[string]func(i int) runtable.RunID{
		"jobs":       func(i int) runtable.RunID { return runOf(fmt.Sprint(i), 0, 1) },
		"one_job":    func(i int) runtable.RunID { return runOf("a", uint32(i), 1) },
		"empty_name": func(int) runtable.RunID { return runOf("", 0, 1) },
	} {
		var runs []runtable.RunID
		for i := range 1_000_000 {
			runs = append(runs, run(i))
		}
		d := largeFleet(1)
		began := time.Now()
		d.MinionCrashed(ms(0), Crash{Endpoint: "m", StartedUnixMs: 1, Runs: runs})
		took := time.Since(began)
		held := 0
		for _, j := range d.crashes.jobs {
			held += len(j.tasks)
		}
		t.Log(name, took, len(d.crashes.jobs), held)
		assert.Check(t, held <= maxCrashMemory, "%s: %d tasks remembered", name, held)
	}
}
