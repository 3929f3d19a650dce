package gate

import (
	"slices"
)

// maxDumpJobs is the maximum number of jobs that a dump lists.
const maxDumpJobs = 50

// Dump is the state of a gate in a human-readable form.
type Dump struct {
	Incarnation uint64        `json:"incarnation"`
	Revision    uint64        `json:"revision"`
	Closed      string        `json:"closed,omitempty"`
	Load        Load          `json:"load"`
	HeldBytes   int           `json:"heldBytes"`
	Unsafe      int           `json:"unsafeTasks"`
	Stats       Stats         `json:"stats"`
	Groups      []GroupDump   `json:"groups"`
	Sessions    []SessionDump `json:"sessions"`
	JobCount    int           `json:"jobCount"`
	Jobs        []JobDump     `json:"jobs"`
}

// GroupDump is the state of a group.
type GroupDump struct {
	Group    uint64 `json:"group"`
	Epoch    uint64 `json:"epoch"`
	Owner    uint64 `json:"owner"`
	OpenFrom uint64 `json:"openFrom,omitempty"`
	Jobs     int    `json:"jobs"`
}

// SessionDump is a session with an entry and the slots granted to it.
type SessionDump struct {
	Entry       uint64 `json:"entry"`
	Lent        int    `json:"lent"`
	Outstanding int    `json:"outstanding"`
	Waiting     int    `json:"waiting"`
}

// JobDump is the state of a job and its tasks.
type JobDump struct {
	Job       uint64     `json:"job"`
	Group     uint64     `json:"group"`
	Forgotten bool       `json:"forgotten,omitempty"`
	Tasks     []TaskDump `json:"tasks"`
}

// TaskDump is the state of a task; State is a state name of the chart.
type TaskDump struct {
	Task    uint32 `json:"task"`
	Attempt uint32 `json:"attempt"`
	State   string `json:"state"`
	Reason  string `json:"reason,omitempty"`
}

// Dump returns the state of the gate. It lists only the oldest jobs, but counts
// all of them.
func (g *Gate) Dump() Dump {
	d := Dump{
		Incarnation: g.incarnation,
		Revision:    g.revision,
		Closed:      g.lastClosedReason.String(),
		Load:        g.Load(),
		HeldBytes:   g.heldBytes,
		Unsafe:      g.unsafeTasks,
		Stats:       g.stats,
		JobCount:    len(g.jobs),
	}
	for _, number := range sortedKeys(g.groups) {
		gr := g.groups[number]
		d.Groups = append(d.Groups, GroupDump{number, gr.epoch, gr.owner, gr.openFrom, gr.jobs})
	}
	for _, h := range g.allocator.holders {
		entry := g.sessions[h.id].entry
		d.Sessions = append(d.Sessions, SessionDump{entry, h.granted, h.outstanding, h.waiting})
	}
	numbers := sortedKeys(g.jobs)
	for _, number := range numbers[:min(len(numbers), maxDumpJobs)] {
		d.Jobs = append(d.Jobs, g.jobs[number].dump())
	}
	return d
}

func (j *job) dump() JobDump {
	d := JobDump{Job: j.number, Group: j.group.number, Forgotten: j.forgotten}
	for i := range j.tasks {
		r := &j.tasks[i]
		d.Tasks = append(d.Tasks, TaskDump{r.task, r.attempt, taskChart.StateName(r.state), r.reason.String()})
	}
	return d
}

// Stats returns the present counts.
func (g *Gate) Stats() Stats { return g.stats }

// HeldBytes returns the total size in bytes of the results and error details of
// tasks whose jobs are not forgotten yet.
func (g *Gate) HeldBytes() int { return g.heldBytes }

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
