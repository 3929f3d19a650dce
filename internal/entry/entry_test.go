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

func TestCallerGetsItsWholeAnswerAndAResubmissionTheSameJob(t *testing.T) {
	_, a, first, second := startTwo(t, echoTask)

	s := submission("s1", 20)
	var j, again apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	wantWhole(t, &j, s)
	assert.Equal(t, call(t, second, http.MethodPost, "/v1/jobs", s, &again), http.StatusOK)
	wantWhole(t, &again, s)
	assert.Equal(t, j.ID, again.ID)
	assert.Equal(t, a.startedTwice(), 0)

	s.Service = "other"
	var e apijob.Error
	assert.Equal(t, call(t, second, http.MethodPost, "/v1/jobs", s, &e), http.StatusConflict)
	assert.Equal(t, e.Code, apijob.CodeConflict)
	until(t, "the agent is told to forget the job", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.forgotten) == 1
	})
}

func TestJobOfAStoppedEntryEndsAtAnother(t *testing.T) {
	control, a, first, second := startTwo(t, holdTask)

	// 8 of 20 tasks start and are held; 12 wait at the entry when it is fenced.
	s := submission("s1", 20)
	var j, after apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", s, &j), http.StatusAccepted)
	until(t, "slots are used", func() bool { return a.startedTasks() == 8 })
	a.mu.Lock()
	a.run = echoTask
	a.mu.Unlock()
	control.End(first.follower.Incarnation())
	// The fake reports what it holds as done when the new owner claims.
	assert.Equal(t, call(t, second, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &after), http.StatusOK)
	wantWhole(t, &after, s)
	assert.Equal(t, call(t, first, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &after), http.StatusOK)
	wantWhole(t, &after, s)
	assert.Equal(t, a.startedTwice(), 0)
	until(t, "the fenced entry serves again", func() bool { return first.Ready() == nil })
}

func TestCancelThroughAnotherEntryFailsTheJob(t *testing.T) {
	_, _, first, second := startTwo(t, holdTask)
	var j, cancelled apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", submission("s1", 20), &j), http.StatusAccepted)
	assert.Equal(t, call(t, second, http.MethodDelete, "/v1/jobs/"+j.ID, nil, &cancelled), http.StatusOK)
	assert.Equal(t, cancelled.State, apijob.Failed)
	assert.Equal(t, cancelled.Failure.Reason, apijob.ReasonCancelled)
	assert.Equal(t, cancelled.Failure.NotRun, false)
}

func TestRefusalSaysNotRunOnlyWhenControlConfirmsIt(t *testing.T) {
	control, a, p := startOne(t, echoTask)
	s := submission("s1", 2)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	a.stop()
	control.End(a.follower.Incarnation())
	until(t, "the agent is gone", func() bool { return p.Dump().(*Status).Sessions == 0 })
	p.loop.post(refuse{})

	var e apijob.Error
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", submission("new", 2), &e), http.StatusServiceUnavailable)
	assert.Equal(t, e.NotRun, true)
	var again apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &again), http.StatusOK)
	assert.Equal(t, again.ID, j.ID)
	control.FailWith(func(string) error { return controlclient.ErrNotRun })
	defer control.FailWith(nil)
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", submission("new", 2), &e), http.StatusServiceUnavailable)
	assert.Equal(t, e.NotRun, false)
}

func TestUnknownAcceptIsResolvedAndNeverCalledNotRun(t *testing.T) {
	control, _, p := startOne(t, echoTask)
	// The record is made and its answer lost, for a while.
	lossy := &lossyControl{Control: control}
	lossy.lose.Store(true)
	p.loop.post(swapControl{control: lossy})
	s := submission("s1", 3)
	reply, err := p.submit(shortContext(t), specOf(s), digestOf(specOf(s)))
	assert.ErrorContains(t, err, "not known yet")
	assert.Equal(t, reply.kind, submitKind(0))
	lossy.lose.Store(false)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	wantWhole(t, &j, s)
}

func TestStopFinishesItsJobsAndLeaves(t *testing.T) {
	_, a, p := startOne(t, holdTask)
	s := submission("s1", 4)
	answered := make(chan *apijob.Job, 1)
	go func() {
		defer close(answered)
		var j apijob.Job
		call(t, p, http.MethodPost, "/v1/jobs", s, &j)
		answered <- &j
	}()
	until(t, "tasks are started", func() bool { return a.startedTasks() == 4 })
	incarnation := p.follower.Incarnation()
	stopped := make(chan struct{})
	go func() {
		stopEntry(p)
		close(stopped)
	}()
	until(t, "readiness fails", func() bool { return p.Ready() != nil })
	a.mu.Lock()
	for _, m := range a.held {
		a.update(a.session, m, wirepb.TaskOutcome_TASK_OUTCOME_DONE)
	}
	a.mu.Unlock()
	wantWhole(t, <-answered, s)
	<-stopped
	until(t, "control has ended it cleanly", func() bool {
		i := a.follower.View().Instances[incarnation]
		return i == nil || i.Ended && i.Clean
	})
}

func TestLostSessionIsResolvedByAQuery(t *testing.T) {
	_, a, p := startOne(t, holdTask)
	s := submission("s1", 4)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs?wait=0s", s, &j), http.StatusAccepted)
	until(t, "tasks are started", func() bool { return a.startedTasks() == 4 })
	a.mu.Lock()
	a.session.Close()
	a.mu.Unlock()
	assert.Equal(t, call(t, p, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &j), http.StatusOK)
	wantWhole(t, &j, s)
	assert.Equal(t, a.startedTwice(), 0)
}

func TestLostAgentFailsTheJobAndNothingStartsAgain(t *testing.T) {
	control, lost, p := startOne(t, holdTask)
	var j apijob.Job
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs?wait=0s", submission("s1", 12), &j), http.StatusAccepted)
	until(t, "slots are used", func() bool { return lost.startedTasks() == 8 })
	lost.stop()
	control.End(lost.follower.Incarnation())
	assert.Equal(t, call(t, p, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=20s", nil, &j), http.StatusOK)
	assert.Equal(t, j.State, apijob.Failed)
	assert.Equal(t, j.Failure.Reason, apijob.ReasonAgentLost)
	assert.Equal(t, j.Failure.NotRun, false)
	next := startAgent(t, control, "b", echoTask)
	connected(t, p, 1)
	s := submission("s2", 3)
	assert.Equal(t, call(t, p, http.MethodPost, "/v1/jobs", s, &j), http.StatusOK)
	wantWhole(t, &j, s)
	assert.Equal(t, next.startedTasks(), 3)
}

func TestStopAnswersThoseWhoWaitForOtherEntries(t *testing.T) {
	_, _, first, second := startTwo(t, holdTask)
	var j apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", submission("s1", 2), &j), http.StatusAccepted)
	status := make(chan int, 1)
	go func() {
		defer close(status)
		var waiting apijob.Job
		status <- call(t, second, http.MethodGet, "/v1/jobs/"+j.ID+"?wait=10m", nil, &waiting)
	}()
	until(t, "the caller waits", func() bool { return second.inFlight.Load() == 1 })
	stopEntry(second)
	assert.Equal(t, <-status, http.StatusAccepted)
}

func TestResourcesAreChangedByCompareAndSetAndWatched(t *testing.T) {
	control := newControl()
	p := startEntry(t, control, "e1")
	until(t, "ready", func() bool { return p.Ready() == nil })
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
