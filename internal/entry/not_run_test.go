package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	apijob "endivewing/api/job"
)

// TestRefusalWhileAnotherEntryAcceptsSaysNotRun lets a caller give up on an entry whose
// accept is on its way to control, and be refused by another entry. What the first entry
// then starts must not have been called "not run".
func TestRefusalWhileAnotherEntryAcceptsSaysNotRun(t *testing.T) {
	control, a, first, second := startAgentAndTwoEntries(t, echoTask)
	slow := &delayedControl{Control: control, release: make(chan struct{})}
	first.loop.enqueue(controlClientReplaced{control: slow})
	s := newSubmission("s1", 2)
	_, err := first.submit(shortContext(t), specOf(s), digestOf(specOf(s)))
	assert.ErrorContains(t, err, "not known yet")

	second.loop.enqueue(refuseRequested{})
	var e apijob.Error
	assert.Equal(t, call(t, second, http.MethodPost, "/v1/jobs", s, &e), http.StatusServiceUnavailable)
	close(slow.release)
	waitUntil(t, "the first entry knows the outcome", func() bool { return first.Dump().(*Status).Accepts == 0 })
	var j apijob.Job
	status := call(t, second, http.MethodGet, "/v1/teams/proofs/submissions/s1?wait=20s", nil, &j)
	t.Logf("the caller was told notRun=%v; status %d, state %s, tasks started %d", e.NotRun, status, j.State, a.countStarted())
	assert.Assert(t, !e.NotRun || a.countStarted() == 0, "%d tasks of a submission started that was refused as not run", a.countStarted())
}
