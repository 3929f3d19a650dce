package runtable

import "slices"

// ReceivedRuns returns the runs that the present incarnation of the minion has or may
// have received and whose ends are not known, in the order of their first starts. If it
// crashes, one of them may be the cause.
func (t *Table) ReceivedRuns() []RunID {
	received := slices.DeleteFunc(t.sortedRuns(), func(r *run) bool { return !r.mayBeReceived() })
	slices.SortStableFunc(received, func(a, b *run) int { return a.startSentAt.Compare(b.startSentAt) })
	ids := make([]RunID, len(received))
	for i, r := range received {
		ids[i] = RunID{r.TaskID, r.Run}
	}
	return ids
}

// mayBeReceived reports whether a start of the run has or may have reached the present
// incarnation of the minion.
func (r *run) mayBeReceived() bool { return r.startAttempts > r.startsMissed }
