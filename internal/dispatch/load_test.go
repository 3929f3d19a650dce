package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// loadSeeds are the loads' seeds.
var loadSeeds = []uint64{1, 2, 3}

// TestNormalLoadsAreServed: up to the daily load at least 99% of what callers
// ask for is earned.
func TestNormalLoadsAreServed(t *testing.T) {
	for _, times := range []float64{0.5, 1} {
		for _, seed := range loadSeeds {
			out := replay(loadSpec{seed: seed, seconds: 10, times: times})
			assert.Check(t, out.worth >= 0.99, "%v times, seed %d: %+v", times, seed, out)
		}
	}
}

// TestOverloadKeepsGoodput: beyond what the minions carry, work that ends in
// time stays within a tenth of the best at any load, callers of each queue are
// served, and refusals come within half of the objective.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, seed := range loadSeeds {
		best := 0.0
		var outs []outcomeOf
		for _, times := range []float64{1.5, 2, 2.5, 3} {
			out := replay(loadSpec{seed: seed, seconds: 8, times: times})
			best = max(best, out.useful)
			outs = append(outs, out)
		}
		for _, out := range outs {
			assert.Check(t, out.useful >= 0.9*best, "seed %d: %+v", seed, out)
			assert.Check(t, out.refusedAfter <= 0.5, "seed %d: %+v", seed, out)
			for p, kept := range out.kept {
				assert.Check(t, kept > 0.1, "seed %d, priority %d: %+v", seed, p, out)
			}
		}
	}
}

// TestBurstIsOutlived: four seconds at nearly twice the load, within a daily
// one.
func TestBurstIsOutlived(t *testing.T) {
	for _, seed := range loadSeeds {
		out := replay(loadSpec{seed: seed, seconds: 10, times: 1, burst: 1.8})
		assert.Check(t, out.worth >= 0.8, "seed %d: %+v", seed, out)
	}
}

// TestSlowMinionIsAvoided: one of eleven minions takes seven times as long.
func TestSlowMinionIsAvoided(t *testing.T) {
	for _, seed := range loadSeeds {
		out := replay(loadSpec{seed: seed, seconds: 10, times: 0.9, slow: 7})
		assert.Check(t, out.worth >= 0.95, "seed %d: %+v", seed, out)
	}
}

// TestPartsOfALargeFleetServeAsWell: 31 dispatchers that work with a part of 160
// runners each earn what they earn with all, at loads below and far above the
// room, for half the messages.
func TestPartsOfALargeFleetServeAsWell(t *testing.T) {
	for _, times := range []float64{1, 1.8} {
		spec := loadSpec{seed: loadSeeds[0], seconds: 3, times: times, runners: 160, dispatchers: 31}
		whole := replay(spec)
		spec.parts = true
		parts := replay(spec)
		assert.Check(t, parts.worth >= whole.worth-0.01, "%v times: %+v, whole %+v", times, parts, whole)
		assert.Check(t, parts.messages <= whole.messages/2, "%v times: %+v, whole %+v", times, parts, whole)
	}
}
