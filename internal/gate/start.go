package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// StartTask handles a request to start a task.
func (g *Gate) StartTask(now time.Duration, from SessionID, m *wirepb.StartTask) {
	if m.Incarnation != g.incarnation {
		// An answer could be wrong for the incarnation that the message names.
		g.stats.Dropped++
		return
	}
	gr := g.checkOwner(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	g.raiseOpenFrom(now, gr, m.OpenFrom)
	j := g.findOrAddJob(gr, m.Job)
	if j == nil {
		return
	}
	r := j.findOrInsert(m.Task)
	if r.decides(m.Epoch, m.Attempt) {
		g.stats.Copies++
		g.sendUpdate(j, r)
		return
	}
	r.epoch, r.attempt, r.reason = m.Epoch, m.Attempt, ReasonNone
	if reason := g.refusalReason(m); reason != ReasonNone {
		g.refuse(j, r, reason)
		return
	}
	g.accept(now, j, r, m)
}

// refusalReason returns the reason to refuse a new task. It is ReasonNone if the
// task can be accepted.
func (g *Gate) refusalReason(m *wirepb.StartTask) Reason {
	if reason := g.closedReason(); reason != ReasonNone {
		return reason
	}
	if !g.runsService(m.Service) {
		return ReasonUnknownService
	}
	free := g.freeSlots()
	if g.queue.tasks < free {
		return ReasonNone
	}
	if g.queue.tasks-free >= g.limits.QueueTasks || g.queue.bytes+len(m.Payload) > g.limits.QueueBytes {
		return ReasonQueueFull
	}
	return ReasonNone
}

// freeSlots returns the number of tasks that could start now.
func (g *Gate) freeSlots() int { return max(g.limit()-len(g.running), 0) }

// accept queues a task. If a slot is free, Settle starts it, unless one of the inputs
// before that call closes the gate or withdraws the task.
func (g *Gate) accept(now time.Duration, j *job, r *taskRecord, m *wirepb.StartTask) {
	f := &inFlightTask{job: j, request: m, bytes: len(m.Payload), owner: j.group.owner}
	if m.BudgetMs > 0 {
		f.deadline = now + time.Duration(m.BudgetMs)*time.Millisecond
	}
	g.timer.add(f.deadline)
	r.inFlight = f
	j.inFlightTasks++
	g.unsafeTasks++
	g.addOutstanding(now, f)
	r.step(eventEnqueue)
	waits := g.queue.tasks >= g.freeSlots()
	g.queue.push(f)
	if waits {
		f.waitReportAt = now + waitReportDelay
		g.timer.add(f.waitReportAt)
	}
}

// waitReportDelay is how long a task waits in the queue before the gate reports
// it to the owner, which can then recall the task. Shorter waits cost no message.
const waitReportDelay = time.Second

// start adds a Start action, which sends the task to the minion. Only Settle leads
// here, so nothing can come between the start and its action.
func (g *Gate) start(now time.Duration, f *inFlightTask, r *taskRecord) {
	if !r.step(eventStart) {
		return
	}
	if f.deadline == 0 && g.limits.MaxRunTime > 0 {
		f.deadline = now + g.limits.MaxRunTime
		g.timer.add(f.deadline)
	}
	g.running[f.key()] = f
	g.stats.Started++
	g.actions.Starts = append(g.actions.Starts, Start{Key: f.key(), Request: f.request, Deadline: f.deadline})
}

// startQueued starts queued tasks while slots are free.
func (g *Gate) startQueued(now time.Duration) {
	for g.queue.head != nil && g.freeSlots() > 0 {
		f := g.queue.head
		g.queue.remove(f)
		g.start(now, f, f.job.find(f.request.Task))
	}
}

// refuseAllQueued refuses all queued tasks.
func (g *Gate) refuseAllQueued(now time.Duration, reason Reason) {
	for g.queue.head != nil {
		g.refuseQueued(now, g.queue.head, reason)
	}
}

// refuseOtherServices refuses the queued tasks of services that the minion no longer runs.
func (g *Gate) refuseOtherServices(now time.Duration) {
	if !g.servicesChanged {
		return
	}
	g.servicesChanged = false
	for f := g.queue.head; f != nil; {
		next := f.next
		if !g.runsService(f.request.Service) {
			g.refuseQueued(now, f, ReasonUnknownService)
		}
		f = next
	}
}

// runsService reports whether the minion runs tasks of a service.
func (g *Gate) runsService(service string) bool { return g.services == nil || g.services[service] }

// refuseQueued removes a task from the queue and makes it "not run".
func (g *Gate) refuseQueued(now time.Duration, f *inFlightTask, reason Reason) {
	g.queue.remove(f)
	r := f.job.find(f.request.Task)
	g.removeOutstanding(now, f, r)
	g.refuse(f.job, r, reason)
	g.removeForgotten(f.job)
}

// refuse makes a task "not run" and reports that to the owner.
func (g *Gate) refuse(j *job, r *taskRecord, reason Reason) {
	if !r.step(eventRefuse) {
		return
	}
	r.reason = reason
	g.stats.NotRun++
	g.sendUpdate(j, r)
}

// expire ends the tasks that are past their deadline: queued tasks become "not
// run", and running tasks are stopped.
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
		case f.stopReason != ReasonNone:
		case f.deadline != 0 && now >= f.deadline:
			g.stop(f, ReasonDeadline)
		default:
			g.timer.add(f.deadline)
		}
	}
}

// expireQueued ends a queued task at its deadline, and reports a long wait to the
// owner once.
func (g *Gate) expireQueued(now time.Duration, f *inFlightTask) {
	if f.deadline != 0 && now >= f.deadline {
		g.refuseQueued(now, f, ReasonDeadline)
		return
	}
	if f.waitReportAt != 0 && now >= f.waitReportAt {
		f.waitReportAt = 0
		g.sendUpdate(f.job, f.job.find(f.request.Task))
	}
	g.timer.add(f.waitReportAt)
	g.timer.add(f.deadline)
}

// stop adds a running task to Actions.Stops unless the task is being stopped
// already.
func (g *Gate) stop(f *inFlightTask, reason Reason) {
	r := f.job.find(f.request.Task)
	if !r.step(eventStop) {
		return
	}
	f.stopReason = reason
	g.actions.Stops = append(g.actions.Stops, f.key())
}

// addOutstanding counts a task as outstanding for its entry.
func (g *Gate) addOutstanding(now time.Duration, f *inFlightTask) {
	if s := g.sessionsByEntry[f.owner]; s != nil {
		g.allocator.TaskAdded(now, s.id)
	}
}

// removeOutstanding ends the counting of a task as outstanding for its entry, and
// detaches the task from its record.
func (g *Gate) removeOutstanding(now time.Duration, f *inFlightTask, r *taskRecord) {
	r.inFlight = nil
	f.job.inFlightTasks--
	g.unsafeTasks--
	if s := g.sessionsByEntry[f.owner]; s != nil {
		g.allocator.TaskEnded(now, s.id)
	}
}
