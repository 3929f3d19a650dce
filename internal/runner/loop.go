package runner

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// event is an input of the loop. The loop's goroutine calls handle.
type event interface{ handle(l *loop, now time.Time) }

// loop owns the table of runs. Only its goroutine accesses the fields.
type loop struct {
	p           *Process
	table       *runtable.Table
	incarnation incarnation
	revision    minionRevision
	lease       lease
	// crash is the evidence of a crash of the present incarnation. crashes are those of
	// earlier ones that dispatchers that connect are told of, the oldest first.
	crash   crashEvidence
	crashes []rememberedCrash
	// leaseOverSince is when the lease of runs that have not ended was found to be
	// over; zero while it goes on.
	leaseOverSince time.Time
	fence          uint64
	clock          increasingClock

	dispatchers map[*wire.Session]*dispatcher
	byOwner     map[runtable.Owner]*dispatcher
	// replaced holds the sessions that a later session of the same dispatcher has
	// replaced, until their ends are handled.
	replaced map[*wire.Session]bool
	// silences returns for each owner of runs the time since its dispatcher was last
	// heard.
	silences  map[runtable.Owner]func() time.Duration
	lastOwner runtable.Owner

	// longPolls counts the polls of the present incarnation in progress that wait
	// for ends.
	longPolls int
	// immediatePollActive reports whether a poll of the present incarnation that
	// does not wait is in progress.
	immediatePollActive bool
	// reportedAvailability is the availability that the last reports were built
	// from.
	reportedAvailability availability
	// responsive reports whether the minion was reachable at the last update of the
	// readiness.
	responsive bool
	// candidates are the incarnations that the minion is to be asked about, in this
	// order. asking reports whether it is being asked about the first.
	candidates []*candidate
	asking     bool
	// mayHaveRestarted is set from a call that ended without an answer of the present
	// incarnation until its next list.
	mayHaveRestarted bool
	// lastList is when the last list of the present incarnation was written.
	lastList listTimes
	// lastPollError is the reason of the last failed poll.
	lastPollError string
	// lastUnanswered is when a call to the minion last ended without a reply.
	lastUnanswered time.Time
	// stopping reports whether the runner shuts down and accepts no more tasks.
	stopping bool
	// idle is closed once no task is left.
	idle chan<- struct{}

	metrics loopMetrics
}

// availability is what a runner offers to dispatchers.
type availability struct {
	ready          bool
	free, capacity runtable.Need
}

// availabilityChange is the difference between two availabilities.
type availabilityChange uint8

const (
	availabilityUnchanged availabilityChange = iota
	// freeChanged means that only the free capacity differs.
	freeChanged
	// readinessOrCapacityChanged means that readiness or total capacity differs.
	// Dispatchers need to know at once.
	readinessOrCapacityChanged
)

// dispatcher is a session with a dispatcher.
type dispatcher struct {
	session *wire.Session
	// silence returns the time since the dispatcher was last heard.
	silence func() time.Duration
	owner   runtable.Owner
	// placed counts the tasks received on this session.
	placed uint64
	// ends and crashes are those that the next report contains.
	ends    []*wirepb.TaskEnd
	crashes []*wirepb.MinionCrash
	// stale reports whether the free capacity may have changed since lastReport.
	stale      bool
	lastReport time.Time
	// reportInterval is the minimum time between two reports in which only the
	// free capacity differs.
	reportInterval time.Duration
}

type loopMetrics struct {
	starts, unanswered, polls tally.Counter
	// unknownRuns counts runs that a list of the minion contained and the table
	// did not.
	unknownRuns tally.Counter
	// stalls counts the times that the loop was late by stallLogThreshold.
	stalls tally.Counter
	// crashes counts crashes of the minion.
	crashes tally.Counter
	ends    map[runtable.Outcome]tally.Counter
	running tally.Gauge
	runTime tally.Histogram
}

func newLoop(p *Process) *loop {
	scope := p.opts.Scope
	ends := map[runtable.Outcome]tally.Counter{}
	for outcome, name := range outcomeNames {
		ends[outcome] = scope.Tagged(map[string]string{"outcome": name}).Counter("run_ends")
	}
	return &loop{
		p:           p,
		table:       runtable.New(),
		fence:       uint64(time.Now().UnixMilli()),
		dispatchers: map[*wire.Session]*dispatcher{},
		byOwner:     map[runtable.Owner]*dispatcher{},
		replaced:    map[*wire.Session]bool{},
		silences:    map[runtable.Owner]func() time.Duration{},
		metrics: loopMetrics{
			starts:      scope.Counter("starts"),
			unanswered:  scope.Counter("calls_unanswered"),
			polls:       scope.Counter("holds"),
			unknownRuns: scope.Counter("unknown_runs"),
			stalls:      scope.Counter("stalls"),
			crashes:     scope.Counter("minion_crashes"),
			ends:        ends,
			running:     scope.Gauge("running"),
			runTime:     scope.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)),
		},
	}
}

var outcomeNames = map[runtable.Outcome]string{
	runtable.Done: "done", runtable.Failed: "failed", runtable.NotRun: "not_run", runtable.Stopped: "stopped",
}

func (l *loop) run() {
	defer close(l.p.ended)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	ticked := time.Now()
	for {
		select {
		case e := <-l.p.events:
			e.handle(l, l.clock.now())
			l.handleQueued()
		case fired := <-timer.C:
			l.handleTimer(fired)
			ticked = fired
		case <-l.p.quit:
			return
		}
		l.flush(l.clock.now())
		timer.Reset(time.Until(ticked.Add(l.nextTickInterval())))
	}
}

// nextTickInterval returns the time from one tick to the next. It is longer when
// less has to be watched: a minion's host has little processor time, and most of
// the time nothing there has to be watched.
func (l *loop) nextTickInterval() time.Duration {
	switch {
	case l.table.InTransition():
		return tickInterval
	case l.table.Running() > 0:
		return runningTickInterval
	default:
		return idleTickInterval
	}
}

// handleQueued handles the events that are already queued, so that they share
// their reports.
func (l *loop) handleQueued() {
	for range eventQueueLength {
		select {
		case e := <-l.p.events:
			e.handle(l, l.clock.now())
		default:
			return
		}
	}
}

// handleTimer handles a tick that was due at the given time. The queued events come
// first: after a standstill, answers of the minion say how runs ended.
func (l *loop) handleTimer(due time.Time) {
	l.recordStall(time.Since(due))
	l.handleQueued()
	l.tick(l.clock.now())
}

// recordStall logs that the loop handled a tick late, since the process had no
// processor time or was suspended.
func (l *loop) recordStall(late time.Duration) {
	if late < stallLogThreshold {
		return
	}
	l.metrics.stalls.Inc(1)
	l.p.opts.Log.Info("process stood still", "late_ms", late.Milliseconds(), "runs", l.table.Running(), "events", len(l.p.events))
}

func (l *loop) tick(now time.Time) {
	l.lease.observe(now)
	l.checkLease(now)
	l.table.Tick(now)
	l.forgetSilences()
	l.updateReadiness(now)
}

// checkLease ends the runs of a lease that is over. A minion that can be asked says
// first how they ended.
func (l *loop) checkLease(now time.Time) {
	if l.table.Running() == 0 || !l.lease.expired(now) {
		l.leaseOverSince = time.Time{}
		return
	}
	if l.leaseOverSince.IsZero() {
		l.leaseOverSince = now
		l.table.RequireList(now)
	}
	if l.lease.reachable(now) && now.Sub(l.leaseOverSince) < listTimeout {
		return
	}
	l.p.opts.Log.Info("lease ended", "endpoint", l.incarnation.Endpoint, "runs", l.table.Running())
	l.leaseOver(now)
	l.fence++ // so that the minion refuses a start that is still on its way
	l.table.LeaseExpired(now)
}

// updateReadiness passes the minion's capacity to the table, and whether new
// tasks may start.
func (l *loop) updateReadiness(now time.Time) {
	if responsive := l.lease.reachable(now); responsive != l.responsive {
		l.responsive = responsive
		l.p.opts.Log.Info("minion reachable", "endpoint", l.incarnation.Endpoint, "reachable", responsive,
			"silent_ms", now.Sub(l.lease.recordedAt).Milliseconds(), "last_error", l.lastPollError)
	}
	l.table.UpdateMinion(now, l.incarnation.Capacity, l.mayStartRuns(now))
}

// mayStartRuns reports whether new runs may start: at a minion that takes work, can be
// reached and may be given a lease that is long enough.
func (l *loop) mayStartRuns(now time.Time) bool {
	takesWork := l.incarnation.known() && !l.incarnation.Draining && !l.stopping
	return takesWork && l.lease.reachable(now) && l.leaseLimit(now) >= minStartLease
}

// flush carries out the output of the table and sends reports.
func (l *loop) flush(now time.Time) {
	out := l.table.TakeOutput()
	for _, o := range out.Starts {
		l.sendStart(now, o)
	}
	for _, ref := range out.Stops {
		l.sendStop(ref)
	}
	for _, ref := range out.Unknown {
		l.metrics.unknownRuns.Inc(1)
		l.p.opts.Log.Info("unknown run at minion", "job", ref.Job, "task", ref.Index, "run", ref.Run, "endpoint", l.incarnation.Endpoint)
	}
	for _, end := range out.Ends {
		l.queueEnd(end)
	}
	if out.ListNow {
		l.pollNow(now)
	}
	l.keepPolling(now)
	l.sendReports(now, l.availabilityChange())
	if l.stopping && l.idle != nil && l.table.OpenRuns() == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// availabilityChange records the present availability and returns how it differs
// from the one recorded before.
func (l *loop) availabilityChange() availabilityChange {
	before := l.reportedAvailability
	l.reportedAvailability = availability{ready: l.table.Ready(), free: l.table.Free(), capacity: l.table.Capacity()}
	switch {
	case l.reportedAvailability == before:
		return availabilityUnchanged
	case l.reportedAvailability.ready != before.ready || l.reportedAvailability.capacity != before.capacity:
		return readinessOrCapacityChanged
	default:
		return freeChanged
	}
}

// queueEnd queues the end of a run for the dispatcher that ordered the run.
func (l *loop) queueEnd(end runtable.End) {
	l.metrics.ends[end.Outcome].Inc(1)
	l.metrics.runTime.RecordDuration(end.Ran)
	if end.Outcome != runtable.Done {
		l.p.opts.Log.Info("run ended", "job", end.Job, "task", end.Index, "run", end.Run, "endpoint", l.incarnation.Endpoint,
			"outcome", outcomeNames[end.Outcome], "reason", end.Reason, "ran_ms", end.Ran.Milliseconds())
	}
	d := l.byOwner[end.Owner]
	if d == nil {
		return
	}
	d.ends = append(d.ends, &wirepb.TaskEnd{
		Job: end.Job, Step: end.Step, Index: end.Index, Run: end.Run,
		Outcome: wireOutcomes[end.Outcome], Reason: end.Reason, RanMs: uint32(end.Ran.Milliseconds()),
	})
}

var wireOutcomes = map[runtable.Outcome]wirepb.RunOutcome{
	runtable.Done:    wirepb.RunOutcome_RUN_OUTCOME_DONE,
	runtable.Failed:  wirepb.RunOutcome_RUN_OUTCOME_FAILED,
	runtable.NotRun:  wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN,
	runtable.Stopped: wirepb.RunOutcome_RUN_OUTCOME_STOPPED,
}

// reportIntervalFor returns the minimum time between two reports in which only
// the free capacity differs, for a dispatcher that receives reports from the
// given number of runners.
func reportIntervalFor(watches uint32) time.Duration {
	return min(time.Duration(watches)*time.Duration(watches)*baseReportInterval, maxReportInterval)
}

// sendReports sends ends, crashes and changes of readiness or capacity at once. It sends a
// change of the free capacity at most once in the dispatcher's reportInterval.
func (l *loop) sendReports(now time.Time, change availabilityChange) {
	var roomMessage *wirepb.Room
	for _, d := range l.dispatchers {
		d.stale = d.stale || change != availabilityUnchanged
		due := d.stale && now.Sub(d.lastReport) >= d.reportInterval
		if len(d.ends) == 0 && len(d.crashes) == 0 && !due && change != readinessOrCapacityChanged {
			continue
		}
		if roomMessage == nil {
			roomMessage = l.roomMessage()
		}
		l.sendReport(now, d, roomMessage)
	}
}

func (l *loop) sendReport(now time.Time, d *dispatcher, common *wirepb.Room) {
	own := &wirepb.Room{
		Service: common.Service, Endpoint: common.Endpoint, Labels: common.Labels, Capacity: common.Capacity, Free: common.Free,
		Ready: common.Ready, Placed: d.placed, StampMs: common.StampMs, PaceMilli: common.PaceMilli, SuspicionMilli: common.SuspicionMilli,
		MinionRevision: common.MinionRevision,
	}
	report := &wirepb.RunnerReport{Ends: d.ends, Crashes: d.crashes, Room: own}
	d.ends, d.crashes, d.stale, d.lastReport = nil, nil, false, now
	err := d.session.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_RunnerReport{RunnerReport: report}})
	if err != nil {
		// The session ends, and the dispatcher does not take its runs as ended
		// until it has asked for them on its next session.
		l.p.opts.Log.Info("report not sent", "dispatcher", d.session.Peer().GetName(), "ends", len(report.Ends), "error", err.Error())
	}
}

// roomMessage returns the part of the capacity report that is the same for all
// dispatchers.
func (l *loop) roomMessage() *wirepb.Room {
	l.metrics.running.Update(float64(l.table.Running()))
	return &wirepb.Room{
		Service:        l.incarnation.Service,
		Endpoint:       l.incarnation.Endpoint,
		Labels:         l.incarnation.Labels,
		Capacity:       l.table.Capacity().Message(),
		Free:           l.table.Free().Message(),
		Ready:          l.table.Ready(),
		StampMs:        boottime.Now().Milliseconds(),
		PaceMilli:      uint32(l.table.RuntimeRatio() * 1000),
		SuspicionMilli: uint32(l.table.FailureRate() * 1000),
		MinionRevision: l.revision.number,
	}
}

// call performs a call to the minion in a goroutine of its own and enqueues
// the event that do returns.
func (l *loop) call(timeout time.Duration, do func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		l.p.enqueue(do(ctx))
	}()
}
