package gate

import "time"

// EndKind is how a request to the minion ended.
type EndKind uint8

const (
	// EndResult: the whole result arrived.
	EndResult EndKind = iota
	// EndError: the request was sent, at least in part, and has no result.
	EndError
	// EndUnsent: nothing of the request was sent, or the minion turned it away
	// before it started, so nothing of it ran.
	EndUnsent
)

// Ending is the end of a request to the minion.
type Ending struct {
	Key  Key
	Kind EndKind
	// Result is set for EndResult.
	Result []byte
	// Reason and Detail tell why there is no result.
	Reason Reason
	Detail string
	// Run is the time at the minion.
	Run time.Duration
}

// Ended takes in the end of a request that an earlier Start asked for.
func (g *Gate) Ended(now time.Duration, e Ending) {
	f := g.running[e.Key]
	if f == nil {
		return
	}
	delete(g.running, e.Key)
	r := f.job.find(e.Key.Task)
	g.land(now, f, r)
	g.finish(f, r, e)
	if r.unsafe() {
		g.unsafeTasks++
	}
	g.tell(f.job, r)
	g.sweep(f.job)
	if g.closed() == ReasonNone {
		g.pump(now)
	}
}

// finish writes the end into the record.
func (g *Gate) finish(f *flight, r *record, e Ending) {
	r.runUS = uint32(min(e.Run.Microseconds(), 1<<32-1))
	r.reason = e.Reason
	if f.stop != ReasonNone && e.Kind != EndResult {
		r.reason = f.stop
	}
	switch e.Kind {
	case EndResult:
		r.step(eventResult)
		r.reason = ReasonNone
		g.stats.Done++
	case EndUnsent:
		r.step(eventUnsent)
		g.stats.NotRun++
	default:
		r.step(eventError)
		g.stats.Failed++
	}
	if len(e.Result) > 0 || e.Detail != "" {
		r.ending = &ending{result: e.Result, detail: e.Detail}
		g.heldBytes += r.ending.bytes()
	}
}

func (e *ending) bytes() int { return len(e.result) + len(e.detail) }

// sweep drops a forgotten job when nothing of it is queued or running.
func (g *Gate) sweep(j *job) {
	if !j.forgotten || j.live > 0 || g.jobs[j.number] != j {
		return
	}
	for i := range j.tasks {
		r := &j.tasks[i]
		if r.unsafe() {
			g.unsafeTasks--
		}
		if r.ending != nil {
			g.heldBytes -= r.ending.bytes()
		}
	}
	delete(g.jobs, j.number)
	j.group.jobs--
}
