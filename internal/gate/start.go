package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// StartTask takes in a request to start a task.
func (g *Gate) StartTask(now time.Duration, from SessionID, m *wirepb.StartTask) {
	if m.Incarnation != g.incarnation {
		// An answer could be false for the incarnation that is meant.
		g.stats.Dropped++
		return
	}
	gr := g.enter(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	g.raiseFloor(now, gr, m.OpenFrom)
	j := g.job(gr, m.Job)
	if j == nil {
		return
	}
	r := j.insert(m.Task)
	if r.covers(m.Epoch, m.Attempt) {
		g.stats.Copies++
		g.tell(j, r)
		return
	}
	r.epoch, r.attempt, r.reason = m.Epoch, m.Attempt, ReasonNone
	if reason := g.refusal(m); reason != ReasonNone {
		g.refuse(j, r, reason)
		return
	}
	g.accept(now, j, r, m)
}

// refusal is why a new task can't be taken in; ReasonNone when it can.
func (g *Gate) refusal(m *wirepb.StartTask) Reason {
	if reason := g.closed(); reason != ReasonNone {
		return reason
	}
	if g.services != nil && !g.services[m.Service] {
		return ReasonUnknownService
	}
	if g.hasFreeSlot() {
		return ReasonNone
	}
	if g.queue.tasks >= g.limits.QueueTasks || g.queue.bytes+len(m.Payload) > g.limits.QueueBytes {
		return ReasonQueueFull
	}
	return ReasonNone
}

// hasFreeSlot tells whether a new task can start before none that waits.
func (g *Gate) hasFreeSlot() bool { return g.queue.tasks == 0 && len(g.running) < g.limit() }

// accept starts a task, or queues it when no slot is free.
func (g *Gate) accept(now time.Duration, j *job, r *record, m *wirepb.StartTask) {
	f := &flight{job: j, request: m, bytes: len(m.Payload), owner: j.group.owner}
	if m.BudgetMs > 0 {
		f.deadline = now + time.Duration(m.BudgetMs)*time.Millisecond
	}
	g.timer.add(f.deadline)
	r.flight = f
	j.live++
	g.unsafeTasks++
	g.begun(now, f)
	if g.hasFreeSlot() {
		g.start(now, f, r)
		return
	}
	r.step(eventEnqueue)
	g.queue.push(f)
	f.tellAt = now + tellWaitAfter
	g.timer.add(f.tellAt)
}

// tellWaitAfter is how long a task waits before its owner is told, so that it
// can recall the task. Short waits cost no message.
const tellWaitAfter = time.Second

// start hands a task to the minion. This is the only place that does.
func (g *Gate) start(now time.Duration, f *flight, r *record) {
	if !r.step(eventStart) {
		return
	}
	if f.deadline == 0 && g.limits.MaxRun > 0 {
		f.deadline = now + g.limits.MaxRun
		g.timer.add(f.deadline)
	}
	g.running[f.key()] = f
	g.stats.Started++
	g.actions.Starts = append(g.actions.Starts, Start{Key: f.key(), Request: f.request, Deadline: f.deadline})
}

// pump starts queued tasks while slots are free.
func (g *Gate) pump(now time.Duration) {
	for g.queue.head != nil && len(g.running) < g.limit() {
		f := g.queue.head
		g.queue.remove(f)
		g.start(now, f, f.job.find(f.request.Task))
	}
}

// flushQueue refuses all that waits.
func (g *Gate) flushQueue(now time.Duration, reason Reason) {
	for g.queue.head != nil {
		g.dequeue(now, g.queue.head, reason)
	}
}

// dequeue ends a queued task as not run.
func (g *Gate) dequeue(now time.Duration, f *flight, reason Reason) {
	g.queue.remove(f)
	r := f.job.find(f.request.Task)
	g.land(now, f, r)
	g.refuse(f.job, r, reason)
	g.sweep(f.job)
}

// refuse makes a task not run and tells the owner.
func (g *Gate) refuse(j *job, r *record, reason Reason) {
	if !r.step(eventRefuse) {
		return
	}
	r.reason = reason
	g.stats.NotRun++
	g.tell(j, r)
}

// expire ends what is past its deadline: queued tasks are not run, running
// ones are stopped.
func (g *Gate) expire(now time.Duration) {
	if !g.timer.due(now) {
		return
	}
	g.timer.next = 0
	for f := g.queue.head; f != nil; {
		next := f.next
		g.expireQueued(now, f)
		f = next
	}
	for _, f := range g.running {
		switch {
		case f.stop != ReasonNone:
		case f.deadline != 0 && now >= f.deadline:
			g.stop(f, ReasonDeadline)
		default:
			g.timer.add(f.deadline)
		}
	}
}

// expireQueued ends a queued task at its deadline, and tells a long wait once.
func (g *Gate) expireQueued(now time.Duration, f *flight) {
	if f.deadline != 0 && now >= f.deadline {
		g.dequeue(now, f, ReasonDeadline)
		return
	}
	if f.tellAt != 0 && now >= f.tellAt {
		f.tellAt = 0
		g.tell(f.job, f.job.find(f.request.Task))
	}
	g.timer.add(f.tellAt)
	g.timer.add(f.deadline)
}

// stop asks the minion to stop a running task, once.
func (g *Gate) stop(f *flight, reason Reason) {
	r := f.job.find(f.request.Task)
	if !r.step(eventStop) {
		return
	}
	f.stop = reason
	g.actions.Stops = append(g.actions.Stops, f.key())
}

// begun and land keep the entry's outstanding tasks; land also takes the task
// out of its record.
func (g *Gate) begun(now time.Duration, f *flight) {
	if s := g.owners[f.owner]; s != nil {
		g.lending.Begun(now, s.id)
	}
}

func (g *Gate) land(now time.Duration, f *flight, r *record) {
	r.flight = nil
	f.job.live--
	g.unsafeTasks--
	if s := g.owners[f.owner]; s != nil {
		g.lending.Ended(now, s.id)
	}
}
