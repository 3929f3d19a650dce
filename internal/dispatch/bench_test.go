package dispatch

import (
	"fmt"
	"testing"
	"time"

	"endivewing/internal/runtable"
)

// BenchmarkPlace measures a dispatcher's time for a job, from its submission to
// its answer, with 400 other jobs waiting for full minions. Each job has one task
// of the first priority.
func BenchmarkPlace(b *testing.B) {
	for _, runners := range []int{11, 62, 160} {
		b.Run(fmt.Sprint(runners, "_runners"), func(b *testing.B) { benchmarkPlace(b, runners) })
	}
}

func benchmarkPlace(b *testing.B, runners int) {
	const waitingJobs = 400
	d := New("z")
	for id := range runners {
		d.UpdateRunner(ms(0), RunnerID(id+1), minionStatus(fmt.Sprint("m", id), 0))
	}
	submit := func(i int) {
		j := testJob(step(1, 1000))
		j.ID, j.Objective = fmt.Sprint("job", i), ms(0).Add(time.Hour)
		d.Submit(ms(0), j)
	}
	for i := range waitingJobs {
		submit(i)
	}
	d.TakeOutput()
	b.ResetTimer()
	for i := range b.N {
		submit(waitingJobs + i)
		id := RunnerID(i%runners + 1)
		status := minionStatus(fmt.Sprint("m", id-1), 1000)
		status.Placed = d.runners[id].sent
		d.UpdateRunner(ms(0), id, status)
		for _, p := range d.TakeOutput().Placements {
			d.RunEnded(ms(0), p.Runner, TaskEnd{RunID: p.Runs[0], Outcome: runtable.Done})
		}
	}
}
