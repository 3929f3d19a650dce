package runtable

import (
	"slices"
	"time"
)

// endEarlierSubmission handles an order for a job that has runs here for another
// dispatcher: the caller has sent the job again. Of two submissions the later one
// has the greater key, since its objective is later. The dispatcher of the
// earlier one is told to give the job up. It reports false if the order itself
// belongs to the earlier one.
func (t *Table) endEarlierSubmission(now time.Time, o Order) bool {
	others := t.otherSubmissions(o)
	if slices.ContainsFunc(others, func(r *run) bool { return o.Key < r.Key }) {
		return false
	}
	for _, r := range others {
		t.stop(now, r, ReasonResubmitted)
	}
	return true
}

// otherSubmissions returns the runs of an order's job that other connected
// dispatchers ordered.
func (t *Table) otherSubmissions(o Order) []*run {
	var others []*run
	for _, r := range t.runs {
		if r.Job == o.Job && r.Owner != o.Owner && !r.ownerGone {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(a, b *run) int { return compareNames(a.TaskID, b.TaskID) })
	return others
}
