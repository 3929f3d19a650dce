package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/api/resource"
	"endivewing/internal/controlclient"
)

func TestSubmitReturnsCompleteJobAndResubmissionReturnsTheSameJob(t *testing.T) {
	_, a, first, second := startAgentAndTwoEntries(t, echoTask)

	s := newSubmission("s1", 20)
	var j, again apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	assertComplete(t, &j, s)
	assert.Equal(t, call(t, second, http.MethodPost, "/v1/jobs", s, &again), http.StatusOK)
	assertComplete(t, &again, s)
	assert.Equal(t, j.ID, again.ID)
	assert.Equal(t, a.countRestarted(), 0)

	s.Service = "other"
	var e apijob.Error
	assert.Equal(t, call(t, second, http.MethodPost, "/v1/jobs", s, &e), http.StatusConflict)
	assert.Equal(t, e.Code, apijob.CodeConflict)
	waitUntil(t, "the agent is asked to forget the job", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.forgotten) == 1
	})
}

func TestJobOfAFencedEntryCompletesAtAnother(t *testing.T) {
	control, a, first, second := startAgentAndTwoEntries(t, holdTask)

	// 8 of the 20 tasks have started and not ended when the entry is fenced. The
	// other 12 wait at the entry.
	s := newSubmission("s1", 20)
	var j, after apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", s, &j), http.StatusAccepted)
	waitUntil(t, "slots are used", func() bool { return a.countStarted() == 8 })
	a.mu.Lock()
	a.run = echoTask
	a.mu.Unlock()
	control.EndIncarnation(first.follower.Incarnation())
	// The fake agent reports the started tasks as done when the new owner claims
	// the group.
	assert.Equal(t, call(t, second, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &after), http.StatusOK)
	assertComplete(t, &after, s)
	assert.Equal(t, call(t, first, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &after), http.StatusOK)
	assertComplete(t, &after, s)
	assert.Equal(t, a.countRestarted(), 0)
	waitUntil(t, "the fenced entry is ready again", func() bool { return first.Ready() == nil })
}

func TestCancelThroughAnotherEntryFailsTheJob(t *testing.T) {
	_, _, first, second := startAgentAndTwoEntries(t, holdTask)
	var j, cancelled apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", newSubmission("s1", 20), &j), http.StatusAccepted)
	assert.Equal(t, call(t, second, http.MethodDelete, "/v1/jobs/"+j.ID, nil, &cancelled), http.StatusOK)
	assert.Equal(t, cancelled.State, apijob.Failed)
	assert.Equal(t, cancelled.Failure.Reason, apijob.ReasonCancelled)
	assert.Equal(t, cancelled.Failure.NotRun, false)
}

func TestRefusalSaysNotRunOnlyWhenControlConfirmsIt(t *testing.T) {
	control, a, p := startAgentAndEntry(t, echoTask)
	s := newSubmission("s1", 2)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	a.crash()
	control.EndIncarnation(a.follower.Incarnation())
	waitUntil(t, "the session to the agent has ended", func() bool { return p.Dump().(*Status).Sessions == 0 })
	p.loop.enqueue(refuseRequested{})

	var e apijob.Error
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", newSubmission("new", 2), &e), http.StatusServiceUnavailable)
	assert.Equal(t, e.NotRun, true)
	var again apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &again), http.StatusOK)
	assert.Equal(t, again.ID, j.ID)
	control.FailWith(func(string) error { return controlclient.ErrNotRun })
	defer control.FailWith(nil)
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", newSubmission("new", 2), &e), http.StatusServiceUnavailable)
	assert.Equal(t, e.NotRun, false)
}

func TestAcceptWithUnknownOutcomeIsResolvedAndNeverReportedNotRun(t *testing.T) {
	control, _, p := startAgentAndEntry(t, echoTask)
	// Control accepts the job, but its responses are lost until loseReplies is
	// cleared.
	lossy := &lossyControl{Control: control}
	lossy.loseReplies.Store(true)
	p.loop.enqueue(controlClientReplaced{control: lossy})
	s := newSubmission("s1", 3)
	reply, err := p.submit(shortContext(t), specOf(s), digestOf(specOf(s)))
	assert.ErrorContains(t, err, "not known yet")
	assert.Equal(t, reply.outcome, submitOutcome(0))
	lossy.loseReplies.Store(false)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	assertComplete(t, &j, s)
}

func TestStopWaitsForOwnedJobsAndLeavesCleanly(t *testing.T) {
	_, a, p := startAgentAndEntry(t, holdTask)
	s := newSubmission("s1", 4)
	answered := make(chan *apijob.Job, 1)
	go func() {
		defer close(answered)
		var j apijob.Job
		call(t, p, http.MethodPost, "/v1/jobs", s, &j)
		answered <- &j
	}()
	waitUntil(t, "tasks are started", func() bool { return a.countStarted() == 4 })
	incarnation := p.follower.Incarnation()
	stopped := make(chan struct{})
	go func() {
		stopEntry(p)
		close(stopped)
	}()
	waitUntil(t, "readiness fails", func() bool { return p.Ready() != nil })
	a.mu.Lock()
	for _, m := range a.received {
		a.sendUpdate(a.session, m, wirepb.TaskOutcome_TASK_OUTCOME_DONE)
	}
	a.mu.Unlock()
	assertComplete(t, <-answered, s)
	<-stopped
	waitUntil(t, "control has ended the incarnation cleanly", func() bool {
		i := a.follower.View().Instances[incarnation]
		return i == nil || i.Ended && i.Clean
	})
}

func TestLostSessionIsResolvedByAQuery(t *testing.T) {
	_, a, p := startAgentAndEntry(t, holdTask)
	s := newSubmission("s1", 4)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs?wait=0s", s, &j), http.StatusAccepted)
	waitUntil(t, "tasks are started", func() bool { return a.countStarted() == 4 })
	a.mu.Lock()
	a.session.Close()
	a.mu.Unlock()
	assert.Equal(t, call(t, p, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &j), http.StatusOK)
	assertComplete(t, &j, s)
	assert.Equal(t, a.countRestarted(), 0)
}

func TestLostAgentFailsTheJobAndNoTaskIsRestarted(t *testing.T) {
	control, lost, p := startAgentAndEntry(t, holdTask)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs?wait=0s", newSubmission("s1", 12), &j), http.StatusAccepted)
	waitUntil(t, "slots are used", func() bool { return lost.countStarted() == 8 })
	lost.crash()
	control.EndIncarnation(lost.follower.Incarnation())
	assert.Equal(t, call(t, p, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &j), http.StatusOK)
	assert.Equal(t, j.State, apijob.Failed)
	assert.Equal(t, j.Failure.Reason, apijob.ReasonAgentLost)
	assert.Equal(t, j.Failure.NotRun, false)
	next := startAgent(t, control, "b", echoTask)
	waitConnected(t, p, 1)
	s := newSubmission("s2", 3)
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	assertComplete(t, &j, s)
	assert.Equal(t, next.countStarted(), 3)
}

func TestStopAnswersCallersWaitingForJobsOfOtherEntries(t *testing.T) {
	_, _, first, second := startAgentAndTwoEntries(t, holdTask)
	var j apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", newSubmission("s1", 2), &j), http.StatusAccepted)
	status := make(chan int, 1)
	go func() {
		defer close(status)
		var waiting apijob.Job
		status <- call(t, second, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=10m", nil, &waiting)
	}()
	waitUntil(t, "the caller waits", func() bool { return second.requestsInFlight.Load() == 1 })
	stopEntry(second)
	assert.Equal(t, <-status, http.StatusAccepted)
}

func TestResourcesAreChangedByCompareAndSetAndWatched(t *testing.T) {
	control := newControl()
	p := startEntry(t, control, "e1")
	waitUntil(t, "the entry is ready", func() bool { return p.Ready() == nil })
	var created, again resource.Object
	body := &resource.Object{Spec: json.RawMessage(`{"weight":3}`)}
	assert.Equal(t, call(t, p, http.MethodPut, "/v1/teams/proofs", body, &created), http.StatusOK)

	var e apijob.Error
	assert.Equal(t, call(t, p, http.MethodPut, "/v1/teams/proofs", body, &e), http.StatusConflict)
	assert.Equal(t, e.ResourceVersion, created.Metadata.ResourceVersion)
	body.Metadata.ResourceVersion = created.Metadata.ResourceVersion
	body.Spec = json.RawMessage(`{"weight":4}`)
	assert.Equal(t, call(t, p, http.MethodPut, "/v1/teams/proofs", body, &again), http.StatusOK)

	var list resource.List
	watch := "/v1/teams?wait=20s&watch=" + created.Metadata.ResourceVersion
	assert.Equal(t, call(t, p, http.MethodGet, watch, nil, &list), http.StatusOK)
	assert.Equal(t, len(list.Items), 1)
	assert.Equal(t, list.Items[0].Metadata.ResourceVersion, again.Metadata.ResourceVersion)
	assert.Equal(t, call(t, p, http.MethodDelete, "/v1/teams/proofs?resourceVersion="+created.Metadata.ResourceVersion, nil, &e), http.StatusConflict)
	assert.Equal(t, call(t, p, http.MethodDelete, "/v1/teams/proofs?resourceVersion="+again.Metadata.ResourceVersion, nil, nil), http.StatusOK)
	watch = "/v1/teams?wait=20s&watch=" + list.ResourceVersion
	assert.Equal(t, call(t, p, http.MethodGet, watch, nil, &list), http.StatusOK)
	assert.Equal(t, len(list.Items), 0)
}
