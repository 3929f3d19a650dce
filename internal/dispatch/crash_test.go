package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivewing/internal/runtable"
)

// namedJob returns a job of tasks that take a core each.
func namedJob(id string, tasks int) *Job {
	j := testJob(step(tasks, 1000))
	j.ID = id
	return j
}

func runOf(job string, index, run uint32) runtable.RunID {
	return runtable.RunID{TaskID: runtable.TaskID{Job: job, Index: index}, Run: run}
}

// largeFleet returns a dispatcher with n empty minions.
func largeFleet(n int) *Dispatcher {
	d := New("z")
	for i := range n {
		d.UpdateRunner(ms(0), RunnerID(i+1), minionStatus(fmt.Sprint("m", i+1), 10_000))
	}
	return d
}

// crashUnder reports that a minion crashed under runs, in the order of their starts, and
// then that these have ended. The minion is back at once, as another incarnation.
func crashUnder(d *Dispatcher, now time.Time, at RunnerID, born int64, runs ...runtable.RunID) Output {
	d.MinionCrashed(now, Crash{Endpoint: fmt.Sprint("m", at), StartedUnixMs: born, Runs: runs})
	for _, r := range runs {
		d.RunEnded(now, at, TaskEnd{RunID: r, Outcome: runtable.Stopped, Reason: runtable.ReasonLeaseExpired})
	}
	return d.TakeOutput()
}

// TestTaskCrashedMinionAfterMinion: a task was started until its caller's deadline, however
// many minions crashed under it. Alone to blame for two, it is given up.
func TestTaskCrashedMinionAfterMinion(t *testing.T) {
	d := largeFleet(8)
	d.Submit(ms(0), namedJob("deadly", 1))
	out := d.TakeOutput()
	crashes := 0
	for len(out.Placements) > 0 && crashes < 10 {
		crashes++
		p := out.Placements[0]
		out = crashUnder(d, ms(100*crashes), p.Runner, int64(crashes), p.Runs[0])
		assert.DeepEqual(t, out.Crashes, []CrashCount{{TaskID: p.Runs[0].TaskID, Endpoint: fmt.Sprint("m", p.Runner), Crashes: crashes}})
	}
	assert.Equal(t, crashes, maxCrashesIfToBlame)
	assert.Equal(t, len(out.Answers), 1)
	assert.Equal(t, out.Answers[0].Result, Failed)
	assert.Equal(t, out.Answers[0].Reason, ReasonCrashes)
	assert.Equal(t, d.Jobs(), 0)

	d.Submit(ms(5000), namedJob("deadly", 1))
	out = d.TakeOutput()
	assert.Equal(t, len(out.Placements), 0)
	assert.Equal(t, out.Answers[0].Result, Failed)
	assert.Equal(t, out.Answers[0].Reason, ReasonCrashes)
}

// TestCrashesBeganAtZeroForAJobSentAgain: to the same dispatcher after it had given the job
// up, and to another one, which has placed nothing of it.
func TestCrashesBeganAtZeroForAJobSentAgain(t *testing.T) {
	first, other := largeFleet(4), largeFleet(4)
	first.Submit(ms(0), namedJob("deadly", 1))
	p := first.TakeOutput().Placements[0]
	first.Cancel(ms(50), "deadly")
	crash := Crash{Endpoint: "m1", StartedUnixMs: 1, Runs: p.Runs}
	other.MinionCrashed(ms(60), crash)
	crashUnder(first, ms(60), p.Runner, 1, p.Runs[0])
	for _, d := range []*Dispatcher{first, other} {
		d.Submit(ms(70), namedJob("deadly", 1))
		p := d.TakeOutput().Placements[0]
		out := crashUnder(d, ms(100), p.Runner, 2, p.Runs[0])
		assert.Equal(t, len(out.Placements), 0)
		assert.Equal(t, out.Answers[0].Reason, ReasonCrashes)
	}
}

// TestHeldJobIsAnsweredOnceItIsGivenUp: its earlier submission is ending while the crash
// that gives the job up is reported.
func TestHeldJobIsAnsweredOnceItIsGivenUp(t *testing.T) {
	d := largeFleet(4)
	d.Submit(ms(0), namedJob("deadly", 1))
	out := crashUnder(d, ms(10), 1, 1, d.TakeOutput().Placements[0].Runs[0])
	p := out.Placements[0]
	d.Cancel(ms(20), "deadly")
	d.Submit(ms(21), namedJob("deadly", 1))
	d.TakeOutput()
	d.MinionCrashed(ms(30), Crash{Endpoint: "m2", StartedUnixMs: 2, Runs: p.Runs})
	answer := d.TakeOutput().Answers[0]
	assert.Equal(t, answer.Result, Failed)
	assert.Equal(t, answer.Reason, ReasonCrashes)
	assert.Equal(t, d.Jobs(), 0)
}

// TestInnocentTaskWasGivenUp: after two crashes only if nothing else can be the cause, after
// three only if it was the last once. In trials of the users' day all that were given up
// after three in any case were innocent.
func TestInnocentTaskWasGivenUp(t *testing.T) {
	a, a1, b, x := runOf("a", 0, 1), runOf("a", 1, 1), runOf("b", 0, 1), runOf("x", 0, 1)
	y, z := runOf("y", 0, 1), runOf("z", 0, 1)
	cases := []struct {
		name string
		// crashes are the runs at each crash, in the order of their starts.
		crashes [][]runtable.RunID
		// givenUpAfter is the number of crashes after which job a is given up, 0 for never.
		givenUpAfter int
	}{
		{"first crash", [][]runtable.RunID{{a}}, 0},
		{"alone", [][]runtable.RunID{{a, a1, b}, {a}}, 2},
		{"the only suspect and the last", [][]runtable.RunID{{a, b}, {x, a}}, 2},
		{"beside another task of its job", [][]runtable.RunID{{a, a1, b}, {a, a1}}, 2},
		{"the last each time", [][]runtable.RunID{{b, a}, {b, a}}, 2},
		{"the last once, beside another suspect", [][]runtable.RunID{{a, b}, {b, a}, {a, y}}, 3},
		{"beside one that was started later", [][]runtable.RunID{{a, b}, {a, x}, {a, y}}, 0},
		{"never the last", [][]runtable.RunID{{a, b}, {a, x}, {a, y}, {a, z}}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := largeFleet(4)
			for i, runs := range c.crashes {
				d.MinionCrashed(ms(i), Crash{Endpoint: "m", StartedUnixMs: int64(i), Runs: runs})
				assert.Equal(t, d.crashes.givenUp("a"), c.givenUpAfter != 0 && i+1 >= c.givenUpAfter, "after crash %d", i+1)
			}
			assert.Assert(t, !d.crashes.givenUp("b") && !d.crashes.givenUp("x"))
		})
	}
}

// TestTaskWasGivenUpForACrashThatItMayNotHaveSeen: of two crashes, the first came before its
// start was answered, so it may never have begun there. A task that crashes each minion
// before it answers is given up after maxCrashes.
func TestTaskWasGivenUpForACrashThatItMayNotHaveSeen(t *testing.T) {
	d := largeFleet(4)
	for i := range maxCrashes {
		run := runOf("a", 0, uint32(i+1))
		assert.Assert(t, !d.crashes.givenUp("a"), "after %d crashes", i)
		d.MinionCrashed(ms(i), Crash{
			Endpoint: "m", StartedUnixMs: int64(i), Runs: []runtable.RunID{run}, MayNotHaveBegun: map[runtable.RunID]bool{run: i != 1},
		})
	}
	assert.Assert(t, d.crashes.givenUp("a"))
}

// TestCrashCountedTwice: a report is repeated on a new session, and a run is named twice.
func TestCrashCountedTwice(t *testing.T) {
	d := largeFleet(2)
	d.Submit(ms(0), namedJob("a", 1))
	run := d.TakeOutput().Placements[0].Runs[0]
	for range 4 {
		d.MinionCrashed(ms(1), Crash{Endpoint: "m1", StartedUnixMs: 1, Runs: []runtable.RunID{run, run}})
	}
	assert.Equal(t, len(d.TakeOutput().Crashes), 1)
	assert.Equal(t, d.crashes.crashes(run.TaskID), 1)
	assert.Equal(t, d.Jobs(), 1)
}

// TestCrashAtALostRunner: the session with the runner ends before the crash is reported,
// and its report comes on the next one, before the runner is asked for its runs.
func TestCrashAtALostRunner(t *testing.T) {
	d := largeFleet(3)
	d.Submit(ms(0), namedJob("deadly", 1))
	p := d.TakeOutput().Placements[0]
	name := d.runners[p.Runner].Name
	out := crashUnder(d, ms(10), p.Runner, 1, p.Runs[0])
	p = out.Placements[0]
	d.RunnerLost(ms(20), p.Runner)
	d.TakeOutput()
	d.MinionCrashed(ms(100), Crash{Endpoint: name, StartedUnixMs: 2, Runs: p.Runs})
	d.UpdateRunner(ms(100), 9, minionStatus(name, 10_000))
	out = d.TakeOutput()
	assert.Equal(t, out.Answers[0].Reason, ReasonCrashes)
	d.Submit(ms(110), namedJob("deadly", 1))
	assert.Equal(t, d.TakeOutput().Answers[0].Reason, ReasonCrashes)
}

// TestJobWhoseTaskIsDoneIsNotGivenUp: a late report of a crash names a run of a task that
// is done elsewhere since.
func TestJobWhoseTaskIsDoneIsNotGivenUp(t *testing.T) {
	d := largeFleet(3)
	d.Submit(ms(0), namedJob("a", 2))
	out := d.TakeOutput()
	id, end := runEnd(out, 0, runtable.Done, "")
	d.RunEnded(ms(10), id, end)
	for i := range maxCrashes {
		d.MinionCrashed(ms(20), Crash{Endpoint: "m1", StartedUnixMs: int64(i), Runs: []runtable.RunID{end.RunID}})
	}
	assert.Equal(t, d.Jobs(), 1)
	assert.Equal(t, len(d.TakeOutput().Answers), 0)
}

// TestOldCrashesAreForgotten: the memory is bounded in time and number, and a job that
// crashed again since is kept.
func TestOldCrashesAreForgotten(t *testing.T) {
	m := newCrashMemory()
	count := func(at time.Time, born int64, job string) {
		m.count(at, &Crash{Endpoint: "m", StartedUnixMs: born, Runs: []runtable.RunID{runOf(job, 0, 1)}})
	}
	count(ms(0), 1, "a")
	count(ms(0), 1, "b")
	count(ms(10), 2, "a")
	m.forget(ms(1).Add(crashMemoryTime))
	assert.Equal(t, m.crashes(runOf("a", 0, 1).TaskID), 2)
	assert.Equal(t, m.crashes(runOf("b", 0, 1).TaskID), 0)
	m.forget(ms(11).Add(crashMemoryTime))
	assert.Equal(t, len(m.jobs), 0)
	for i := range maxCrashMemory + 5 {
		count(ms(i), 1, fmt.Sprint(i))
	}
	assert.Equal(t, len(m.jobs), maxCrashMemory)
	assert.Equal(t, m.crashes(runOf("4", 0, 1).TaskID), 0)
}

// TestCrashCountsNeverFall checks over random crashes, repeated and out of order, that counts
// of a task never fall, that each crash counts once, and that a job is given up after the
// last crash that may be under one of its tasks and never after the first.
func TestCrashCountsNeverFall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := largeFleet(1)
		jobs := []string{"a", "b", "c"}
		distinct := map[runtable.TaskID]map[int64]bool{}
		for i := range rapid.IntRange(1, 30).Draw(rt, "reports") {
			c := Crash{Endpoint: "m", StartedUnixMs: int64(rapid.IntRange(1, 8).Draw(rt, "crash"))}
			for range rapid.IntRange(0, 4).Draw(rt, "runs") {
				c.Runs = append(c.Runs, runOf(rapid.SampledFrom(jobs).Draw(rt, "job"), uint32(rapid.IntRange(0, 1).Draw(rt, "index")), 1))
			}
			m.MinionCrashed(ms(i), c)
			for _, run := range c.Runs {
				if distinct[run.TaskID] == nil {
					distinct[run.TaskID] = map[int64]bool{}
				}
				distinct[run.TaskID][c.StartedUnixMs] = true
			}
			most := map[string]int{}
			for name, crashes := range distinct {
				assert.Equal(rt, m.crashes.crashes(name), min(len(crashes), maxCrashes))
				most[name.Job] = max(most[name.Job], len(crashes))
			}
			for job, n := range most {
				assert.Assert(rt, n < maxCrashes || m.crashes.givenUp(job), "%s", job)
				assert.Assert(rt, n >= maxCrashesIfToBlame || !m.crashes.givenUp(job), "%s", job)
			}
		}
	})
}
