package resubmission

import (
	"testing"

	"gotest.tools/v3/assert"
)

func old(ids ...string) Jobs { return Jobs{Old: ids} }

// TestNewestReportOfADispatcherCounts: the members report at different times. One that
// is slow does not bring back a job that has ended, nor hide one that has begun.
func TestNewestReportOfADispatcherCounts(t *testing.T) {
	v := NewView[string]()
	v.Update("member 1", "d", 1, old("a"))
	v.Update("member 2", "d", 2, old("b"))
	assert.Assert(t, !v.OldElsewhere("a"))
	assert.Assert(t, v.OldElsewhere("b"))
	v.Update("member 1", "d", 3, Jobs{Wanted: []string{"a"}})
	assert.Assert(t, !v.OldElsewhere("b"))
	assert.Assert(t, v.WantedElsewhere("a"))
	v.Update("member 2", "d", 3, Jobs{Wanted: []string{"a"}})
	v.Update("member 2", "d", 4, Jobs{})
	assert.Assert(t, !v.WantedElsewhere("a"))
}

// TestJobCountsUntilItsDispatcherHasLeftAllMembers: a session with one member may end
// while the dispatcher goes on.
func TestJobCountsUntilItsDispatcherHasLeftAllMembers(t *testing.T) {
	v := NewView[string]()
	for _, member := range []string{"member 1", "member 2", "member 3"} {
		v.Update(member, "d", 1, old("a"))
	}
	v.Left("member 1", "d")
	v.DropMember("member 2")
	assert.Assert(t, v.OldElsewhere("a"))
	v.Left("member 3", "d")
	assert.Assert(t, !v.OldElsewhere("a"))
	v.Left("member 3", "d")
	assert.Equal(t, len(v.dispatchers)+len(v.old)+len(v.wanted), 0)
}

// TestJobCountsWhileOneOfItsDispatchersHasIt: three submissions of a job.
func TestJobCountsWhileOneOfItsDispatchersHasIt(t *testing.T) {
	v := NewView[string]()
	v.Update("member 1", "d1", 1, old("a"))
	v.Update("member 1", "d2", 9, old("a"))
	v.Update("member 1", "d2", 10, old())
	assert.Assert(t, v.OldElsewhere("a"))
	v.Update("member 1", "d1", 2, old())
	assert.Assert(t, !v.OldElsewhere("a"))
}
