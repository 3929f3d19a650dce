package dispatcher

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/runtable"
	"endivewing/internal/steadytime"
	"endivewing/internal/wire"
)

// submitted is a caller's job.
type submitted struct {
	job    *dispatch.Job
	answer chan dispatch.Answer
}

func (e submitted) handle(l *loop, now time.Time) {
	if l.waits[e.job.ID] != nil {
		// The caller's earlier request is still served here. Once it is over the
		// job may begin anew.
		e.answer <- dispatch.Answer{Job: e.job, Result: dispatch.GivenUp, Reason: dispatch.ReasonDuplicate}
		return
	}
	l.waits[e.job.ID] = e.answer
	l.core.Submit(now, e.job)
}

// callerLeft: nobody waits for a job any more.
type callerLeft struct {
	job    string
	answer chan dispatch.Answer
}

func (e callerLeft) handle(l *loop, now time.Time) {
	if l.waits[e.job] != (chan<- dispatch.Answer)(e.answer) {
		return
	}
	l.core.Cancel(now, e.job)
}

// pendingAsked counts jobs of a queue that have not begun.
type pendingAsked struct {
	queue  string
	answer chan<- int
}

func (e pendingAsked) handle(l *loop, _ time.Time) { e.answer <- l.core.Unbegun(e.queue) }

// runnerConnected: a session with a runner has begun.
type runnerConnected struct {
	session *wire.Session
	link    *link
}

func (e runnerConnected) handle(l *loop, _ time.Time) {
	l.lastID++
	s := &session{wire: e.session, id: l.lastID, link: e.link}
	l.sessions[e.session] = s
	l.byID[s.id] = s
	l.askReports(s)
	l.p.opts.Log.Info("runner connected", "runner", e.link.name, "zone", e.link.zone)
}

// subsetChanged tells how many runners there are to work with.
type subsetChanged struct{ watches int }

func (e subsetChanged) handle(l *loop, _ time.Time) {
	if l.watches == e.watches {
		return
	}
	l.watches = e.watches
	for _, s := range l.sessions {
		l.askReports(s)
	}
}

// runnerLost: a session has ended.
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

// runnerReported: ends and room of a runner.
type runnerReported struct {
	session *wire.Session
	report  *wirepb.RunnerReport
}

func (e runnerReported) handle(l *loop, now time.Time) {
	s := l.sessions[e.session]
	if s == nil {
		return
	}
	room := e.report.Room
	s.stamp, s.heard = room.GetStampMs(), steadytime.Now()
	for _, end := range e.report.Ends {
		l.core.Ended(now, s.id, taskEnd(end))
	}
	l.core.Report(now, s.id, dispatch.Room{
		Name: s.link.name, Zone: s.link.zone, Service: room.GetService(), Endpoint: room.GetEndpoint(), Labels: room.GetLabels(),
		Capacity: need(room.GetCapacity()), Free: need(room.GetFree()), Ready: room.GetReady(), Placed: room.GetPlaced(),
		Pace: float64(room.GetPaceMilli()) / 1000, Suspicion: float64(room.GetSuspicionMilli()) / 1000,
	})
}

func need(n *wirepb.Need) runtable.Need {
	return runtable.Need{CPU: int64(n.GetCpuMilli()), Memory: int64(n.GetMemoryMb()), GPUs: int64(n.GetGpus())}
}

var outcomes = map[wirepb.RunOutcome]runtable.Outcome{
	wirepb.RunOutcome_RUN_OUTCOME_DONE:    runtable.Done,
	wirepb.RunOutcome_RUN_OUTCOME_FAILED:  runtable.Failed,
	wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN: runtable.NotRun,
	wirepb.RunOutcome_RUN_OUTCOME_STOPPED: runtable.Stopped,
}

func taskEnd(e *wirepb.TaskEnd) dispatch.TaskEnd {
	name := runtable.Name{Job: e.Job, Step: e.Step, Index: e.Index}
	return dispatch.TaskEnd{
		Ref:     runtable.Ref{Name: name, Run: e.Run},
		Outcome: outcomes[e.Outcome], Reason: e.Reason, Ran: time.Duration(e.RanMs) * time.Millisecond,
	}
}

// Dump is the state of a dispatcher, for people.
type Dump struct {
	Version uint64   `json:"version"`
	Jobs    int      `json:"jobs"`
	Waiting int      `json:"waiting"`
	Runners []string `json:"runners"`
	Ready   bool     `json:"ready"`
}

type dumpAsked struct{ answer chan<- Dump }

func (e dumpAsked) handle(l *loop, _ time.Time) {
	d := Dump{Version: l.p.Version(), Jobs: l.core.Jobs(), Waiting: l.core.Waiting(), Ready: l.p.Ready()}
	for _, s := range l.sessions {
		d.Runners = append(d.Runners, s.link.name)
	}
	e.answer <- d
}
