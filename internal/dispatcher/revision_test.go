package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/wire"
)

// TestOrderNamesTheRevisionOfTheReport guards against orders that their runner takes for
// those of a dispatcher that knows no revisions, and against revisions of runners of an
// older version, which have none.
func TestOrderNamesTheRevisionOfTheReport(t *testing.T) {
	for _, revision := range []uint64{7, 0} {
		l := testProcess("d").loop
		now := time.Now()
		s := new(wire.Session)
		l.sessions[s] = &session{wire: s, id: 1, link: &link{name: "r", zone: "a"}}
		capacity := &wirepb.Need{CpuMilli: 4000}
		room := &wirepb.Room{Service: "s", Endpoint: "i", Capacity: capacity, Free: capacity, Ready: true, MinionRevision: revision}
		runnerReported{s, &wirepb.RunnerReport{Room: room}}.handle(l, now)
		jobSubmitted{&dispatch.Job{
			ID: "j", Service: "s", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
			Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
		}, make(chan dispatch.Answer, 1)}.handle(l, now)
		order := placeTasks(l.core.TakeOutput().Placements[0], 5)
		assert.Equal(t, order.MinionRevision, revision)
		assert.Equal(t, order.StampMs, int64(5))
	}
}
