package dispatcher

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
	"endivewing/internal/dispatch"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// event is an input of the loop.
type event interface{ handle(l *loop, now time.Time) }

// loop makes the decisions. Only its goroutine accesses the fields.
type loop struct {
	p       *Process
	core    *dispatch.Dispatcher
	callers map[string]chan<- dispatch.Answer

	sessions map[*wire.Session]*session
	byID     map[dispatch.RunnerID]*session
	lastID   dispatch.RunnerID
	lastTick time.Duration
	// resumedAt is when the last pause of the process was noticed.
	resumedAt time.Duration
	// subsetSize is the number of runners that the dispatcher works with.
	subsetSize int
	// lastSurplusCheck is when sessions were last checked for surplus runners.
	lastSurplusCheck time.Time

	shared sharedJobs

	metrics loopMetrics
}

// session is a connection with a runner.
type session struct {
	wire *wire.Session
	id   dispatch.RunnerID
	link *link
	// reportStamp is the time on the runner's clock in its last report, in
	// milliseconds. reportedAt is when the report arrived, on the monotonic
	// clock.
	reportStamp int64
	reportedAt  time.Duration
}

// runnerClock returns a time that the runner's clock has certainly reached.
func (s *session) runnerClock(now time.Duration) int64 {
	return s.reportStamp + (now - s.reportedAt).Milliseconds()
}

// runnerName returns the name that the runner gave in this session. Another runner may
// have taken over the address since it was listed.
func (s *session) runnerName() string {
	if name := s.wire.Peer().GetName(); name != "" {
		return name
	}
	return s.link.name
}

type loopMetrics struct {
	scope       tally.Scope
	tasksPlaced tally.Counter
	// crashes counts tasks of jobs here under which a minion crashed.
	crashes               tally.Counter
	jobDuration           map[dispatch.Result]tally.Histogram
	openJobs, waitingJobs tally.Gauge
}

// jobDurationBuckets range from 10 ms to about 8 s.
var jobDurationBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 15)

func newLoop(p *Process) *loop {
	jobDuration := map[dispatch.Result]tally.Histogram{}
	for result, word := range resultNames {
		jobDuration[result] = p.opts.Scope.Tagged(map[string]string{"outcome": word}).Histogram("job_seconds", jobDurationBuckets)
	}
	return &loop{
		p:        p,
		core:     dispatch.New(p.opts.Zone),
		callers:  map[string]chan<- dispatch.Answer{},
		sessions: map[*wire.Session]*session{},
		shared:   newSharedJobs(),
		byID:     map[dispatch.RunnerID]*session{},
		lastTick: boottime.Now(),
		// A new process has no backlog.
		resumedAt: boottime.Now() - 2*backlogReadTime,
		metrics: loopMetrics{
			scope:       p.opts.Scope,
			tasksPlaced: p.opts.Scope.Counter("tasks_placed"),
			crashes:     p.opts.Scope.Counter("crashes_under_tasks"),
			jobDuration: jobDuration,
			openJobs:    p.opts.Scope.Gauge("jobs_open"),
			waitingJobs: p.opts.Scope.Gauge("jobs_waiting"),
		},
	}
}

func (l *loop) run() {
	defer close(l.p.ended)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	ticked := time.Now()
	for {
		select {
		case e := <-l.p.events:
			l.checkStall()
			e.handle(l, time.Now())
			l.handleBatch()
		case due := <-timer.C:
			l.checkLag(time.Since(due))
			l.tick()
			ticked = due
		case <-l.p.quit:
			return
		}
		l.flush()
		timer.Reset(time.Until(ticked.Add(l.tickPeriod())))
	}
}

// tickPeriod returns the time from one tick to the next.
func (l *loop) tickPeriod() time.Duration {
	if l.core.Jobs() == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// handleBatch handles queued events, so that they share one placement of the
// waiting tasks and its messages.
func (l *loop) handleBatch() {
	for range maxEventBatch {
		select {
		case e := <-l.p.events:
			e.handle(l, time.Now())
		default:
			return
		}
	}
}

func (l *loop) tick() {
	l.checkStall()
	l.lastTick = boottime.Now()
	now := time.Now()
	l.core.Tick(now)
	l.shareJobs(now)
	l.checkSurplus(now)
	l.metrics.openJobs.Update(float64(l.core.Jobs()))
	l.metrics.waitingJobs.Update(float64(l.core.WaitingJobs()))
}

// checkLag marks the process as busy while the loop runs late. The processor is
// then saturated, and a refusal costs a fraction of what a served job does.
func (l *loop) checkLag(lag time.Duration) {
	busy := l.p.busy.Load()
	switch {
	case !busy && lag > busyLag:
		l.p.busy.Store(true)
	case busy && lag < recoveredLag:
		l.p.busy.Store(false)
	default:
		return
	}
	l.p.opts.Log.Info("busy", "busy", !busy, "lag_ms", lag.Milliseconds(), "jobs", l.core.Jobs(), "events", len(l.p.events))
}

// checkStall ends all jobs after a pause of the process.
func (l *loop) checkStall() {
	now := boottime.Now()
	if gap := now - l.lastTick; gap > stallTimeout {
		l.p.opts.Log.Info("process stood still", "for", gap.String(), "jobs", l.core.Jobs())
		l.core.AbortAll(time.Now())
		l.lastTick, l.resumedAt = now, now
	}
}

// readsBacklog reports whether requests that are read now may be from before a
// pause of the process. Their callers may have sent the jobs elsewhere since.
func (l *loop) readsBacklog() bool { return boottime.Now()-l.resumedAt < backlogReadTime }

// checkSurplus retires runners that the dispatcher no longer works with. They
// get no more tasks, and the session is closed after the last of their tasks.
func (l *loop) checkSurplus(now time.Time) {
	if now.Sub(l.lastSurplusCheck) < surplusCheckInterval {
		return
	}
	l.lastSurplusCheck = now
	for _, s := range l.sessions {
		surplus := l.p.links.surplus(s.link, now)
		l.core.Retire(s.id, surplus)
		if surplus && l.core.Outstanding(s.id) == 0 {
			l.p.opts.Log.Info("runner given up", "runner", s.link.name, "watches", l.subsetSize)
			s.wire.Close()
		}
	}
}

// requestReports announces the dispatcher to a runner, which then sends it
// reports. The announcement contains the number of runners that the dispatcher
// works with.
func (l *loop) requestReports(s *session) {
	announce := l.p.announce()
	announce.Watches = uint32(l.subsetSize)
	l.send(s, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}})
}

// flush sends the output of the decisions.
func (l *loop) flush() {
	out := l.core.TakeOutput()
	now := boottime.Now()
	for _, lost := range out.LostRuns {
		l.logLostRun(lost)
	}
	for _, c := range out.Crashes {
		l.metrics.crashes.Inc(1)
		l.p.opts.Log.Info("task under which a minion crashed", "job", c.Job, "step", c.Step, "task", c.Index, "endpoint", c.Endpoint, "crashes", c.Crashes)
	}
	for _, p := range out.Placements {
		l.place(now, p)
	}
	for _, s := range out.Stops {
		l.stop(s)
	}
	for _, a := range out.Answers {
		l.answer(a)
	}
	l.p.runners.Store(int64(l.core.Runners()))
	l.p.checkStart()
}

func (l *loop) logLostRun(r dispatch.LostRun) {
	l.p.opts.Log.Info("lost run placed again", "job", r.Earlier.Job, "step", r.Earlier.Step, "task", r.Earlier.Index, "run", r.Earlier.Run,
		"runner", r.Runner, "since_ms", r.Since.Milliseconds(), "confirmed", r.Confirmed)
}

func (l *loop) place(now time.Duration, p dispatch.Placement) {
	s := l.byID[p.Runner]
	if s == nil {
		return // the event of the lost session is queued
	}
	message := placeTasks(p, s.runnerClock(now))
	l.metrics.tasksPlaced.Inc(int64(len(p.Runs)))
	if !l.send(s, &wirepb.Envelope{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: message}}) {
		l.p.opts.Log.Info("tasks not sent", "runner", s.link.name, "job", p.Job.ID, "step", p.Step, "tasks", len(p.Runs))
	}
}

// placeTasks returns the order for a placement. runnerClock is the present time on the
// runner's clock, in milliseconds.
func placeTasks(p dispatch.Placement, runnerClock int64) *wirepb.PlaceTasks {
	step := &p.Job.Steps[p.Step]
	return &wirepb.PlaceTasks{
		Job:            p.Job.ID,
		Step:           uint32(p.Step),
		Spec:           p.Job.Spec,
		Need:           step.Need.Message(),
		Tasks:          taskRuns(p.Runs),
		Key:            runnerClock + time.Until(p.Key).Milliseconds(),
		EstimateMs:     uint32(step.Estimate.Milliseconds()),
		WaitMs:         uint32(p.Wait.Milliseconds()),
		StampMs:        runnerClock,
		MinionRevision: p.MinionRevision,
	}
}

func taskRuns(refs []runtable.RunID) []*wirepb.TaskRun {
	runs := make([]*wirepb.TaskRun, len(refs))
	for i, ref := range refs {
		runs[i] = &wirepb.TaskRun{Index: ref.Index, Run: ref.Run}
	}
	return runs
}

func (l *loop) stop(stop dispatch.Stop) {
	s := l.byID[stop.Runner]
	if s == nil {
		return // the runner stops the tasks of a session that ended
	}
	message := &wirepb.StopTasks{Job: stop.Job, Step: uint32(stop.Step), Tasks: taskRuns(stop.Runs)}
	if !l.send(s, &wirepb.Envelope{Body: &wirepb.Envelope_StopTasks{StopTasks: message}}) {
		l.p.opts.Log.Info("stop not sent", "runner", s.link.name, "job", stop.Job)
	}
}

// send queues a message to a runner. It reports whether the session accepted it.
// If not, the session ends: the runner then stops the runs that it received on
// it, and the event of the loss, which follows, makes all of them unresolved.
func (l *loop) send(s *session, e *wirepb.Envelope) bool {
	err := s.wire.Send(wire.LaneTraffic, e)
	if err != nil {
		l.p.opts.Log.Info("message to runner not sent", "runner", s.link.name, "error", err.Error())
	}
	return err == nil
}

var resultNames = map[dispatch.Result]string{
	dispatch.Completed: "completed", dispatch.Failed: "failed", dispatch.GivenUp: "given_up", dispatch.Refused: "refused",
}

// answer records the result of a job and sends it to the caller.
func (l *loop) answer(a dispatch.Answer) {
	tags := map[string]string{"outcome": resultNames[a.Result], "reason": a.Reason}
	l.metrics.scope.Tagged(tags).Counter("jobs").Inc(1)
	now := time.Now()
	l.metrics.jobDuration[a.Result].RecordDuration(now.Sub(a.Job.Arrived))
	l.logAnswer(now, a)
	answer := l.callers[a.Job.ID]
	if a.Reason == dispatch.ReasonDuplicate {
		return // the event that submitted it has answered
	}
	delete(l.callers, a.Job.ID)
	if answer != nil {
		answer <- a
	}
}

// logAnswer logs the end of a job. For a job that was late or not completed it
// adds the state that led to the result.
func (l *loop) logAnswer(now time.Time, a dispatch.Answer) {
	took := now.Sub(a.Job.Arrived).Milliseconds()
	late := now.After(a.Job.Objective)
	if a.Result == dispatch.Completed && !late {
		l.p.opts.Log.Info("job completed", "job", a.Job.ID, "queue", a.Job.Queue, "took_ms", took, "starts", a.Starts)
		return
	}
	message := "job " + strings.ReplaceAll(resultNames[a.Result], "_", " ")
	if a.Result == dispatch.Completed {
		message = "job late"
	}
	free, capacity := l.core.CPUCapacity()
	l.p.opts.Log.Info(message, "job", a.Job.ID, "queue", a.Job.Queue, "outcome", resultNames[a.Result],
		"reason", a.Reason, "took_ms", took, "waited_ms", a.Waited.Milliseconds(),
		"objective_ms", a.Job.Objective.Sub(a.Job.Arrived).Milliseconds(), "starts", a.Starts, "lost", a.Lost,
		"waiting_jobs", l.core.WaitingJobs(), "runners", l.core.Runners(), "oldest_report_ms", l.oldestReport().Milliseconds(),
		"free_milli", free, "capacity_milli", capacity, "version", l.p.Version())
}

// oldestReport returns the age of the last report of the connected runner that
// has not reported for the longest time.
func (l *loop) oldestReport() time.Duration {
	now := boottime.Now()
	var oldest time.Duration
	for _, s := range l.sessions {
		if s.reportedAt != 0 {
			oldest = max(oldest, now-s.reportedAt)
		}
	}
	return oldest
}
