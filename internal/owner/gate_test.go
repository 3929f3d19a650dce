package owner

import (
	"cmp"
	"maps"
	"slices"

	wirepb "endivewing/api/endivewing/v1"
)

const (
	queued  = wirepb.TaskOutcome_TASK_OUTCOME_QUEUED
	started = wirepb.TaskOutcome_TASK_OUTCOME_STARTED
	done    = wirepb.TaskOutcome_TASK_OUTCOME_DONE
	failed  = wirepb.TaskOutcome_TASK_OUTCOME_FAILED
	notRun  = wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
)

// deliverToAgent hands the oldest message of a session to its agent.
func (w *world) deliverToAgent(o *simOwner, a *simAgent, refuse bool) bool {
	l := w.links[o][a.incarnation]
	if l == nil || len(l.toAgent) == 0 {
		return false
	}
	e := l.toAgent[0]
	l.toAgent = l.toAgent[1:]
	switch body := e.Body.(type) {
	case *wirepb.Envelope_StartTask:
		w.startTask(a, l, body.StartTask, refuse)
	case *wirepb.Envelope_CancelTasks:
		w.handleTaskRefs(a, l, body.CancelTasks.Group, body.CancelTasks.Epoch, body.CancelTasks.Tasks, true)
	case *wirepb.Envelope_RecallTasks:
		w.handleTaskRefs(a, l, body.RecallTasks.Group, body.RecallTasks.Epoch, body.RecallTasks.Tasks, true)
	case *wirepb.Envelope_QueryTasks:
		w.handleTaskRefs(a, l, body.QueryTasks.Group, body.QueryTasks.Epoch, body.QueryTasks.Tasks, false)
	case *wirepb.Envelope_ForgetJobs:
		w.forgetJobs(o, a, body.ForgetJobs)
	case *wirepb.Envelope_ClaimGroup:
		w.answerClaim(a, l, body.ClaimGroup)
	}
	return true
}

func (w *world) taskUpdate(a *simAgent, k taskKey, s *seenTask) *wirepb.TaskUpdate {
	u := &wirepb.TaskUpdate{
		Job: k.job, Task: k.task, Group: s.group, Epoch: a.fences[s.group], Attempt: s.attempt, Outcome: s.outcome,
	}
	if s.outcome == done {
		u.Result = expectedResult(k)
	}
	return u
}

func (w *world) sendUpdate(a *simAgent, l *link, k taskKey, s *seenTask) {
	u := w.taskUpdate(a, k, s)
	l.toOwner = append(l.toOwner, &wirepb.Envelope{Body: &wirepb.Envelope_TaskUpdate{TaskUpdate: u}})
}

// sendUpdateToOwner sends an outcome to the owner of the task's group if it is
// connected.
func (w *world) sendUpdateToOwner(a *simAgent, k taskKey, s *seenTask) {
	for _, o := range w.owners {
		l := w.links[o][a.incarnation]
		if g := o.groups[s.group]; l != nil && l.connected && g != nil && g.epoch == a.fences[s.group] {
			w.sendUpdate(a, l, k, s)
		}
	}
}

func (w *world) startTask(a *simAgent, l *link, m *wirepb.StartTask, refuse bool) {
	k := taskKey{m.Job, m.Task}
	if m.Epoch < a.fences[m.Group] || m.Job < a.floor[m.Group] {
		w.sendUpdate(a, l, k, &seenTask{group: m.Group, attempt: m.Attempt, outcome: notRun})
		return
	}
	a.fences[m.Group] = m.Epoch
	s := a.seen[k]
	if s != nil && (s.outcome != notRun || m.Attempt <= s.attempt) {
		w.sendUpdate(a, l, k, s)
		return
	}
	s = &seenTask{group: m.Group, attempt: m.Attempt, outcome: queued}
	a.seen[k] = s
	if refuse {
		w.refuseTask(k, s)
	}
	w.sendUpdate(a, l, k, s)
}

func (w *world) refuseTask(k taskKey, s *seenTask) {
	s.outcome = notRun
	w.refusedAttempt[k] = max(w.refusedAttempt[k], s.attempt)
}

// handleTaskRefs answers a cancel, recall or query.
func (w *world) handleTaskRefs(a *simAgent, l *link, group, epoch uint64, refs []*wirepb.TaskRef, stop bool) {
	if epoch < a.fences[group] {
		return
	}
	for _, ref := range refs {
		k := taskKey{ref.Job, ref.Task}
		s := a.seen[k]
		if s == nil || s.outcome == notRun && s.attempt < ref.Attempt {
			s = &seenTask{group: group, attempt: ref.Attempt}
			a.seen[k] = s
			w.refuseTask(k, s)
		}
		if stop && s.outcome == queued && s.attempt <= ref.Attempt {
			w.refuseTask(k, s)
		}
		w.sendUpdate(a, l, k, s)
	}
}

// forgetJobs drops ended jobs. A task that still runs goes on, and its outcome
// is not reported. That is allowed only for a job that ended at an earlier
// owner.
func (w *world) forgetJobs(o *simOwner, a *simAgent, m *wirepb.ForgetJobs) {
	if m.Epoch < a.fences[m.Group] {
		return
	}
	a.floor[m.Group] = max(a.floor[m.Group], m.OpenFrom)
	for n, d := range w.jobs {
		if d.Group == m.Group && n < m.OpenFrom && w.durableAnswers[n] == nil {
			w.t.Fatalf("the floor %d of group %d is above job %d, whose end is not durable", m.OpenFrom, m.Group, n)
		}
	}
	for _, k := range a.sortedTasks() {
		if a.seen[k].group == m.Group && (k.job < m.OpenFrom || slices.Contains(m.Jobs, k.job)) {
			if w.durableAnswers[k.job] == nil {
				w.t.Fatalf("agent %d was told to forget job %d before its end is durable", a.incarnation, k.job)
			}
			if at := a.seen[k].outcome; (at == queued || at == started) && o.ownedJobs[k.job] {
				w.t.Fatalf("agent %d was told to forget task %d/%d, which has not ended", a.incarnation, k.job, k.task)
			}
			delete(a.seen, k)
		}
	}
}

// answerClaim answers a claim in as many parts as there are tasks, and a final
// part without tasks.
func (w *world) answerClaim(a *simAgent, l *link, m *wirepb.ClaimGroup) {
	if m.Epoch < a.fences[m.Group] {
		l.sendReport(&wirepb.ClaimReport{Group: m.Group, Epoch: m.Epoch, Fenced: true})
		return
	}
	a.fences[m.Group] = m.Epoch
	for _, k := range a.sortedTasks() {
		if s := a.seen[k]; s.group == m.Group {
			tasks := []*wirepb.TaskUpdate{w.taskUpdate(a, k, s)}
			l.sendReport(&wirepb.ClaimReport{Group: m.Group, Epoch: m.Epoch, Tasks: tasks, More: true})
		}
	}
	l.sendReport(&wirepb.ClaimReport{Group: m.Group, Epoch: m.Epoch})
}

func (l *link) sendReport(r *wirepb.ClaimReport) {
	l.toOwner = append(l.toOwner, &wirepb.Envelope{Body: &wirepb.Envelope_ClaimReport{ClaimReport: r}})
}

// drawEnd draws how a started task ends: mostly done, sometimes failed, and sometimes
// not run, if nothing of the request to the minion was sent.
func drawEnd(oneIn func(n int) bool) wirepb.TaskOutcome {
	switch {
	case oneIn(10):
		return failed
	case oneIn(10):
		return notRun
	default:
		return done
	}
}

// advanceTask starts a task of an agent, or ends it with the given outcome.
func (w *world) advanceTask(a *simAgent, at int, end wirepb.TaskOutcome) {
	var open []taskKey
	for _, k := range a.sortedTasks() {
		if o := a.seen[k].outcome; o == queued || o == started {
			open = append(open, k)
		}
	}
	if len(open) == 0 {
		return
	}
	k := open[at%len(open)]
	s := a.seen[k]
	switch {
	case s.outcome == queued:
		s.outcome = started
		w.recordStart(k)
	case end == notRun:
		w.takeBackStart(k)
		w.refuseTask(k, s)
	default:
		s.outcome = end
	}
	w.sendUpdateToOwner(a, k, s)
}

// recordStart records that a task starts at a minion, and checks that it may.
func (w *world) recordStart(k taskKey) {
	w.startCount[k]++
	w.startedJobs[k.job]++
	if w.startCount[k] > 1 {
		w.t.Fatalf("task %d/%d started twice", k.job, k.task)
	}
	if d := w.durableAnswers[k.job]; d != nil && d.NotRun {
		w.t.Fatalf("task %d/%d started after its job was answered as not run", k.job, k.task)
	}
}

// takeBackStart takes back a start of which the minion got nothing.
func (w *world) takeBackStart(k taskKey) {
	w.startCount[k]--
	w.startedJobs[k.job]--
}

func (a *simAgent) sortedTasks() []taskKey {
	return slices.SortedFunc(maps.Keys(a.seen), func(x, y taskKey) int {
		return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.task, y.task))
	})
}

// deliverToOwner hands a message of a session to its owner: the oldest one or a
// later one. If again is set, a copy of the message is delivered later too.
func (w *world) deliverToOwner(o *simOwner, a *simAgent, at int, again bool) bool {
	l := w.links[o][a.incarnation]
	if l == nil || len(l.toOwner) == 0 {
		return false
	}
	at %= len(l.toOwner)
	if l.toOwner[at].GetClaimReport() != nil {
		// The parts of a claim report stay in order.
		at = slices.IndexFunc(l.toOwner, func(e *wirepb.Envelope) bool { return e.GetClaimReport() != nil })
	}
	e := l.toOwner[at]
	l.toOwner = slices.Delete(l.toOwner, at, at+1)
	if again {
		l.toOwner = append(l.toOwner, e)
	}
	switch body := e.Body.(type) {
	case *wirepb.Envelope_TaskUpdate:
		o.HandleTaskUpdate(a.incarnation, body.TaskUpdate, w.now)
	case *wirepb.Envelope_ClaimReport:
		if !o.HandleClaimReport(a.incarnation, body.ClaimReport, w.now) {
			o.DropGroup(body.ClaimReport.Group)
		}
	}
	return true
}
