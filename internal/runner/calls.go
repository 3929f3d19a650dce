package runner

import (
	"context"
	"time"

	"endivewing/internal/runtable"
)

// sendStart asks the minion to start a run.
func (l *loop) sendStart(now time.Time, o runtable.Order) {
	l.metrics.starts.Inc(1)
	l.watchSilence(o.Owner)
	ref := runtable.RunID{TaskID: o.TaskID, Run: o.Run}
	c := StartCall{
		Endpoint: l.incarnation.Endpoint, RunID: ref, Spec: o.Spec, Deadline: l.lease.extend(now, l.leaseLimit(now)), Fence: l.fence,
	}
	to := l.incarnation.number
	l.call(callTimeout, func(ctx context.Context) event {
		answer, err := l.p.opts.Minion.Start(ctx, c)
		return startAnswered{to, c, answer, err}
	})
}

// sendStop asks the minion to stop a run.
func (l *loop) sendStop(ref runtable.RunID) {
	c := StopCall{Endpoint: l.incarnation.Endpoint, RunID: ref, Fence: l.fence}
	to := l.incarnation.number
	l.call(callTimeout, func(ctx context.Context) event {
		answer, err := l.p.opts.Minion.Stop(ctx, c)
		return stopAnswered{to, c, answer, err}
	})
}

// wantsPolls reports whether there is an incarnation to poll. One that has left is
// polled until its runs have ended.
func (l *loop) wantsPolls() bool {
	return l.incarnation.known() || l.incarnation.left && l.table.Running() > 0
}

// keepPolling keeps one long poll in progress, which waits for ends and renews the
// lease. It keeps two for redundantPollDuration after an unanswered call.
func (l *loop) keepPolling(now time.Time) {
	if !l.wantsPolls() {
		return
	}
	wanted := 1
	if now.Sub(l.lastUnanswered) < redundantPollDuration {
		wanted = 2
	}
	wait := pollWait
	if l.table.Running() == 0 {
		wait = idlePollWait
	}
	for l.longPolls < wanted {
		l.longPolls++
		l.sendPoll(now, wait, true)
	}
}

// pollNow sends a poll that does not wait, unless such a poll is in progress.
func (l *loop) pollNow(now time.Time) {
	if l.immediatePollActive || !l.wantsPolls() {
		return
	}
	l.immediatePollActive = true
	l.sendPoll(now, 0, false)
}

// sendPoll asks the minion for its lists and, while tasks run, renews the lease.
// longPoll distinguishes the polls of keepPolling from those of pollNow.
func (l *loop) sendPoll(now time.Time, wait time.Duration, longPoll bool) {
	l.metrics.polls.Inc(1)
	c := PollCall{Endpoint: l.incarnation.Endpoint, Fence: l.fence, AckedEnd: l.ackedEnd(), Wait: wait}
	if limit := l.leaseLimit(now); limit > 0 && l.renewsLease(now) {
		c.Deadline = l.lease.extend(now, limit)
	}
	to := l.incarnation.number
	l.call(wait+pollTimeoutMargin, func(ctx context.Context) event {
		lists, err := l.p.opts.Minion.Poll(ctx, c)
		if longPoll && (err != nil || lists.Status != Accepted) {
			time.Sleep(pollBackoff)
		}
		return pollAnswered{to: to, call: c, lists: lists, err: err, longPoll: longPoll, sentAt: now}
	})
}

// ackedEnd returns the number of the last end that a poll acknowledges. While a later
// start of the minion may answer, it is 0: that start counts its ends from 1 again.
func (l *loop) ackedEnd() uint64 {
	if l.mayHaveRestarted {
		return 0
	}
	return l.table.Acked()
}

// renewsLease reports whether a poll renews the lease: while tasks run at a minion that
// can be reached.
func (l *loop) renewsLease(now time.Time) bool {
	return l.table.Running() > 0 && l.lease.reachable(now) && l.leaseOverSince.IsZero()
}

// startAnswered is the event of a start call that has ended. err is set if no
// reply came. The answer may be that of a later start of the minion, so its reading
// of the clock is not used; only lists name the start that they are from.
type startAnswered struct {
	to     uint64 // the number of the incarnation
	call   StartCall
	answer Answer
	err    error
}

func (a startAnswered) handle(l *loop, now time.Time) {
	if a.to != l.incarnation.number {
		return
	}
	if a.err != nil {
		l.unanswered(now, "start", a.call.RunID, a.err)
		l.table.StartAnswered(now, a.call.RunID, startFailure(a.err))
		return
	}
	l.checkFence(a.answer.Status, a.call.Fence)
	if a.answer.Status != Accepted {
		l.p.opts.Log.Info("start refused", "job", a.call.RunID.Job, "task", a.call.RunID.Index, "run", a.call.RunID.Run,
			"verdict", callStatusNames[a.answer.Status], "deadline", a.call.Deadline, "clock", a.answer.Clock)
	}
	l.table.StartAnswered(now, a.call.RunID, startAnswers[a.answer.Status])
}

// startFailure returns what the error of a start says of the start.
func startFailure(err error) runtable.StartAnswer {
	if nobodyListens(err) {
		return runtable.NotReceived
	}
	return runtable.Unanswered
}

var startAnswers = map[CallStatus]runtable.StartAnswer{
	Accepted:         runtable.Started,
	Fenced:           runtable.Rejected,
	OtherIncarnation: runtable.Rejected,
	OldRun:           runtable.RejectedOldRun,
	DeadlinePassed:   runtable.Rejected,
	NoCapacity:       runtable.RejectedNoCapacity,
	Refused:          runtable.Rejected,
}

var callStatusNames = map[CallStatus]string{
	Accepted: "accepted", Fenced: "fenced", OtherIncarnation: "other_life", OldRun: "old_run", DeadlinePassed: "late", NoCapacity: "no_room",
	Refused: "refused",
}

// stopAnswered is the event of a stop call that has ended. err is set if no reply
// came.
type stopAnswered struct {
	to     uint64 // the number of the incarnation
	call   StopCall
	answer Answer
	err    error
}

func (a stopAnswered) handle(l *loop, now time.Time) {
	if a.to != l.incarnation.number {
		return
	}
	if a.err != nil {
		l.unanswered(now, "stop", a.call.RunID, a.err)
		return // the table sends the stop again
	}
	l.checkFence(a.answer.Status, a.call.Fence)
	if a.answer.Status == Accepted {
		l.table.StopAnswered(now, a.call.RunID)
	}
}

func (l *loop) unanswered(now time.Time, what string, ref runtable.RunID, err error) {
	l.mayHaveRestarted = true
	l.lastUnanswered = now
	l.metrics.unanswered.Inc(1)
	l.p.opts.Log.Info("minion did not answer", "call", what, "job", ref.Job, "task", ref.Index, "run", ref.Run, "error", err.Error())
}

// checkFence raises the fencing token if another process has used a higher one.
func (l *loop) checkFence(v CallStatus, used uint64) {
	if v != Fenced || used != l.fence {
		return
	}
	l.fence += fenceStep
	l.p.opts.Log.Info("fencing token refused", "token", used, "next", l.fence)
}

// pollAnswered is the event of a poll that has ended. err is set if no reply came.
type pollAnswered struct {
	to       uint64 // the number of the incarnation
	call     PollCall
	lists    PollAnswer
	err      error
	longPoll bool
	sentAt   time.Time
}

func (a pollAnswered) handle(l *loop, now time.Time) {
	if a.to != l.incarnation.number {
		return
	}
	if a.longPoll {
		l.longPolls--
	} else {
		l.immediatePollActive = false
	}
	l.mayHaveRestarted = true
	l.crash.pollEnded(a.err)
	if a.err != nil {
		l.metrics.unanswered.Inc(1)
		l.lastUnanswered = now
		l.lastPollError = a.err.Error()
		return
	}
	l.checkFence(a.lists.Status, a.call.Fence)
	if a.lists.Status != Accepted {
		l.lastPollError = callStatusNames[a.lists.Status]
		return
	}
	if a.lists.StartedUnixMs != l.incarnation.StartedUnixMs {
		l.proposeRestart(a.lists.StartedUnixMs)
		return
	}
	l.mayHaveRestarted = false
	if l.lastList.isLaterThan(a) {
		return
	}
	l.lastList = listTimes{arrivedAt: now, clock: a.lists.Clock}
	l.crash.listed()
	l.lease.recordClock(now, a.lists.Clock)
	l.table.ApplyListing(now, runtable.Listing{SentAt: a.sentAt, Running: a.lists.Running, Ended: a.lists.Ended})
}

// listTimes tells when the last list of the present incarnation was written and
// when it arrived.
type listTimes struct {
	arrivedAt time.Time
	// clock is the reading of the minion's clock in the list, in milliseconds.
	clock int64
}

// isLaterThan reports whether the answer of a poll was written before the last list
// and overtaken by it. Runs that have ended since are still at work in such a list.
// An answer that was asked for after the last list had arrived is never overtaken,
// whatever its clock says.
func (t listTimes) isLaterThan(a pollAnswered) bool {
	return a.sentAt.Before(t.arrivedAt) && a.lists.Clock < t.clock
}

// proposeRestart handles a list of another start of the minion under the same name.
// What that start can run is not known before its report: it takes no work until
// then.
func (l *loop) proposeRestart(startedUnixMs int64) {
	later := l.incarnation.Report
	later.StartedUnixMs, later.Sequence, later.Draining = startedUnixMs, 0, true
	if l.candidate(later.id()) == nil {
		l.propose(&later)
	}
}
