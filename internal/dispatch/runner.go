package dispatch

import (
	"slices"
	"time"
)

const (
	// degradedFailureRate is the FailureRate from which a minion gets one task at
	// a time.
	degradedFailureRate = 0.5
	// degradedRuntimeRatio is the RuntimeRatio from which a minion gets one task at
	// a time. Objectives stretch run times by less.
	degradedRuntimeRatio = 2.5
	// minProbeInterval is the shortest time between two tasks for a degraded
	// minion.
	minProbeInterval = 500 * time.Millisecond
	// crossZoneCost is the cost of a minion in another availability zone: two
	// hops between zones.
	crossZoneCost = 3 * time.Millisecond
	// loadCost is the cost of a full minion relative to an empty one. It
	// spreads the tasks, so that dispatchers with outdated reports collide
	// less.
	loadCost = 6 * time.Millisecond
	// spareTasks is the number of further tasks for which a minion should have
	// free capacity, since placements of other dispatchers are not visible here
	// for some milliseconds.
	spareTasks = 3
	// lowSpareCost is the cost of each further task that does not fit. It is a
	// part of the time that tasks may wait at a runner.
	lowSpareCost = 10 * time.Millisecond
	// failureCost is the cost of a minion that fails everything.
	failureCost = 400 * time.Millisecond
	// remoteDataFactor is how many times longer a task takes away from its
	// data.
	remoteDataFactor = 1.5
)

// runner is a connected runner.
type runner struct {
	RunnerStatus
	id RunnerID
	// sent is the number of tasks placed at the runner in this session.
	sent uint64
	// unreported holds the needs of the tasks that the last report does not
	// account for.
	unreported []Need
	// outstanding is the number of tasks of this dispatcher at the runner whose
	// ends are not reported.
	outstanding int
	// lastProbe is when the runner last got a task while it was degraded.
	lastProbe time.Time
	// retiring excludes the runner from new tasks of this dispatcher.
	retiring bool
}

// acceptsTasks reports whether new tasks may be placed at the runner.
func (r *runner) acceptsTasks() bool { return r.Ready && !r.retiring }

// update applies a report.
func (r *runner) update(status RunnerStatus) {
	r.RunnerStatus = status
	var missing uint64 // tasks sent that the report does not account for
	if status.Placed < r.sent {
		missing = r.sent - status.Placed
	}
	if reported := len(r.unreported) - int(min(missing, uint64(len(r.unreported)))); reported > 0 {
		r.unreported = slices.Delete(r.unreported, 0, reported)
	}
	for _, n := range r.unreported {
		r.Free = r.Free.Minus(n)
	}
}

// addTask accounts for a task that is placed at the runner.
func (r *runner) addTask(n Need) {
	r.sent++
	r.unreported = append(r.unreported, n)
	r.Free = r.Free.Minus(n)
	r.outstanding++
}

// taskWaits reports whether a task is known to wait at the runner for capacity.
func (r *runner) taskWaits() bool { return !(Need{}).Fits(r.Free) }

// canRun reports whether the minion is able to run tasks of a step when empty.
func (r *runner) canRun(service string, s *Step) bool {
	return r.Service == service && s.Need.Fits(r.Capacity) && (s.Label == "" || slices.Contains(r.Labels, s.Label))
}

// cost returns the expected time until a task of the step ends at the runner,
// plus penalties for distance, load and failures.
func (r *runner) cost(s *Step, zone string) time.Duration {
	pace := r.RuntimeRatio
	if pace == 0 {
		pace = 1
	}
	if s.Rack != "" && !slices.Contains(r.Labels, s.Rack) {
		pace *= remoteDataFactor
	}
	cost := time.Duration(float64(s.Estimate) * pace)
	if r.Zone != zone {
		cost += crossZoneCost
	}
	if r.Capacity.CPU > 0 {
		cost += time.Duration(float64(loadCost) * (1 - float64(r.Free.CPU)/float64(r.Capacity.CPU)))
	}
	cost += r.spareCost(s)
	return cost + time.Duration(r.FailureRate*float64(failureCost))
}

// spareCost returns the cost of having little free capacity besides what the
// task needs.
func (r *runner) spareCost(s *Step) time.Duration {
	if s.Need.CPU <= 0 {
		return 0
	}
	spare := float64(r.Free.CPU)/float64(s.Need.CPU) - 1
	return time.Duration(max(0, spareTasks-spare) * float64(lowSpareCost))
}

// degraded reports whether the minion fails most of its tasks or runs them far
// too slowly.
func (r *runner) degraded() bool {
	return r.FailureRate >= degradedFailureRate || r.RuntimeRatio >= degradedRuntimeRatio
}

// available reports whether the runner may get a task now.
func (r *runner) available(now time.Time) bool {
	if !r.acceptsTasks() {
		return false
	}
	if !r.degraded() {
		return true
	}
	return r.outstanding == 0 && now.Sub(r.lastProbe) >= minProbeInterval
}
