package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/internal/controlclient"
)

func TestCallerGetsItsWholeAnswerAndAResubmissionTheSameJob(t *testing.T) {
	control := newControl()
	a := startAgent(t, control, "a", echoTask)
	first, second := startEntry(t, control, "e1"), startEntry(t, control, "e2")
	connected(t, first, 1)
	connected(t, second, 1)

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
	control := newControl()
	a := startAgent(t, control, "a", holdTask)
	first, second := startEntry(t, control, "e1"), startEntry(t, control, "e2")
	connected(t, first, 1)
	connected(t, second, 1)

	// 8 of 20 tasks start and are held; 12 wait at the entry when it is fenced.
	s := submission("s1", 20)
	var j, after apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", s, &j), http.StatusAccepted)
	until(t, "slots are used", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.started) == 8
	})
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
	control := newControl()
	startAgent(t, control, "a", holdTask)
	first, second := startEntry(t, control, "e1"), startEntry(t, control, "e2")
	connected(t, first, 1)
	connected(t, second, 1)
	var j, cancelled apijob.Job
	assert.Equal(t, call(t, first, http.MethodPost, "/v1/jobs?wait=0s", submission("s1", 20), &j), http.StatusAccepted)
	assert.Equal(t, call(t, second, http.MethodDelete, "/v1/jobs/"+j.ID, nil, &cancelled), http.StatusOK)
	assert.Equal(t, cancelled.State, apijob.Failed)
	assert.Equal(t, cancelled.Failure.Reason, apijob.ReasonCancelled)
	assert.Equal(t, cancelled.Failure.NotRun, false)
}

func TestRefusalSaysNotRunOnlyWhenControlConfirmsIt(t *testing.T) {
	control := newControl()
	a := startAgent(t, control, "a", echoTask)
	p := startEntry(t, control, "e1")
	connected(t, p, 1)
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
	control := newControl()
	startAgent(t, control, "a", echoTask)
	p := startEntry(t, control, "e1")
	connected(t, p, 1)
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
	control := newControl()
	a := startAgent(t, control, "a", holdTask)
	p := startEntry(t, control, "e1")
	connected(t, p, 1)
	s := submission("s1", 4)
	answered := make(chan *apijob.Job, 1)
	go func() {
		var j apijob.Job
		call(t, p, http.MethodPost, "/v1/jobs", s, &j)
		answered <- &j
	}()
	until(t, "tasks are started", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.started) == 4
	})
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
