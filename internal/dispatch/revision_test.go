package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlacementNamesTheRevisionOfTheLastReport guards against an order that its runner can't
// tell from one for an earlier state of its minion.
func TestPlacementNamesTheRevisionOfTheLastReport(t *testing.T) {
	d := New("z")
	status := minionStatus("m1", 10_000, "a")
	status.MinionRevision = 7
	d.UpdateRunner(ms(0), 1, status)
	d.Submit(ms(0), testJob(step(1, 1000)))
	assert.Equal(t, d.TakeOutput().Placements[0].MinionRevision, uint64(7))

	status.MinionRevision = 8
	d.UpdateRunner(ms(1), 1, status)
	j := testJob(step(1, 1000))
	j.ID = "later"
	d.Submit(ms(1), j)
	assert.Equal(t, d.TakeOutput().Placements[0].MinionRevision, uint64(8))
}
