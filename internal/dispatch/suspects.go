package dispatch

import (
	"cmp"
	"time"

	"endivewing/internal/runtable"
)

// A task under which a minion has crashed is a suspect until it is done or given up. Most
// suspects are innocent: the minion crashed under a task beside them.
//
// This answers the load of a queue of which every tenth job crashes each minion that starts
// it. A minion has ten tasks at work, so one crash makes ten suspects. Placed like other
// tasks, a deadly one would crash its next minions under as many others, and nobody could
// tell which is to blame. So the suspects of two jobs are kept apart as far as there are
// minions for it, those of one job together, and they go where least is at work.

// neighborCost is the cost of a full minion for a suspect, whose crash would take the tasks
// beside it along. It outweighs the distance between zones.
const neighborCost = 40 * time.Millisecond

// suspectsAtWork holds, by runner, the jobs of which suspects may be at work there. It
// looks for them when it is first asked: few placements have a suspect to place.
type suspectsAtWork struct {
	dispatcher *Dispatcher
	jobs       map[RunnerID]map[string]bool
}

// at returns the jobs of which suspects may be at work at a runner.
func (s *suspectsAtWork) at(id RunnerID) map[string]bool {
	if s.jobs == nil {
		s.jobs = map[RunnerID]map[string]bool{}
		s.find()
	}
	return s.jobs[id]
}

func (s *suspectsAtWork) add(id RunnerID, job string) {
	if s.at(id) == nil {
		s.jobs[id] = map[string]bool{}
	}
	s.jobs[id][job] = true
}

// others returns of how many other jobs than the given one suspects may be at work.
func (s *suspectsAtWork) others(id RunnerID, job string) int {
	jobs := s.at(id)
	if jobs[job] {
		return len(jobs) - 1
	}
	return len(jobs)
}

// find looks through the jobs with crashes, or through those that are here if they are
// fewer.
func (s *suspectsAtWork) find() {
	d := s.dispatcher
	if len(d.crashes.jobs) < len(d.jobs)+len(d.ending) {
		for id := range d.crashes.jobs {
			s.addTasksOf(d.jobs[id])
			s.addTasksOf(d.ending[id])
		}
		return
	}
	for _, jobs := range []map[string]*openJob{d.jobs, d.ending} {
		for id, o := range jobs {
			if d.crashes.jobs[id] != nil {
				s.addTasksOf(o)
			}
		}
	}
}

// addTasksOf adds the suspects of a job that may be at work. The job may be nil.
func (s *suspectsAtWork) addTasksOf(o *openJob) {
	if o == nil {
		return
	}
	for step, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.mayRunAt(t.runner) && s.dispatcher.isSuspect(o, step, i) {
				s.add(t.runner, o.ID)
			}
		}
	}
}

// isSuspect reports whether a minion has crashed under a task of the job.
func (d *Dispatcher) isSuspect(o *openJob, step, index int) bool {
	return d.crashes.crashes(runtable.TaskID{Job: o.ID, Step: uint32(step), Index: uint32(index)}) > 0
}

// chooseForSuspect returns the runner for a suspect, or nil: of those with enough free
// capacity, one with suspects of the fewest other jobs, with suspects of its own job, and
// where it is expected to end first beside little work, in this order.
func (d *Dispatcher) chooseForSuspect(now time.Time, o *openJob, step int, t *task, suspects *suspectsAtWork) *runner {
	var best *runner
	for _, r := range d.sortedRunners {
		if !o.Steps[step].Need.Fits(r.Free) || !d.mayRunAt(now, o, step, r) {
			continue
		}
		if best == nil || d.compareForSuspect(o, step, t, r, best, suspects) < 0 {
			best = r
		}
	}
	return best
}

// compareForSuspect orders two runners for a suspect, the better first.
func (d *Dispatcher) compareForSuspect(o *openJob, step int, t *task, a, b *runner, suspects *suspectsAtWork) int {
	s := &o.Steps[step]
	return cmp.Or(
		falseFirst(t.avoids(a), t.avoids(b)),
		cmp.Compare(suspects.others(a.id, o.ID), suspects.others(b.id, o.ID)),
		falseFirst(!suspects.at(a.id)[o.ID], !suspects.at(b.id)[o.ID]),
		cmp.Compare(a.costOfSuspect(s, d.zone), b.costOfSuspect(s, d.zone)),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// costOfSuspect returns the cost of a task of a step that is a suspect.
func (r *runner) costOfSuspect(s *Step, zone string) time.Duration {
	used := 1 - float64(r.Free.CPU)/float64(max(r.Capacity.CPU, 1))
	return r.cost(s, zone) + time.Duration(float64(neighborCost)*used)
}
