package dispatcher

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/runtable"
	"endivewing/internal/steadytime"
	"endivewing/internal/wire"
)

// event is one input of the loop.
type event interface{ handle(l *loop, now time.Time) }

// loop owns the decisions. Only its goroutine touches the fields.
type loop struct {
	p     *Process
	core  *dispatch.Dispatcher
	waits map[string]chan<- dispatch.Answer

	sessions map[*wire.Session]*session
	byID     map[dispatch.RunnerID]*session
	lastID   dispatch.RunnerID
	lastTick time.Duration
	// watches is the number of runners to work with.
	watches int
	// trimmed is when surplus runners were last looked at.
	trimmed time.Time

	metrics loopMetrics
}

// session is a connected runner.
type session struct {
	wire *wire.Session
	id   dispatch.RunnerID
	link *link
	// stamp is the runner's clock at the time heard on the own one.
	stamp int64
	heard time.Duration
}

// stampNow is a time that the runner's clock has surely reached.
func (s *session) stampNow(now time.Duration) int64 {
	return s.stamp + (now - s.heard).Milliseconds()
}

type loopMetrics struct {
	scope        tally.Scope
	placed       tally.Counter
	took         map[dispatch.Result]tally.Histogram
	open, queued tally.Gauge
}

// tookBuckets reach from 10 ms to some 8 s.
var tookBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 15)

func newLoop(p *Process) *loop {
	took := map[dispatch.Result]tally.Histogram{}
	for result, word := range resultWords {
		took[result] = p.opts.Scope.Tagged(map[string]string{"outcome": word}).Histogram("job_seconds", tookBuckets)
	}
	return &loop{
		p:        p,
		core:     dispatch.New(p.opts.Zone),
		waits:    map[string]chan<- dispatch.Answer{},
		sessions: map[*wire.Session]*session{},
		byID:     map[dispatch.RunnerID]*session{},
		lastTick: steadytime.Now(),
		metrics: loopMetrics{
			scope:  p.opts.Scope,
			placed: p.opts.Scope.Counter("tasks_placed"),
			took:   took,
			open:   p.opts.Scope.Gauge("jobs_open"),
			queued: p.opts.Scope.Gauge("jobs_waiting"),
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
			l.drain()
		case due := <-timer.C:
			l.checkLag(time.Since(due))
			l.tick()
			ticked = due
		case <-l.p.quit:
			return
		}
		l.flush()
		timer.Reset(time.Until(ticked.Add(l.tickGap())))
	}
}

// tickGap is how long after a tick the next one is due.
func (l *loop) tickGap() time.Duration {
	if l.core.Jobs() == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// drain takes events that wait, so that they share a look at the waiting tasks
// and their messages.
func (l *loop) drain() {
	for range eventBatch {
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
	l.lastTick = steadytime.Now()
	now := time.Now()
	l.core.Tick(now)
	l.trim(now)
	l.metrics.open.Update(float64(l.core.Jobs()))
	l.metrics.queued.Update(float64(l.core.Waiting()))
}

// checkLag closes the door while the loop runs late: the processor is used up,
// and refusing costs a fraction of what serving does.
func (l *loop) checkLag(lag time.Duration) {
	busy := l.p.busy.Load()
	switch {
	case !busy && lag > busyLag:
		l.p.busy.Store(true)
	case busy && lag < calmLag:
		l.p.busy.Store(false)
	default:
		return
	}
	l.p.opts.Log.Info("busy", "busy", !busy, "lag_ms", lag.Milliseconds(), "jobs", l.core.Jobs(), "events", len(l.p.events))
}

// checkStall gives all jobs up after a pause of the process.
func (l *loop) checkStall() {
	now := steadytime.Now()
	if gap := now - l.lastTick; gap > stallAfter {
		l.p.opts.Log.Info("process stood still", "for", gap.String(), "jobs", l.core.Jobs())
		l.core.Abandon(time.Now())
		l.lastTick = now
	}
}

// trim gives runners up that are no longer wanted: they get no more tasks, and
// the session ends with the last of them.
func (l *loop) trim(now time.Time) {
	if now.Sub(l.trimmed) < trimInterval {
		return
	}
	l.trimmed = now
	for _, s := range l.sessions {
		surplus := l.p.links.surplus(s.link, now)
		l.core.Retire(s.id, surplus)
		if surplus && l.core.Outstanding(s.id) == 0 {
			l.p.opts.Log.Info("runner given up", "runner", s.link.name, "watches", l.watches)
			s.wire.Close()
		}
	}
}

// askReports tells a runner who asks for reports, and of how many runners.
func (l *loop) askReports(s *session) {
	announce := l.p.announce()
	announce.Watches = uint32(l.watches)
	_ = s.wire.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_Announce{Announce: announce}})
}

// flush sends what was decided.
func (l *loop) flush() {
	out := l.core.Take()
	now := steadytime.Now()
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

func (l *loop) place(now time.Duration, p dispatch.Placement) {
	s := l.byID[p.Runner]
	if s == nil {
		return // its end is an event on its way
	}
	step := &p.Job.Steps[p.Step]
	stamp := s.stampNow(now)
	message := &wirepb.PlaceTasks{
		Job:  p.Job.ID,
		Step: uint32(p.Step),
		Spec: p.Job.Spec,
		Need: &wirepb.Need{
			CpuMilli: uint32(step.Need.CPU), MemoryMb: uint32(step.Need.Memory), Gpus: uint32(step.Need.GPUs),
		},
		Tasks:      taskRuns(p.Runs),
		Key:        stamp + time.Until(p.Key).Milliseconds(),
		EstimateMs: uint32(step.Estimate.Milliseconds()),
		WaitMs:     uint32(p.Wait.Milliseconds()),
		StampMs:    stamp,
	}
	l.metrics.placed.Inc(int64(len(p.Runs)))
	_ = s.wire.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: message}})
}

func taskRuns(refs []runtable.Ref) []*wirepb.TaskRun {
	runs := make([]*wirepb.TaskRun, len(refs))
	for i, ref := range refs {
		runs[i] = &wirepb.TaskRun{Index: ref.Index, Run: ref.Run}
	}
	return runs
}

func (l *loop) stop(stop dispatch.Stop) {
	s := l.byID[stop.Runner]
	if s == nil {
		return // the runner stops what was ordered on a session that ended
	}
	message := &wirepb.StopTasks{Job: stop.Job, Step: uint32(stop.Step), Tasks: taskRuns(stop.Runs)}
	_ = s.wire.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_StopTasks{StopTasks: message}})
}

var resultWords = map[dispatch.Result]string{
	dispatch.Completed: "completed", dispatch.Failed: "failed", dispatch.GivenUp: "given_up", dispatch.Refused: "refused",
}

// answer ends a job.
func (l *loop) answer(a dispatch.Answer) {
	tags := map[string]string{"outcome": resultWords[a.Result], "reason": a.Reason}
	l.metrics.scope.Tagged(tags).Counter("jobs").Inc(1)
	now := time.Now()
	l.metrics.took[a.Result].RecordDuration(now.Sub(a.Job.Arrived))
	l.logAnswer(now, a)
	answer := l.waits[a.Job.ID]
	if a.Reason == dispatch.ReasonDuplicate {
		return // answered by the event that brought it
	}
	delete(l.waits, a.Job.ID)
	if answer != nil {
		answer <- a
	}
}

// logAnswer writes a line for a job that ended; for one out of the ordinary with
// what decided it.
func (l *loop) logAnswer(now time.Time, a dispatch.Answer) {
	took := now.Sub(a.Job.Arrived).Milliseconds()
	late := now.After(a.Job.Objective)
	if a.Result == dispatch.Completed && !late {
		l.p.opts.Log.Info("job completed", "job", a.Job.ID, "queue", a.Job.Queue, "took_ms", took, "starts", a.Starts)
		return
	}
	message := "job " + strings.ReplaceAll(resultWords[a.Result], "_", " ")
	if a.Result == dispatch.Completed {
		message = "job late"
	}
	free, capacity := l.core.Load()
	l.p.opts.Log.Info(message, "job", a.Job.ID, "queue", a.Job.Queue, "outcome", resultWords[a.Result],
		"reason", a.Reason, "took_ms", took, "waited_ms", a.Waited.Milliseconds(),
		"objective_ms", a.Job.Objective.Sub(a.Job.Arrived).Milliseconds(), "starts", a.Starts, "lost", a.Lost,
		"waiting_jobs", l.core.Waiting(), "runners", l.core.Runners(), "oldest_report_ms", l.oldestReport().Milliseconds(),
		"free_milli", free, "capacity_milli", capacity, "version", l.p.Version())
}

// oldestReport is the age of the view of the runner that was heard longest ago.
func (l *loop) oldestReport() time.Duration {
	now := steadytime.Now()
	var oldest time.Duration
	for _, s := range l.sessions {
		if s.heard != 0 {
			oldest = max(oldest, now-s.heard)
		}
	}
	return oldest
}
