package placement

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/yardstick"
)

const meanRun = 200 * time.Millisecond

// seventy is 70% load on ten agents with eight slots, at three entries.
func seventy(length time.Duration) []fleetJob { return poisson(1, 3, 14, 20, meanRun, length) }

func (f *fakeFleet) states(incarnation uint64) []string {
	var names []string
	for _, d := range f.entries {
		names = append(names, outlierChart.Name(d.agents[incarnation].health.state))
	}
	return names
}

// One of ten agents begins to fail everything: all entries together send it
// at most twice its slots before it gets probes only, and use it in full
// again some time after it is mended.
func TestFailingAgentGetsFewTasksAndReturns(t *testing.T) {
	f := newFleet(Config{}, 3, 10, 8)
	bad, startedBefore := f.agents[0], 0
	f.after(5*time.Second, func() { bad.failing, startedBefore = 1, bad.started })
	f.after(9*time.Second, func() {
		assert.DeepEqual(t, f.states(1), []string{"trickle", "trickle", "trickle"})
		sent := bad.started - startedBefore
		t.Logf("%d tasks sent before the trickle", sent)
		assert.Assert(t, sent <= 16)
	})
	f.after(30*time.Second, func() { bad.failing = 0 })
	f.after(170*time.Second, func() {
		assert.DeepEqual(t, f.states(1), []string{"healthy", "healthy", "healthy"})
	})
	f.run(seventy(171 * time.Second))
	for _, d := range f.entries {
		assert.Equal(t, d.agents[1].pool.ejected, 0)
	}
}

// Two of ten agents at a tenth of the speed: what remains is a fleet of eight,
// and the p99 lag is within a fifth of that of a central queue in front of
// these eight.
func TestStragglersCostTheirCapacityOnly(t *testing.T) {
	const warmup = 5 * time.Second
	f := newFleet(Config{}, 3, 10, 8)
	f.agents[0].slow, f.agents[1].slow = 10, 10
	f.run(seventy(120 * time.Second))
	got, ideal := quantile(f.lags(80, warmup), 0.99), centralLag(64, f.jobs, 0.99)
	t.Logf("p99 lag %v, central queue of eight agents %v", got, ideal)
	assert.Assert(t, got <= ideal*6/5)
	assert.Assert(t, f.agents[0].started < 100)
}

// centralLag is a quantile of the lags of a central queue with some slots,
// against the ideal on all 80.
func centralLag(slots int, jobs []fleetJob, q float64) time.Duration {
	ideal := make([]yardstick.Job, len(jobs))
	for i, j := range jobs {
		ideal[i] = j.Job
	}
	lags := yardstick.Lags(80, ideal, yardstick.CentralQueue(slots, ideal))
	slices.Sort(lags)
	return quantile(lags, q)
}

// The default keeps the p99 lag of three entries within a tenth of the
// omniscient central queue's, the p90 below it, and the worst within twice.
func TestLagAgainstTheCentralQueue(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		f := newFleet(Config{}, 3, 10, 8)
		f.run(poisson(seed, 3, 14, 20, meanRun, 600*time.Second))
		lags := f.lags(80, 0)
		assert.Assert(t, quantile(lags, 0.9) <= centralLag(80, f.jobs, 0.9))
		assert.Assert(t, quantile(lags, 0.99) <= centralLag(80, f.jobs, 0.99)*11/10)
		assert.Assert(t, quantile(lags, 1) <= centralLag(80, f.jobs, 1)*2)
	}
}

// A fault of the whole fleet ejects no more than the bounded part.
func TestFleetWideFaultEjectsFew(t *testing.T) {
	for _, part := range []float64{0.5, 1} {
		f := newFleet(Config{}, 3, 10, 8)
		for _, a := range f.agents {
			a.failing = part
		}
		f.run(seventy(20 * time.Second))
		for _, d := range f.entries {
			assert.Assert(t, d.agents[1].pool.ejected <= 3, "%d ejected", d.agents[1].pool.ejected)
		}
	}
}

// Ten times the capacity for ten seconds, most of it from one team, with
// declared sizes off by ten: nearly all capacity goes into whole answers, and
// the small team is served as if the large one weren't there.
func TestReturnBurst(t *testing.T) {
	for _, off := range []time.Duration{0, meanRun / 10, meanRun * 10} {
		f := newFleet(Config{}, 3, 10, 8)
		f.run(burst(off))
		var work, end time.Duration
		refused := map[string]int{}
		lags := map[string][]time.Duration{}
		for _, j := range f.jobs {
			if j.refused {
				refused[j.team]++
				continue
			}
			lags[j.team] = append(lags[j.team], j.end.Sub(start)-j.Arrival-yardstick.LowerBound(80, j.Runs))
			end = max(end, j.end.Sub(start))
			for _, r := range j.Runs {
				work += r
			}
		}
		goodput := work.Seconds() / (end.Seconds() * 80)
		slices.Sort(lags["small"])
		small := quantile(lags["small"], 0.9)
		t.Logf("declared %v: goodput %.3f, last answer after %v, refused %v, p90 lag of the small team %v", off, goodput, end, refused, small)
		assert.Assert(t, goodput > 0.9)
		// The last job runs for some seconds itself: 100 tasks and more.
		assert.Assert(t, end < 10*time.Second+defaultMaxWait+3*time.Second)
		assert.Equal(t, refused["small"], 0)
		assert.Assert(t, small < 2*time.Second)
	}
}

func burst(declared time.Duration) []fleetJob {
	jobs := poisson(1, 3, 200, 20, meanRun, 10*time.Second)
	for i := range jobs {
		jobs[i].team = "large"
		if i%40 == 0 {
			jobs[i].team = "small"
		}
		jobs[i].declared = declared * time.Duration(len(jobs[i].Runs))
	}
	return jobs
}
