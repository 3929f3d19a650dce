package runtable

import "slices"

// ReceivedRun is a run that the minion has or may have received.
type ReceivedRun struct {
	RunID
	// Begun reports whether the minion has answered the start or listed the run.
	Begun bool
}

// ReceivedRuns returns the runs that the present incarnation of the minion has or may
// have received and whose ends are not known, in the order of their first starts. If it
// crashes, one of them may be the cause.
func (t *Table) ReceivedRuns() []ReceivedRun {
	received := slices.DeleteFunc(t.sortedRuns(), func(r *run) bool { return !r.mayBeReceived() })
	slices.SortStableFunc(received, func(a, b *run) int { return a.startSentAt.Compare(b.startSentAt) })
	runs := make([]ReceivedRun, len(received))
	for i, r := range received {
		runs[i] = ReceivedRun{RunID{r.TaskID, r.Run}, r.begun()}
	}
	return runs
}

// mayBeReceived reports whether a start of the run has or may have reached the present
// incarnation of the minion.
func (r *run) mayBeReceived() bool { return r.startAttempts > r.startsMissed }
