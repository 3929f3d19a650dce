package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

const refusedStart = runtable.NotReceived

func receivedRuns(t *runtable.Table) []runtable.ReceivedRun { return t.ReceivedRuns() }

func tellCrash(d *Dispatcher, now time.Time, endpoint string, runs []runtable.ReceivedRun) {
	c := Crash{Endpoint: endpoint, StartedUnixMs: 1, MayNotHaveBegun: map[runtable.RunID]bool{}}
	for _, r := range runs {
		c.Runs = append(c.Runs, r.RunID)
		c.MayNotHaveBegun[r.RunID] = !r.Begun
	}
	d.MinionCrashed(now, c)
}
