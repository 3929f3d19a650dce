package gate

import "time"

// EndKind is the way in which a request to the minion ended.
type EndKind uint8

const (
	// EndResult means that the whole result arrived.
	EndResult EndKind = iota
	// EndError means that the request was sent, at least in part, and that there
	// is no result.
	EndError
	// EndUnsent means that the task did not run: nothing of the request was sent,
	// or the minion rejected it before the start.
	EndUnsent
)

// RequestEnd describes the end of a request to the minion.
type RequestEnd struct {
	Key  Key
	Kind EndKind
	// Result is set for EndResult.
	Result []byte
	// Reason and Detail state why there is no result.
	Reason Reason
	Detail string
	// Run is the duration of the request.
	Run time.Duration
}

// HandleRequestEnd handles the end of a request that an earlier Start asked for.
func (g *Gate) HandleRequestEnd(now time.Duration, e RequestEnd) {
	f := g.running[e.Key]
	if f == nil {
		return
	}
	delete(g.running, e.Key)
	r := f.job.find(e.Key.Task)
	g.removeOutstanding(now, f, r)
	g.recordEnd(f, r, e)
	if r.blocksLeave() {
		g.unsafeTasks++
	}
	g.sendUpdate(f.job, r)
	g.removeForgotten(f.job)
}

// recordEnd writes the end of a request to the record of the task.
func (g *Gate) recordEnd(f *inFlightTask, r *taskRecord, e RequestEnd) {
	r.runUS = uint32(min(e.Run.Microseconds(), 1<<32-1))
	r.reason = e.Reason
	if f.stopReason != ReasonNone && e.Kind != EndResult {
		r.reason = f.stopReason
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
	g.dropEnd(r)
	if len(e.Result) > 0 || e.Detail != "" {
		r.end = &taskEnd{result: e.Result, detail: e.Detail}
		g.heldBytes += r.end.bytes()
	}
}

// dropEnd drops what is held of an earlier placement's end.
func (g *Gate) dropEnd(r *taskRecord) {
	if r.end != nil {
		g.heldBytes -= r.end.bytes()
		r.end = nil
	}
}

func (e *taskEnd) bytes() int { return len(e.result) + len(e.detail) }

// removeForgotten removes a forgotten job if none of its tasks is queued or
// running.
func (g *Gate) removeForgotten(j *job) {
	if !j.forgotten || j.inFlightTasks > 0 || g.jobs[j.number] != j {
		return
	}
	for i := range j.tasks {
		r := &j.tasks[i]
		if r.blocksLeave() {
			g.unsafeTasks--
		}
		g.dropEnd(r)
	}
	delete(g.jobs, j.number)
	j.group.jobs--
}
