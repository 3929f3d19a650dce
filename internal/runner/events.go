package runner

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// reportReceived is the event of a report that the minion sent.
type reportReceived struct {
	report Report
	done   chan<- struct{}
}

func (r reportReceived) handle(l *loop, now time.Time) {
	defer close(r.done)
	if l.incarnation.number != 0 && r.report.id() == l.incarnation.id() {
		l.updateIncarnation(now, &r.report)
		return
	}
	l.propose(&r.report)
}

// updateIncarnation applies a later report of the present incarnation.
func (l *loop) updateIncarnation(now time.Time, r *Report) {
	if r.Sequence < l.incarnation.Sequence || l.incarnation.left && r.Sequence == l.incarnation.Sequence {
		l.p.opts.Log.Info("late report", "endpoint", r.Endpoint, "sequence", r.Sequence, "present", l.incarnation.Sequence,
			"left", l.incarnation.left)
		return
	}
	otherKind := !sameKind(&l.incarnation.Report, r)
	if otherKind || r.Draining != l.incarnation.Draining || r.Capacity != l.incarnation.Capacity || l.incarnation.left {
		l.p.opts.Log.Info("minion changed", "endpoint", r.Endpoint, "service", r.Service, "labels", r.Labels, "draining", r.Draining,
			"cpu", r.Capacity.CPU, "left", l.incarnation.left, "running", l.table.Running())
	}
	if otherKind {
		l.revision = l.revision.next()
		l.table.RefuseWaiting(now, runtable.ReasonMinionChanged)
	}
	l.incarnation.Report = *r
	l.incarnation.left = false
	l.p.announceIfChanged(r)
	l.updateReadiness(now)
	l.markStale()
}

func (l *loop) markStale() {
	for _, d := range l.dispatchers {
		d.stale = true
	}
}

// minionLeft is the event of a message that the minion has ended as planned. It may
// be delayed and names no start, so it is no proof that a run has ended: the minion
// gets no more work and is polled until its runs have ended.
type minionLeft struct{ endpoint string }

func (e minionLeft) handle(l *loop, now time.Time) {
	if e.endpoint != l.incarnation.Endpoint || !l.incarnation.known() {
		l.p.opts.Log.Info("leave ignored", "endpoint", e.endpoint, "present", l.incarnation.Endpoint)
		return
	}
	l.p.opts.Log.Info("minion left", "endpoint", e.endpoint, "running", l.table.Running())
	l.incarnation.left = true
	l.updateReadiness(now)
	l.markStale()
}

// dispatcherAnnounced is the event of a dispatcher that asks for reports on a
// session, or updates the number of runners that report to it.
type dispatcherAnnounced struct {
	session *wire.Session
	watches uint32
}

func (e dispatcherAnnounced) handle(l *loop, now time.Time) {
	if l.ended(e.session) {
		return // sent before the dispatcher gave the session up
	}
	if known := l.dispatchers[e.session]; known != nil {
		known.reportInterval = reportIntervalFor(e.watches)
		return
	}
	l.replaceEarlierSession(now, e.session)
	l.lastOwner++
	d := &dispatcher{session: e.session, owner: l.lastOwner, reportInterval: reportIntervalFor(e.watches), stale: true}
	d.silence = e.session.Silence
	d.crashes = l.rememberedCrashes(now)
	l.dispatchers[e.session] = d
	l.byOwner[d.owner] = d
	l.p.opts.Log.Info("dispatcher connected", "dispatcher", e.session.Peer().GetName())
}

// ended reports whether a session has ended or was replaced. Messages that it
// had sent before may still arrive.
func (l *loop) ended(session *wire.Session) bool {
	select {
	case <-session.Done():
		return true
	default:
		return l.replaced[session]
	}
}

// replaceEarlierSession ends the session that a dispatcher had before the given
// one. The dispatcher has one session at a time, so it has given the earlier one
// up, although the end of that session has not arrived here.
func (l *loop) replaceEarlierSession(now time.Time, session *wire.Session) {
	for earlier, d := range l.dispatchers {
		if earlier.Peer().GetName() != session.Peer().GetName() {
			continue
		}
		l.replaced[earlier] = true
		l.dropDispatcher(now, d, "replaced")
		go earlier.Close() // closing may block for a while
	}
}

// dispatcherDisconnected is the event of a session that has ended. The runs that
// its dispatcher ordered are stopped, since its callers may retry elsewhere.
type dispatcherDisconnected struct{ session *wire.Session }

func (e dispatcherDisconnected) handle(l *loop, now time.Time) {
	delete(l.replaced, e.session)
	if d := l.dispatchers[e.session]; d != nil {
		l.dropDispatcher(now, d, "session_ended")
	}
}

// dropDispatcher forgets a session and stops the runs that were ordered on it.
func (l *loop) dropDispatcher(now time.Time, d *dispatcher, reason string) {
	delete(l.dispatchers, d.session)
	delete(l.byOwner, d.owner)
	l.p.opts.Log.Info("dispatcher lost", "dispatcher", d.session.Peer().GetName(), "reason", reason)
	l.table.DropOwner(now, d.owner)
}

// placeTasksReceived is the event of an order to run tasks.
type placeTasksReceived struct {
	session *wire.Session
	place   *wirepb.PlaceTasks
}

func (e placeTasksReceived) handle(l *loop, now time.Time) {
	d := l.dispatchers[e.session]
	if d == nil || l.ended(e.session) {
		return // nobody waits for the tasks
	}
	refusal := l.refusalOf(e.place)
	if refusal != "" {
		l.logRefusal(d, e.place, refusal)
	}
	for _, t := range e.place.Tasks {
		d.placed++
		o := newOrder(d.owner, e.place, t, now)
		if refusal != "" {
			l.table.Refuse(o, refusal)
			continue
		}
		l.table.Place(now, o)
	}
	d.stale = true
}

// refusalOf returns why an order is refused as a whole, or an empty text: it may be
// outdated since it was delayed on its way.
func (l *loop) refusalOf(p *wirepb.PlaceTasks) string {
	switch {
	case orderAge(p) > maxOrderAge:
		return runtable.ReasonStale
	case l.revision.outdates(p):
		return runtable.ReasonMinionChanged
	default:
		return ""
	}
}

// logRefusal logs the state of the minion that an order was chosen by, and the present one.
func (l *loop) logRefusal(d *dispatcher, p *wirepb.PlaceTasks, reason string) {
	l.p.opts.Log.Info("order refused", "job", p.Job, "step", p.Step, "tasks", len(p.Tasks), "reason", reason,
		"dispatcher", d.session.Peer().GetName(), "endpoint", l.incarnation.Endpoint, "chosen_by", p.MinionRevision,
		"present", l.revision.number, "age_ms", orderAge(p).Milliseconds(), "changed_ms", (boottime.Now() - l.revision.began).Milliseconds())
}

// orderAge returns the time since an order was sent, at most a message's delivery time too
// much.
func orderAge(p *wirepb.PlaceTasks) time.Duration {
	return boottime.Now() - time.Duration(p.StampMs)*time.Millisecond
}

func newOrder(owner runtable.Owner, p *wirepb.PlaceTasks, t *wirepb.TaskRun, now time.Time) runtable.Order {
	return runtable.Order{
		TaskID: runtable.TaskID{Job: p.Job, Step: p.Step, Index: t.Index},
		Run:    t.Run, Owner: owner, Spec: p.Spec,
		Need:     runtable.NeedOf(p.Need),
		Key:      p.Key,
		Estimate: time.Duration(p.EstimateMs) * time.Millisecond,
		Expires:  now.Add(time.Duration(p.WaitMs) * time.Millisecond),
	}
}

// stopTasksReceived is the event of an order to stop tasks of a job. An order that
// lists no tasks stops all tasks of the job. One that lists runs also asks for
// the end of each of them, since their dispatcher lost an earlier session.
type stopTasksReceived struct {
	session *wire.Session
	stop    *wirepb.StopTasks
}

func (e stopTasksReceived) handle(l *loop, now time.Time) {
	d := l.dispatchers[e.session]
	if d == nil {
		return
	}
	if len(e.stop.Tasks) == 0 {
		l.table.StopJob(now, d.owner, e.stop.Job)
		return
	}
	for _, t := range e.stop.Tasks {
		name := runtable.TaskID{Job: e.stop.Job, Step: e.stop.Step, Index: t.Index}
		l.table.ConfirmEnd(now, d.owner, runtable.RunID{TaskID: name, Run: t.Run})
	}
}

// shutdownRequested is the event of a graceful stop. The runner accepts no more
// tasks and closes idle when none is left.
type shutdownRequested struct{ idle chan<- struct{} }

func (e shutdownRequested) handle(l *loop, now time.Time) {
	if l.stopping {
		return
	}
	l.p.opts.Log.Info("runner stopping", "running", l.table.Running())
	l.stopping, l.idle = true, e.idle
	l.updateReadiness(now)
	l.markStale()
}

// Dump is the state of a runner, for debugging.
type Dump struct {
	Endpoint string `json:"endpoint"`
	// Known reports whether the runner knows of an incarnation that has not left.
	Known       bool          `json:"known"`
	Ready       bool          `json:"ready"`
	Draining    bool          `json:"draining"`
	Capacity    runtable.Need `json:"capacity"`
	Free        runtable.Need `json:"free"`
	Running     int           `json:"running"`
	Open        int           `json:"open"`
	Suspicion   float64       `json:"suspicion"`
	Pace        float64       `json:"pace"`
	Dispatchers []string      `json:"dispatchers"`
}

type dumpRequested struct{ answer chan<- Dump }

func (e dumpRequested) handle(l *loop, _ time.Time) {
	d := Dump{
		Endpoint: l.incarnation.Endpoint, Known: l.incarnation.known(), Ready: l.table.Ready(), Draining: l.incarnation.Draining,
		Capacity: l.table.Capacity(), Free: l.table.Free(), Running: l.table.Running(), Open: l.table.OpenRuns(),
		Suspicion: l.table.FailureRate(), Pace: l.table.RuntimeRatio(),
	}
	for s := range l.dispatchers {
		d.Dispatchers = append(d.Dispatchers, s.Peer().GetName())
	}
	slices.Sort(d.Dispatchers)
	e.answer <- d
}
