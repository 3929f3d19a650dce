package placement

import (
	"fmt"
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

func cropJob(number uint64, tasks int) JobInfo {
	return JobInfo{Job: number, Team: "x", Service: "crop", Tasks: tasks, Accepted: start}
}

func TestTasksWaitForSlotsAndEveryTaskIsPlacedOnce(t *testing.T) {
	d := New(Config{Zone: "a", Policy: PolicyLeastOutstanding})
	d.SetAgents(twoAgents())
	d.Add(cropJob(7, 6), start)
	seen := map[uint32]bool{}
	var out []Assignment
	for len(seen) < 6 {
		for a, ok := d.Next(start); ok; a, ok = d.Next(start) {
			assert.Assert(t, !seen[a.Task])
			seen[a.Task] = true
			out = append(out, a)
		}
		assert.Assert(t, len(out) <= 4)
		d.HandleOutcome(out[0].Incarnation, 7, out[0].Task, Done, time.Millisecond, start)
		out = out[1:]
	}
}

func TestServiceWithoutEndpointIsRefused(t *testing.T) {
	d := New(Config{})
	d.SetAgents(twoAgents())
	r, ok := d.Admit(JobInfo{Service: "weave", Tasks: 1}, start)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Code, RefusedNoEndpoint)
	_, ok = d.Admit(cropJob(1, 1), start)
	assert.Assert(t, ok)
}

func TestOwnZoneWinsTies(t *testing.T) {
	d := New(Config{Zone: "b"})
	d.SetAgents(twoAgents())
	d.Add(cropJob(1, 4), start)
	var agents []uint64
	for a, ok := d.Next(start); ok; a, ok = d.Next(start) {
		agents = append(agents, a.Incarnation)
	}
	assert.DeepEqual(t, agents, []uint64{2, 1, 2, 1})
}

// TestRateQuotaIsSharedByTheEntries checks that a job larger than the burst is
// admitted and leaves a debt, and that the next job of the team is refused with
// the time after which it is admitted.
func TestRateQuotaIsSharedByTheEntries(t *testing.T) {
	d := New(Config{})
	d.SetAgents(twoAgents())
	d.SetEntryCount(2)
	d.SetTeams([]Team{{Name: "x", TasksPerSecond: 20, Burst: 10}})
	_, ok := d.Admit(cropJob(1, 25), start)
	assert.Assert(t, ok)
	r, ok := d.Admit(cropJob(2, 1), start)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Code, RefusedTeamQuota)
	assert.Assert(t, r.RetryAfter >= 2*time.Second)
	_, ok = d.Admit(cropJob(2, 1), start.Add(2100*time.Millisecond))
	assert.Assert(t, ok)
}

// TestUnusedTeamsAndServicesAreDropped guards against unbounded memory: callers
// choose the names of teams and services, and agents that name no services offer
// any. Names in use must remain.
func TestUnusedTeamsAndServicesAreDropped(t *testing.T) {
	d := New(Config{})
	d.SetAgents([]Agent{{Incarnation: 1, Slots: 1, Connected: true}, {Incarnation: 2, Slots: 1, Services: []string{"crop"}, Connected: true}})
	d.SetTeams([]Team{{Name: "declared", Weight: 2}})
	d.Add(JobInfo{Job: 1, Team: "busy", Service: "weave", Tasks: 2, Accepted: start}, start)
	for i := range 3 * minPruneNames {
		name := fmt.Sprint("made-up-", i)
		now := start.Add(time.Duration(i) * time.Second)
		_, ok := d.Admit(JobInfo{Team: name, Service: name, Tasks: 1}, now)
		assert.Assert(t, ok)
		d.Add(JobInfo{Job: uint64(i + 2), Team: name, Service: name, Tasks: 1}, now)
		d.Remove(uint64(i + 2))
	}
	assert.Assert(t, len(d.teams)+len(d.services) <= minPruneNames+2)
	assert.Assert(t, len(d.pools[""].services) <= minPruneNames)
	assert.Equal(t, d.team("declared").weight(), 2.0)
	a, ok := d.Next(start)
	assert.Assert(t, ok && a.Job == 1 && a.Incarnation == 1)
}

// TestAdmittedJobsThatAreNeverAddedExpire guards against a full queue of jobs that
// were admitted and never added, while further jobs are admitted.
func TestAdmittedJobsThatAreNeverAddedExpire(t *testing.T) {
	d := New(Config{MaxWaitingTasks: 100})
	d.SetAgents(twoAgents())
	for i := range 200 {
		_, ok := d.Admit(cropJob(0, 4), start.Add(time.Duration(i)*time.Second))
		assert.Assert(t, ok, "after %d s", i)
	}
}

func TestEmptyListOfServicesOffersNone(t *testing.T) {
	d := New(Config{})
	a := Agent{Incarnation: 1, Slots: 1, Connected: true}
	d.SetAgents([]Agent{a})
	_, ok := d.Admit(cropJob(1, 1), start)
	assert.Assert(t, ok)
	a.Services = []string{}
	d.SetAgents([]Agent{a})
	_, ok = d.Admit(cropJob(2, 1), start)
	assert.Assert(t, !ok)
	d.Add(cropJob(1, 1), start)
	_, ok = d.Next(start)
	assert.Assert(t, !ok)
}
