package runtable

import (
	"cmp"
	"time"
)

func compareNames(a, b Name) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

func (t *Table) find(ref Ref) *run {
	r := t.runs[ref.Name]
	if r == nil || r.Run != ref.Run || r.state == waiting {
		return nil
	}
	return r
}

// StartAnswered takes the minion's answer to a start in. After no answer the
// run may begin at any time. The same start is sent again, which the minion
// carries out once; in the end the run is stopped: once the minion has
// answered that, the run can't begin any more.
func (t *Table) StartAnswered(now time.Time, ref Ref, answer StartAnswer) {
	r := t.find(ref)
	if r == nil {
		return
	}
	switch answer {
	case Started:
		r.started = now
		if r.state == starting {
			r.state = running
		}
	case Rejected, RejectedOld, RejectedRoom:
		if r.tries > 1 {
			// An earlier try may have begun the run, or may yet.
			t.stop(now, r, rejection(answer))
			return
		}
		t.finish(now, r, NotRun, rejection(answer))
	case Unanswered:
		if r.state == running { // a list has shown it
			return
		}
		t.unanswered(now, r)
	}
}

func (t *Table) unanswered(now time.Time, r *run) {
	if r.state != starting {
		return
	}
	if r.tries < startTries {
		r.tries++
		t.out.Starts = append(t.out.Starts, r.Order)
		return
	}
	t.health.failed()
	t.stop(now, r, ReasonNoAnswer)
}

func rejection(answer StartAnswer) string {
	switch answer {
	case RejectedOld:
		return ReasonOldRun
	case RejectedRoom:
		return ReasonNoRoom
	default:
		return ReasonRejected
	}
}

// StopAnswered notes that the minion has taken a stop in.
func (t *Table) StopAnswered(now time.Time, ref Ref) {
	r := t.find(ref)
	if r == nil || r.state != stopping {
		return
	}
	r.settled = now
	t.out.Look = true
}

// Listed takes the minion's lists in.
func (t *Table) Listed(now time.Time, l Listing) {
	for _, row := range l.Ended {
		if row.Number > t.acked {
			t.acked = row.Number
			t.ended(now, row)
		}
	}
	listed := map[Ref]int{}
	for _, row := range l.Running {
		listed[row.Ref] = row.Percent
	}
	for _, r := range t.sorted() {
		percent, atWork := listed[Ref{r.Name, r.Run}]
		delete(listed, Ref{r.Name, r.Run})
		if r.state != waiting {
			t.compare(now, r, l.Asked, percent, atWork)
		}
	}
	t.sweep(listed)
	t.pump(now)
}

// sweep stops what nobody here has ordered: runs of an earlier life of this
// process. No new task starts before they are gone.
func (t *Table) sweep(foreign map[Ref]int) {
	if len(foreign) == 0 {
		t.swept = true
		return
	}
	for ref := range foreign {
		t.out.Stops = append(t.out.Stops, ref)
	}
	t.out.Look = !t.swept
}

func (t *Table) ended(now time.Time, row EndedRow) {
	r := t.find(row.Ref)
	if r == nil {
		return
	}
	switch {
	case row.Outcome == Done:
		t.health.done()
		if !r.told {
			t.health.learn(r.Job, now.Sub(r.ordered), r.Estimate)
		}
	case row.Outcome == Failed:
		t.health.failed()
	}
	reason := row.Reason
	if row.Outcome == Stopped && r.reason != "" {
		reason = r.reason
	}
	t.finish(now, r, row.Outcome, reason)
}

// compare holds a run against a list that was asked for at a time.
func (t *Table) compare(now time.Time, r *run, asked time.Time, percent int, atWork bool) {
	if atWork {
		r.seen = true
		if r.state == starting { // its answer is late or lost
			r.state, r.started = running, now
		}
		t.watch(now, r, percent)
		return
	}
	settled := r.state == stopping && !r.settled.IsZero() && !asked.Before(r.settled)
	switch {
	case settled && !r.seen && r.started.IsZero():
		t.finish(now, r, NotRun, r.reason)
	case settled:
		t.finish(now, r, Stopped, r.reason)
	case r.state == running && asked.After(r.started):
		t.finish(now, r, Stopped, ReasonLapsed)
	}
}

// Tick gives up runs that waited too long and repeats stops without effect.
func (t *Table) Tick(now time.Time) {
	for _, r := range t.sorted() {
		switch {
		case r.state == waiting && !now.Before(r.Expires):
			t.finish(now, r, NotRun, ReasonNoRoom)
		case r.state == stopping && now.Sub(r.stopped) >= stopRetry:
			t.sendStop(now, r)
		}
	}
}
