package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func twoAgents() []Agent {
	return []Agent{
		{Incarnation: 1, Zone: "a", Slots: 2, Services: []string{"crop"}, Connected: true},
		{Incarnation: 2, Zone: "b", Slots: 2, Services: []string{"crop"}, Connected: true},
	}
}

func crop(number uint64, tasks int) JobInfo {
	return JobInfo{Job: number, Team: "x", Service: "crop", Tasks: tasks, Accepted: start}
}

func TestTasksWaitForSlotsAndEveryTaskIsPlacedOnce(t *testing.T) {
	d := New(Config{Zone: "a", Policy: PolicyLeastOutstanding})
	d.SetAgents(twoAgents())
	d.Add(crop(7, 6), start)
	seen := map[uint32]bool{}
	var out []Assignment
	for len(seen) < 6 {
		for a, ok := d.Next(start); ok; a, ok = d.Next(start) {
			assert.Assert(t, !seen[a.Task])
			seen[a.Task] = true
			out = append(out, a)
		}
		assert.Assert(t, len(out) <= 4)
		d.Ended(out[0].Agent, 7, out[0].Task, Done, time.Millisecond, start)
		out = out[1:]
	}
}

func TestServiceWithoutEndpointIsRefused(t *testing.T) {
	d := New(Config{})
	d.SetAgents(twoAgents())
	r, ok := d.Admit(JobInfo{Service: "weave", Tasks: 1}, start)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Code, RefusedNoEndpoint)
	_, ok = d.Admit(crop(1, 1), start)
	assert.Assert(t, ok)
}

func TestOwnZoneWinsTies(t *testing.T) {
	d := New(Config{Zone: "b"})
	d.SetAgents(twoAgents())
	d.Add(crop(1, 4), start)
	var agents []uint64
	for a, ok := d.Next(start); ok; a, ok = d.Next(start) {
		agents = append(agents, a.Agent)
	}
	assert.DeepEqual(t, agents, []uint64{2, 1, 2, 1})
}

// A team that is over its rate is told when to come back; a job larger than
// the burst passes and leaves a debt.
func TestRateQuotaIsSharedByTheEntries(t *testing.T) {
	d := New(Config{})
	d.SetAgents(twoAgents())
	d.SetEntries(2)
	d.SetTeams([]Team{{Name: "x", TasksPerSecond: 20, Burst: 10}})
	_, ok := d.Admit(crop(1, 25), start)
	assert.Assert(t, ok)
	r, ok := d.Admit(crop(2, 1), start)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Code, RefusedTeamQuota)
	assert.Assert(t, r.RetryAfter >= 2*time.Second)
	_, ok = d.Admit(crop(2, 1), start.Add(2100*time.Millisecond))
	assert.Assert(t, ok)
}
