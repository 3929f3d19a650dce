package runner

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
	"endivewing/internal/steadytime"
	"endivewing/internal/wire"
)

// event is one input of the loop.
type event interface{ handle(l *loop, now time.Time) }

// loop owns the table. Only its goroutine touches the fields.
type loop struct {
	p     *Process
	table *runtable.Table
	life  life
	lease lease
	fence uint64

	dispatchers map[*wire.Session]*dispatcher
	byOwner     map[runtable.Owner]*dispatcher
	lastOwner   runtable.Owner

	// polling counts the calls under way that wait for ends.
	polling int
	looking bool
	// told is the offer that the last reports were made of.
	told offer
	// reached: the minion has answered lately; holdError is why it did not.
	reached   bool
	holdError string
	// doubted is when a call to the minion last went unanswered.
	doubted time.Time
	// stopping: no more tasks are taken; idle is closed once none is left.
	stopping bool
	idle     chan<- struct{}

	metrics loopMetrics
}

// offer is what a runner can give to dispatchers.
type offer struct {
	ready          bool
	free, capacity runtable.Need
}

// offerChange is how an offer differs from an earlier one.
type offerChange uint8

const (
	offerSame offerChange = iota
	// roomDiffers: only the free room does.
	roomDiffers
	// offerDiffers: readiness or capacity do; dispatchers have to know at once.
	offerDiffers
)

// life is the minion's present life; the zero value is none.
type life struct {
	Report
	known bool
}

// dispatcher is one session of a dispatcher.
type dispatcher struct {
	session *wire.Session
	owner   runtable.Owner
	// placed counts the tasks taken in on this session.
	placed uint64
	ends   []*wirepb.TaskEnd
	// stale: the room changed since the last report.
	stale    bool
	reported time.Time
	// gap is the shortest time between two reports of room alone.
	gap time.Duration
}

type loopMetrics struct {
	starts, unanswered, holds tally.Counter
	ends                      map[runtable.Outcome]tally.Counter
	running                   tally.Gauge
	ran                       tally.Histogram
}

func newLoop(p *Process) *loop {
	scope := p.opts.Scope
	ends := map[runtable.Outcome]tally.Counter{}
	for outcome, word := range outcomeWords {
		ends[outcome] = scope.Tagged(map[string]string{"outcome": word}).Counter("run_ends")
	}
	return &loop{
		p:           p,
		table:       runtable.New(),
		fence:       uint64(time.Now().UnixMilli()),
		dispatchers: map[*wire.Session]*dispatcher{},
		byOwner:     map[runtable.Owner]*dispatcher{},
		metrics: loopMetrics{
			starts:     scope.Counter("starts"),
			unanswered: scope.Counter("calls_unanswered"),
			holds:      scope.Counter("holds"),
			ends:       ends,
			running:    scope.Gauge("running"),
			ran:        scope.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)),
		},
	}
}

var outcomeWords = map[runtable.Outcome]string{
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
			e.handle(l, time.Now())
			l.drain()
		case now := <-timer.C:
			l.tick(now)
			ticked = now
		case <-l.p.quit:
			return
		}
		l.flush(time.Now())
		timer.Reset(time.Until(ticked.Add(l.tickGap())))
	}
}

// tickGap is how long after a tick the next one is due. A minion's host has
// little processor time, and most of its life nothing there has to be watched.
func (l *loop) tickGap() time.Duration {
	switch {
	case l.table.Unsettled():
		return tickInterval
	case l.table.Running() > 0:
		return workTickInterval
	default:
		return idleTickInterval
	}
}

// drain takes the events that wait, so that they share their reports.
func (l *loop) drain() {
	for range eventQueue {
		select {
		case e := <-l.p.events:
			e.handle(l, time.Now())
		default:
			return
		}
	}
}

func (l *loop) tick(now time.Time) {
	if l.lease.surelyEnded(now) && l.table.Running() > 0 {
		l.p.opts.Log.Info("lease ended", "endpoint", l.life.Endpoint, "runs", l.table.Running())
		l.table.Lapse(now)
	}
	l.table.Tick(now)
	l.describe(now)
}

// describe tells the table whether new tasks may start.
func (l *loop) describe(now time.Time) {
	if reached := l.lease.reachable(now); reached != l.reached {
		l.reached = reached
		l.p.opts.Log.Info("minion reachable", "endpoint", l.life.Endpoint, "reachable", reached,
			"silent_ms", now.Sub(l.lease.told).Milliseconds(), "last_error", l.holdError)
	}
	ready := l.life.known && !l.life.Draining && !l.stopping && l.lease.reachable(now)
	l.table.Describe(now, l.life.Capacity, ready)
}

// flush carries out what the table wants and reports.
func (l *loop) flush(now time.Time) {
	out := l.table.Take()
	for _, o := range out.Starts {
		l.start(now, o)
	}
	for _, ref := range out.Stops {
		l.stop(ref)
	}
	for _, end := range out.Ends {
		l.report(end)
	}
	if out.Look {
		l.look(now)
	}
	l.poll(now)
	l.sendReports(now, l.offerChange())
	if l.stopping && l.idle != nil && l.table.Open() == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// offerChange tells how the offer differs from the one told last.
func (l *loop) offerChange() offerChange {
	before := l.told
	l.told = offer{ready: l.table.Ready(), free: l.table.Free(), capacity: l.table.Capacity()}
	switch {
	case l.told == before:
		return offerSame
	case l.told.ready != before.ready || l.told.capacity != before.capacity:
		return offerDiffers
	default:
		return roomDiffers
	}
}

// report queues an end for the dispatcher that ordered the run.
func (l *loop) report(end runtable.End) {
	l.metrics.ends[end.Outcome].Inc(1)
	l.metrics.ran.RecordDuration(end.Ran)
	if end.Outcome != runtable.Done {
		l.p.opts.Log.Info("run ended", "job", end.Job, "task", end.Index, "run", end.Run,
			"outcome", outcomeWords[end.Outcome], "reason", end.Reason, "ran_ms", end.Ran.Milliseconds())
	}
	d := l.byOwner[end.Owner]
	if d == nil {
		return
	}
	d.ends = append(d.ends, &wirepb.TaskEnd{
		Job: end.Job, Step: end.Step, Index: end.Index, Run: end.Run,
		Outcome: outcomes[end.Outcome], Reason: end.Reason, RanMs: uint32(end.Ran.Milliseconds()),
	})
}

var outcomes = map[runtable.Outcome]wirepb.RunOutcome{
	runtable.Done:    wirepb.RunOutcome_RUN_OUTCOME_DONE,
	runtable.Failed:  wirepb.RunOutcome_RUN_OUTCOME_FAILED,
	runtable.NotRun:  wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN,
	runtable.Stopped: wirepb.RunOutcome_RUN_OUTCOME_STOPPED,
}

// roomGap is the shortest time between two reports of room alone to a dispatcher
// that gets them of a number of runners.
func roomGap(watches uint32) time.Duration {
	return min(time.Duration(watches)*time.Duration(watches)*reportGap, reportGapMost)
}

// sendReports sends ends and readiness at once, and room that changed at most
// every roomGap.
func (l *loop) sendReports(now time.Time, change offerChange) {
	var room *wirepb.Room
	for _, d := range l.dispatchers {
		d.stale = d.stale || change != offerSame
		due := d.stale && now.Sub(d.reported) >= d.gap
		if len(d.ends) == 0 && !due && change != offerDiffers {
			continue
		}
		if room == nil {
			room = l.room()
		}
		l.sendReport(now, d, room)
	}
}

func (l *loop) sendReport(now time.Time, d *dispatcher, room *wirepb.Room) {
	own := &wirepb.Room{
		Service: room.Service, Endpoint: room.Endpoint, Labels: room.Labels, Capacity: room.Capacity, Free: room.Free,
		Ready: room.Ready, Placed: d.placed, StampMs: room.StampMs, PaceMilli: room.PaceMilli, SuspicionMilli: room.SuspicionMilli,
	}
	report := &wirepb.RunnerReport{Ends: d.ends, Room: own}
	d.ends, d.stale, d.reported = nil, false, now
	_ = d.session.Send(wire.LaneTraffic, &wirepb.Envelope{Body: &wirepb.Envelope_RunnerReport{RunnerReport: report}})
}

func (l *loop) room() *wirepb.Room {
	l.metrics.running.Update(float64(l.table.Running()))
	return &wirepb.Room{
		Service:        l.life.Service,
		Endpoint:       l.life.Endpoint,
		Labels:         l.life.Labels,
		Capacity:       needMessage(l.table.Capacity()),
		Free:           needMessage(l.table.Free()),
		Ready:          l.table.Ready(),
		StampMs:        steadytime.Now().Milliseconds(),
		PaceMilli:      uint32(l.table.Pace() * 1000),
		SuspicionMilli: uint32(l.table.Suspicion() * 1000),
	}
}

// needMessage leaves out room that is less than none, as while the minion
// shrinks.
func needMessage(n runtable.Need) *wirepb.Need {
	return &wirepb.Need{
		CpuMilli: uint32(max(n.CPU, 0)), MemoryMb: uint32(max(n.Memory, 0)), Gpus: uint32(max(n.GPUs, 0)),
	}
}

// call runs one call to the minion in a goroutine of its own.
func (l *loop) call(timeout time.Duration, do func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		l.p.post(do(ctx))
	}()
}
