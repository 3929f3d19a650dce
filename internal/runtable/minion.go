package runtable

import (
	"cmp"
	"time"
)

func compareNames(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// find returns the run unless it is waiting, has ended, or was replaced by
// another.
func (t *Table) find(ref RunID) *run {
	r := t.runs[ref.TaskID]
	if r == nil || r.Run != ref.Run || r.state == waiting {
		return nil
	}
	return r
}

// StartAnswered handles the minion's answer to a start. Without an answer the
// run may begin at any time. The same start is then sent again, which the
// minion carries out once. After the last attempt, or once nobody listens, the run is
// stopped; once the minion has answered the stop, the run can't begin any more.
func (t *Table) StartAnswered(now time.Time, ref RunID, answer StartAnswer) {
	r := t.find(ref)
	if r == nil {
		return
	}
	switch answer {
	case Started:
		r.startAnsweredAt = now
		if r.state == starting {
			r.state = running
		}
	case Rejected, RejectedOldRun, RejectedNoCapacity:
		if r.startAttempts > 1 {
			// An earlier attempt may have started the run, or may still start it.
			t.stop(now, r, rejectionReason(answer))
			return
		}
		t.finish(now, r, NotRun, rejectionReason(answer))
	case NotReceived:
		r.startsMissed++
		t.giveUpStart(now, r)
	case Unanswered:
		t.retryStart(now, r)
	}
}

// retryStart handles a start without an answer: it sends the start again or,
// after the last attempt, stops the run.
func (t *Table) retryStart(now time.Time, r *run) {
	if r.state != starting {
		return
	}
	if r.startAttempts < maxStartAttempts {
		r.startAttempts++
		t.startsDue = append(t.startsDue, r)
		return
	}
	t.giveUpStart(now, r)
}

// giveUpStart stops a run whose start is not sent again. After a refused connection the
// next one to listen may be a later incarnation, which would run what crashed this one.
func (t *Table) giveUpStart(now time.Time, r *run) {
	if r.state != starting {
		return
	}
	t.health.recordFailure()
	t.stop(now, r, ReasonStartUnanswered)
}

func rejectionReason(answer StartAnswer) string {
	switch answer {
	case RejectedOldRun:
		return ReasonOldRun
	case RejectedNoCapacity:
		return ReasonNoCapacity
	default:
		return ReasonRejected
	}
}

// StopAnswered records that the minion has received a stop.
func (t *Table) StopAnswered(now time.Time, ref RunID) {
	r := t.find(ref)
	if r == nil || r.state != stopping {
		return
	}
	r.stopAnsweredAt = now
	t.out.ListNow = true
}

// ApplyListing applies the minion's lists of active and ended runs.
func (t *Table) ApplyListing(now time.Time, l Listing) {
	ackedBefore := t.acked
	for _, row := range l.Ended {
		if row.Number > t.acked {
			t.acked = row.Number
			t.applyEnd(now, row)
		}
	}
	listed := map[RunID]int{}
	for _, row := range l.Running {
		listed[row.RunID] = row.Percent
	}
	for _, r := range t.sortedRuns() {
		if r.state == waiting { // never sent, so one of the same name is foreign
			continue
		}
		name := RunID{r.TaskID, r.Run}
		if percent, active := listed[name]; active {
			t.confirmActive(now, r, percent)
		} else if !l.full() {
			t.checkMissing(now, r, l.SentAt)
		}
		delete(listed, name)
	}
	if l.full() && t.acked > ackedBefore { // the next list contains further ends
		t.out.ListNow = true
	}
	t.stopForeignRuns(now, l.SentAt, listed)
	t.lastChange = now
}

// stopForeignRuns stops runs that are not in the table: those of an earlier
// incarnation of this process. No new task starts before they have ended. The next
// list comes with their ends, so none is asked for.
func (t *Table) stopForeignRuns(now, asked time.Time, foreign map[RunID]int) {
	if len(foreign) == 0 {
		clear(t.foreignStops)
		t.foreignRunsGone = t.foreignRunsGone || !asked.Before(t.unknownSince)
		t.out.ListNow = t.out.ListNow || !t.foreignRunsGone
		t.reportGone()
		return
	}
	for ref := range foreign {
		if now.Sub(t.foreignStops[ref]) < stopRetryInterval {
			continue
		}
		t.foreignStops[ref] = now
		t.out.Unknown = append(t.out.Unknown, ref)
		t.out.Stops = append(t.out.Stops, ref)
	}
}

func (t *Table) applyEnd(now time.Time, row EndedRow) {
	r := t.find(row.RunID)
	if r == nil {
		t.goneEnded(row)
		return
	}
	switch {
	case row.Outcome == Done:
		t.health.recordSuccess()
		if !r.overrunRecorded {
			t.health.recordRuntime(r.Job, now.Sub(r.startSentAt), r.Estimate)
		}
	case row.Outcome == Failed:
		t.health.recordFailure()
	}
	reason := row.Reason
	if row.Outcome == Stopped && r.stopReason != "" {
		reason = r.stopReason
	}
	t.finish(now, r, row.Outcome, reason)
}

// confirmActive handles a run that a list contains as active.
func (t *Table) confirmActive(now time.Time, r *run, percent int) {
	r.listed = true
	r.startsMissed = 0
	if r.state == starting { // the answer to its start is late or lost
		r.state, r.startAnsweredAt = running, now
	}
	t.checkProgress(now, r, percent)
}

// checkMissing handles a run that a list contains neither as active nor as ended.
// The run is over if the list was requested after the minion had answered its stop or
// its start.
func (t *Table) checkMissing(now time.Time, r *run, asked time.Time) {
	stopEffective := r.state == stopping && !r.stopAnsweredAt.IsZero() && !asked.Before(r.stopAnsweredAt)
	switch {
	case stopEffective && !r.listed && r.startAnsweredAt.IsZero():
		t.finish(now, r, NotRun, r.stopReason)
	case stopEffective:
		t.finish(now, r, Stopped, r.stopReason)
	case r.state == running && asked.After(r.startAnsweredAt):
		t.finish(now, r, Stopped, ReasonLeaseExpired)
	}
}

// Tick ends runs that waited too long and repeats stops without effect.
func (t *Table) Tick(now time.Time) {
	t.checkGone(now)
	for _, r := range t.sortedRuns() {
		switch {
		case r.state == waiting && !now.Before(r.Expires):
			t.finish(now, r, NotRun, ReasonNoCapacity)
		case r.state == stopping && now.Sub(r.stopSentAt) >= stopRetryInterval:
			t.sendStop(now, r)
		}
	}
}
