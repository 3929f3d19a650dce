package entry

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/internal/gate"
	"endivewing/internal/wire"
)

// crashTask reports that the minion crashed under the task.
func crashTask(a *fakeAgent, s *wire.Session, m *wirepb.StartTask) {
	u := taskUpdate(m, wirepb.TaskOutcome_TASK_OUTCOME_FAILED)
	u.Result, u.Reason, u.Detail = nil, gate.ReasonMinionLost.String(), "EOF"
	_ = s.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_TaskUpdate{TaskUpdate: u}})
}

// TestTaskThatCrashesItsMinionIsStartedOnceWhoeverAsks submits such a task at one entry,
// at another, at the first again after its incarnation has ended, and asks for its job.
func TestTaskThatCrashesItsMinionIsStartedOnceWhoeverAsks(t *testing.T) {
	control, a, first, second := startAgentAndTwoEntries(t, crashTask)
	s := newSubmission("s1", 1)
	check := func(j *apijob.Job) {
		t.Helper()
		assert.Equal(t, j.State, apijob.Failed)
		assert.Equal(t, j.Failure.Reason, apijob.ReasonTaskFailed)
		assert.Assert(t, strings.HasPrefix(j.Failure.Detail, "minion_lost"), j.Failure.Detail)
		assert.Assert(t, !j.Failure.NotRun)
	}
	for range 3 {
		for _, p := range []*Process{first, second} {
			var j apijob.Job
			assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
			check(&j)
		}
	}
	control.EndIncarnation(first.follower.Incarnation())
	waitUntil(t, "the fenced entry is ready again", func() bool { return first.Ready() == nil })
	var j, read apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	check(&j)
	assert.Equal(t, call(t, second, http.MethodGet, "/v1/jobs/"+j.ID, nil, &read), http.StatusOK)
	check(&read)
	assert.Equal(t, a.countStarted(), 1)
	assert.Equal(t, a.countRestarted(), 0)
}
