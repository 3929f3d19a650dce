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
	}
}

// reportGone reports the runs that were asked for, once the minion has no foreign
// runs.
func (t *Table) reportGone() {
	if !t.foreignRunsGone {
		return
	}
	t.out.Ends = append(t.out.Ends, t.gone...)
	t.gone = nil
}
