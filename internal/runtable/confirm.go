package runtable

import "time"

// ConfirmEnd stops a run that a dispatcher ordered on an earlier session, and
// reports its end to the owner of the present one. A run that the table does not
// hold has ended, with two exceptions in which the report waits: another run of
// the task is here, or the run may be one of an earlier runner process and the
// minion has not listed that none of those is left.
func (t *Table) ConfirmEnd(now time.Time, owner Owner, ref RunID) {
	gone := End{TaskID: ref.TaskID, Run: ref.Run, Owner: owner, Outcome: Stopped, Reason: ReasonNotHere}
	r := t.runs[ref.TaskID]
	switch {
	case r != nil && r.Run == ref.Run && (r.ownerGone || r.Owner == owner):
		r.Owner, r.ownerGone = owner, false
		t.stop(now, r, ReasonStopped)
	case r != nil:
		r.atEnd = append(r.atEnd, gone)
	case t.foreignRunsGone:
		t.out.Ends = append(t.out.Ends, gone)
	default:
		t.gone = append(t.gone, gone)
		t.goneSince = now
	}
}

// maxForeignLease is the longest time that a call of an earlier process can keep runs
// at work: the longest lease that minions grant, on a clock that is 2% slow.
const maxForeignLease = 1050 * time.Millisecond

// checkGone reports the runs that were asked for at a minion that sends no list, once
// their lease must have ended. Calls renew it only while the table has runs there.
func (t *Table) checkGone(now time.Time) {
	switch {
	case len(t.gone) == 0:
	case t.Running() > 0:
		t.goneSince = now
	case now.Sub(t.goneSince) >= maxForeignLease:
		t.takeGone()
	}
}

// goneEnded gives a run that was asked for the end that the minion lists.
func (t *Table) goneEnded(row EndedRow) {
	for i := range t.gone {
		if end := &t.gone[i]; end.TaskID == row.TaskID && end.Run == row.Run {
			end.Outcome, end.Reason = row.Outcome, row.Reason
		}
	}
}

// reportGone reports the runs that were asked for, once the minion has no foreign
// runs.
func (t *Table) reportGone() {
	if t.foreignRunsGone {
		t.takeGone()
	}
}

func (t *Table) takeGone() {
	t.out.Ends = append(t.out.Ends, t.gone...)
	t.gone = nil
}
