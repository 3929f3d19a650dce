// Package resubmission decides what a dispatcher does about jobs that other dispatchers
// have open. A caller whose connection broke sends its job again, to any dispatcher,
// and the one that has the job may not know that the connection broke. So dispatchers
// share their old jobs, and one that gets a job that another one shares waits until the
// runs there have ended. The package is pure: times come in as arguments.
package resubmission

// Jobs are the jobs that a dispatcher shares with the others, by id.
type Jobs struct {
	// Old are the jobs that arrived MinAge ago or earlier, and of which runs are or
	// may get at work.
	Old []string
	// Wanted are the jobs that wait for the end of their runs at other dispatchers,
	// which give them up.
	Wanted []string
}

// View is what other dispatchers share, as the control members report it. M identifies
// a session with a member. It is not safe for concurrent use.
type View[M comparable] struct {
	// dispatchers holds what each dispatcher shares, by its name and by the member
	// that reported it.
	dispatchers map[string]map[M]report
	// old and wanted count the dispatchers that share a job.
	old, wanted map[string]int
}

// report is what a member reported of a dispatcher.
type report struct {
	sequence uint64
	jobs     Jobs
}

// NewView returns a view without any job.
func NewView[M comparable]() *View[M] {
	return &View[M]{dispatchers: map[string]map[M]report{}, old: map[string]int{}, wanted: map[string]int{}}
}

// Update replaces what a member reported of a dispatcher. Of the reports of several
// members the one with the highest sequence counts.
func (v *View[M]) Update(member M, dispatcher string, sequence uint64, jobs Jobs) {
	v.count(dispatcher, -1)
	if v.dispatchers[dispatcher] == nil {
		v.dispatchers[dispatcher] = map[M]report{}
	}
	v.dispatchers[dispatcher][member] = report{sequence: sequence, jobs: jobs}
	v.count(dispatcher, 1)
}

// Left records that a dispatcher has left a member. Its jobs count until it has left
// all members.
func (v *View[M]) Left(member M, dispatcher string) {
	v.count(dispatcher, -1)
	delete(v.dispatchers[dispatcher], member)
	v.count(dispatcher, 1)
	if len(v.dispatchers[dispatcher]) == 0 {
		delete(v.dispatchers, dispatcher)
	}
}

// DropMember forgets what a member reported, since the session with it has ended.
func (v *View[M]) DropMember(member M) {
	for dispatcher := range v.dispatchers {
		v.Left(member, dispatcher)
	}
}

// OldElsewhere reports whether another dispatcher has an old job open.
func (v *View[M]) OldElsewhere(job string) bool { return v.old[job] > 0 }

// WantedElsewhere reports whether a job waits at another dispatcher.
func (v *View[M]) WantedElsewhere(job string) bool { return v.wanted[job] > 0 }

// count adds n to the counts of the jobs that a dispatcher shares.
func (v *View[M]) count(dispatcher string, n int) {
	jobs := v.newest(dispatcher)
	addTo(v.old, jobs.Old, n)
	addTo(v.wanted, jobs.Wanted, n)
}

func addTo(counts map[string]int, ids []string, n int) {
	for _, id := range ids {
		counts[id] += n
		if counts[id] == 0 {
			delete(counts, id)
		}
	}
}

// newest returns the jobs of the report with the highest sequence.
func (v *View[M]) newest(dispatcher string) Jobs {
	var newest report
	for _, r := range v.dispatchers[dispatcher] {
		if r.sequence >= newest.sequence {
			newest = r
		}
	}
	return newest.jobs
}
