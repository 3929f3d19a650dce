package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// loadSeeds are the seeds of the simulated loads.
var loadSeeds = []uint64{1, 2, 3}

// TestNormalLoadsAreServed: up to the daily load at least 99% of the value of
// the submitted jobs is earned.
func TestNormalLoadsAreServed(t *testing.T) {
	for _, factor := range []float64{0.5, 1} {
		for _, seed := range loadSeeds {
			out := replay(loadSpec{seed: seed, seconds: 10, factor: factor})
			assert.Check(t, out.value >= 0.99, "%v times, seed %d: %+v", factor, seed, out)
		}
	}
}

// TestOverloadKeepsGoodput: above the capacity of the minions, the work that
// ends on time stays within a tenth of the best at any load, callers of each
// queue are served, and refusals come within half of the objective.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, seed := range loadSeeds {
		best := 0.0
		var outs []loadResult
		for _, factor := range []float64{1.5, 2, 2.5, 3} {
			out := replay(loadSpec{seed: seed, seconds: 8, factor: factor})
			best = max(best, out.useful)
			outs = append(outs, out)
		}
		for _, out := range outs {
			assert.Check(t, out.useful >= 0.9*best, "seed %d: %+v", seed, out)
			assert.Check(t, out.refusedAfter <= 0.5, "seed %d: %+v", seed, out)
			for p, share := range out.onTimeShare {
				assert.Check(t, share > 0.1, "seed %d, priority %d: %+v", seed, p, out)
			}
		}
	}
}

// TestBurstIsServed: four seconds at 1.8 times the daily load, within a daily
// load.
func TestBurstIsServed(t *testing.T) {
	for _, seed := range loadSeeds {
		out := replay(loadSpec{seed: seed, seconds: 10, factor: 1, burst: 1.8})
		assert.Check(t, out.value >= 0.8, "seed %d: %+v", seed, out)
	}
}

// TestSlowMinionIsAvoided: one of eleven minions takes seven times as long.
func TestSlowMinionIsAvoided(t *testing.T) {
	for _, seed := range loadSeeds {
		out := replay(loadSpec{seed: seed, seconds: 10, factor: 0.9, slowFactor: 7})
		assert.Check(t, out.value >= 0.95, "seed %d: %+v", seed, out)
	}
}

// TestSubsetsServeAsWell: 31 dispatchers that each work with a
// subset of 160 runners earn as much as with all runners, at loads below and
// far above the capacity, with half the messages.
func TestSubsetsServeAsWell(t *testing.T) {
	for _, factor := range []float64{1, 1.8} {
		spec := loadSpec{seed: loadSeeds[0], seconds: 3, factor: factor, runners: 160, dispatchers: 31}
		whole := replay(spec)
		spec.subsets = true
		subsets := replay(spec)
		assert.Check(t, subsets.value >= whole.value-0.01, "%v times: %+v, whole %+v", factor, subsets, whole)
		assert.Check(t, subsets.messages <= whole.messages/2, "%v times: %+v, whole %+v", factor, subsets, whole)
	}
}

// TestUrgentJobsOfAllDispatchersComeFirst: four dispatchers, and about twice the
// load that the minions can serve. Of the jobs of the first priority four in
// five end on time, whichever dispatcher they came to, since capacity that comes
// free goes to the most urgent task that waits at its runner.
func TestUrgentJobsOfAllDispatchersComeFirst(t *testing.T) {
	for _, factor := range []float64{1.8, 2.2} {
		for _, seed := range loadSeeds {
			out := replay(loadSpec{seed: seed, seconds: 8, factor: factor, dispatchers: 4})
			assert.Check(t, out.onTimeShare[0] >= 0.8, "%v times, seed %d: %+v", factor, seed, out)
		}
	}
}
