package placement

import (
	"cmp"
	"slices"
)

// Recall asks an agent to return one task that it has not started.
type Recall struct {
	// Incarnation is the incarnation of the agent.
	Incarnation uint64
	Job         uint64
	Task        uint32
}

// TakeRecalls returns the tasks to recall since the last call: all tasks at agents
// that were ejected. A task that the agent has started continues there. The
// result is valid until the next call.
func (d *Dispatcher) TakeRecalls() []Recall {
	out := d.recalls
	d.recalls = d.spareRecalls[:0]
	d.spareRecalls = out
	return out
}

func (d *Dispatcher) recallFrom(a *agent) {
	first := len(d.recalls)
	for _, j := range d.jobs {
		for i := range j.tasks {
			if j.tasks[i].agent == a {
				d.recalls = append(d.recalls, Recall{Incarnation: a.info.Incarnation, Job: j.info.Job, Task: uint32(i)})
			}
		}
	}
	slices.SortFunc(d.recalls[first:], func(r, q Recall) int {
		return cmp.Or(cmp.Compare(r.Job, q.Job), cmp.Compare(r.Task, q.Task))
	})
}
