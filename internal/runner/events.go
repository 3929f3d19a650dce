package runner

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
	"endivewing/internal/steadytime"
	"endivewing/internal/wire"
)

// reported is a minion's word of itself.
type reported struct {
	report Report
	done   chan<- struct{}
}

func (r reported) handle(l *loop, now time.Time) {
	defer close(r.done)
	report := &r.report
	sameLife := report.Endpoint == l.life.Endpoint && report.Born == l.life.Born
	switch {
	case sameLife && report.Sequence <= l.life.Sequence && !l.life.known:
		l.p.opts.Log.Info("report of a life that left", "endpoint", report.Endpoint, "sequence", report.Sequence)
	case sameLife && l.life.known:
		l.refresh(now, report)
	case l.life.known && report.Born < l.life.Born:
		l.p.opts.Log.Info("report of an earlier life", "endpoint", report.Endpoint, "born", report.Born, "present", l.life.Born)
	default:
		l.begin(now, *report)
	}
}

// refresh takes a later report of the same life in.
func (l *loop) refresh(now time.Time, r *Report) {
	if r.Sequence < l.life.Sequence {
		return // overtaken on its way
	}
	if r.Draining != l.life.Draining || r.Capacity != l.life.Capacity {
		l.p.opts.Log.Info("minion changed", "endpoint", r.Endpoint, "draining", r.Draining,
			"cpu", r.Capacity.CPU, "running", l.table.Running())
	}
	l.life.Report = *r
	l.p.offer(r)
	l.describe(now)
	l.markStale()
}

// begin takes a new life of the minion in.
func (l *loop) begin(now time.Time, r Report) {
	l.p.opts.Log.Info("minion began", "endpoint", r.Endpoint, "born", r.Born, "service", r.Service,
		"cpu", r.Capacity.CPU, "labels", r.Labels, "draining", r.Draining)
	l.life = life{Report: r, known: true}
	l.lease.reset()
	l.lease.heard(now, r.Clock)
	l.table.Reboot(now)
	l.p.offer(&r)
	l.describe(now)
	l.markStale()
}

func (l *loop) markStale() {
	for _, d := range l.dispatchers {
		d.stale = true
	}
}

// left: a life of the minion has ended as planned.
type left struct{ endpoint string }

func (e left) handle(l *loop, now time.Time) {
	if e.endpoint != l.life.Endpoint {
		return
	}
	l.p.opts.Log.Info("minion left", "endpoint", e.endpoint, "running", l.table.Running())
	l.life.known = false
	l.table.Reboot(now)
	l.describe(now)
	l.markStale()
}

// dispatcherJoined: a dispatcher wants reports on a session, or says anew how
// many runners report to it.
type dispatcherJoined struct {
	session *wire.Session
	watches uint32
}

func (e dispatcherJoined) handle(l *loop, _ time.Time) {
	if known := l.dispatchers[e.session]; known != nil {
		known.gap = roomGap(e.watches)
		return
	}
	l.lastOwner++
	d := &dispatcher{session: e.session, owner: l.lastOwner, gap: roomGap(e.watches), stale: true}
	l.dispatchers[e.session] = d
	l.byOwner[d.owner] = d
	l.p.opts.Log.Info("dispatcher connected", "dispatcher", e.session.Peer().GetName())
}

// dispatcherLeft: a session has ended. What its dispatcher ordered is stopped,
// since its callers may ask elsewhere.
type dispatcherLeft struct{ session *wire.Session }

func (e dispatcherLeft) handle(l *loop, now time.Time) {
	d := l.dispatchers[e.session]
	if d == nil {
		return
	}
	delete(l.dispatchers, e.session)
	delete(l.byOwner, d.owner)
	l.p.opts.Log.Info("dispatcher lost", "dispatcher", e.session.Peer().GetName())
	l.table.DropOwner(now, d.owner)
}

// tasksPlaced gives tasks to the minion.
type tasksPlaced struct {
	session *wire.Session
	place   *wirepb.PlaceTasks
}

func (e tasksPlaced) handle(l *loop, now time.Time) {
	d := l.dispatchers[e.session]
	if d == nil {
		return // its session has ended: nobody waits
	}
	age := steadytime.Now() - time.Duration(e.place.StampMs)*time.Millisecond
	for _, t := range e.place.Tasks {
		d.placed++
		o := order(d.owner, e.place, t, now)
		if age > orderAge {
			l.table.Refuse(o, runtable.ReasonStale)
			continue
		}
		l.table.Place(now, o)
	}
	d.stale = true
}

func order(owner runtable.Owner, p *wirepb.PlaceTasks, t *wirepb.TaskRun, now time.Time) runtable.Order {
	return runtable.Order{
		Name: runtable.Name{Job: p.Job, Step: p.Step, Index: t.Index},
		Run:  t.Run, Owner: owner, Spec: p.Spec,
		Need: runtable.Need{
			CPU: int64(p.Need.GetCpuMilli()), Memory: int64(p.Need.GetMemoryMb()), GPUs: int64(p.Need.GetGpus()),
		},
		Key:      p.Key,
		Estimate: time.Duration(p.EstimateMs) * time.Millisecond,
		Expires:  now.Add(time.Duration(p.WaitMs) * time.Millisecond),
	}
}

// tasksStopped ends tasks of a job.
type tasksStopped struct {
	session *wire.Session
	stop    *wirepb.StopTasks
}

func (e tasksStopped) handle(l *loop, now time.Time) {
	d := l.dispatchers[e.session]
	if d == nil {
		return
	}
	if len(e.stop.Tasks) == 0 {
		l.table.StopJob(now, d.owner, e.stop.Job)
		return
	}
	for _, t := range e.stop.Tasks {
		l.table.Stop(now, d.owner, runtable.Name{Job: e.stop.Job, Step: e.stop.Step, Index: t.Index}, t.Run)
	}
}

// stopAsked: no more tasks; idle is closed when none is left.
type stopAsked struct{ idle chan<- struct{} }

func (e stopAsked) handle(l *loop, now time.Time) {
	if l.stopping {
		return
	}
	l.p.opts.Log.Info("runner stopping", "running", l.table.Running())
	l.stopping, l.idle = true, e.idle
	l.describe(now)
	l.markStale()
}

// Dump is the state of a runner, for people.
type Dump struct {
	Endpoint string `json:"endpoint"`
	// Known: the minion serves as far as is known.
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

type dumpAsked struct{ answer chan<- Dump }

func (e dumpAsked) handle(l *loop, _ time.Time) {
	d := Dump{
		Endpoint: l.life.Endpoint, Known: l.life.known, Ready: l.table.Ready(), Draining: l.life.Draining,
		Capacity: l.table.Capacity(), Free: l.table.Free(), Running: l.table.Running(), Open: l.table.Open(),
		Suspicion: l.table.Suspicion(), Pace: l.table.Pace(),
	}
	for s := range l.dispatchers {
		d.Dispatchers = append(d.Dispatchers, s.Peer().GetName())
	}
	slices.Sort(d.Dispatchers)
	e.answer <- d
}
