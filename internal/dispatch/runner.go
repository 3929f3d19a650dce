package dispatch

import (
	"slices"
	"time"
)

const (
	// suspect is the suspicion from which a minion gets one task at a time.
	suspect = 0.5
	// suspectPace is the pace from which a minion gets one task at a time: the
	// objectives stretch run times by less.
	suspectPace = 2.5
	// probeGap is the least time between two tasks for a suspect minion.
	probeGap = 500 * time.Millisecond
	// zoneCost is the cost of a minion in another zone: two hops between zones.
	zoneCost = 3 * time.Millisecond
	// loadCost is the cost of a minion that is nearly full against an empty
	// one: it spreads tasks, so that stale views collide less.
	loadCost = 6 * time.Millisecond
	// spareTasks is the room for further tasks that a minion should have: other
	// dispatchers place there too, unseen for some milliseconds. tightCost is
	// the cost of each task's room that lacks, a part of the wait at a runner.
	spareTasks = 3
	tightCost  = 10 * time.Millisecond
	// suspicionCost is the cost of a minion that fails everything.
	suspicionCost = 400 * time.Millisecond
	// farFactor is how much longer a task takes away from its data.
	farFactor = 1.5
)

// runner is one connected runner.
type runner struct {
	Room
	id RunnerID
	// sent counts the tasks given to it in this session.
	sent uint64
	// unseen are the needs of the tasks that its room does not show yet.
	unseen []Need
	// outstanding counts tasks of this dispatcher there.
	outstanding int
	probed      time.Time
	// retiring: it gets no more tasks of this dispatcher.
	retiring bool
}

// takes tells whether new tasks may go there.
func (r *runner) takes() bool { return r.Ready && !r.retiring }

// update takes a report in.
func (r *runner) update(room Room) {
	r.Room = room
	var hidden uint64 // tasks sent that the report does not count
	if room.Placed < r.sent {
		hidden = r.sent - room.Placed
	}
	if seen := len(r.unseen) - int(min(hidden, uint64(len(r.unseen)))); seen > 0 {
		r.unseen = slices.Delete(r.unseen, 0, seen)
	}
	for _, n := range r.unseen {
		r.Free = r.Free.Minus(n)
	}
}

// take notes a task on its way to the runner.
func (r *runner) take(n Need) {
	r.sent++
	r.unseen = append(r.unseen, n)
	r.Free = r.Free.Minus(n)
	r.outstanding++
}

// serves tells whether the minion may run tasks of a step.
func (r *runner) serves(service string, s *Step) bool {
	return r.Service == service && s.Need.Fits(r.Capacity) && (s.Label == "" || slices.Contains(r.Labels, s.Label))
}

// cost is how much later than elsewhere a task is expected to end there.
func (r *runner) cost(s *Step, zone string) time.Duration {
	pace := r.Pace
	if pace == 0 {
		pace = 1
	}
	if s.Rack != "" && !slices.Contains(r.Labels, s.Rack) {
		pace *= farFactor
	}
	cost := time.Duration(float64(s.Estimate) * pace)
	if r.Zone != zone {
		cost += zoneCost
	}
	if r.Capacity.CPU > 0 {
		cost += time.Duration(float64(loadCost) * (1 - float64(r.Free.CPU)/float64(r.Capacity.CPU)))
	}
	cost += r.tightness(s)
	return cost + time.Duration(r.Suspicion*float64(suspicionCost))
}

// tightness is the cost of little room besides the task's.
func (r *runner) tightness(s *Step) time.Duration {
	if s.Need.CPU <= 0 {
		return 0
	}
	spare := float64(r.Free.CPU)/float64(s.Need.CPU) - 1
	return time.Duration(max(0, spareTasks-spare) * float64(tightCost))
}

// suspect tells that the minion fails, or drags, most of its tasks.
func (r *runner) suspect() bool { return r.Suspicion >= suspect || r.Pace >= suspectPace }

// open tells whether the minion may get a task now.
func (r *runner) open(now time.Time) bool {
	if !r.takes() {
		return false
	}
	if !r.suspect() {
		return true
	}
	return r.outstanding == 0 && now.Sub(r.probed) >= probeGap
}
