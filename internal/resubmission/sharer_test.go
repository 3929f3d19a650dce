package resubmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }

func nobody(string) bool { return false }

// TestChangesThatNobodyWaitsForAreSentTogether: under load many jobs come of age and
// end.
func TestChangesThatNobodyWaitsForAreSentTogether(t *testing.T) {
	var s Sharer
	assert.Assert(t, !s.Due(at(0), old(), nobody))
	assert.Assert(t, s.Due(at(0), old("a"), nobody))
	assert.Assert(t, !s.Due(at(10*time.Millisecond), old("a", "b"), nobody))
	assert.DeepEqual(t, s.Shared(), old("a"))
	assert.Assert(t, s.Due(at(shareInterval), old("b", "c"), nobody))
	assert.DeepEqual(t, s.Shared(), old("b", "c"))
	assert.Assert(t, !s.Due(at(3*shareInterval), old("b", "c"), nobody))
}

// TestChangeThatADispatcherWaitsForIsSentAtOnce: a caller waits meanwhile.
func TestChangeThatADispatcherWaitsForIsSentAtOnce(t *testing.T) {
	var s Sharer
	assert.Assert(t, s.Due(at(0), old("a", "b"), nobody))
	wanted := Jobs{Old: []string{"a", "b"}, Wanted: []string{"c"}}
	assert.Assert(t, s.Due(at(1), wanted, nobody))
	wantsB := func(id string) bool { return id == "b" }
	assert.Assert(t, !s.Due(at(2), Jobs{Old: []string{"b"}, Wanted: []string{"c"}}, wantsB))
	assert.Assert(t, s.Due(at(3), Jobs{Old: []string{"a"}, Wanted: []string{"c"}}, wantsB))
}

// TestJobIsSharedBeforeItsCallerComesBack: MinAge, the interval and the steps of the
// dispatchers and members fit between the first and the second submission, also if
// processes had no processor time for half a second.
func TestJobIsSharedBeforeItsCallerComesBack(t *testing.T) {
	const (
		resend         = 1300 * time.Millisecond
		dispatcherTick = 10 * time.Millisecond
		memberInterval = 50 * time.Millisecond
		memberTick     = 50 * time.Millisecond
		delay          = 500 * time.Millisecond
	)
	assert.Assert(t, MinAge+shareInterval+dispatcherTick+memberInterval+memberTick+delay < resend)
}
