package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

const refusedStart = runtable.NotReceived

func receivedRuns(t *runtable.Table) []runtable.RunID { return t.ReceivedRuns() }

func tellCrash(d *Dispatcher, now time.Time, endpoint string, runs []runtable.RunID) {
	d.MinionCrashed(now, Crash{Endpoint: endpoint, StartedUnixMs: 1, Runs: runs})
}
