package resubmission

import (
	"slices"
	"time"
)

const (
	// MinAge is the age from which a job is shared. Callers send a job again 1.3 s
	// after their connection broke. The rest is for the way to the other dispatchers,
	// and for a request that was read late, so that the job seems younger.
	MinAge = 500 * time.Millisecond
	// shareInterval is the minimum time between two messages that nobody waits for.
	shareInterval = 100 * time.Millisecond
)

// Sharer decides when a dispatcher tells the others about its jobs. The zero value is
// ready for use.
type Sharer struct {
	shared   Jobs
	sharedAt time.Time
}

// Due reports whether the present jobs are to be sent now, and takes them as sent if
// so. Both lists are sorted. They are sent at once if another dispatcher waits for the
// change; wantedElsewhere says of which jobs one waits for the end.
func (s *Sharer) Due(now time.Time, present Jobs, wantedElsewhere func(id string) bool) bool {
	if slices.Equal(s.shared.Old, present.Old) && slices.Equal(s.shared.Wanted, present.Wanted) {
		return false
	}
	if now.Sub(s.sharedAt) < shareInterval && !s.urgent(present, wantedElsewhere) {
		return false
	}
	s.shared, s.sharedAt = present, now
	return true
}

// urgent reports whether another dispatcher waits for the change: it is to give a job
// up, or wants one that has ended here.
func (s *Sharer) urgent(present Jobs, wantedElsewhere func(id string) bool) bool {
	if !slices.Equal(s.shared.Wanted, present.Wanted) {
		return true
	}
	hasEnded := func(id string) bool {
		_, isOld := slices.BinarySearch(present.Old, id)
		return !isOld && wantedElsewhere(id)
	}
	return slices.ContainsFunc(s.shared.Old, hasEnded)
}

// Shared returns the jobs that were sent last.
func (s *Sharer) Shared() Jobs { return s.shared }
