package baseline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 200}) }

func TestCentralQueueEndTimes(t *testing.T) {
	ms := time.Millisecond
	jobs := []Job{
		{Arrival: 10 * ms, RunTimes: []time.Duration{10 * ms}},
		{Arrival: 0, RunTimes: []time.Duration{30 * ms, 20 * ms, 5 * ms}},
	}
	ends := CentralQueueEnds(2, jobs)
	assert.DeepEqual(t, ends, []time.Duration{35 * ms, 30 * ms})
	assert.DeepEqual(t, Lags(2, jobs, ends), []time.Duration{15 * ms, 0})
}

func drawJobs(t *rapid.T) []Job {
	var jobs []Job
	for range rapid.IntRange(1, 20).Draw(t, "jobs") {
		j := Job{Arrival: time.Duration(rapid.IntRange(0, 1000).Draw(t, "at"))}
		for range rapid.IntRange(1, 10).Draw(t, "tasks") {
			j.RunTimes = append(j.RunTimes, time.Duration(rapid.IntRange(0, 500).Draw(t, "run")))
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// TestCentralQueueBounds checks two properties for random jobs. No job ends before
// its lower bound. No slot is idle while a task waits, so the last job ends within
// the list scheduling bound after the last arrival.
func TestCentralQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t)
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		var work, longest, lastArrival, lastEnd time.Duration
		ends := CentralQueueEnds(slots, jobs)
		for i, lag := range Lags(slots, jobs, ends) {
			assert.Assert(t, lag >= 0)
			lastEnd = max(lastEnd, ends[i])
			lastArrival = max(lastArrival, jobs[i].Arrival)
			for _, r := range jobs[i].RunTimes {
				work += r
				longest = max(longest, r)
			}
		}
		assert.Assert(t, lastEnd <= lastArrival+work/time.Duration(slots)+longest+1)
	})
}
