package runner

import (
	"context"
	"slices"
	"time"

	"endivewing/internal/sleep"
)

// incarnationID names an incarnation of a minion.
type incarnationID struct {
	endpoint string
	// startedUnixMs distinguishes the starts of a minion that keeps its name.
	startedUnixMs int64
}

func (r *Report) id() incarnationID { return incarnationID{r.Endpoint, r.StartedUnixMs} }

// incarnation is the present incarnation of the minion.
type incarnation struct {
	Report
	// number counts the incarnations that have begun; 0 stands for none. Answers to
	// calls to another number are ignored.
	number uint64
	// left is set once the incarnation is said to have left, until it reports again.
	left bool
}

// known reports whether the minion is known and has not left.
func (i *incarnation) known() bool { return i.number != 0 && !i.left }

// candidate is an incarnation that is proposed as the present one, by a report, by
// a record of a control member or by a list with another start time. It takes the
// present one's place once the minion confirms that it is this incarnation: its
// answer to a poll that is addressed to the candidate's name has the candidate's
// start time. Anything else may be delayed or come from another writer.
type candidate struct {
	Report
	// attempts counts the polls that were not answered or refused. backoff is the
	// pause after each.
	attempts int
	backoff  sleep.Backoff
}

// propose has the minion asked whether it is the incarnation that a report
// describes.
func (l *loop) propose(r *Report) {
	if known := l.candidate(r.id()); known != nil {
		known.update(r)
		return
	}
	if len(l.candidates) == maxCandidates {
		l.p.opts.Log.Info("incarnation not asked about, others wait", "endpoint", r.Endpoint, "born", r.StartedUnixMs)
		return
	}
	l.p.opts.Log.Info("incarnation proposed", "endpoint", r.Endpoint, "born", r.StartedUnixMs, "sequence", r.Sequence,
		"present", l.incarnation.Endpoint, "present_born", l.incarnation.StartedUnixMs)
	l.candidates = append(l.candidates, &candidate{
		Report: *r, backoff: sleep.Backoff{Min: minConfirmationBackoff, Max: maxConfirmationBackoff},
	})
	l.askMinion()
}

// candidate returns the candidate of a name; nil if there is none.
func (l *loop) candidate(id incarnationID) *candidate {
	for _, c := range l.candidates {
		if c.id() == id {
			return c
		}
	}
	return nil
}

// update applies a later report of the candidate.
func (c *candidate) update(r *Report) {
	if r.Sequence >= c.Sequence {
		c.Report = *r
	}
}

// askMinion asks the minion whether it is the first candidate. It asks about one
// candidate at a time, so that answers keep their order.
func (l *loop) askMinion() {
	if l.asking || len(l.candidates) == 0 {
		return
	}
	l.asking = true
	asked := l.candidates[0]
	c := PollCall{Endpoint: asked.Endpoint, Fence: l.fence}
	l.call(callTimeout, func(ctx context.Context) event {
		lists, err := l.p.opts.Minion.Poll(ctx, c)
		if err != nil || lists.Status == Refused {
			asked.backoff.Wait(context.Background())
		}
		return candidateAnswered{asked, c, lists, err}
	})
}

// candidateAnswered is the event of the minion's answer to the question whether it
// is a candidate. err is set if no reply came.
type candidateAnswered struct {
	asked *candidate
	call  PollCall
	lists PollAnswer
	err   error
}

func (a candidateAnswered) handle(l *loop, now time.Time) {
	l.asking = false
	l.candidates = slices.DeleteFunc(l.candidates, func(c *candidate) bool { return c == a.asked })
	switch {
	case a.confirmed():
		l.beginIncarnation(now, a.asked.Report, a.lists.Clock)
	case a.denied():
		l.p.opts.Log.Info("incarnation denied", "endpoint", a.asked.Endpoint, "born", a.asked.StartedUnixMs,
			"verdict", callStatusNames[a.lists.Status], "present", a.lists.StartedUnixMs)
	default:
		l.checkFence(a.lists.Status, a.call.Fence)
		l.askAgain(a.asked, a.err)
	}
	l.askMinion()
}

// confirmed reports whether the minion is the candidate.
func (a candidateAnswered) confirmed() bool {
	return a.err == nil && a.lists.Status == Accepted && a.lists.StartedUnixMs == a.asked.StartedUnixMs
}

// denied reports whether the minion is another incarnation.
func (a candidateAnswered) denied() bool {
	if a.err != nil {
		return false
	}
	return a.lists.Status == OtherIncarnation || a.lists.Status == Accepted && a.lists.StartedUnixMs != a.asked.StartedUnixMs
}

// askAgain puts a candidate at the end of the queue after a question that was not
// answered or refused. After the last attempt only a further report brings it back.
func (l *loop) askAgain(c *candidate, err error) {
	c.attempts++
	if c.attempts == maxConfirmationAttempts {
		l.p.opts.Log.Info("incarnation not confirmed", "endpoint", c.Endpoint, "born", c.StartedUnixMs, "error", err)
		return
	}
	l.candidates = append(l.candidates, c)
}

// beginIncarnation puts an incarnation that the minion has confirmed in the place
// of the present one. clock is the reading of the minion's clock in its answer.
func (l *loop) beginIncarnation(now time.Time, r Report, clock int64) {
	l.p.opts.Log.Info("minion began", "endpoint", r.Endpoint, "born", r.StartedUnixMs, "service", r.Service,
		"cpu", r.Capacity.CPU, "labels", r.Labels, "draining", r.Draining,
		"before", l.incarnation.Endpoint, "before_born", l.incarnation.StartedUnixMs, "runs", l.table.Running())
	l.crash.lapsed = append(l.crash.lapsed, l.table.ReceivedRuns()...)
	l.recordCrash(now, "later_incarnation")
	l.crash = crashEvidence{}
	l.incarnation = incarnation{Report: r, number: l.incarnation.number + 1}
	l.revision = l.revision.next()
	l.longPolls, l.immediatePollActive = 0, false
	l.lastList = listTimes{}
	l.lease.reset()
	l.lease.recordClock(now, clock)
	if l.table.Running() > 0 {
		l.lease.assumeLongest() // a start that was in flight may have been carried out
	}
	l.fence++ // so that the minion refuses calls that are in flight to the earlier incarnation
	l.table.MinionRestarted(now)
	l.p.announceIfChanged(&r)
	l.updateReadiness(now)
	l.markStale()
}
