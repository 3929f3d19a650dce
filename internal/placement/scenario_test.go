package placement

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/baseline"
)

const meanRun = 200 * time.Millisecond

// normalLoad returns jobs that load ten agents of eight slots to 70%, submitted to
// three entries.
func normalLoad(length time.Duration) []fleetJob { return poissonJobs(1, 3, 14, 20, meanRun, length) }

// healthStates returns the agent's health state at each entry.
func (f *fakeFleet) healthStates(incarnation uint64) []string {
	var names []string
	for _, d := range f.entries {
		names = append(names, outlierChart.StateName(d.agents[incarnation].health.state))
	}
	return names
}

// TestFailingAgentGetsFewTasksAndReturns guards against an agent that fails all
// tasks and thereby attracts more of them. The entries together must send it at
// most twice its slots before it gets only probes. Some time after its fault has
// ended, they must use it in full again.
func TestFailingAgentGetsFewTasksAndReturns(t *testing.T) {
	f := newFleet(Config{}, 3, 10, 8)
	bad, startedBefore := f.agents[0], 0
	f.after(5*time.Second, func() { bad.failureRate, startedBefore = 1, bad.started })
	f.after(9*time.Second, func() {
		assert.DeepEqual(t, f.healthStates(1), []string{"trickle", "trickle", "trickle"})
		sent := bad.started - startedBefore
		t.Logf("%d tasks sent before the agent got only probes", sent)
		assert.Assert(t, sent <= 16)
	})
	f.after(30*time.Second, func() { bad.failureRate = 0 })
	f.after(170*time.Second, func() {
		assert.DeepEqual(t, f.healthStates(1), []string{"healthy", "healthy", "healthy"})
	})
	f.run(normalLoad(171 * time.Second))
	for _, d := range f.entries {
		assert.Equal(t, d.agents[1].pool.ejected, 0)
	}
}

// TestStragglersCostTheirCapacityOnly guards against slow agents that delay all
// jobs. With two of ten agents at a tenth of the speed, the p99 lag must be at
// most a fifth above that of a central queue in front of the other eight.
func TestStragglersCostTheirCapacityOnly(t *testing.T) {
	const warmup = 5 * time.Second
	f := newFleet(Config{}, 3, 10, 8)
	f.agents[0].slowdown, f.agents[1].slowdown = 10, 10
	f.run(normalLoad(120 * time.Second))
	got, ideal := quantile(f.lags(80, warmup), 0.99), centralLag(64, f.jobs, 0.99)
	t.Logf("p99 lag %v, central queue of eight agents %v", got, ideal)
	assert.Assert(t, got <= ideal*6/5)
	assert.Assert(t, f.agents[0].started < 100)
}

// centralLag returns a quantile of the lags of a central queue with this number of
// slots, against the lower bound on all 80 slots.
func centralLag(slots int, jobs []fleetJob, q float64) time.Duration {
	ideal := make([]baseline.Job, len(jobs))
	for i, j := range jobs {
		ideal[i] = j.Job
	}
	lags := baseline.Lags(80, ideal, baseline.CentralQueueEnds(slots, ideal))
	slices.Sort(lags)
	return quantile(lags, q)
}

// TestLagAgainstTheCentralQueue compares the lags of three entries under the
// default policy and order with those of an omniscient central queue. The p90
// must not be above it, the p99 at most a tenth above it, and the worst lag at
// most twice as long.
func TestLagAgainstTheCentralQueue(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		f := newFleet(Config{}, 3, 10, 8)
		f.run(poissonJobs(seed, 3, 14, 20, meanRun, 600*time.Second))
		lags := f.lags(80, 0)
		assert.Assert(t, quantile(lags, 0.9) <= centralLag(80, f.jobs, 0.9))
		assert.Assert(t, quantile(lags, 0.99) <= centralLag(80, f.jobs, 0.99)*11/10)
		assert.Assert(t, quantile(lags, 1) <= centralLag(80, f.jobs, 1)*2)
	}
}

// TestFleetWideFaultEjectsFew guards against the ejection of most agents when
// tasks fail at all of them.
func TestFleetWideFaultEjectsFew(t *testing.T) {
	for _, failureRate := range []float64{0.5, 1} {
		f := newFleet(Config{}, 3, 10, 8)
		for _, a := range f.agents {
			a.failureRate = failureRate
		}
		f.run(normalLoad(20 * time.Second))
		for _, d := range f.entries {
			assert.Assert(t, d.agents[1].pool.ejected <= 3, "%d ejected", d.agents[1].pool.ejected)
		}
	}
}

// TestOverloadBurst guards against capacity wasted in an overload, and against a
// large team that displaces a small one. Jobs arrive for ten seconds at ten times
// the capacity, most of them from the large team. Their run times are declared
// not at all, or ten times too short or too long. Nearly all capacity must go into
// complete jobs, and the small team must be served as without the large one.
func TestOverloadBurst(t *testing.T) {
	for _, declared := range []time.Duration{0, meanRun / 10, meanRun * 10} {
		f := newFleet(Config{}, 3, 10, 8)
		f.run(overload(declared))
		var totalRunTime, lastEnd time.Duration
		refused := map[string]int{}
		lags := map[string][]time.Duration{}
		for _, j := range f.jobs {
			if j.refused {
				refused[j.team]++
				continue
			}
			lags[j.team] = append(lags[j.team], j.end.Sub(start)-j.Arrival-baseline.LowerBound(80, j.RunTimes))
			lastEnd = max(lastEnd, j.end.Sub(start))
			for _, r := range j.RunTimes {
				totalRunTime += r
			}
		}
		goodput := totalRunTime.Seconds() / (lastEnd.Seconds() * 80)
		slices.Sort(lags["small"])
		small := quantile(lags["small"], 0.9)
		t.Logf("declared %v: goodput %.3f, last answer after %v, refused %v, p90 lag of the small team %v", declared, goodput, lastEnd, refused, small)
		assert.Assert(t, goodput > 0.9)
		// The last job may have more than 100 tasks and runs for some seconds.
		assert.Assert(t, lastEnd < 10*time.Second+defaultMaxWait+3*time.Second)
		assert.Equal(t, refused["small"], 0)
		assert.Assert(t, small < 2*time.Second)
	}
}

// overload returns jobs at ten times the capacity for ten seconds. Every 40th is
// from the team "small". declared is the declared run time of each task.
func overload(declared time.Duration) []fleetJob {
	jobs := poissonJobs(1, 3, 200, 20, meanRun, 10*time.Second)
	for i := range jobs {
		jobs[i].team = "large"
		if i%40 == 0 {
			jobs[i].team = "small"
		}
		jobs[i].declared = declared * time.Duration(len(jobs[i].RunTimes))
	}
	return jobs
}
