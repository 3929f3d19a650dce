package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	apijob "endivewing/api/job"
)

// TestSecondOwnerThatEndsDuringTheTakeoverStartsNothingTwice ends the incarnations of two
// entries in a row, the second while it takes over from the first or just before.
func TestSecondOwnerThatEndsDuringTheTakeoverStartsNothingTwice(t *testing.T) {
	for range 5 {
		control, a, first, second := startAgentAndTwoEntries(t, holdTask)
		third := startEntry(t, control, "e3")
		waitConnected(t, third, 1)
		s := newSubmission("s1", 20)
		var j, after apijob.Job
		assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", s, &j), http.StatusAccepted)
		waitUntil(t, "slots are used", func() bool { return a.countStarted() == 8 })
		a.mu.Lock()
		a.run = echoTask
		a.mu.Unlock()
		control.EndIncarnation(first.follower.Incarnation())
		control.EndIncarnation(second.follower.Incarnation())
		for _, p := range []*Process{third, first, second} {
			assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs?wait=20s", s, &after), http.StatusOK)
			assertComplete(t, &after, s)
			assert.Equal(t, after.ID, j.ID)
		}
		assert.Equal(t, a.countStarted(), 20)
		assert.Equal(t, a.countRestarted(), 0)
	}
}
