package runner

import (
	"context"
	"time"

	"endivewing/internal/runtable"
)

// start sends a run to the minion.
func (l *loop) start(now time.Time, o runtable.Order) {
	l.metrics.starts.Inc(1)
	ref := runtable.Ref{Name: o.Name, Run: o.Run}
	c := StartCall{
		Endpoint: l.life.Endpoint, Ref: ref, Spec: o.Spec, Deadline: l.lease.extend(now), Fence: l.fence,
	}
	l.call(callTimeout, func(ctx context.Context) event {
		answer, err := l.p.opts.Minion.Start(ctx, c)
		return startAnswered{c, answer, err}
	})
}

// stop asks the minion to stop a run.
func (l *loop) stop(ref runtable.Ref) {
	c := StopCall{Endpoint: l.life.Endpoint, Ref: ref, Fence: l.fence}
	l.call(callTimeout, func(ctx context.Context) event {
		answer, err := l.p.opts.Minion.Stop(ctx, c)
		return stopAnswered{c, answer, err}
	})
}

// poll keeps a call at the minion that waits for ends and renews the lease;
// two while calls go unanswered.
func (l *loop) poll(now time.Time) {
	if !l.life.known {
		return
	}
	wanted := 1
	if now.Sub(l.doubted) < doubtTime {
		wanted = 2
	}
	wait := holdWait
	if l.table.Running() == 0 {
		wait = idleHoldWait
	}
	for l.polling < wanted {
		l.polling++
		l.hold(now, wait, true)
	}
}

// look asks for the lists at once.
func (l *loop) look(now time.Time) {
	if l.looking || !l.life.known {
		return
	}
	l.looking = true
	l.hold(now, 0, false)
}

func (l *loop) hold(now time.Time, wait time.Duration, polls bool) {
	l.metrics.holds.Inc(1)
	c := HoldCall{Endpoint: l.life.Endpoint, Fence: l.fence, Acked: l.table.Acked(), Wait: wait}
	if l.table.Running() > 0 && l.lease.reachable(now) {
		c.Deadline = l.lease.extend(now)
	}
	born := l.life.Born
	l.call(wait+holdSlack, func(ctx context.Context) event {
		lists, err := l.p.opts.Minion.Hold(ctx, c)
		if err != nil && polls {
			time.Sleep(holdRetry)
		}
		return listed{call: c, born: born, lists: lists, err: err, polls: polls, asked: now}
	})
}

// startAnswered is the outcome of a start.
type startAnswered struct {
	call   StartCall
	answer Answer
	err    error
}

func (a startAnswered) handle(l *loop, now time.Time) {
	if a.call.Endpoint != l.life.Endpoint {
		return
	}
	if a.err != nil {
		l.unanswered(now, "start", a.call.Ref, a.err)
		l.table.StartAnswered(now, a.call.Ref, runtable.Unanswered)
		return
	}
	l.lease.heard(now, a.answer.Clock)
	l.checkFence(a.answer.Verdict, a.call.Fence)
	if a.answer.Verdict != Accepted {
		l.p.opts.Log.Info("start refused", "job", a.call.Ref.Job, "task", a.call.Ref.Index, "run", a.call.Ref.Run,
			"verdict", verdictWords[a.answer.Verdict], "deadline", a.call.Deadline, "clock", a.answer.Clock)
	}
	l.table.StartAnswered(now, a.call.Ref, startAnswers[a.answer.Verdict])
}

var startAnswers = map[Verdict]runtable.StartAnswer{
	Accepted:  runtable.Started,
	Fenced:    runtable.Rejected,
	OtherLife: runtable.Rejected,
	Old:       runtable.RejectedOld,
	Late:      runtable.Rejected,
	NoRoom:    runtable.RejectedRoom,
	Refused:   runtable.Rejected,
}

var verdictWords = map[Verdict]string{
	Accepted: "accepted", Fenced: "fenced", OtherLife: "other_life", Old: "old_run", Late: "late", NoRoom: "no_room",
	Refused: "refused",
}

// stopAnswered is the outcome of a stop.
type stopAnswered struct {
	call   StopCall
	answer Answer
	err    error
}

func (a stopAnswered) handle(l *loop, now time.Time) {
	if a.call.Endpoint != l.life.Endpoint {
		return
	}
	if a.err != nil {
		l.unanswered(now, "stop", a.call.Ref, a.err)
		return // the table sends it again
	}
	l.lease.heard(now, a.answer.Clock)
	l.checkFence(a.answer.Verdict, a.call.Fence)
	if a.answer.Verdict == Accepted {
		l.table.StopAnswered(now, a.call.Ref)
	}
}

func (l *loop) unanswered(now time.Time, what string, ref runtable.Ref, err error) {
	l.doubted = now
	l.metrics.unanswered.Inc(1)
	l.p.opts.Log.Info("minion did not answer", "call", what, "job", ref.Job, "task", ref.Index, "run", ref.Run, "error", err.Error())
}

// checkFence raises the token when another process has used a higher one.
func (l *loop) checkFence(v Verdict, used uint64) {
	if v != Fenced || used != l.fence {
		return
	}
	l.fence += fenceStep
	l.p.opts.Log.Info("fencing token refused", "token", used, "next", l.fence)
}

// listed is the outcome of a hold.
type listed struct {
	call  HoldCall
	born  int64
	lists Lists
	err   error
	polls bool
	asked time.Time
}

func (a listed) handle(l *loop, now time.Time) {
	if a.polls {
		l.polling--
	} else {
		l.looking = false
	}
	if a.call.Endpoint != l.life.Endpoint || a.born != l.life.Born {
		return
	}
	if a.err != nil {
		l.metrics.unanswered.Inc(1)
		l.doubted = now
		l.holdError = a.err.Error()
		return
	}
	l.checkFence(a.lists.Verdict, a.call.Fence)
	if a.lists.Verdict != Accepted {
		l.holdError = verdictWords[a.lists.Verdict]
		return
	}
	if a.lists.Born > l.life.Born && l.life.Born != 0 {
		l.reborn(now, a.lists.Born)
		return
	}
	l.lease.heard(now, a.lists.Clock)
	l.table.Listed(now, runtable.Listing{Asked: a.asked, Running: a.lists.Running, Ended: a.lists.Ended})
}

// reborn notes that the minion started again under the name that it had.
func (l *loop) reborn(now time.Time, born int64) {
	l.p.opts.Log.Info("minion started again", "endpoint", l.life.Endpoint, "born", born, "runs", l.table.Running())
	l.life.Born = born
	l.life.Sequence = 0
	l.lease.reset()
	l.table.Reboot(now)
}
