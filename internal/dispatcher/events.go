package dispatcher

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
	"endivewing/internal/dispatch"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// jobSubmitted carries a caller's job.
type jobSubmitted struct {
	job    *dispatch.Job
	answer chan dispatch.Answer
}

func (e jobSubmitted) handle(l *loop, now time.Time) {
	if l.callers[e.job.ID] != nil {
		// An earlier request of the caller is still served. Once it has ended,
		// the job may be submitted again.
		e.answer <- dispatch.Answer{Job: e.job, Result: dispatch.GivenUp, Reason: dispatch.ReasonDuplicate}
		return
	}
	if l.readsBacklog() {
		l.p.opts.Log.Info("job from before a pause given up", "job", e.job.ID, "queue", e.job.Queue)
		e.answer <- dispatch.Answer{Job: e.job, Result: dispatch.GivenUp, Reason: dispatch.ReasonStalled}
		return
	}
	l.callers[e.job.ID] = e.answer
	l.submit(now, e.job)
}

// callerLeft is sent when the caller of a job stopped waiting.
type callerLeft struct {
	job    string
	answer chan dispatch.Answer
}

func (e callerLeft) handle(l *loop, now time.Time) {
	if l.callers[e.job] != (chan<- dispatch.Answer)(e.answer) {
		return
	}
	l.core.Cancel(now, e.job)
}

// pendingRequested asks for the number of jobs of a queue that have not
// started.
type pendingRequested struct {
	queue  string
	answer chan<- int
}

func (e pendingRequested) handle(l *loop, _ time.Time) { e.answer <- l.core.PendingJobs(e.queue) }

// runnerConnected is sent when a session with a runner has begun.
type runnerConnected struct {
	session *wire.Session
	link    *link
}

func (e runnerConnected) handle(l *loop, _ time.Time) {
	l.lastID++
	s := &session{wire: e.session, id: l.lastID, link: e.link}
	l.sessions[e.session] = s
	l.byID[s.id] = s
	l.requestReports(s)
	l.p.opts.Log.Info("runner connected", "runner", e.link.name, "zone", e.link.zone)
}

// subsetChanged carries the number of runners that the dispatcher works with.
type subsetChanged struct{ subsetSize int }

func (e subsetChanged) handle(l *loop, _ time.Time) {
	if l.subsetSize == e.subsetSize {
		return
	}
	l.subsetSize = e.subsetSize
	for _, s := range l.sessions {
		l.requestReports(s)
	}
}

// runnerLost is sent when a session has ended.
type runnerLost struct{ session *wire.Session }

func (e runnerLost) handle(l *loop, now time.Time) {
	s := l.sessions[e.session]
	if s == nil {
		return
	}
	delete(l.sessions, e.session)
	delete(l.byID, s.id)
	l.p.opts.Log.Info("runner lost", "runner", s.link.name)
	l.core.RunnerLost(now, s.id)
}

// runnerReported carries the crashes, the ends and the free capacity that a runner reports.
type runnerReported struct {
	session *wire.Session
	report  *wirepb.RunnerReport
}

func (e runnerReported) handle(l *loop, now time.Time) {
	s := l.sessions[e.session]
	if s == nil {
		return
	}
	status := e.report.Room
	s.reportStamp, s.reportedAt = status.GetStampMs(), boottime.Now()
	for _, c := range e.report.Crashes {
		if n := len(c.Runs); n > dispatch.MaxCrashRuns {
			l.p.opts.Log.Info("crash with too many runs, the first left out", "runner", s.link.name, "endpoint", c.Endpoint, "runs", n)
		}
		l.core.MinionCrashed(now, crash(c))
	}
	for _, end := range e.report.Ends {
		l.core.RunEnded(now, s.id, taskEnd(end))
	}
	l.core.UpdateRunner(now, s.id, dispatch.RunnerStatus{
		Name: s.runnerName(), Zone: s.link.zone, Service: status.GetService(), Endpoint: status.GetEndpoint(), Labels: status.GetLabels(),
		Capacity: runtable.NeedOf(status.GetCapacity()), Free: runtable.NeedOf(status.GetFree()), Ready: status.GetReady(), Placed: status.GetPlaced(),
		MinionRevision: status.GetMinionRevision(),
		RuntimeRatio:   float64(status.GetPaceMilli()) / 1000, FailureRate: float64(status.GetSuspicionMilli()) / 1000,
	})
}

var outcomes = map[wirepb.RunOutcome]runtable.Outcome{
	wirepb.RunOutcome_RUN_OUTCOME_DONE:    runtable.Done,
	wirepb.RunOutcome_RUN_OUTCOME_FAILED:  runtable.Failed,
	wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN: runtable.NotRun,
	wirepb.RunOutcome_RUN_OUTCOME_STOPPED: runtable.Stopped,
}

func crash(c *wirepb.MinionCrash) dispatch.Crash {
	out := dispatch.Crash{Endpoint: c.Endpoint, StartedUnixMs: c.StartedUnixMs, MayNotHaveBegun: map[runtable.RunID]bool{}}
	for _, r := range c.Runs {
		name := runtable.TaskID{Job: r.Job, Step: r.Step, Index: r.Index}
		run := runtable.RunID{TaskID: name, Run: r.Run}
		out.Runs = append(out.Runs, run)
		out.MayNotHaveBegun[run] = !r.Begun
	}
	return out
}

func taskEnd(e *wirepb.TaskEnd) dispatch.TaskEnd {
	name := runtable.TaskID{Job: e.Job, Step: e.Step, Index: e.Index}
	return dispatch.TaskEnd{
		RunID:   runtable.RunID{TaskID: name, Run: e.Run},
		Outcome: outcomes[e.Outcome], Reason: e.Reason, Ran: time.Duration(e.RanMs) * time.Millisecond,
	}
}

// Dump is the debug state of a dispatcher.
type Dump struct {
	Version uint64   `json:"version"`
	Jobs    int      `json:"jobs"`
	Waiting int      `json:"waiting"`
	Runners []string `json:"runners"`
	Ready   bool     `json:"ready"`
}

type dumpRequested struct{ answer chan<- Dump }

func (e dumpRequested) handle(l *loop, _ time.Time) {
	d := Dump{Version: l.p.Version(), Jobs: l.core.Jobs(), Waiting: l.core.WaitingJobs(), Ready: l.p.Ready()}
	for _, s := range l.sessions {
		d.Runners = append(d.Runners, s.link.name)
	}
	e.answer <- d
}
